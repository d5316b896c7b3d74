#include "state/TomlPrinter.hpp"

#include <sstream>

namespace crocusslip::state {

std::string
PrintToml(const toml::node& aNode)
{
  constexpr auto kFlags = toml::toml_formatter::default_flags &
                          ~toml::format_flags::allow_literal_strings;
  std::ostringstream text;
  text << toml::toml_formatter(aNode, kFlags);
  return text.str();
}

} // namespace crocusslip::state
