#pragma once

#include "core/Error.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace crocusslip::protocol {

/// Compresses a text for the wire (zlib).
std::string
Compress(std::string_view aText);

/// The text that Compress was given, of aSize bytes. InvalidInput when the
/// bytes are no such text or aSize is over the limit.
core::Result<std::string>
Decompress(std::string_view aBytes, std::size_t aSize);

} // namespace crocusslip::protocol
