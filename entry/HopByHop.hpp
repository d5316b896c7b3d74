#pragma once

#include <array>

#include <boost/beast/core/string.hpp>

namespace crocusslip::entry {

/// Headers that concern one connection only.
inline constexpr std::array<const char*, 9> kHopByHop = {
  "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "TE",
  "Trailer",    "Upgrade",    "Expect",           "Content-Length",
};

inline bool
HopByHop(boost::beast::string_view aName)
{
  for (const char* name : kHopByHop) {
    if (boost::beast::iequals(aName, name)) {
      return true;
    }
  }
  return false;
}

} // namespace crocusslip::entry
