#include "state/TomlParser.hpp"

#include <algorithm>

namespace crocusslip::state {

namespace {

constexpr std::string_view kByteOrderMark = "\xef\xbb\xbf";

bool
IsAscii(char aByte)
{
  return static_cast<unsigned char>(aByte) < 0x80;
}

/// Finds characters outside ASCII that stand where the library tests for white
/// space. For letters up to U+0499 that test is undefined behaviour in the
/// library. TOML allows such characters in strings and comments only, and
/// there the library tests just what follows a backslash.
class BareCharacterFinder
{
public:
  explicit BareCharacterFinder(std::string_view aText)
    : text_(aText)
  {
    if (text_.starts_with(kByteOrderMark)) {
      at_ = kByteOrderMark.size();
    }
  }

  /// Line of the first one.
  std::optional<std::uint32_t> Find()
  {
    while (!found_ && at_ < text_.size()) {
      const char byte = text_[at_];
      if (byte == '#') {
        at_ = std::min(text_.find_first_of("\r\n", at_), text_.size());
      } else if (byte == '"' || byte == '\'') {
        SkipString(byte);
      } else {
        found_ = !IsAscii(byte);
        at_ += found_ ? 0 : 1;
      }
    }
    if (!found_) {
      return std::nullopt;
    }
    const std::string_view before = text_.substr(0, at_);
    return 1 + static_cast<std::uint32_t>(
                 std::count(before.begin(), before.end(), '\n'));
  }

private:
  // The library takes a value that it can't tell for a word and looks for the
  // white space that ends it, through quotes too. Only what ends a word makes
  // sure that a quote begins a string.
  bool SurelyBeginsString() const
  {
    const std::size_t before =
      at_ == 0 ? at_ : text_.find_last_not_of("[{", at_ - 1);
    return at_ == 0 || before == std::string_view::npos ||
           std::string_view(" \t\r\n,").find(text_[before]) !=
             std::string_view::npos;
  }

  void SkipString(char aQuote)
  {
    const bool sure = SurelyBeginsString();
    const std::string three(3, aQuote);
    const bool multiLine = text_.substr(at_).starts_with(three);
    at_ += multiLine ? 3 : 1;
    while (!found_ && at_ < text_.size()) {
      const char byte = text_[at_];
      if (multiLine && text_.substr(at_).starts_with(three)) {
        SkipClosingQuotes(aQuote);
        return;
      }
      if (!sure && !IsAscii(byte)) {
        found_ = true;
        return;
      }
      ++at_;
      if (!multiLine && (byte == aQuote || byte == '\n')) {
        return;
      }
      if (byte == '\\' && aQuote == '"') {
        SkipEscape(multiLine);
      }
    }
  }

  // Up to two quotes may stand before the three that end the string.
  void SkipClosingQuotes(char aQuote)
  {
    constexpr std::size_t kMost = 5;
    const std::size_t end =
      std::min(text_.find_first_not_of(aQuote, at_), text_.size());
    at_ = std::min(end, at_ + kMost);
  }

  void SkipEscape(bool aMultiLine)
  {
    const std::size_t begin = at_;
    if (aMultiLine) {
      at_ = std::min(text_.find_first_not_of(" \t\r\n", at_), text_.size());
    }
    if (at_ == text_.size()) {
      return;
    }
    found_ = !IsAscii(text_[at_]);
    at_ += at_ == begin && !found_ ? 1 : 0;
  }

  const std::string_view text_;
  std::size_t at_ = 0;
  bool found_ = false;
};

} // namespace

std::optional<toml::table>
ParseToml(std::string_view aText,
          const std::string& aFile,
          core::Findings& aFindings)
{
  if (const auto line = BareCharacterFinder(aText).Find()) {
    aFindings.push_back({ aFile,
                          *line,
                          "",
                          "not valid TOML: a character outside ASCII is only "
                          "allowed in comments and in quotes after a space" });
    return std::nullopt;
  }
  try {
    return toml::parse(aText);
  } catch (const toml::parse_error& error) {
    aFindings.push_back(
      { aFile,
        static_cast<std::uint32_t>(error.source().begin.line),
        "",
        "not valid TOML: " + std::string(error.description()) });
    return std::nullopt;
  }
}

} // namespace crocusslip::state
