#pragma once

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace crocusslip::cli {

/// Columns of text, each as wide as its widest cell.
class TextTable
{
public:
  using Row = std::vector<std::string>;

  explicit TextTable(Row aTitles);
  void Add(Row aRow);
  void Print(std::ostream& aOut) const;

private:
  std::vector<Row> rows_;
};

/// Unix milliseconds as "2026-12-04T04:45:45Z"; "-" for 0.
std::string
FormatTime(std::uint64_t aMilliseconds);

} // namespace crocusslip::cli
