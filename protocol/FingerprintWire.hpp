#pragma once

#include "core/Hash.hpp"

#include "fleet_types.h"

namespace crocusslip::protocol {

/// A request's fingerprint as it is sent between processes.
inline wire::Fingerprint
ToWire(const core::Digest& aDigest)
{
  wire::Fingerprint out;
  out.high = static_cast<std::int64_t>(aDigest.high_);
  out.low = static_cast<std::int64_t>(aDigest.low_);
  return out;
}

inline core::Digest
FromWire(const wire::Fingerprint& aFingerprint)
{
  return { static_cast<std::uint64_t>(aFingerprint.high),
           static_cast<std::uint64_t>(aFingerprint.low) };
}

} // namespace crocusslip::protocol
