#pragma once

#include <string>

namespace crocusslip::transport {

/// PEM files; empty names mean plain connections.
struct TlsFiles
{
  std::string certificate_;
  std::string key_;
  std::string authority_;
  /// Requires a certificate that the authority has signed from the peer.
  bool verifyPeer_ = false;

  bool Enabled() const { return !certificate_.empty(); }
};

} // namespace crocusslip::transport
