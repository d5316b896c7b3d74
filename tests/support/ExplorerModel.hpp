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
class ExplorerMachine
{
public:
  virtual ~ExplorerMachine() = default;
  /// Result of a committed command, to be returned to the client.
  virtual std::string Apply(core::LogIndex aIndex,
                            core::Term aTerm,
                            const std::string& aCommand) = 0;
  virtual std::string Read(const std::string& aQuery) const = 0;
  /// Equal states must give equal bytes.
  virtual std::string Save() const = 0;
  virtual void Load(const std::string& aBytes) = 0;
};

/// What a client asks for: a command to replicate or a linearizable read.
struct ExplorerRequest
{
  bool read_ = false;
  std::string text_;
};

/// A request in the history of a run.
struct ExplorerOperation
{
  ExplorerRequest request_;
  core::Duration invoked_{};
  /// Nothing when the outcome is unknown.
  std::optional<core::Duration> answered_;
  std::string result_;
};

/// The leader's view while it holds the lease, for models that act on the
/// outside (for example by sending orders to a backend server).
struct ExplorerLeader
{
  core::MemberId member_;
  core::Term term_;
  core::LogIndex applied_;
  core::Duration now_{};
  ExplorerMachine& machine_;
  /// Replicates a command on behalf of the leader.
  std::function<void(std::string)> propose_;
};

/// What is replicated, what clients ask, and what must hold. One per run.
class ExplorerModel
{
public:
  virtual ~ExplorerModel() = default;
  virtual std::unique_ptr<ExplorerMachine> MakeMachine() = 0;
  virtual ExplorerRequest NextRequest(core::Random& aRandom) = 0;
  /// Called regularly on the member that holds the lease.
  virtual void OnLeader(ExplorerLeader&, core::Random&) {}
  /// Called when time has passed, whoever leads.
  virtual void OnTime(core::Duration, core::Random&) {}
  /// A broken rule, if there is one; checked regularly.
  virtual std::optional<std::string> Violation() { return std::nullopt; }
  /// A broken rule in the history of the whole run, if there is one.
  virtual std::optional<std::string> CheckHistory(
    const std::vector<ExplorerOperation>& aHistory) = 0;
};

} // namespace crocusslip::tests
