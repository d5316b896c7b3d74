#pragma once

#include "tests/support/ExplorerModel.hpp"

#include <vector>

namespace crocusslip::tests {

/// Entry hosts that claim keys, run what they were granted, record outcomes and
/// resend claims. No key may run for two requests, also after its retention.
class ClaimModel final : public ExplorerModel
{
public:
  /// Without claimBeforeCall a request runs whatever its claim is answered.
  explicit ClaimModel(bool aClaimBeforeCall);

  std::unique_ptr<ExplorerStateMachine> MakeMachine() override;
  ExplorerRequest NextRequest(core::Random& aRandom) override;
  void OnTick(core::Duration aNow, core::Random& aRandom) override;
  std::optional<std::string> CheckHistory(
    const std::vector<ExplorerOperation>& aHistory) override;

private:
  std::string NewClaim(core::Random& aRandom);
  std::string Record(core::Random& aRandom) const;

  bool claimBeforeCall_;
  core::Duration now_{};
  /// Encoded claims by request number.
  std::vector<std::string> claims_;
};

} // namespace crocusslip::tests
