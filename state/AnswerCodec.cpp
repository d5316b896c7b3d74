#include "state/CommandCodec.hpp"

#include "state/WireRecord.hpp"

#include <utility>

namespace crocusslip::state {

using namespace record;

namespace {

/// Puts each kind of answer into its field of the record.
struct AnswerToWire
{
  wire::Answer& out_;

  void operator()(const ChangeAnswer& aAnswer) const
  {
    wire::ChangeAnswer change;
    change.result = FromEnum(aAnswer.result_);
    change.revision = Signed(aAnswer.revision_.Value());
    change.winner = aAnswer.winner_.Value();
    change.winnerRevision = Signed(aAnswer.winnerRevision_.Value());
    change.winnerPaths = aAnswer.winnerPaths_;
    change.repeated = aAnswer.repeated_;
    change.detail = aAnswer.detail_;
    out_.__set_change(change);
  }

  void operator()(const DecisionAnswer& aAnswer) const
  {
    wire::DecisionAnswer decision;
    decision.result = FromEnum(aAnswer.result_);
    decision.order = Signed(aAnswer.order_.Value());
    out_.__set_decision(decision);
  }

  void operator()(const ObservationAnswer& aAnswer) const
  {
    wire::ObservationAnswer observation;
    observation.result = FromEnum(aAnswer.result_);
    out_.__set_observation(observation);
  }

  void operator()(const ClaimAnswer& aAnswer) const
  {
    wire::ClaimAnswer claim;
    claim.result = FromEnum(aAnswer.result_);
    claim.answer = ToWire(aAnswer.answer_);
    out_.__set_claim(claim);
  }

  void operator()(const RecordAnswer& aAnswer) const
  {
    wire::RecordAnswer record;
    record.result = FromEnum(aAnswer.result_);
    out_.__set_record(record);
  }

  void operator()(const DrainAnswer& aAnswer) const
  {
    wire::DrainAnswer drain;
    drain.changed = aAnswer.changed_;
    out_.__set_drain(drain);
  }

  void operator()(const QuarantineAnswer& aAnswer) const
  {
    wire::QuarantineAnswer quarantine;
    quarantine.held = aAnswer.held_;
    quarantine.servers = static_cast<std::int32_t>(aAnswer.servers_);
    quarantine.heldUntil = FromTime(aAnswer.until_);
    out_.__set_quarantine(quarantine);
  }

  void operator()(const TimeAnswer& aAnswer) const
  {
    wire::TimeAnswer time;
    time.now = FromTime(aAnswer.now_);
    out_.__set_time(time);
  }

  void operator()(const PublishAnswer& aAnswer) const
  {
    wire::PublishAnswer publish;
    publish.adopted = aAnswer.adopted_;
    publish.version = static_cast<std::int64_t>(aAnswer.version_);
    out_.__set_publish(publish);
  }

  void operator()(const OrdersAnswer& aAnswer) const
  {
    wire::OrdersAnswer orders;
    orders.numbers = ToSigned(aAnswer.numbers_);
    out_.__set_orders(orders);
  }
};

ChangeAnswer
AnswerFrom(wire::ChangeAnswer& aAnswer)
{
  ChangeAnswer out;
  out.result_ = ToEnum(aAnswer.result, ChangeResult::Overloaded);
  out.revision_ = Numbered<core::Revision>(aAnswer.revision);
  out.winner_ = core::OperatorId(std::move(aAnswer.winner));
  out.winnerRevision_ = Numbered<core::Revision>(aAnswer.winnerRevision);
  out.winnerPaths_ = std::move(aAnswer.winnerPaths);
  out.repeated_ = aAnswer.repeated;
  out.detail_ = std::move(aAnswer.detail);
  return out;
}

std::vector<Answer>
AnswersIn(wire::Answer& aRecord)
{
  std::vector<Answer> found;
  const wire::_Answer__isset& set = aRecord.__isset;
  if (set.change) {
    found.emplace_back(AnswerFrom(aRecord.change));
  }
  if (set.decision) {
    found.emplace_back(
      DecisionAnswer{ ToEnum(aRecord.decision.result, DecisionResult::Invalid),
                      Numbered<core::OrderId>(aRecord.decision.order) });
  }
  if (set.observation) {
    found.emplace_back(ObservationAnswer{
      ToEnum(aRecord.observation.result, ObservationResult::Superseded) });
  }
  if (set.claim) {
    found.emplace_back(
      ClaimAnswer{ ToEnum(aRecord.claim.result, ClaimResult::TableFull),
                   FromWire(aRecord.claim.answer) });
  }
  if (set.record) {
    found.emplace_back(
      RecordAnswer{ ToEnum(aRecord.record.result, RecordResult::Settled) });
  }
  if (set.drain) {
    found.emplace_back(DrainAnswer{ aRecord.drain.changed });
  }
  if (set.quarantine) {
    found.emplace_back(
      QuarantineAnswer{ aRecord.quarantine.held,
                        ToCount(aRecord.quarantine.servers),
                        ToTime(aRecord.quarantine.heldUntil) });
  }
  if (set.time) {
    found.emplace_back(TimeAnswer{ ToTime(aRecord.time.now) });
  }
  if (set.publish) {
    found.emplace_back(
      PublishAnswer{ aRecord.publish.adopted,
                     static_cast<std::uint64_t>(aRecord.publish.version) });
  }
  if (set.orders) {
    found.emplace_back(OrdersAnswer{ FromSigned(aRecord.orders.numbers) });
  }
  return found;
}

} // namespace

std::string
Encode(const Answer& aAnswer)
{
  wire::Answer record;
  std::visit(AnswerToWire{ record }, aAnswer);
  return Serialize(record);
}

core::Result<Answer>
DecodeAnswer(std::string_view aBytes)
{
  return Decode<Answer, wire::Answer>(aBytes, AnswersIn);
}

} // namespace crocusslip::state
