#include "control/ControlService.hpp"

#include "core/Hash.hpp"
#include "protocol/ClaimResult.hpp"
#include "state/ClaimTable.hpp"

#include <algorithm>
#include <future>
#include <utility>

namespace crocusslip::control {

namespace {

std::int8_t
WireOutcome(state::ClaimResult aResult)
{
  return static_cast<std::int8_t>(aResult);
}

std::int8_t
WireFailure(const core::Result<state::Answer>& aAnswer)
{
  const bool full =
    !aAnswer.Ok() && aAnswer.Failure().code_ == core::Errc::DiskFull;
  return static_cast<std::int8_t>(full ? protocol::ClaimFailure::DiskFull
                                       : protocol::ClaimFailure::Unavailable);
}

state::ClaimOutcome
OutcomeOf(std::int8_t aOutcome)
{
  switch (aOutcome) {
    case 0:
      return state::ClaimOutcome::NotSent;
    case 1:
      return state::ClaimOutcome::Answered;
    default:
      return state::ClaimOutcome::Unknown;
  }
}

} // namespace

bool
ControlService::ProposeAll(const std::vector<state::Command>& aCommands,
                           std::vector<core::Result<state::Answer>>& aAnswers)
{
  using Promise = std::promise<ProposalResult>;
  std::vector<std::future<ProposalResult>> futures;
  futures.reserve(aCommands.size());
  for (const state::Command& command : aCommands) {
    auto promise = std::make_shared<Promise>();
    futures.push_back(promise->get_future());
    group_.Propose(command, [promise](ProposalResult aResult) {
      promise->set_value(std::move(aResult));
    });
  }
  const auto until = std::chrono::steady_clock::now() + settings_.commitWait_;
  bool complete = true;
  for (auto& future : futures) {
    if (future.wait_until(until) == std::future_status::ready) {
      aAnswers.push_back(future.get());
    } else {
      aAnswers.push_back(
        core::Error{ make_error_code(core::Errc::Timeout), "no commit yet" });
    }
    complete = complete && aAnswers.back().Ok();
  }
  return complete;
}

void
ControlService::claim(wire::ClaimAnswers& aAnswers,
                      const std::vector<wire::ClaimRequest>& aClaims)
{
  aAnswers.leader = Leads(aAnswers.leaderAddress);
  if (!aAnswers.leader) {
    return;
  }
  claims_.Add(aClaims.size());
  std::vector<state::Command> commands;
  commands.reserve(aClaims.size());
  for (const wire::ClaimRequest& request : aClaims) {
    state::Claim claim;
    claim.key_ = state::MakeClaimKey(core::DeploymentId(request.deployment),
                                     core::CallerId(request.caller),
                                     request.key);
    claim.body_ = core::Hash128(request.bodyDigest);
    claim.host_ = core::HostId(request.host);
    claim.request_ = core::RequestId(request.request);
    claim.lifetime_ =
      std::chrono::milliseconds(std::max<std::int64_t>(1, request.deadlineMs));
    commands.emplace_back(std::move(claim));
  }
  std::vector<core::Result<state::Answer>> answers;
  ProposeAll(commands, answers);
  for (const core::Result<state::Answer>& answer : answers) {
    wire::ClaimAnswer out;
    out.result = WireFailure(answer);
    if (answer.Ok()) {
      if (const auto* claim =
            std::get_if<state::ClaimAnswer>(&answer.Value())) {
        out.result = WireOutcome(claim->result_);
        out.status = claim->answer_.status_;
        out.contentType = claim->answer_.contentType_;
        out.body = claim->answer_.body_;
        out.complete = claim->answer_.complete_;
      }
    }
    aAnswers.answers.push_back(std::move(out));
  }
}

void
ControlService::record(wire::LeaderAnswer& aAnswer,
                       const std::vector<wire::OutcomeRecord>& aOutcomes)
{
  aAnswer.leader = Leads(aAnswer.leaderAddress);
  if (!aAnswer.leader) {
    return;
  }
  std::vector<state::Command> commands;
  commands.reserve(aOutcomes.size());
  for (const wire::OutcomeRecord& outcome : aOutcomes) {
    state::RecordOutcome record;
    record.key_ = state::MakeClaimKey(core::DeploymentId(outcome.deployment),
                                      core::CallerId(outcome.caller),
                                      outcome.key)
                    .hash_;
    record.host_ = core::HostId(outcome.host);
    record.request_ = core::RequestId(outcome.request);
    record.outcome_ = OutcomeOf(outcome.outcome);
    record.answer_.status_ = outcome.status;
    record.answer_.contentType_ = outcome.contentType;
    record.answer_.body_ = outcome.body;
    commands.emplace_back(std::move(record));
  }
  std::vector<core::Result<state::Answer>> answers;
  aAnswer.leader = ProposeAll(commands, answers);
}

void
ControlService::reportCrash(wire::LeaderAnswer& aAnswer,
                            const std::vector<wire::CrashReport>& aReports)
{
  aAnswer.leader = Leads(aAnswer.leaderAddress);
  if (!aAnswer.leader) {
    return;
  }
  std::vector<state::Command> commands;
  for (const wire::CrashReport& report : aReports) {
    state::ReportCrash command;
    command.fingerprint_ = report.fingerprint;
    command.deployment_ = core::DeploymentId(report.deployment);
    command.server_ = core::ServerId(report.server);
    command.reporter_ = core::HostId(report.host);
    command.certain_ = report.certain;
    command.hold_ = settings_.quarantineHold_;
    commands.emplace_back(std::move(command));
  }
  std::vector<core::Result<state::Answer>> answers;
  aAnswer.leader = ProposeAll(commands, answers);
}

} // namespace crocusslip::control
