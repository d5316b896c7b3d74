#include "cli/TextTable.hpp"

#include <algorithm>
#include <array>
#include <ctime>
#include <utility>

namespace crocusslip::cli {

TextTable::TextTable(Row aTitles)
{
  rows_.push_back(std::move(aTitles));
}

void
TextTable::Add(Row aRow)
{
  rows_.push_back(std::move(aRow));
}

void
TextTable::Print(std::ostream& aOut) const
{
  std::vector<std::size_t> widths(rows_.front().size());
  for (const Row& row : rows_) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const Row& row : rows_) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      if (i + 1 != row.size()) {
        line.append(widths[i] - row[i].size() + 2, ' ');
      }
    }
    line.erase(line.find_last_not_of(' ') + 1);
    aOut << line << '\n';
  }
}

std::string
FormatTime(std::uint64_t aMilliseconds)
{
  constexpr std::uint64_t kMillisecondsPerSecond = 1000;
  if (aMilliseconds == 0) {
    return "-";
  }
  const auto seconds =
    static_cast<std::time_t>(aMilliseconds / kMillisecondsPerSecond);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> text{};
  std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return text.data();
}

} // namespace crocusslip::cli
