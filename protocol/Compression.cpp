#include "protocol/Compression.hpp"

#include <zlib.h>

namespace crocusslip::protocol {

namespace {

/// Largest text that is decompressed.
constexpr std::size_t kMaxTextBytes = 16UL * 1024 * 1024;

const Bytef*
BytesOf(std::string_view aText)
{
  return reinterpret_cast<const Bytef*>(aText.data());
}

} // namespace

std::string
Compress(std::string_view aText)
{
  uLongf size = ::compressBound(aText.size());
  std::string out(size, '\0');
  // Fails only for lack of room, and compressBound has given enough.
  ::compress2(reinterpret_cast<Bytef*>(out.data()),
              &size,
              BytesOf(aText),
              aText.size(),
              Z_DEFAULT_COMPRESSION);
  out.resize(size);
  return out;
}

core::Result<std::string>
Decompress(std::string_view aBytes, std::size_t aSize)
{
  if (aSize > kMaxTextBytes) {
    return core::Error{ make_error_code(core::Errc::InvalidInput),
                        "text is over the limit" };
  }
  std::string out(aSize, '\0');
  uLongf size = aSize;
  const int status = ::uncompress(reinterpret_cast<Bytef*>(out.data()),
                                  &size,
                                  BytesOf(aBytes),
                                  aBytes.size());
  if (status != Z_OK || size != aSize) {
    return core::Error{ make_error_code(core::Errc::InvalidInput),
                        "text cannot be decompressed" };
  }
  return out;
}

} // namespace crocusslip::protocol
