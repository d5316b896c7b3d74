#include "state/ListenAddress.hpp"

#include <charconv>

#include <boost/asio/ip/address.hpp>

namespace crocusslip::state {

using boost::asio::ip::make_address;

bool
ListenAddress::IsLoopback() const
{
  if (host_ == "localhost") {
    return true;
  }
  boost::system::error_code error;
  const auto address = make_address(host_, error);
  return !error && address.is_loopback();
}

std::string
ListenAddress::Text() const
{
  const bool bracketed = host_.find(':') != std::string::npos;
  return (bracketed ? "[" + host_ + "]" : host_) + ":" + std::to_string(port_);
}

std::optional<ListenAddress>
ParseAddress(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view host = aText.substr(0, colon);
  const std::string_view digits = aText.substr(colon + 1);
  const bool bracketed = host.starts_with('[') && host.ends_with(']');
  if (bracketed) {
    host = host.substr(1, host.size() - 2);
  } else if (host.find(':') != std::string_view::npos) {
    return std::nullopt;
  }
  ListenAddress address{ std::string(host), 0 };
  const char* const end = digits.data() + digits.size();
  const auto [last, portError] =
    std::from_chars(digits.data(), end, address.port_);
  if (digits.empty() || portError != std::errc() || last != end) {
    return std::nullopt;
  }
  boost::system::error_code error;
  make_address(address.host_, error);
  if (error && address.host_ != "localhost") {
    return std::nullopt;
  }
  return address;
}

} // namespace crocusslip::state
