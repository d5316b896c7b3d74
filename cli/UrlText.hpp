#pragma once

#include <string>
#include <string_view>

namespace crocusslip::cli {

/// A text as value of a query parameter.
std::string
PercentEncode(std::string_view aText);

} // namespace crocusslip::cli
