#pragma once

#include <string>
#include <string_view>

namespace crocusslip::transport {

/// SHA-256 as 64 lower-case hexadecimal digits.
std::string
Sha256Hex(std::string_view aBytes);

} // namespace crocusslip::transport
