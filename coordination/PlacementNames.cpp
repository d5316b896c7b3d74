#include "coordination/Placement.hpp"

#include <array>
#include <cstdio>

namespace crocusslip::coordination {

namespace {

constexpr std::array<std::string_view, 4> kActionNames = {
  "load",
  "evict",
  "unload",
  "wait",
};

constexpr std::array<std::string_view, 17> kReasonNames = {
  "first_replica",   "more_replicas",      "minimum_replicas",
  "warm_up",         "stage_checkpoint",   "base_of_adapter",
  "make_room",       "idle_deadline",      "above_maximum",
  "enough_replicas", "maximum_replicas",   "awaiting_load",
  "awaiting_unload", "awaiting_base",      "no_eligible_server",
  "no_memory",       "unknown_deployment",
};

constexpr std::array<std::string_view, kCheckpointTiers> kTierNames = {
  "memory",
  "disk",
  "remote",
};

std::string
Figure(std::string_view aName, double aValue)
{
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f", aValue);
  return " " + std::string(aName) + "=" + text.data();
}

std::string
Figure(std::string_view aName, std::uint64_t aValue)
{
  return " " + std::string(aName) + "=" + std::to_string(aValue);
}

std::string
CandidateText(const PlacementCandidate& aCandidate)
{
  return " [" + aCandidate.server_.Value() +
         " tier=" + std::string(Name(aCandidate.tier_)) +
         Figure("load_s", aCandidate.loadSeconds_) +
         Figure("regret_s", aCandidate.expectedReloadCost_) +
         Figure("displacement_s", aCandidate.displacementCost_) +
         Figure("spread_s", aCandidate.spreadCost_) +
         Figure("total_s", aCandidate.totalCost_) +
         Figure("free_bytes", aCandidate.free_.Count()) + "]";
}

} // namespace

std::string_view
Name(PlacementAction aAction)
{
  return kActionNames.at(static_cast<std::size_t>(aAction));
}

std::string_view
Name(PlacementReason aReason)
{
  return kReasonNames.at(static_cast<std::size_t>(aReason));
}

std::string_view
Name(CheckpointTier aTier)
{
  return kTierNames.at(static_cast<std::size_t>(aTier));
}

std::string
PlacementDecision::Explain() const
{
  std::string text = std::string(Name(action_)) + " " + deployment_.Value();
  if (!server_.Empty()) {
    text += " on " + server_.Value();
  }
  text += ": " + std::string(Name(reason_));
  if (!onBehalfOf_.Empty()) {
    text += " for " + onBehalfOf_.Value();
  }
  if (action_ == PlacementAction::Evict || action_ == PlacementAction::Unload) {
    return text + Figure("reload_s", figures_.reloadSeconds_) +
           Figure("use_probability", figures_.useProbability_) +
           Figure("idle_s", figures_.idleSeconds_) +
           Figure("bytes", memory_.Count());
  }
  text += Figure("waiting", std::uint64_t{ figures_.waiting_ }) +
          Figure("in_flight", std::uint64_t{ figures_.inFlight_ }) +
          Figure("replicas", std::uint64_t{ figures_.replicas_ }) +
          Figure("wanted", std::uint64_t{ figures_.wantedReplicas_ }) +
          Figure("maximum", std::uint64_t{ figures_.maxReplicas_ }) +
          Figure("needed_bytes", figures_.needed_.Count());
  for (const PlacementCandidate& candidate : figures_.candidates_) {
    text += CandidateText(candidate);
  }
  return text;
}

} // namespace crocusslip::coordination
