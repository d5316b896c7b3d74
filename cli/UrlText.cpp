#include "cli/UrlText.hpp"

namespace crocusslip::cli {

std::string
PercentEncode(std::string_view aText)
{
  constexpr std::string_view kHexDigits = "0123456789ABCDEF";
  constexpr std::string_view kUnreserved =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
  constexpr unsigned kHalfByteBits = 4;
  constexpr unsigned kHalfByte = 0xF;
  std::string encoded;
  for (const char letter : aText) {
    if (kUnreserved.find(letter) != std::string_view::npos) {
      encoded += letter;
      continue;
    }
    const auto byte = static_cast<unsigned char>(letter);
    encoded += '%';
    encoded += kHexDigits[byte >> kHalfByteBits];
    encoded += kHexDigits[byte & kHalfByte];
  }
  return encoded;
}

} // namespace crocusslip::cli
