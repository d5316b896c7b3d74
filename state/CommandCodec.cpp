#include "state/CommandCodec.hpp"

#include "state/WireRecord.hpp"

#include <utility>

namespace crocusslip::state {

using namespace record;

namespace {

/// Puts each kind of command into its field of the record.
struct CommandToWire
{
  wire::Command& out_;

  void operator()(const ChangeSettings& aCommand) const
  {
    wire::ChangeSettings change;
    change.change = aCommand.change_.Value();
    change.operatorId = aCommand.operator_.Value();
    change.expected = Signed(aCommand.expected_.Value());
    change.edits.reserve(aCommand.edits_.size());
    for (const NodeEdit& edit : aCommand.edits_) {
      wire::NodeEdit& node = change.edits.emplace_back();
      node.path = edit.path_;
      node.toml = edit.toml_;
      node.removed = edit.removed_;
    }
    out_.__set_changeSettings(change);
  }

  void operator()(const DecideLoad& aCommand) const
  {
    wire::DecideLoad load;
    load.deployment = aCommand.deployment_.Value();
    load.server = aCommand.server_.Value();
    load.memory = Signed(aCommand.memory_.Count());
    load.capacity = Signed(aCommand.capacity_.Count());
    load.maximumReplicas = static_cast<std::int32_t>(aCommand.maximumReplicas_);
    load.timeout = aCommand.timeout_.count();
    load.engine = FromEnum(aCommand.engine_);
    out_.__set_decideLoad(load);
  }

  void operator()(const DecideUnload& aCommand) const
  {
    wire::DecideUnload unload;
    unload.deployment = aCommand.deployment_.Value();
    unload.server = aCommand.server_.Value();
    unload.timeout = aCommand.timeout_.count();
    out_.__set_decideUnload(unload);
  }

  void operator()(const ObserveOrder& aCommand) const
  {
    wire::ObserveOrder observation;
    observation.order = Signed(aCommand.order_.Value());
    observation.outcome = FromEnum(aCommand.outcome_);
    out_.__set_observeOrder(observation);
  }

  void operator()(const AdoptReplica& aCommand) const
  {
    wire::AdoptReplica found;
    found.deployment = aCommand.deployment_.Value();
    found.server = aCommand.server_.Value();
    found.memory = Signed(aCommand.memory_.Count());
    found.engine = FromEnum(aCommand.engine_);
    out_.__set_adoptReplica(found);
  }

  void operator()(const LoseReplica& aCommand) const
  {
    wire::LoseReplica lost;
    lost.deployment = aCommand.deployment_.Value();
    lost.server = aCommand.server_.Value();
    lost.order = Signed(aCommand.order_.Value());
    out_.__set_loseReplica(lost);
  }

  void operator()(const ForgetServer& aCommand) const
  {
    wire::ForgetServer gone;
    gone.server = aCommand.server_.Value();
    out_.__set_forgetServer(gone);
  }

  void operator()(const Claim& aCommand) const
  {
    wire::Claim claim;
    claim.key = ToWire(aCommand.key_.hash_);
    if (aCommand.key_.issued_) {
      claim.__set_issued(FromTime(*aCommand.key_.issued_));
    }
    claim.body = ToWire(aCommand.body_);
    claim.host = aCommand.host_.Value();
    claim.request = aCommand.request_.Value();
    claim.lifetime = aCommand.lifetime_.count();
    out_.__set_claim(claim);
  }

  void operator()(const RecordOutcome& aCommand) const
  {
    wire::RecordOutcome record;
    record.key = ToWire(aCommand.key_);
    record.host = aCommand.host_.Value();
    record.request = aCommand.request_.Value();
    record.outcome = FromEnum(aCommand.outcome_);
    record.answer = ToWire(aCommand.answer_);
    out_.__set_recordOutcome(record);
  }

  void operator()(const SetDrain& aCommand) const
  {
    wire::SetDrain drain;
    drain.target = FromEnum(aCommand.target_);
    drain.id = aCommand.id_;
    drain.draining = aCommand.draining_;
    drain.operatorId = aCommand.operator_.Value();
    out_.__set_setDrain(drain);
  }

  void operator()(const PublishRoutes& aCommand) const
  {
    wire::PublishRoutes publish;
    publish.version = static_cast<std::int64_t>(aCommand.version_);
    publish.document = aCommand.document_;
    out_.__set_publishRoutes(publish);
  }

