#include "state/StateMachine.hpp"

#include "state/SnapshotCodec.hpp"

#include <algorithm>
#include <utility>

namespace crocusslip::state {

/// Applies each kind of command to its table.
struct StateMachine::Applier
{
  StateMachine& state_;
  core::LogIndex index_;
  core::Term term_;

  Answer operator()(const ChangeSettings& aCommand) const
  {
    ChangeAnswer answer = state_.settings_.Change(aCommand, state_.now_);
    if (answer.result_ == ChangeResult::Accepted && !answer.repeated_) {
      const std::size_t audited =
        std::min(aCommand.edits_.size(), kMaxAnswerPaths);
      for (std::size_t i = 0; i < audited; ++i) {
        const NodeEdit& edit = aCommand.edits_[i];
        Audit(aCommand.operator_,
              edit.removed_ ? "remove_settings" : "change_settings",
              edit.path_);
      }
    }
    return answer;
  }

  Answer operator()(const DecideLoad& aCommand) const
  {
    if (state_.drains_.Draining(aCommand.server_)) {
      return DecisionAnswer{ DecisionResult::ServerDraining, {} };
    }
    return state_.orders_.Decide(index_, term_, aCommand);
  }

  Answer operator()(const DecideUnload& aCommand) const
  {
    return state_.orders_.Decide(index_, term_, aCommand);
  }

  Answer operator()(const ObserveOrder& aCommand) const
  {
    return state_.orders_.Observe(aCommand);
  }

  Answer operator()(const AdoptReplica& aCommand) const
  {
    return state_.orders_.Adopt(index_, term_, aCommand);
  }

  Answer operator()(const LoseReplica& aCommand) const
  {
    return state_.orders_.Lose(aCommand);
  }

  Answer operator()(const ForgetServer& aCommand) const
  {
    return state_.orders_.Forget(aCommand);
  }

  Answer operator()(const Claim& aCommand) const
  {
    return state_.claims_.Apply(aCommand, state_.now_);
  }

  Answer operator()(const RecordOutcome& aCommand) const
  {
    return state_.claims_.Apply(aCommand, state_.now_);
  }

  Answer operator()(const SetDrain& aCommand) const
  {
    const DrainAnswer answer = state_.drains_.Set(aCommand, state_.now_);
    if (answer.changed_) {
      Audit(aCommand.operator_,
            aCommand.draining_ ? "drain" : "undrain",
            aCommand.id_);
    }
    return answer;
  }

  Answer operator()(const ReportCrash& aCommand) const
  {
    return state_.quarantine_.Report(aCommand, state_.now_);
  }

  Answer operator()(const ReleaseQuarantine& aCommand) const
  {
    Audit(aCommand.operator_, "release_quarantine", aCommand.fingerprint_);
    return state_.quarantine_.Release(aCommand);
  }

  Answer operator()(const AdvanceTime& aCommand) const
  {
    if (aCommand.now_ > state_.now_) {
      state_.now_ = aCommand.now_;
      state_.settings_.Expire(state_.now_);
      state_.claims_.Expire(state_.now_);
      state_.quarantine_.Expire(state_.now_);
    }
    return TimeAnswer{ state_.now_ };
  }

  Answer operator()(const PublishRoutes& aCommand) const
  {
    return state_.routes_.Publish(aCommand);
  }

  Answer operator()(const RecordOrders& aCommand) const
  {
    return state_.serverOrders_.Record(term_, aCommand);
  }

  Answer operator()(const EndOrders& aCommand) const
  {
    return state_.serverOrders_.End(term_, aCommand);
  }

  void Audit(const core::OperatorId& aOperator,
             std::string aAction,
             const std::string& aPath) const
  {
    state_.audit_.Add(
      { index_, state_.now_, aOperator, std::move(aAction), aPath });
  }
};

StateMachine::StateMachine(StateLimits aLimits)
  : limits_(aLimits)
  , settings_(aLimits.settings_)
  , claims_(aLimits.claims_)
{
}

Answer
StateMachine::Apply(core::LogIndex aIndex,
                    core::Term aTerm,
                    const Command& aCommand)
{
  lastApplied_ = aIndex;
  const std::size_t quarantine = quarantine_.All().size();
  Answer answer = std::visit(Applier{ *this, aIndex, aTerm }, aCommand);
  NoteChanges(aCommand, quarantine);
  return answer;
}

void
StateMachine::NoteChanges(const Command& aCommand,
                          std::size_t aQuarantineBefore)
{
  const std::vector<ReplicaKey> touched = orders_.TakeTouched();
  for (const ReplicaKey& key : touched) {
    orderChanges_.Add(lastApplied_, key);
  }
  const bool changed = !touched.empty() ||
                       std::holds_alternative<SetDrain>(aCommand) ||
                       std::holds_alternative<ReportCrash>(aCommand) ||
                       quarantine_.All().size() != aQuarantineBefore;
  if (changed) {
    viewChangedAt_ = lastApplied_;
  }
}

void
StateMachine::Write(SnapshotWriter& aWriter) const
{
  aWriter.Id(lastApplied_);
  aWriter.Time(now_);
  settings_.Write(aWriter);
  orders_.Write(aWriter);
  claims_.Write(aWriter);
  drains_.Write(aWriter);
  quarantine_.Write(aWriter);
  audit_.Write(aWriter);
  routes_.Write(aWriter);
  serverOrders_.Write(aWriter);
}

void
StateMachine::Read(SnapshotReader& aReader)
{
  lastApplied_ = aReader.Id<core::LogIndex>();
  now_ = aReader.Time<AgreedTime>();
  settings_.Read(aReader);
  orders_.Read(aReader);
  claims_.Read(aReader);
  drains_.Read(aReader);
  quarantine_.Read(aReader);
  audit_.Read(aReader);
  routes_.Read(aReader);
  if (aReader.Version() > 1) {
    serverOrders_.Read(aReader);
  }
}

std::string
StateMachine::Snapshot() const
{
  SnapshotWriter writer;
  Write(writer);
  return writer.Finish();
}

core::Status
StateMachine::Restore(std::string_view aSnapshot)
{
  SnapshotReader reader(aSnapshot);
  StateMachine restored(limits_);
  if (reader.Ok()) {
    restored.Read(reader);
  }
  core::Status outcome = reader.Outcome();
  if (outcome.Ok()) {
    restored.orders_.TakeTouched();
    restored.orderChanges_.Restart(restored.lastApplied_);
    restored.viewChangedAt_ = restored.lastApplied_;
    *this = std::move(restored);
  }
  return outcome;
}

core::Digest
StateMachine::StateDigest() const
{
  SnapshotWriter writer;
  Write(writer);
  return writer.ContentDigest();
}

} // namespace crocusslip::state
