#include "coordination/PromptGuard.hpp"

#include <algorithm>
#include <cmath>

namespace crocusslip::coordination {

namespace {

/// Most parts of a prompt that are looked at.
constexpr std::size_t kMaxParts = 64;
/// Most crashes that are counted for a part.
constexpr std::size_t kMaxCrashes = 64;

} // namespace

std::vector<PromptPart>
SharedPartsOf(std::string_view aPrompt)
{
  std::vector<PromptPart> parts;
  while (parts.size() < kMaxParts) {
    const auto comma = aPrompt.find(',');
    if (comma == std::string_view::npos) {
      break;
    }
    const std::string_view part = aPrompt.substr(0, comma);
    parts.push_back(core::Hash64(part.substr(0, part.find(':'))));
    aPrompt.remove_prefix(comma + 1);
  }
  return parts;
}

PromptGuard::PromptGuard(PromptGuardSettings aSettings)
  : settings_(aSettings)
{
}

void
PromptGuard::OnCrash(const PromptCrash& aCrash, core::MonotonicTime aNow)
{
  for (const PromptPart part : aCrash.parts_) {
    if (const auto held = held_.find(part); held != held_.end()) {
      held->second = std::max(held->second, aCrash.at_);
      continue;
    }
    const auto start = lastStarts_.find(part);
    if (start != lastStarts_.end() && start->second >= aCrash.at_) {
      continue;
    }
    if (!suspects_.contains(part) && suspects_.size() >= settings_.maxParts_) {
      DropOldestSuspect();
    }
    Suspect& suspect = suspects_[part];
    suspect.lastCrash_ = std::max(suspect.lastCrash_, aCrash.at_);
    if (suspect.requests_.size() < settings_.minRequests_) {
      suspect.requests_.insert(aCrash.request_);
    }
    if (suspect.servers_.size() < settings_.minServers_) {
      suspect.servers_.insert(aCrash.server_);
    }
    const bool counted =
      std::ranges::any_of(suspect.crashes_, [&](core::MonotonicTime aAt) {
        return std::max(aAt, aCrash.at_) - std::min(aAt, aCrash.at_) <
               settings_.crashInterval_;
      });
    if (counted || suspect.crashes_.size() >= kMaxCrashes) {
      continue;
    }
    suspect.crashes_.push_back(aCrash.at_);
    if (suspect.crashes_.size() == 1) {
      suspect.startsBefore_ = starts_;
    }
    if (suspect.crashes_.size() == settings_.minCrashes_) {
      suspect.limitReachedAt_ = aNow;
    }
  }
}

void
PromptGuard::OnStarted(std::span<const PromptPart> aParts,
                       std::uint32_t aRequests,
                       core::MonotonicTime aNow)
{
  starts_ += aRequests;
  for (const PromptPart part : aParts) {
    suspects_.erase(part);
    held_.erase(part);
    RecordStart(part, aNow);
  }
}

void
PromptGuard::RecordStart(PromptPart aPart, core::MonotonicTime aNow)
{
  if (lastStarts_.size() >= settings_.maxParts_ &&
      !lastStarts_.contains(aPart)) {
    std::erase_if(lastStarts_, [&](const auto& aItem) {
      return aNow - aItem.second >= settings_.evidenceLifetime_;
    });
  }
  if (lastStarts_.size() < settings_.maxParts_ || lastStarts_.contains(aPart)) {
    lastStarts_[aPart] = aNow;
  }
}

void
PromptGuard::Adopt(std::span<const PromptPart> aParts, core::MonotonicTime aNow)
{
  for (const PromptPart part : aParts) {
    if (lastStarts_.contains(part)) {
      continue;
    }
    if (held_.size() < settings_.maxParts_) {
      held_.try_emplace(part, aNow);
    }
    suspects_.erase(part);
  }
}

bool
PromptGuard::IsCause(const Suspect& aSuspect, core::MonotonicTime aNow) const
{
  if (aSuspect.crashes_.size() < settings_.minCrashes_ ||
      aSuspect.requests_.size() < settings_.minRequests_ ||
      aSuspect.servers_.size() < settings_.minServers_ ||
      aNow - aSuspect.limitReachedAt_ < settings_.settleTime_) {
    return false;
  }
  const auto crashes = static_cast<double>(aSuspect.crashes_.size());
  const auto starts = static_cast<double>(starts_ - aSuspect.startsBefore_);
  const double share = crashes / (crashes + starts);
  return std::pow(share, crashes) * std::pow(1 - share, starts) <=
         settings_.maxChance_;
}

std::vector<PromptPart>
PromptGuard::Decide(core::MonotonicTime aNow)
{
  std::vector<PromptPart> added;
  for (const auto& [part, suspect] : suspects_) {
    if (IsCause(suspect, aNow) && held_.size() < settings_.maxParts_) {
      held_.emplace(part, suspect.lastCrash_);
      added.push_back(part);
    }
  }
  std::erase_if(suspects_, [&](const auto& aItem) {
    return held_.contains(aItem.first) ||
           aNow - aItem.second.lastCrash_ >= settings_.evidenceLifetime_;
  });
  std::erase_if(held_, [&](const auto& aItem) {
    return aNow - aItem.second >= settings_.holdTime_;
  });
  return added;
}

std::vector<PromptPart>
PromptGuard::Held() const
{
  std::vector<PromptPart> parts;
  parts.reserve(held_.size());
  for (const auto& [part, at] : held_) {
    parts.push_back(part);
  }
  std::ranges::sort(parts);
  return parts;
}

void
PromptGuard::DropOldestSuspect()
{
  const auto oldest = std::ranges::min_element(
    suspects_, {}, [](const auto& aItem) { return aItem.second.lastCrash_; });
  if (oldest != suspects_.end()) {
    suspects_.erase(oldest);
  }
}

} // namespace crocusslip::coordination
