#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace crocusslip::state {

/// A method and a path; "*" stands for any method, a trailing "*" in the path
/// for any rest: "POST /deposits", "POST /orders/*", "* /book".
struct RoutePattern
{
  std::string method_;
  std::string path_;

  /// The path is compared without its query.
  bool Matches(std::string_view aMethod, std::string_view aPath) const;

  friend bool operator==(const RoutePattern&, const RoutePattern&) = default;
};

std::optional<RoutePattern>
ParseRoutePattern(std::string_view aText);

} // namespace crocusslip::state
