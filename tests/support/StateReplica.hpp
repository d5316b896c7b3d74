#pragma once

#include "state/StateMachine.hpp"
#include "tests/support/ExplorerModel.hpp"

#include <functional>
#include <string>

namespace crocusslip::tests {

/// The state machine as the explorer replicates it; commands and results are
/// encoded as in the log. A read returns the settings' revision and digest.
class StateReplica final : public ExplorerStateMachine
{
public:
  using OnApply = std::function<void(StateReplica&,
                                     core::LogIndex,
                                     core::Term,
                                     const state::Command&,
                                     const state::Answer&)>;

  StateReplica(state::StateLimits aLimits, OnApply aOnApply);

  std::string Apply(core::LogIndex aIndex,
                    core::Term aTerm,
                    const std::string& aCommand) override;
  std::string Read(const std::string& aQuery) const override;
  std::string Save() const override;
  void Load(const std::string& aBytes) override;

  const state::StateMachine& State() const { return state_; }

private:
  state::StateMachine state_;
  OnApply onApply_;
};

} // namespace crocusslip::tests
