#pragma once

#include "core/Error.hpp"
#include "core/Ids.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

/// The platform's list of hosts.
namespace crocusslip::protocol {

enum class HostState : std::uint8_t
{
  Live,
  Leaving,
  Gone,
};

struct ListedHost
{
  core::HostId host_;
  HostState state_ = HostState::Live;
};

/// {"hosts":[{"host":"h1","state":"live"|"leaving"|"gone"}]}
core::Result<std::vector<ListedHost>>
ReadHostList(std::string_view aBody);

} // namespace crocusslip::protocol
