#include "tests/support/ClaimModel.hpp"

#include "state/ClaimTable.hpp"
#include "state/CommandCodec.hpp"
#include "tests/support/StateReplica.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace crocusslip::tests {

using namespace state;
using namespace std::chrono_literals;

namespace {

// A new key follows after this many claims.
constexpr std::size_t kClaimsOfKey = 30;
constexpr std::uint64_t kKeysInUse = 3;
constexpr std::size_t kRecentClaims = 12;
constexpr AgreedDuration kRetention = 4s;

StateLimits
Limits()
{
  StateLimits limits;
  limits.claims_.retention_ = kRetention;
  return limits;
}

/// Requests of one kind never run: they record that nothing was sent.
bool
Runs(const core::RequestId& aRequest)
{
  return aRequest.Value().back() % 3 != 0;
}

Claim
Decoded(const std::string& aClaim)
{
  return std::get<Claim>(DecodeCommand(aClaim).Value());
}

} // namespace

ClaimModel::ClaimModel(bool aClaimBeforeCall)
  : claimBeforeCall_(aClaimBeforeCall)
{
}

std::unique_ptr<ExplorerStateMachine>
ClaimModel::MakeMachine()
{
  return std::make_unique<StateReplica>(Limits(), nullptr);
}

void
ClaimModel::OnTick(core::Duration aNow, core::Random& /*aRandom*/)
{
  now_ = aNow;
}

ExplorerRequest
ClaimModel::NextRequest(core::Random& aRandom)
{
  if (claims_.empty() || aRandom.Chance(0.5)) {
    return { false, NewClaim(aRandom) };
  }
  if (aRandom.Chance(0.2)) {
    const auto milliseconds = std::chrono::duration_cast<AgreedDuration>(now_);
    return { false, Encode(Command(AdvanceTime{ AgreedTime(milliseconds) })) };
  }
  if (aRandom.Chance(0.4)) {
    return { false, claims_[aRandom.Below(claims_.size())] };
  }
  return { false, Record(aRandom) };
}

std::string
ClaimModel::NewClaim(core::Random& aRandom)
{
  const std::uint64_t number =
    claims_.size() / kClaimsOfKey + aRandom.Below(kKeysInUse);
  Claim claim;
  claim.key_ = MakeClaimKey(core::DeploymentId("deposits"),
                            core::CallerId("bakery"),
                            std::to_string(number));
  claim.body_ = core::Hash128(aRandom.Chance(0.1) ? "other" : "body");
  claim.host_ = core::HostId("entry-" + std::to_string(aRandom.Below(3)));
  claim.request_ = core::RequestId(std::to_string(claims_.size()));
  claim.lifetime_ = std::chrono::milliseconds(100 + aRandom.Below(900));
  claims_.push_back(Encode(Command(claim)));
  return claims_.back();
}

std::string
ClaimModel::Record(core::Random& aRandom) const
{
  const std::size_t recent = std::min(claims_.size(), kRecentClaims);
  const Claim claim =
    Decoded(claims_[claims_.size() - 1 - aRandom.Below(recent)]);
  RecordOutcome record{
    claim.key_.hash_, claim.host_, claim.request_, ClaimOutcome::NotSent, {}
  };
  if (Runs(claim.request_)) {
    record.outcome_ =
      aRandom.Chance(0.5) ? ClaimOutcome::Answered : ClaimOutcome::Unknown;
  }
  return Encode(Command(record));
}

std::optional<std::string>
ClaimModel::CheckHistory(const std::vector<ExplorerOperation>& aHistory)
{
  std::map<core::Digest, std::set<core::RequestId>> runs;
  for (const ExplorerOperation& operation : aHistory) {
    const Command command = DecodeCommand(operation.request_.text_).Value();
    const auto* claim = std::get_if<Claim>(&command);
    if (claim == nullptr || !Runs(claim->request_)) {
      continue;
    }
    bool granted = false;
    if (operation.answered_) {
      const Answer answer = DecodeAnswer(operation.result_).Value();
      granted = std::get<ClaimAnswer>(answer).result_ == ClaimResult::Granted;
    }
    if (granted || !claimBeforeCall_) {
      runs[claim->key_.hash_].insert(claim->request_);
    }
  }
  for (const auto& [key, requests] : runs) {
    if (requests.size() > 1) {
      return "key " + key.Hex() + " ran for " +
             std::to_string(requests.size()) + " requests";
    }
  }
  return std::nullopt;
}

} // namespace crocusslip::tests
