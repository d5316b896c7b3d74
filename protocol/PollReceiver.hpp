#pragma once

#include "core/Clock.hpp"
#include "crocusslip_types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace crocusslip::protocol {

/// Demand of a host on one deployment, with the arrivals that no earlier
/// report to this member has counted.
struct TakenDemand
{
  std::string deployment_;
  std::int32_t waiting_ = 0;
  std::int32_t inFlight_ = 0;
  std::int64_t earliestDeadlineMs_ = 0;
  std::int64_t arrivals_ = 0;
};

struct TakenPoll
{
  std::vector<TakenDemand> demands_;
  /// Signs that no earlier poll to this member has named.
  std::vector<wire::ServerSign> signs_;
  /// The host holds nothing yet; the reply's view is complete.
  bool complete_ = false;
};

/// The leader's side of the polls of one entry host: the state that the host's
/// differences refer to. Reports that arrive twice, late or by way of several
/// members count once.
class PollReceiver
{
public:
  /// A host silent for longer sends everything again, since its reports have
  /// expired. Shorter than coordination::kDemandReportLifetime.
  static constexpr std::chrono::milliseconds kSilence{ 1500 };

  /// Nothing when the poll's base is not known here: the host has to send a
  /// complete poll.
  std::optional<TakenPoll> Take(const wire::PollRequest& aRequest,
                                core::MonotonicTime aNow);
  std::vector<TakenDemand> TakeUrgent(const std::vector<wire::Demand>& aDemands,
                                      std::int64_t aInstance,
                                      std::int64_t aNumber);
  /// A reply to this poll leaves; false when a later poll has been taken.
  bool OnAnswered(std::int64_t aNumber);

  struct Followed
  {
    std::int64_t arrivals_ = 0;
    /// Number of the report that told the present state.
    std::int64_t number_ = 0;
  };
  const std::unordered_map<std::string, Followed>& All() const
  {
    return followed_;
  }
  /// Grows when a deployment is followed or no longer followed.
  std::uint64_t Version() const { return version_; }

private:
  using Demands = std::vector<TakenDemand>;

  void FollowInstance(std::int64_t aInstance, Demands& aTaken);
  void TakeDemand(const wire::Demand& aDemand,
                  std::int64_t aNumber,
                  Demands& aTaken);
  void Drop(const std::string& aDeployment,
            std::int64_t aNumber,
            Demands& aTaken);
  void KeepOnly(const wire::PollRequest& aRequest, Demands& aTaken);

  std::int64_t instance_ = 0;
  std::int64_t taken_ = 0;
  /// The poll whose reply the host has when it names it as its base.
  std::int64_t answered_ = 0;
  core::MonotonicTime takenAt_;
  std::unordered_map<std::string, Followed> followed_;
  std::uint64_t version_ = 0;
};

} // namespace crocusslip::protocol
