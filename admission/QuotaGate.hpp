#pragma once

#include "admission/QuotaReport.hpp"
#include "admission/Tenants.hpp"
#include "core/Random.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace crocusslip::admission {

/// Decides at one host which requests are within the quotas of their tenants,
/// out of credit that the leader grants. A request without credit waits for one
/// answer of the leader. Without contact the host passes on its part of the
/// tenant's usual rate, so that all hosts together stay within the quota.
class QuotaGate
{
public:
  using Id = std::uint64_t;

  enum class Verdict : std::uint8_t
  {
    Admitted,
    /// Decided by an answer of the leader (OnReply) or by Expire.
    Waiting,
    Refused,
  };

  /// aId names the request if it waits; aNow never decreases.
  Verdict Take(const TenantName& aTenant,
               const Quota& aQuota,
               Id aId,
               double aCost,
               core::MonotonicTime aNow,
               core::Random& aRandom);
  /// The request waits no longer. Returns whether it is admitted after all.
  bool Expire(const TenantName& aTenant, Id aId, core::MonotonicTime aNow);

  /// An admitted request is passed on to a server.
  void OnSent(const TenantName& aTenant,
              double aCost,
              core::MonotonicTime aNow);
  /// It did not run there, and may be passed on again.
  void OnNotRun(const TenantName& aTenant,
                double aCost,
                core::MonotonicTime aNow);
  /// An admitted request ends without having been passed on.
  void Release(const TenantName& aTenant, double aCost);
  /// A request that may have run is passed on again.
  void ChargeAgain(const TenantName& aTenant, double aCost);

  /// Whether the leader should be told before the next report is due.
  bool NeedsReport() const { return needsReport_; }
  /// Of tenants that there is something to report of.
  std::map<TenantName, QuotaUse> TakeReport(core::MonotonicTime aNow);
  /// Whether the report holds all that a leader must know of this host.
  bool ReportIsComplete() const { return !granted_; }
  /// The answer to the last report; aGrants is empty while the leader is not
  /// ready. Returns the requests that no longer wait, with their verdicts.
  std::vector<std::pair<Id, Verdict>> OnReply(
    const std::map<TenantName, QuotaGrant>& aGrants,
    core::MonotonicTime aNow);

  /// When a refused request can be served.
  core::Duration RetryAfter(const TenantName& aTenant,
                            core::MonotonicTime aNow) const;

private:
  /// Seconds of spending that are kept for a new leader.
  static constexpr std::size_t kRecentSeconds = 9;

  struct Waiting
  {
    Id id_ = 0;
    double cost_ = 0;
    /// Number of the first report that names it.
    std::uint64_t report_ = 0;
  };

  struct Account
  {
    QuotaUnit unit_ = QuotaUnit::Requests;
    double credit_ = 0;
    double reserved_ = 0;
    /// Taken out of the credit since the last report.
    double taken_ = 0;
    /// Not acknowledged by an answer, and how much of it the last report had.
    double spent_ = 0;
    double spentReported_ = 0;
    std::uint32_t requests_ = 0;
    std::uint32_t requestsReported_ = 0;
    std::uint32_t refused_ = 0;
    /// There is something new, or something that no answer has confirmed.
    bool dirty_ = false;
    bool unanswered_ = false;
    QuotaGrant grant_;
    /// Time of the report that the last grant answers; the lowest time before
    /// the first.
    core::MonotonicTime grantedAt_ = core::MonotonicTime::min();
    /// Units that may be passed on without contact, as of fallbackAt_.
    double fallback_ = 0;
    core::MonotonicTime fallbackAt_ = core::MonotonicTime::min();
    /// Mean cost of a request.
    double meanCost_ = 0;
    std::deque<Waiting> waiting_;
    /// Spent by the second of the monotonic clock.
    std::array<double, kRecentSeconds> recent_{};
    std::int64_t recentSecond_ = 0;
  };

  static bool HasContact(const Account& aAccount, core::MonotonicTime aNow);
  /// Returns the most that the level may hold; 0: nothing may be passed on.
  double RefillFallback(Account& aAccount, core::MonotonicTime aNow) const;
  bool TakeFallback(Account& aAccount,
                    double aCost,
                    core::MonotonicTime aNow) const;
  static void AddRecent(Account& aAccount,
                        double aUnits,
                        core::MonotonicTime aNow);
  void Admit(Account& aAccount, double aCost);

  std::map<TenantName, Account> accounts_;
  std::uint64_t reports_ = 0;
  core::MonotonicTime reportedAt_;
  /// Whether the last answer held grants.
  bool granted_ = false;
  bool needsReport_ = false;
  /// Part of a request that the host may pass on when it loses contact; differs
  /// between hosts, so that their parts of a low rate come one by one.
  double phase_ = 0;
  bool hasPhase_ = false;
};

} // namespace crocusslip::admission
