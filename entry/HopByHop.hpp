#pragma once

#include <array>

#include <boost/beast/core/string.hpp>

namespace crocusslip::entry {

/// Headers that apply to a single connection and are not forwarded.
inline constexpr std::array<const char*, 9> kHopByHopHeaders = {
  "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "TE",
  "Trailer",    "Upgrade",    "Expect",           "Content-Length",
};

inline bool
IsHopByHop(boost::beast::string_view aName)
{
  for (const char* name : kHopByHopHeaders) {
    if (boost::beast::iequals(aName, name)) {
      return true;
    }
  }
  return false;
}

} // namespace crocusslip::entry