  void operator()(const ReportCrash& aCommand) const
  {
    wire::ReportCrash report;
    report.fingerprint = aCommand.fingerprint_;
    report.deployment = aCommand.deployment_.Value();
    report.server = aCommand.server_.Value();
    report.reporter = aCommand.reporter_.Value();
    report.certain = aCommand.certain_;
    report.limit = static_cast<std::int32_t>(aCommand.limit_);
    report.hold = aCommand.hold_.count();
    out_.__set_reportCrash(report);
  }

  void operator()(const ReleaseQuarantine& aCommand) const
  {
    wire::ReleaseQuarantine release;
    release.fingerprint = aCommand.fingerprint_;
    release.operatorId = aCommand.operator_.Value();
    out_.__set_releaseQuarantine(release);
  }

  void operator()(const AdvanceTime& aCommand) const
  {
    wire::AdvanceTime advance;
    advance.now = FromTime(aCommand.now_);
    out_.__set_advanceTime(advance);
  }

  void operator()(const RecordOrders& aCommand) const
  {
    wire::RecordOrders record;
    record.now = aCommand.end_.now_.count();
    record.lease = aCommand.end_.lease_.count();
    record.complete = aCommand.end_.complete_;
    record.orders.reserve(aCommand.orders_.size());
    for (const ServerOrder& order : aCommand.orders_) {
      wire::ServerOrder& out = record.orders.emplace_back();
      out.server = order.server_.Value();
      out.startedAt = order.startedAt_;
      out.sequence = order.sequence_;
      out.load = order.load_;
      out.target = order.target_;
    }
    record.ended = ToSigned(aCommand.end_.ended_);
    out_.__set_recordOrders(record);
    out_.__set_advanceTime(wire::AdvanceTime());
  }

