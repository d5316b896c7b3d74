#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crocusslip::protocol {

struct HttpHeader
{
  std::string name_;
  std::string value_;
};

/// Header fields in order; names compare without case.
class HttpHeaders
{
public:
  void Set(std::string_view aName, std::string_view aValue);
  void Remove(std::string_view aName);
  std::optional<std::string> Find(std::string_view aName) const;
  const std::vector<HttpHeader>& All() const { return headers_; }

private:
  std::vector<HttpHeader> headers_;
};

struct HttpRequest
{
  std::string method_;
  std::string path_;
  std::string query_;
  HttpHeaders headers_;
  std::string body_;
  std::string remoteAddress_;

  /// Value of a query parameter, percent-decoded.
  std::optional<std::string> Parameter(std::string_view aName) const;
};

struct HttpResponse
{
  std::uint16_t status_ = 200;
  HttpHeaders headers_;
  std::string body_;

  static HttpResponse Json(std::uint16_t aStatus, std::string aBody);
  static HttpResponse Text(std::uint16_t aStatus, std::string aBody);
};

bool
EqualsIgnoringCase(std::string_view aLeft, std::string_view aRight);

std::string
PercentDecode(std::string_view aText);

} // namespace crocusslip::protocol
