#pragma once

#include "core/Clock.hpp"
#include "crocusslip_types.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace crocusslip::protocol {

/// State and load of a backend server that a host has in view.
struct ServerFigures
{
  std::string server_;
  std::int8_t state_ = 0;
  std::int32_t running_ = 0;
  std::int32_t queued_ = 0;
  /// Whether the load is known, and since when.
  bool reported_ = false;
  core::MonotonicTime reportedAt_;
};

/// What an entry host should know, as the leader knows it now.
struct HostView
{
  /// Of the followed deployments; replicas of one follow one another.
  std::vector<wire::ReplicaView> replicas_;
  std::vector<wire::QuarantineView> quarantine_;
  bool drainHost_ = false;
  /// Servers that are not live or hold one of the replicas.
  std::vector<ServerFigures> servers_;
};

/// The leader's side of the view of one entry host: fills replies with what
/// differs from the last reply that the host has.
class ViewSender
{
public:
  /// A load is named again when running and queued requests together differ
  /// from the load named before by more than this many and more than a quarter
  /// of it, or when the load named before is older than the renewal.
  static constexpr std::int32_t kLoadStep = 2;
  static constexpr std::int32_t kLoadStepParts = 4;
  static constexpr std::chrono::seconds kLoadRenewal{ 30 };

  /// The changes that a reply tells, to be kept once the reply leaves.
  struct Change
  {
    /// More than load reports: a held poll is answered at once.
    bool news_ = false;
    bool complete_ = false;

  private:
    friend class ViewSender;
    struct Server
    {
      std::int8_t state_ = 0;
      std::int32_t load_ = 0;
      bool named_ = false;
      core::MonotonicTime namedAt_;
      core::MonotonicTime reportedAt_;
    };
    std::vector<std::pair<std::string, std::uint64_t>> replicas_;
    std::vector<std::string> without_;
    std::vector<std::pair<std::string, Server>> servers_;
    std::vector<std::string> outOfView_;
    std::uint64_t quarantine_ = 0;
    bool drainHost_ = false;
  };

  /// Fills the view of a reply. aComplete: the host holds nothing.
  Change Fill(wire::PollReply& aReply,
              const HostView& aView,
              bool aComplete,
              core::MonotonicTime aNow) const;
  void Keep(const Change& aChange);
  /// The host holds nothing of this deployment any more.
  void Forget(const std::string& aDeployment) { replicas_.erase(aDeployment); }

private:
  using Server = Change::Server;

  void FillReplicas(wire::PollReply& aReply,
                    const HostView& aView,
                    Change& aChange) const;
  static void NameLoad(wire::ServerView& aView,
                       Server& aServer,
                       const ServerFigures& aFigures,
                       core::MonotonicTime aNow);
  void FillServers(wire::PollReply& aReply,
                   const HostView& aView,
                   core::MonotonicTime aNow,
                   Change& aChange) const;

  /// Deployments with replicas, and a hash of the replicas.
  std::unordered_map<std::string, std::uint64_t> replicas_;
  std::unordered_map<std::string, Server> servers_;
  std::uint64_t quarantine_ = 0;
  bool drainHost_ = false;
};

} // namespace crocusslip::protocol
