#pragma once

#include "core/Clock.hpp"
#include "core/Hash.hpp"
#include "core/Ids.hpp"

#include <cstdint>
#include <set>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace crocusslip::coordination {

/// Hash of the name of a part of a prompt that requests share.
using PromptPart = std::uint64_t;

/// Parses "ID:TOKENS,ID:TOKENS,..." into the parts of a prompt. The last part
/// belongs to the request alone and is left out.
std::vector<PromptPart>
SharedPartsOf(std::string_view aPrompt);

struct PromptGuardSettings
{
  /// Server crashes, apart from each other by crashInterval_, and different
  /// requests lost in them, after which a part is held back.
  std::uint32_t minCrashes_ = 3;
  std::uint32_t minRequests_ = 2;
  std::uint32_t minServers_ = 2;
  /// Crashes closer together may have a common cause other than a request.
  core::Duration crashInterval_ = std::chrono::milliseconds(100);
  /// Greatest accepted chance that a sound part looks the same, see IsCause.
  double maxChance_ = 5e-4;
  /// Time that must have passed since minCrashes_ was reached. Longer than the
  /// time between two reports of a host.
  core::Duration settleTime_ = std::chrono::seconds(1);
  /// Crashes longer ago than this don't count.
  core::Duration evidenceLifetime_ = std::chrono::minutes(1);
  /// A part is held back for this time after its last crash.
  core::Duration holdTime_ = std::chrono::minutes(10);
  std::size_t maxParts_ = 4096;
};

/// A server that broke off a request before its answer began.
struct PromptCrash
{
  core::Digest request_;
  core::ServerId server_;
  std::vector<PromptPart> parts_;
  core::MonotonicTime at_;
};

/// Finds parts of prompts that crash each server that begins to answer a
/// request with them, and holds back all requests with such a part.
///
/// The requests that a crashing server breaks off before their answers begin
/// include the cause, but most are bystanders, and parts are shared between
/// them. A part that is the cause never begins to be answered anywhere, while a
/// sound part soon does at another server, which discards what was counted
/// against it. A part is therefore held back after several crashes at different
/// times, with different requests, once enough other requests have begun since
/// and none with this part.
class PromptGuard
{
public:
  explicit PromptGuard(PromptGuardSettings aSettings);

  /// A crash may be reported late and more than once.
  void OnCrash(const PromptCrash& aCrash, core::MonotonicTime aNow);
  /// Requests with these parts began to be answered. Also releases a part that
  /// is held back.
  void OnStarted(std::span<const PromptPart> aParts,
                 std::uint32_t aRequests,
                 core::MonotonicTime aNow);
  /// Holds back parts that an earlier leader held back, unless a request with
  /// them has begun since.
  void Adopt(std::span<const PromptPart> aParts, core::MonotonicTime aNow);
  /// Moves parts with enough evidence to those held back, and forgets what is
  /// too old. Returns the parts that are held back since this call.
  std::vector<PromptPart> Decide(core::MonotonicTime aNow);

  bool IsHeld(PromptPart aPart) const { return held_.contains(aPart); }
  /// In ascending order.
  std::vector<PromptPart> Held() const;
  std::size_t Suspects() const { return suspects_.size(); }

private:
  struct Suspect
  {
    /// Crashes that are crashInterval_ apart.
    std::vector<core::MonotonicTime> crashes_;
    core::MonotonicTime lastCrash_;
    /// When minCrashes_ was reached.
    core::MonotonicTime limitReachedAt_;
    /// starts_ at the first crash.
    std::uint64_t startsBefore_ = 0;
    /// At most minRequests_ and minServers_.
    std::set<core::Digest> requests_;
    std::set<core::ServerId> servers_;
  };

  /// A sound part that a share s of all requests have is in each of c crashes
  /// and in none of n starts with a chance of s^c (1-s)^n. The part is taken
  /// for the cause when this is small for each s, so also for the worst,
  /// c / (c + n).
  bool IsCause(const Suspect& aSuspect, core::MonotonicTime aNow) const;
  void DropOldestSuspect();
  void RecordStart(PromptPart aPart, core::MonotonicTime aNow);

  PromptGuardSettings settings_;
  std::unordered_map<PromptPart, Suspect> suspects_;
  /// Time of the last crash or adoption.
  std::unordered_map<PromptPart, core::MonotonicTime> held_;
  /// Requests that have begun to be answered.
  std::uint64_t starts_ = 0;
  /// When a request with the part was last reported to have begun.
  std::unordered_map<PromptPart, core::MonotonicTime> lastStarts_;
};

} // namespace crocusslip::coordination
