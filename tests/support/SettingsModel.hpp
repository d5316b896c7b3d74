#pragma once

#include "core/Ids.hpp"
#include "tests/support/ExplorerModel.hpp"

#include <vector>

namespace crocusslip::tests {

/// Operators who change settings, resend changes and read them back. The
/// history must be linearizable by revision, with one winner each.
class SettingsModel final : public ExplorerModel
{
public:
  std::unique_ptr<ExplorerStateMachine> MakeMachine() override;
  ExplorerRequest NextRequest(core::Random& aRandom) override;
  std::optional<std::string> CheckHistory(
    const std::vector<ExplorerOperation>& aHistory) override;

private:
  /// The highest revision that any member has applied.
  core::Revision highest_;
  std::vector<std::string> changes_;
};

} // namespace crocusslip::tests