  void operator()(const EndOrders& aCommand) const
  {
    wire::EndOrders end;
    end.now = aCommand.now_.count();
    end.lease = aCommand.lease_.count();
    end.complete = aCommand.complete_;
    end.ended = ToSigned(aCommand.ended_);
    out_.__set_endOrders(end);
    out_.__set_advanceTime(wire::AdvanceTime());
  }
};

ChangeSettings
CommandFrom(wire::ChangeSettings& aChange)
{
  ChangeSettings out;
  out.change_ = core::ChangeId(std::move(aChange.change));
  out.operator_ = core::OperatorId(std::move(aChange.operatorId));
  out.expected_ = Numbered<core::Revision>(aChange.expected);
  out.edits_.reserve(aChange.edits.size());
  for (wire::NodeEdit& edit : aChange.edits) {
    out.edits_.push_back(
      { std::move(edit.path), std::move(edit.toml), edit.removed });
  }
  return out;
}

DecideLoad
CommandFrom(wire::DecideLoad& aLoad)
{
  DecideLoad out;
  out.deployment_ = core::DeploymentId(std::move(aLoad.deployment));
  out.server_ = core::ServerId(std::move(aLoad.server));
  out.memory_ = core::Bytes(static_cast<std::uint64_t>(aLoad.memory));
  out.capacity_ = core::Bytes(static_cast<std::uint64_t>(aLoad.capacity));
  out.maximumReplicas_ = ToCount(aLoad.maximumReplicas);
  out.timeout_ = ToDuration(aLoad.timeout);
  out.engine_ = ToEnum(aLoad.engine, EngineKind::Ignores);
  return out;
}

Claim
CommandFrom(wire::Claim& aClaim)
{
  Claim out;
  out.key_.hash_ = FromWire(aClaim.key);
  if (aClaim.__isset.issued) {
    out.key_.issued_ = ToTime(aClaim.issued);
  }
  out.body_ = FromWire(aClaim.body);
  out.host_ = core::HostId(std::move(aClaim.host));
  out.request_ = core::RequestId(std::move(aClaim.request));
  out.lifetime_ = ToDuration(aClaim.lifetime);
  return out;
}

RecordOutcome
CommandFrom(wire::RecordOutcome& aRecord)
{
  RecordOutcome out;
  out.key_ = FromWire(aRecord.key);
  out.host_ = core::HostId(std::move(aRecord.host));
  out.request_ = core::RequestId(std::move(aRecord.request));
  out.outcome_ = ToEnum(aRecord.outcome, ClaimOutcome::Unknown);
  out.answer_ = FromWire(aRecord.answer);
  return out;
}

ReportCrash
CommandFrom(wire::ReportCrash& aReport)
{
  ReportCrash out;
  out.fingerprint_ = std::move(aReport.fingerprint);
  out.deployment_ = core::DeploymentId(std::move(aReport.deployment));
  out.server_ = core::ServerId(std::move(aReport.server));
  out.reporter_ = core::HostId(std::move(aReport.reporter));
  out.certain_ = aReport.certain;
  out.limit_ = ToCount(aReport.limit);
  out.hold_ = ToDuration(aReport.hold);
  return out;
}

SetDrain
CommandFrom(wire::SetDrain& aDrain)
{
  return { ToEnum(aDrain.target, DrainTarget::Server),
           std::move(aDrain.id),
           aDrain.draining,
           core::OperatorId(std::move(aDrain.operatorId)) };
}

template<typename Record>
EndOrders
EndOrdersFrom(const Record& aRecord)
{
  return { ToDuration(aRecord.now),
           ToDuration(aRecord.lease),
           aRecord.complete,
           FromSigned(aRecord.ended) };
}

RecordOrders
CommandFrom(wire::RecordOrders& aRecord)
{
  RecordOrders out;
  out.end_ = EndOrdersFrom(aRecord);
  out.orders_.reserve(aRecord.orders.size());
  for (wire::ServerOrder& order : aRecord.orders) {
    out.orders_.push_back({ core::ServerId(std::move(order.server)),
                            order.startedAt,
                            order.sequence,
                            order.load,
                            std::move(order.target) });
  }
  return out;
}

std::vector<Command>
CommandsIn(wire::Command& aRecord)
{
  std::vector<Command> found;
  const wire::_Command__isset& set = aRecord.__isset;
  if (set.changeSettings) {
    found.emplace_back(CommandFrom(aRecord.changeSettings));
  }
  if (set.decideLoad) {
    found.emplace_back(CommandFrom(aRecord.decideLoad));
  }
  if (set.decideUnload) {
    found.emplace_back(
      DecideUnload{ core::DeploymentId(aRecord.decideUnload.deployment),
                    core::ServerId(aRecord.decideUnload.server),
                    ToDuration(aRecord.decideUnload.timeout) });
  }
  if (set.observeOrder) {
    found.emplace_back(ObserveOrder{
      Numbered<core::OrderId>(aRecord.observeOrder.order),
      ToEnum(aRecord.observeOrder.outcome, OrderOutcome::Unknown) });
  }
  if (set.adoptReplica) {
    found.emplace_back(AdoptReplica{
      core::DeploymentId(aRecord.adoptReplica.deployment),
      core::ServerId(aRecord.adoptReplica.server),
      core::Bytes(static_cast<std::uint64_t>(aRecord.adoptReplica.memory)),
      ToEnum(aRecord.adoptReplica.engine, EngineKind::Ignores) });
  }
  if (set.loseReplica) {
    found.emplace_back(
      LoseReplica{ core::DeploymentId(aRecord.loseReplica.deployment),
                   core::ServerId(aRecord.loseReplica.server),
                   Numbered<core::OrderId>(aRecord.loseReplica.order) });
  }
  if (set.forgetServer) {
    found.emplace_back(
      ForgetServer{ core::ServerId(aRecord.forgetServer.server) });
  }
  if (set.claim) {
    found.emplace_back(CommandFrom(aRecord.claim));
  }
  if (set.recordOutcome) {
    found.emplace_back(CommandFrom(aRecord.recordOutcome));
  }
  if (set.setDrain) {
    found.emplace_back(CommandFrom(aRecord.setDrain));
  }
  if (set.reportCrash) {
    found.emplace_back(CommandFrom(aRecord.reportCrash));
  }
  if (set.releaseQuarantine) {
    found.emplace_back(ReleaseQuarantine{
      std::move(aRecord.releaseQuarantine.fingerprint),
      core::OperatorId(aRecord.releaseQuarantine.operatorId) });
  }
  if (set.recordOrders) {
    found.emplace_back(CommandFrom(aRecord.recordOrders));
  }
  if (set.endOrders) {
    found.emplace_back(EndOrdersFrom(aRecord.endOrders));
  }
  if (set.advanceTime && !set.recordOrders && !set.endOrders) {
    found.emplace_back(AdvanceTime{ ToTime(aRecord.advanceTime.now) });
  }
  if (set.publishRoutes) {
    found.emplace_back(
      PublishRoutes{ static_cast<std::uint64_t>(aRecord.publishRoutes.version),
                     std::move(aRecord.publishRoutes.document) });
  }
  return found;
}

} // namespace

std::string
Encode(const Command& aCommand)
{
  wire::Command record;
  std::visit(CommandToWire{ record }, aCommand);
  return Serialize(record);
}

core::Result<Command>
DecodeCommand(std::string_view aBytes)
{
  return Decode<Command, wire::Command>(aBytes, CommandsIn);
}

} // namespace crocusslip::state
