#include "fuzz/Mutator.hpp"

#include <algorithm>
#include <array>
#include <cctype>

namespace crocusslip::fuzz {

namespace {

constexpr unsigned kMostChanges = 4;
constexpr std::size_t kLongestPart = 64;

/// Values at which decoders tend to overflow, and the marks of the formats.
constexpr std::array<std::string_view, 24> kTokens = {
  "0",
  "-1",
  "255",
  "65536",
  "4294967295",
  "-9223372036854775808",
  "18446744073709551615",
  "1e308",
  "-0.0",
  "nan",
  "[",
  "{",
  "}",
  "\"",
  "'",
  "\n",
  "\r\n",
  "data: ",
  "%",
  "\\u0000",
  "\xff\xff\xff\xff\x0f",
  "\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01",
  "\xc3\x28",
  "\xf0\x9f\x8d\x9e",
};

struct Part
{
  std::size_t begin_ = 0;
  std::size_t size_ = 0;
};

Part
PartOf(std::string_view aText, core::Random& aRandom)
{
  const std::size_t begin = aRandom.Below(aText.size() + 1);
  const std::size_t most = std::min(aText.size() - begin, kLongestPart);
  return { begin, static_cast<std::size_t>(aRandom.Below(most + 1)) };
}

void
ReplaceNumber(std::string& aText, core::Random& aRandom)
{
  const auto digit = [](char aByte) {
    return std::isdigit(static_cast<unsigned char>(aByte)) != 0;
  };
  const auto from =
    static_cast<std::ptrdiff_t>(aRandom.Below(aText.size() + 1));
  const auto begin = std::find_if(aText.begin() + from, aText.end(), digit);
  const auto end = std::find_if_not(begin, aText.end(), digit);
  aText.replace(begin, end, kTokens.at(aRandom.Below(10)));
}

void
ChangeOnce(std::string& aText,
           std::span<const std::string> aOthers,
           core::Random& aRandom)
{
  const Part part = PartOf(aText, aRandom);
  const std::size_t to = aRandom.Below(aText.size() + 1);
  switch (aRandom.Below(8)) {
    case 0:
      if (!aText.empty()) {
        char& byte = aText[aRandom.Below(aText.size())];
        byte = static_cast<char>(byte ^ (1U << aRandom.Below(8)));
      }
      return;
    case 1:
      if (!aText.empty()) {
        aText[aRandom.Below(aText.size())] =
          static_cast<char>(aRandom.Below(256));
      }
      return;
    case 2:
      aText.erase(part.begin_, part.size_);
      return;
    case 3:
      aText.insert(to, aText.substr(part.begin_, part.size_));
      return;
    case 4:
      aText.insert(to, kTokens.at(aRandom.Below(kTokens.size())));
      return;
    case 5:
      ReplaceNumber(aText, aRandom);
      return;
    case 6:
      aText.resize(to);
      return;
    default:
      if (!aOthers.empty()) {
        const std::string& other = aOthers[aRandom.Below(aOthers.size())];
        const Part taken = PartOf(other, aRandom);
        aText.insert(to, other.substr(taken.begin_, taken.size_));
      }
      return;
  }
}

} // namespace

std::string
Mutate(std::string_view aInput,
       std::span<const std::string> aOthers,
       core::Random& aRandom)
{
  std::string text(aInput);
  const std::uint64_t changes = aRandom.Below(kMostChanges) + 1;
  for (std::uint64_t i = 0; i < changes; ++i) {
    ChangeOnce(text, aOthers, aRandom);
  }
  text.resize(std::min(text.size(), kMaxInput));
  return text;
}

} // namespace crocusslip::fuzz
