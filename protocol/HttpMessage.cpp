#include "protocol/HttpMessage.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace crocusslip::protocol {

bool
EqualsIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    aRight.end(),
                    [](unsigned char aA, unsigned char aB) {
                      return std::tolower(aA) == std::tolower(aB);
                    });
}

std::string
PercentDecode(std::string_view aText)
{
  std::string decoded;
  decoded.reserve(aText.size());
  for (std::size_t i = 0; i < aText.size(); ++i) {
    unsigned value = 0;
    if (aText[i] == '%' && i + 2 < aText.size()) {
      const char* first = aText.data() + i + 1;
      const auto parsed = std::from_chars(first, first + 2, value, 16);
      if (parsed.ptr == first + 2) {
        decoded += static_cast<char>(value);
        i += 2;
        continue;
      }
    }
    decoded += aText[i] == '+' ? ' ' : aText[i];
  }
  return decoded;
}

void
HttpHeaders::Set(std::string_view aName, std::string_view aValue)
{
  for (HttpHeader& header : headers_) {
    if (EqualsIgnoringCase(header.name_, aName)) {
      header.value_ = aValue;
      return;
    }
  }
  headers_.push_back({ std::string(aName), std::string(aValue) });
}

void
HttpHeaders::Remove(std::string_view aName)
{
  std::erase_if(headers_, [aName](const HttpHeader& aHeader) {
    return EqualsIgnoringCase(aHeader.name_, aName);
  });
}

std::optional<std::string>
HttpHeaders::Find(std::string_view aName) const
{
  for (const HttpHeader& header : headers_) {
    if (EqualsIgnoringCase(header.name_, aName)) {
      return header.value_;
    }
  }
  return std::nullopt;
}

std::optional<std::string>
HttpRequest::Parameter(std::string_view aName) const
{
  std::string_view rest = query_;
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find('&'), rest.size());
    const std::string_view pair = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    const std::size_t equals = std::min(pair.find('='), pair.size());
    if (PercentDecode(pair.substr(0, equals)) == aName) {
      return PercentDecode(pair.substr(std::min(equals + 1, pair.size())));
    }
  }
  return std::nullopt;
}

HttpResponse
HttpResponse::Json(std::uint16_t aStatus, std::string aBody)
{
  HttpResponse response;
  response.status_ = aStatus;
  response.headers_.Set("Content-Type", "application/json");
  response.body_ = std::move(aBody);
  return response;
}

HttpResponse
HttpResponse::Text(std::uint16_t aStatus, std::string aBody)
{
  HttpResponse response;
  response.status_ = aStatus;
  response.headers_.Set("Content-Type", "text/plain; version=0.0.4");
  response.body_ = std::move(aBody);
  return response;
}

} // namespace crocusslip::protocol
