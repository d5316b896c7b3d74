#include "tests/support/SettingsModel.hpp"

#include "state/CommandCodec.hpp"
#include "tests/support/StateReplica.hpp"

#include <algorithm>
#include <map>
#include <sstream>
#include <utility>

namespace crocusslip::tests {

using namespace state;

namespace {

constexpr double kReadShare = 0.4;
constexpr double kResendShare = 0.15;
constexpr double kStaleShare = 0.2;

/// An answered operation at its place in the order of revisions.
struct Placed
{
  core::Duration invoked_{};
  core::Duration answered_{};
  std::uint64_t revision_ = 0;
  bool write_ = false;
};

/// No operation may be placed before one that was answered before it began.
std::optional<std::string>
CheckOrder(std::vector<Placed> aOperations)
{
  std::vector<Placed> byAnswer = aOperations;
  std::ranges::sort(byAnswer, {}, &Placed::answered_);
  std::ranges::sort(aOperations, {}, &Placed::invoked_);
  std::uint64_t reached = 0;
  auto next = byAnswer.begin();
  for (const Placed& operation : aOperations) {
    for (; next != byAnswer.end() && next->answered_ < operation.invoked_;
         ++next) {
      reached = std::max(reached, next->revision_);
    }
    if (operation.revision_ < reached ||
        (operation.write_ && operation.revision_ == reached)) {
      return "revision " + std::to_string(operation.revision_) +
             " was returned after " + std::to_string(reached);
    }
  }
  return std::nullopt;
}

} // namespace

std::unique_ptr<ExplorerStateMachine>
SettingsModel::MakeMachine()
{
  return std::make_unique<StateReplica>(
    StateLimits(),
    [this](const StateReplica& aReplica,
           core::LogIndex,
           core::Term,
           const Command&,
           const Answer&) {
      highest_ =
        std::max(highest_, aReplica.State().Settings().CurrentRevision());
    });
}

ExplorerRequest
SettingsModel::NextRequest(core::Random& aRandom)
{
  if (aRandom.Chance(kReadShare)) {
    return { true, {} };
  }
  if (!changes_.empty() && aRandom.Chance(kResendShare)) {
    return { false, changes_[aRandom.Below(changes_.size())] };
  }
  const std::string number = std::to_string(changes_.size());
  ChangeSettings change{
    core::ChangeId(number), core::OperatorId("rania"), highest_, {}
  };
  if (aRandom.Chance(kStaleShare)) {
    change.expected_ = core::Revision(aRandom.Below(highest_.Value() + 1));
  }
  change.edits_.push_back({ "/node-" + std::to_string(aRandom.Below(8)),
                            number,
                            aRandom.Chance(0.2) });
  changes_.push_back(Encode(Command(change)));
  return { false, changes_.back() };
}

std::optional<std::string>
SettingsModel::CheckHistory(const std::vector<ExplorerOperation>& aHistory)
{
  std::vector<Placed> placed;
  std::map<std::uint64_t, std::string> contents;
  std::map<std::uint64_t, std::string> winners;
  for (const ExplorerOperation& operation : aHistory) {
    if (!operation.answered_) {
      continue;
    }
    Placed place{ operation.invoked_, *operation.answered_, 0, false };
    if (operation.request_.read_) {
      std::istringstream in(operation.result_);
      std::string content;
      in >> place.revision_ >> content;
      if (contents.emplace(place.revision_, content).first->second != content) {
        return "two contents of one revision were read";
      }
      placed.push_back(place);
      continue;
    }
    const Command command = DecodeCommand(operation.request_.text_).Value();
    const Answer decoded = DecodeAnswer(operation.result_).Value();
    const auto& answer = std::get<ChangeAnswer>(decoded);
    const bool accepted = answer.result_ == ChangeResult::Accepted;
    place.revision_ = answer.revision_.Value();
    place.write_ = accepted;
    const std::string change =
      std::get<ChangeSettings>(command).change_.Value();
    if (accepted &&
        winners.emplace(place.revision_, change).first->second != change) {
      return "two changes won one revision";
    }
    // A repeated answer tells of an earlier time.
    if (!answer.repeated_) {
      placed.push_back(place);
    }
  }
  return CheckOrder(std::move(placed));
}

} // namespace crocusslip::tests
