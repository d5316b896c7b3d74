#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace crocusslip::state {

/// An IP address (or "localhost") and a port.
struct ListenAddress
{
  std::string host_;
  std::uint16_t port_ = 0;

  bool Empty() const { return host_.empty(); }
  bool IsLoopback() const;
  std::string Text() const;

  friend bool operator==(const ListenAddress&, const ListenAddress&) = default;
};

/// "127.0.0.1:8080", "[::1]:8080", "localhost:8080".
std::optional<ListenAddress>
ParseAddress(std::string_view aText);

} // namespace crocusslip::state
