#include "protocol/ViewSender.hpp"

#include "core/Hash.hpp"

#include <algorithm>
#include <cstdlib>
#include <unordered_set>

namespace crocusslip::protocol {

namespace {

std::uint64_t
HashOf(const std::string& aText)
{
  return core::Hash64(aText, 1);
}

std::uint64_t
QuarantineHash(const std::vector<wire::QuarantineView>& aQuarantine)
{
  std::string text;
  for (const wire::QuarantineView& view : aQuarantine) {
    text += view.fingerprint + ' ' + std::to_string(view.crashes) + '\n';
  }
  return text.empty() ? 0 : HashOf(text);
}

bool
Differs(std::int32_t aLoad, std::int32_t aNamed)
{
  const std::int32_t step =
    std::max(ViewSender::kLoadStep, aNamed / ViewSender::kLoadStepParts);
  return std::abs(aLoad - aNamed) > step;
}

} // namespace

ViewSender::Change
ViewSender::Fill(wire::PollReply& aReply,
                 const HostView& aView,
                 bool aComplete,
                 core::MonotonicTime aNow) const
{
  Change change;
  change.complete_ = aComplete;
  aReply.viewComplete = aComplete;
  FillReplicas(aReply, aView, change);
  FillServers(aReply, aView, aNow, change);
  change.quarantine_ = QuarantineHash(aView.quarantine_);
  aReply.quarantineChanged = aComplete || change.quarantine_ != quarantine_;
  if (aReply.quarantineChanged) {
    aReply.quarantine = aView.quarantine_;
  }
  aReply.drainHost = aView.drainHost_;
  change.drainHost_ = aView.drainHost_;
  change.news_ =
    change.news_ || aReply.quarantineChanged || aView.drainHost_ != drainHost_;
  return change;
}

void
ViewSender::FillReplicas(wire::PollReply& aReply,
                         const HostView& aView,
                         Change& aChange) const
{
  std::unordered_set<std::string> held;
  const auto& all = aView.replicas_;
  for (auto begin = all.begin(); begin != all.end();) {
    const std::string& deployment = begin->deployment;
    std::string text;
    auto end = begin;
    for (; end != all.end() && end->deployment == deployment; ++end) {
      text += end->server + ' ' + std::to_string(end->phase) + '\n';
    }
    held.insert(deployment);
    const std::uint64_t hash = HashOf(text);
    const auto known = replicas_.find(deployment);
    if (aChange.complete_ || known == replicas_.end() ||
        known->second != hash) {
      aReply.replicas.insert(aReply.replicas.end(), begin, end);
      aChange.replicas_.emplace_back(deployment, hash);
    }
    begin = end;
  }
  for (const auto& [deployment, hash] : replicas_) {
    if (!aChange.complete_ && !held.contains(deployment)) {
      aReply.withoutReplicas.push_back(deployment);
    }
  }
  aChange.without_ = aReply.withoutReplicas;
  aChange.news_ = aChange.complete_ || !aReply.replicas.empty() ||
                  !aReply.withoutReplicas.empty();
}

void
ViewSender::NameLoad(wire::ServerView& aView,
                     Server& aServer,
                     const ServerFigures& aFigures,
                     core::MonotonicTime aNow)
{
  const std::int32_t load = aFigures.running_ + aFigures.queued_;
  // The measurement that the host has tells it nothing new.
  const bool newer =
    aFigures.reported_ &&
    (!aServer.named_ || aFigures.reportedAt_ > aServer.reportedAt_);
  const bool due = !aServer.named_ || Differs(load, aServer.load_) ||
                   aNow - aServer.namedAt_ >= core::Duration(kLoadRenewal);
  if (!newer || !due) {
    return;
  }
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
    aNow - aFigures.reportedAt_);
  aView.__set_running(aFigures.running_);
  aView.__set_queued(aFigures.queued_);
  aView.__set_reportAgeMs(age.count());
  aServer = { aServer.state_, load, true, aNow, aFigures.reportedAt_ };
}

void
ViewSender::FillServers(wire::PollReply& aReply,
                        const HostView& aView,
                        core::MonotonicTime aNow,
                        Change& aChange) const
{
  std::unordered_set<std::string> inView;
  for (const ServerFigures& figures : aView.servers_) {
    inView.insert(figures.server_);
    Server server;
    const auto known = servers_.find(figures.server_);
    if (!aChange.complete_ && known != servers_.end()) {
      server = known->second;
    }
    wire::ServerView view;
    view.server = figures.server_;
    if (figures.state_ != server.state_) {
      view.__set_state(figures.state_);
      server.state_ = figures.state_;
      aChange.news_ = true;
    }
    NameLoad(view, server, figures, aNow);
    if (view.__isset.state || view.__isset.reportAgeMs) {
      aReply.servers.push_back(std::move(view));
      aChange.servers_.emplace_back(figures.server_, server);
    }
  }
  for (const auto& [id, server] : servers_) {
    if (inView.contains(id)) {
      continue;
    }
    aChange.outOfView_.push_back(id);
    // A server that is out of view is live, as far as the host knows.
    if (server.state_ != 0 && !aChange.complete_) {
      wire::ServerView view;
      view.server = id;
      view.__set_state(0);
      aReply.servers.push_back(std::move(view));
      aChange.news_ = true;
    }
  }
}

void
ViewSender::Keep(const Change& aChange)
{
  if (aChange.complete_) {
    replicas_.clear();
    servers_.clear();
  }
  for (const std::string& deployment : aChange.without_) {
    replicas_.erase(deployment);
  }
  for (const auto& [deployment, hash] : aChange.replicas_) {
    replicas_[deployment] = hash;
  }
  for (const auto& [id, server] : aChange.servers_) {
    servers_[id] = server;
  }
  for (const std::string& id : aChange.outOfView_) {
    servers_.erase(id);
  }
  quarantine_ = aChange.quarantine_;
  drainHost_ = aChange.drainHost_;
}

} // namespace crocusslip::protocol
