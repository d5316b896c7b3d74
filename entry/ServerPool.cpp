#include "entry/ServerPool.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace crocusslip::entry {

namespace {

using Steady = std::chrono::steady_clock;

/// Maximum idle time of a connection whose server announced no idle timeout.
/// Otherwise the limit is half of the announced timeout, at most twice this
/// value.
constexpr std::chrono::milliseconds kDefaultMaxIdleTime{ 4000 };

bool
LikelyOpen(const transport::ServerLink& aLink)
{
  const auto limit = aLink.serverIdle_.count() > 0
                       ? std::min<std::chrono::milliseconds>(
                           aLink.serverIdle_ / 2, kDefaultMaxIdleTime * 2)
                       : kDefaultMaxIdleTime;
  return Steady::now() - aLink.idleSince_ < limit;
}

} // namespace

std::unique_ptr<transport::ServerLink>
ServerPool::Take(const core::ServerId& aServer)
{
  const auto found = idle_.find(aServer);
  if (found == idle_.end()) {
    return nullptr;
  }
  auto& links = found->second;
  while (!links.empty()) {
    auto link = std::move(links.back());
    links.pop_back();
    if (LikelyOpen(*link) && link->Quiet()) {
      return link;
    }
  }
  return nullptr;
}

void
ServerPool::Put(const core::ServerId& aServer,
                std::unique_ptr<transport::ServerLink> aLink,
                std::size_t aMaxIdle)
{
  aLink->idleSince_ = Steady::now();
  auto& links = idle_[aServer];
  links.push_back(std::move(aLink));
  while (links.size() > aMaxIdle) {
    links.pop_front();
  }
}

void
ServerPool::Drop(const core::ServerId& aServer)
{
  idle_.erase(aServer);
}

void
ServerPool::CloseExpired()
{
  for (auto& [server, links] : idle_) {
    while (!links.empty() && !LikelyOpen(*links.front())) {
      links.pop_front();
    }
  }
  std::erase_if(idle_,
                [](const auto& aEntry) { return aEntry.second.empty(); });
}

} // namespace crocusslip::entry
