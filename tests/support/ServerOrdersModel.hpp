#pragma once

#include "tests/support/ExplorerModel.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace crocusslip::tests {

/// Leaders that record orders to servers, send them once they are committed and
/// end those that are answered. A leader must find each order in its state that
/// any leader has sent and that was not answered.
class ServerOrdersModel final : public ExplorerModel
{
public:
  std::unique_ptr<ExplorerStateMachine> MakeMachine() override;
  ExplorerRequest NextRequest(core::Random& aRandom) override;
  void OnLeader(ExplorerLeader& aLeader, core::Random& aRandom) override;
  std::optional<std::string> Violation() override { return violation_; }
  std::optional<std::string> CheckHistory(
    const std::vector<ExplorerOperation>& aHistory) override;

private:
  /// Sent and not answered.
  std::set<std::uint64_t> open_;
  /// Sent by the leader of the term.
  std::map<core::Term, std::set<std::uint64_t>> sentInTerm_;
  std::uint64_t sent_ = 0;
  std::optional<std::string> violation_;
};

} // namespace crocusslip::tests
