#pragma once

#include "coordination/RaftConfig.hpp"
#include "tests/support/ExplorerModel.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace crocusslip::tests {

/// Options of one simulated run of a Raft group under faults drawn from a seed.
struct ExplorerOptions
{
  std::uint64_t seed_ = 0;
  std::uint32_t members_ = 3;
  /// Simulated time with faults. A period without faults follows, at whose end
  /// the group must serve requests and all members must have the same state.
  core::Duration duration_ = std::chrono::seconds(15);
  coordination::RaftRules rules_;
  std::function<std::unique_ptr<ExplorerModel>()> makeModel_;
  /// Prints the events of each member to the standard error stream.
  bool trace_ = false;
};

struct ExplorerReport
{
  /// The first violated invariant, if any; the run stops there.
  std::optional<std::string> violation_;
  core::Duration time_{};
  std::uint64_t steps_ = 0;
  std::uint64_t elections_ = 0;
  std::uint64_t committed_ = 0;
  std::uint64_t answered_ = 0;
  std::uint64_t crashes_ = 0;
  std::uint64_t snapshotsInstalled_ = 0;
  std::uint64_t membershipChanges_ = 0;
};

/// Equal options give equal reports.
ExplorerReport
Explore(const ExplorerOptions& aOptions);

} // namespace crocusslip::tests
