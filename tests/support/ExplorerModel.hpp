#pragma once

#include "core/Clock.hpp"
#include "core/Ids.hpp"
#include "core/Random.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace crocusslip::tests {

/// One replica of the state machine that the explorer replicates.
class ExplorerStateMachine
{
public:
  virtual ~ExplorerStateMachine() = default;
  /// Result of a committed command, to be returned to the client.
  virtual std::string Apply(core::LogIndex aIndex,
                            core::Term aTerm,
                            const std::string& aCommand) = 0;
  virtual std::string Read(const std::string& aQuery) const = 0;
  /// Equal states must give equal bytes.
  virtual std::string Save() const = 0;
  virtual void Load(const std::string& aBytes) = 0;
};

/// A client's request: a command to replicate or a linearizable read.
struct ExplorerRequest
{
  bool read_ = false;
  std::string text_;
};

/// A request and its outcome in the history of a run.
struct ExplorerOperation
{
  ExplorerRequest request_;
  core::Duration invoked_{};
  /// Empty if the outcome is unknown.
  std::optional<core::Duration> answered_;
  std::string result_;
};

/// State of the leader while it holds the lease, for models with side effects
/// outside the group (for example orders sent to a backend server).
struct ExplorerLeader
{
  core::MemberId member_;
  core::Term term_;
  core::LogIndex applied_;
  core::Duration now_{};
  ExplorerStateMachine& machine_;
  /// Replicates a command on behalf of the leader.
  std::function<void(std::string)> propose_;
};

/// Defines the replicated state machine, the requests of clients and the
/// invariants of a run. Each run has its own model.
class ExplorerModel
{
public:
  virtual ~ExplorerModel() = default;
  virtual std::unique_ptr<ExplorerStateMachine> MakeMachine() = 0;
  virtual ExplorerRequest NextRequest(core::Random& aRandom) = 0;
  /// Called at each tick of a member that holds the lease.
  virtual void OnLeader(ExplorerLeader&, core::Random&) {}
  /// Called at each tick of any member.
  virtual void OnTick(core::Duration, core::Random&) {}
  /// The violated invariant, if any; checked at each tick.
  virtual std::optional<std::string> Violation() { return std::nullopt; }
  /// The invariant that the history of the whole run violates, if any.
  virtual std::optional<std::string> CheckHistory(
    const std::vector<ExplorerOperation>& aHistory) = 0;
};

} // namespace crocusslip::tests
