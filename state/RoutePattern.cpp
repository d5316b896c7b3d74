#include "state/RoutePattern.hpp"

#include <algorithm>

namespace crocusslip::state {

bool
RoutePattern::Matches(std::string_view aMethod, std::string_view aPath) const
{
  if (method_ != "*" && method_ != aMethod) {
    return false;
  }
  const std::string_view path = aPath.substr(0, aPath.find('?'));
  if (path_.ends_with('*')) {
    return path.starts_with(
      std::string_view(path_).substr(0, path_.size() - 1));
  }
  return path == path_;
}

std::optional<RoutePattern>
ParseRoutePattern(std::string_view aText)
{
  const std::size_t space = aText.find(' ');
  if (space == std::string_view::npos || space == 0) {
    return std::nullopt;
  }
  const std::string_view method = aText.substr(0, space);
  const std::string_view path = aText.substr(space + 1);
  const bool methodOk =
    method == "*" || std::all_of(method.begin(), method.end(), [](char aChar) {
      return aChar >= 'A' && aChar <= 'Z';
    });
  const bool pathOk = path.starts_with('/') &&
                      path.find_first_of(" ?#") == std::string_view::npos &&
                      path.find('*') >= path.size() - 1;
  if (!methodOk || !pathOk) {
    return std::nullopt;
  }
  return RoutePattern{ std::string(method), std::string(path) };
}

} // namespace crocusslip::state
