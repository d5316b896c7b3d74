#pragma once

#include <ostream>
#include <string>
#include <vector>

/// Heads of answers that break the grammar of HTTP/1.1.
namespace crocusslip::tests {

/// A sound field, so that the line after it could be taken for its rest.
inline const std::string kField = "X-A: 1\r\n";

struct BrokenHead
{
  const char* name_;
  std::string status_ = "200";
  /// A line that is no field.
  std::string line_;
};

inline std::ostream&
operator<<(std::ostream& aOut, const BrokenHead& aHead)
{
  return aOut << aHead.name_;
}

inline std::vector<BrokenHead>
BrokenStatuses()
{
  return { { "status 000", "000", {} }, { "status 001", "001", {} },
           { "status 099", "099", {} }, { "status 600", "600", {} },
           { "status 999", "999", {} }, { "status 2x0", "2x0", {} },
           { "status 20", "20", {} },   { "status 2000", "2000", {} } };
}

/// The lines would change the framing if they were read as fields.
inline std::vector<BrokenHead>
BrokenFieldNames()
{
  using namespace std::string_literals;
  std::vector<BrokenHead> heads{
    { "blank in a name", "200", "X-Broken Line: 1" },
    { "tab in a name", "200", "X-Broken\tLine: 1" },
    { "blank after a name", "200", "X-Broken : 1" },
    { "tab after a name", "200", "X-Broken\t: 1" },
    { "blank before a name", "200", " X-Broken: 1" },
    { "tab before a name", "200", "\tX-Broken: 1" },
    { "NUL in a name", "200", "X-Bro\0ken: 1"s },
    { "SOH in a name", "200", "X-Bro\x01ken: 1" },
    { "vertical tab in a name", "200", "X-Bro\x0bken: 1" },
    { "CR in a name", "200", "X-Bro\rken: 1" },
    { "LF in a name", "200", "X-Bro\nken: 1" },
    { "DEL in a name", "200", "X-Bro\x7fken: 1" },
    { "no name", "200", ": 1" },
    { "no colon", "200", "X-Broken" },
  };
  for (const std::string framing :
       { "Content-Length:3", "Transfer-Encoding:chunked" }) {
    const std::size_t colon = framing.find(':');
    const std::string name = framing.substr(0, colon);
    const std::string value = framing.substr(colon);
    heads.push_back(
      { "blank after a name of the framing", "200", name + " " + value });
    heads.push_back(
      { "blank before a name of the framing", "200", " " + framing });
    heads.push_back(
      { "SOH after a name of the framing", "200", name + "\x01" + value });
  }
  return heads;
}

inline std::vector<BrokenHead>
BrokenHeads()
{
  std::vector<BrokenHead> heads = BrokenStatuses();
  const std::vector<BrokenHead> names = BrokenFieldNames();
  heads.insert(heads.end(), names.begin(), names.end());
  return heads;
}

inline bool
IsFolded(const BrokenHead& aHead)
{
  return aHead.line_.starts_with(' ') || aHead.line_.starts_with('\t');
}

/// One of each kind, for readers that ask rarely.
inline std::vector<BrokenHead>
FewBrokenHeads()
{
  return { { "status 000", "000", {} },
           { "status 999", "999", {} },
           { "blank in a name", "200", "X-Broken Line: 1" },
           { "blank before a name", "200", " X-Broken: 1" },
           { "SOH in a name", "200", "X-Bro\x01ken: 1" } };
}

/// The answer's head up to its framing; aFields are sound lines.
inline std::string
Head(const BrokenHead& aHead, const std::string& aFields)
{
  const std::string line = aHead.line_.empty() ? "" : aHead.line_ + "\r\n";
  return "HTTP/1.1 " + aHead.status_ + " OK\r\n" + aFields + line;
}

} // namespace crocusslip::tests
