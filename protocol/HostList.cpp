#include "protocol/HostList.hpp"

#include <nlohmann/json.hpp>

namespace crocusslip::protocol {

core::Result<std::vector<ListedHost>>
ReadHostList(std::string_view aBody)
{
  using nlohmann::json;
  const core::Error invalid{ make_error_code(core::Errc::InvalidInput),
                             "host list" };
  const json document = json::parse(aBody, nullptr, false);
  if (!document.is_object() || !document.contains("hosts") ||
      !document["hosts"].is_array()) {
    return invalid;
  }
  std::vector<ListedHost> hosts;
  for (const json& item : document["hosts"]) {
    if (!item.is_object() || !item.contains("host") ||
        !item["host"].is_string() || !item.contains("state") ||
        !item["state"].is_string()) {
      return invalid;
    }
    const auto name = item["state"].get<std::string>();
    ListedHost host{ core::HostId(item["host"].get<std::string>()),
                     HostState::Live };
    if (name == "leaving") {
      host.state_ = HostState::Leaving;
    } else if (name == "gone") {
      host.state_ = HostState::Gone;
    } else if (name != "live") {
      return invalid;
    }
    hosts.push_back(std::move(host));
  }
  return hosts;
}

} // namespace crocusslip::protocol
