#include "tests/support/ClaimModel.hpp"
#include "tests/support/Explorer.hpp"
#include "tests/support/OrderModel.hpp"
#include "tests/support/RegisterModel.hpp"
#include "tests/support/ServerOrdersModel.hpp"
#include "tests/support/SettingsModel.hpp"

#include <cstdint>
#include <functional>
#include <iostream>
#include <memory>
#include <string>

#include <boost/program_options.hpp>

namespace {

using crocusslip::coordination::RaftRules;

struct NamedRule
{
  const char* name_;
  bool RaftRules::*rule_;
};

constexpr NamedRule kRules[] = {
  { "pre-vote", &RaftRules::preVote_ },
  { "check-quorum", &RaftRules::checkQuorum_ },
  { "refuse-votes-under-lease", &RaftRules::refuseVotesUnderLease_ },
  { "refuse-votes-after-start", &RaftRules::refuseVotesAfterStart_ },
  { "sync-before-acknowledge", &RaftRules::syncBeforeAcknowledge_ },
  { "commit-own-term-only", &RaftRules::commitOwnTermOnly_ },
  { "read-after-own-commit", &RaftRules::readAfterOwnCommit_ },
  { "compare-logs-in-votes", &RaftRules::compareLogsInVotes_ },
  { "one-change-at-a-time", &RaftRules::oneChangeAtATime_ },
  { "end-lease-before-transfer", &RaftRules::endLeaseBeforeTransfer_ },
};

/// Disables the rule; false if there is no rule of this name.
bool
DisableRule(const std::string& aName, RaftRules& aRules)
{
  for (const NamedRule& item : kRules) {
    if (aName == item.name_) {
      aRules.*item.rule_ = false;
      return true;
    }
  }
  return false;
}

using MakeModel =
  std::function<std::unique_ptr<crocusslip::tests::ExplorerModel>()>;

/// Factory of the model; empty if there is no model of this name.
MakeModel
ModelOfName(const std::string& aName)
{
  using namespace crocusslip;
  using namespace crocusslip::tests;
  if (aName == "register") {
    return [] { return std::make_unique<RegisterModel>(); };
  }
  if (aName == "claims") {
    return [] { return std::make_unique<ClaimModel>(true); };
  }
  if (aName == "settings") {
    return [] { return std::make_unique<SettingsModel>(); };
  }
  if (aName == "orders") {
    return [] {
      return std::make_unique<OrderModel>(state::EngineKind::Ignores,
                                          coordination::OrderRules());
    };
  }
  if (aName == "server-orders") {
    return [] { return std::make_unique<ServerOrdersModel>(); };
  }
  return {};
}

} // namespace

/// Runs the explorer over a range of seeds and prints the seeds that fail.
int
main(int argc, char** argv)
{
  namespace options = boost::program_options;
  using namespace crocusslip;
  std::uint64_t seeds = 0;
  std::uint64_t first = 0;
  std::uint32_t members = 0;
  std::string without;
  std::string modelName;
  coordination::RaftRules rules;
  options::options_description description("crocusslip-explore");
  auto add = description.add_options();
  add("help", "print this text");
  add("seeds", options::value(&seeds)->default_value(100), "number of runs");
  add("first", options::value(&first)->default_value(1), "first seed");
  add("members",
      options::value(&members)->default_value(3),
      "initial number of voters");
  add("model",
      options::value(&modelName)->default_value("register"),
      "register, claims, settings, orders or server-orders");
  add("without",
      options::value(&without),
      "safety rule to disable, for example pre-vote");
  add("trace", "print the events of each member");
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, description),
                   values);
    options::notify(values);
  } catch (const options::error& error) {
    std::cerr << error.what() << "\n" << description;
    return 2;
  }
  if (values.contains("help")) {
    std::cout << description;
    return 0;
  }
  if (!without.empty() && !DisableRule(without, rules)) {
    std::cerr << "unknown rule " << without << "\n";
    return 2;
  }
  const MakeModel makeModel = ModelOfName(modelName);
  if (!makeModel) {
    std::cerr << "unknown model " << modelName << "\n";
    return 2;
  }
  std::uint64_t failed = 0;
  tests::ExplorerReport total;
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    tests::ExplorerOptions run;
    run.seed_ = seed;
    run.members_ = members;
    run.rules_ = rules;
    run.trace_ = values.contains("trace");
    run.makeModel_ = makeModel;
    const tests::ExplorerReport report = tests::Explore(run);
    total.steps_ += report.steps_;
    total.elections_ += report.elections_;
    total.committed_ += report.committed_;
    total.answered_ += report.answered_;
    total.crashes_ += report.crashes_;
    total.snapshotsInstalled_ += report.snapshotsInstalled_;
    total.membershipChanges_ += report.membershipChanges_;
    if (report.violation_) {
      ++failed;
      std::cout << "seed " << seed << " members " << members << ": "
                << *report.violation_ << std::endl;
    }
  }
  std::cout << seeds << " runs, " << failed << " failed, " << total.steps_
            << " steps, " << total.elections_ << " elections, "
            << total.committed_ << " committed, " << total.answered_
            << " answered, " << total.crashes_ << " crashes, "
            << total.snapshotsInstalled_ << " snapshots installed, "
            << total.membershipChanges_ << " membership changes\n";
  return failed == 0 ? 0 : 1;
}
