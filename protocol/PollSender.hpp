#pragma once

#include "crocusslip_types.h"

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace crocusslip::protocol {

/// An entry host's side of the polls: names only what differs from the last
/// poll that was answered. One poll is under way at a time; after a lost reply
/// the next poll is complete.
class PollSender
{
public:
  /// aInstance differs between the processes that one host runs in turn.
  explicit PollSender(std::int64_t aInstance);

  /// Adds to a poll what differs. aCurrent holds all followed deployments;
  /// their counted_ is the number of arrivals from which they count, and is
  /// replaced by the number that a leader has confirmed.
  void Fill(wire::PollRequest& aRequest,
            std::vector<wire::Demand> aCurrent,
            std::vector<wire::ServerSign> aSigns);
  /// Prepares demand that is sent beside the polls; returns its number.
  std::int64_t Urgent(std::vector<wire::Demand>& aDemands);
  /// Whether a leader has counted all these arrivals.
  bool Confirmed(const std::string& aDeployment, std::int64_t aArrivals) const;
  /// The host holds nothing of this deployment any more, also if it follows
  /// it anew before the next poll.
  void Forget(const std::string& aDeployment);
  /// False when the reply holds no view, since the leader lacks the base.
  bool OnReply(const wire::PollReply& aReply);
  /// No leader answered the last poll.
  void OnLost();

  std::int64_t Instance() const { return instance_; }

private:
  /// A deployment as the last poll left it at the leader.
  struct Sent
  {
    std::int32_t waiting_ = 0;
    std::int32_t inFlight_ = 0;
    std::int64_t arrivals_ = 0;
    std::int64_t confirmed_ = 0;
    /// Poll that last found the deployment followed.
    std::int64_t seen_ = 0;
    /// An urgent demand has changed it at the leader since.
    bool stale_ = false;
  };

  bool Take(wire::Demand& aDemand, bool aComplete);
  void AddUnfollowed(wire::PollRequest& aRequest, bool aComplete);
  void AddSigns(wire::PollRequest& aRequest,
                std::vector<wire::ServerSign> aSigns);

  const std::int64_t instance_;
  std::int64_t number_ = 0;
  std::int64_t poll_ = 0;
  std::int64_t base_ = 0;
  std::unordered_map<std::string, Sent> sent_;
  std::set<std::string> forgotten_;
  /// Deployments named by the poll under way.
  std::vector<std::string> named_;
  std::vector<wire::ServerSign> unconfirmedSigns_;
};

} // namespace crocusslip::protocol
