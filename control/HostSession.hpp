#pragma once

#include "core/Clock.hpp"
#include "core/Ids.hpp"
#include "protocol/PollReceiver.hpp"
#include "protocol/ViewSender.hpp"

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_set>

namespace crocusslip::control {

/// An entry host as its polls show it.
struct EntryHost
{
  core::HostId host_;
  core::FailureDomainId failureDomain_;
  core::MonotonicTime lastPoll_;
  core::Revision revision_;
  bool draining_ = false;
  std::size_t followed_ = 0;
};

/// What the view of a host was made from: equal marks give equal views, load
/// reports aside.
struct ViewMark
{
  core::LogIndex tables_;
  std::uint64_t followed_ = 0;
  std::uint64_t servers_ = 0;

  friend bool operator==(const ViewMark&, const ViewMark&) = default;
};

/// The leader's end of one entry host's polls.
struct HostSession
{
  /// Lock order 1b: taken before the tracker's and the state lock, never
  /// together with the service's or the controller's lock. Guards all below.
  std::mutex mutex_;
  EntryHost host_;
  protocol::PollReceiver receiver_;
  protocol::ViewSender sender_;
  /// Replicas and quarantine as read at readAt_, and the replicas' servers.
  protocol::HostView view_;
  std::unordered_set<std::string> holders_;
  std::optional<ViewMark> readAt_;
  /// Of the reply that left last.
  std::optional<ViewMark> sentAt_;
};

} // namespace crocusslip::control
