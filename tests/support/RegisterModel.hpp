#pragma once

#include "tests/support/ExplorerModel.hpp"

namespace crocusslip::tests {

/// A few registers to which clients write distinct values that they read back.
class RegisterModel final : public ExplorerModel
{
public:
  std::unique_ptr<ExplorerStateMachine> MakeMachine() override;
  ExplorerRequest NextRequest(core::Random& aRandom) override;
  /// Checks that the history of each register is linearizable.
  std::optional<std::string> CheckHistory(
    const std::vector<ExplorerOperation>& aHistory) override;

private:
  std::uint64_t lastValue_ = 0;
};

} // namespace crocusslip::tests
