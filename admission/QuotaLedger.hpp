#pragma once

#include "admission/QuotaBound.hpp"
#include "admission/QuotaReport.hpp"
#include "admission/QuotaWindow.hpp"
#include "admission/Tenants.hpp"
#include "core/Ids.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace crocusslip::admission {

/// The leader's accounts of the tenants' quotas: what all hosts passed on in
/// the last window and what they still may. Hosts get credit without asking
/// while a sudden rise of the tenant's rate would stay within the bound until
/// the hosts have reported it; near the limit credit is given on request.
class QuotaLedger
{
public:
  explicit QuotaLedger(const QuotaBound& aBound);

  /// Tenants without a limit are left out. A lowered limit scales down what was
  /// spent before, so that requests within it are served at once.
  void SetLimits(const std::map<TenantName, Quota>& aLimits);
  /// Nothing was spent before, so that grants can begin at once.
  void StartEmpty() { rebuilt_ = true; }

  /// aComplete: the report holds all that the host knows. aKnownHosts: number
  /// of hosts, as the host has heard of; 0: not known.
  void OnReport(const core::HostId& aHost,
                std::int64_t aInstance,
                bool aComplete,
                std::uint32_t aKnownHosts,
                const std::map<TenantName, QuotaUse>& aUses,
                core::MonotonicTime aNow);
  /// What the host may do until its next report; nothing while this leader does
  /// not know yet what was spent before it.
  std::map<TenantName, QuotaGrant> Grant(const core::HostId& aHost,
                                         core::MonotonicTime aNow);

private:
  /// One host's part of an account.
  struct Part
  {
    double wanted_ = 0;
    /// Granted to requests that waited.
    double pending_ = 0;
    /// Granted in advance.
    double idle_ = 0;
    double reserved_ = 0;
    double fallbackPerSecond_ = 0;
    double fallbackCredit_ = 0;
    /// What a silent host may pass on beside the fallback rate, and one that
    /// was silent until it has its answer.
    double late_ = 0;
    /// Counted as spent without a report, beside the fallback rate: of credit,
    /// and of the fallback credit when it ended.
    double assumedAtOnce_ = 0;
    double assumedLate_ = 0;
    /// Units a second that it asks for, smoothed.
    double rate_ = 0;
  };

  struct Host
  {
    std::int64_t instance_ = 0;
    core::MonotonicTime reportedAt_;
    /// Time up to which its fallback rate is counted, while it is silent.
    std::optional<core::MonotonicTime> assumedTo_;
    std::map<TenantName, Part> parts_;
  };

  struct Account
  {
    Quota quota_;
    QuotaWindow window_;
    double meanCost_ = 0;
    /// Sums over all hosts.
    double pending_ = 0;
    double idle_ = 0;
    double reserved_ = 0;
    double rate_ = 0;
  };

  struct ReportKind
  {
    /// Of a host that has reported to this leader before.
    bool known_ = false;
    /// Of one that was silent.
    bool returned_ = false;
    /// Since the report before.
    core::Duration elapsed_{ 0 };
  };

  /// Units a second over the last window.
  double UsualRate(const Account& aAccount) const;
  /// Units that all hosts may spend in a window.
  double BoundOf(const Quota& aQuota) const;
  /// Units of admitted requests that count beside the window.
  double ReservedOf(const Account& aAccount) const;
  /// What a jump of the rate can spend before all hosts have reported.
  double JumpOf(const Account& aAccount) const;
  /// Most that hosts can spend of credit given in advance before they report.
  double ExposureOf(const Account& aAccount, double aIdle) const;
  /// What a host that is gone has probably spent of its credit.
  double LikelySpent(const Account& aAccount, const Part& aPart) const;
  static void Remove(Account& aAccount, const Part& aPart);
  void CloseInstance(Host& aHost, core::MonotonicTime aNow);
  /// Counts what hosts without a report may have passed on.
  void AssumeSilent(core::MonotonicTime aNow);
  void AssumePart(Account& aAccount,
                  Part& aPart,
                  const Host& aHost,
                  core::MonotonicTime aNow) const;
  /// A silent host reports what it passed on.
  void WithdrawAssumed(Host& aHost, core::MonotonicTime aNow);
  static void SpendReported(Account& aAccount,
                            const QuotaUse& aUse,
                            const ReportKind& aKind,
                            core::MonotonicTime aNow);
  static void TakeUse(Account& aAccount,
                      Part& aPart,
                      const QuotaUse& aUse,
                      const ReportKind& aKind,
                      core::MonotonicTime aNow);
  /// Whether this leader knows what was spent before it.
  bool Rebuilt(core::MonotonicTime aNow);
  QuotaGrant GrantPart(Account& aAccount, Part& aPart) const;
  void SetFallback(const Account& aAccount, QuotaGrant& aGrant) const;
  /// Time after which the window has room for a request.
  core::Duration RoomAfter(const Account& aAccount) const;

  QuotaBound bound_;
  std::map<TenantName, Account> accounts_;
  std::map<core::HostId, Host> hosts_;
  std::optional<core::MonotonicTime> firstReportAt_;
  /// Highest number of hosts that one has heard of.
  std::uint32_t knownHosts_ = 0;
  bool rebuilt_ = false;
  core::MonotonicTime assumedAt_;
};

} // namespace crocusslip::admission
