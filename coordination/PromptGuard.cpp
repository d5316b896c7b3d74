#include "coordination/PromptGuard.hpp"

#include <algorithm>

namespace crocusslip::coordination {

std::vector<PromptPart>
SharedPartsOf(std::string_view aPrompt)
{
  std::vector<PromptPart> parts;
  while (true) {
    const auto comma = aPrompt.find(',');
    if (comma == std::string_view::npos) {
      return parts;
    }
    const std::string_view part = aPrompt.substr(0, comma);
    parts.push_back(core::Hash64(part.substr(0, part.find(':'))));
    aPrompt.remove_prefix(comma + 1);
  }
}

PromptGuard::PromptGuard(PromptGuardSettings aSettings)
  : settings_(aSettings)
{
}

void
PromptGuard::OnCrash(const PromptCrash& aCrash)
{
  for (const PromptPart part : aCrash.parts_) {
    if (const auto held = held_.find(part); held != held_.end()) {
      held->second = std::max(held->second, aCrash.at_);
      continue;
    }
    if (!suspects_.contains(part) && suspects_.size() >= settings_.maxParts_) {
      DropOldestSuspect();
    }
    Suspect& suspect = suspects_[part];
    suspect.requests_.insert(aCrash.request_);
    if (suspect.crashes_ > 0 &&
        aCrash.at_ - suspect.lastCrash_ < settings_.crashInterval_) {
      continue;
    }
    suspect.lastCrash_ = aCrash.at_;
    if (++suspect.crashes_ == settings_.minCrashes_) {
      suspect.limitReachedAt_ = aCrash.at_;
      suspect.startsBefore_ = starts_;
    }
  }
}

void
PromptGuard::OnStarted(std::span<const PromptPart> aParts,
                       std::uint32_t aRequests)
{
  starts_ += aRequests;
  for (const PromptPart part : aParts) {
    suspects_.erase(part);
    held_.erase(part);
  }
}

void
PromptGuard::Adopt(std::span<const PromptPart> aParts, core::MonotonicTime aNow)
{
  for (const PromptPart part : aParts) {
    if (held_.size() < settings_.maxParts_) {
      held_.try_emplace(part, aNow);
    }
    suspects_.erase(part);
  }
}

bool
PromptGuard::IsCause(const Suspect& aSuspect, core::MonotonicTime aNow) const
{
  return aSuspect.crashes_ >= settings_.minCrashes_ &&
         aSuspect.requests_.size() >= settings_.minRequests_ &&
         aNow - aSuspect.limitReachedAt_ >= settings_.settleTime_ &&
         starts_ - aSuspect.startsBefore_ >= settings_.minOtherStarts_;
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
