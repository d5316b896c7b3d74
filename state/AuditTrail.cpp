#include "state/AuditTrail.hpp"

#include "state/SnapshotCodec.hpp"

#include <utility>

namespace crocusslip::state {

void
AuditTrail::Add(AuditRecord aRecord)
{
  records_.push_back(std::move(aRecord));
  if (records_.size() > kMaxAuditRecords) {
    records_.pop_front();
  }
}

void
AuditTrail::Write(SnapshotWriter& aWriter) const
{
  aWriter.Number(records_.size());
  for (const AuditRecord& record : records_) {
    aWriter.Id(record.index_);
    aWriter.Time(record.at_);
    aWriter.Id(record.operator_);
    aWriter.Text(record.action_);
    aWriter.Text(record.path_);
  }
}

void
AuditTrail::Read(SnapshotReader& aReader)
{
  for (std::size_t left = aReader.Count(); left > 0; --left) {
    AuditRecord record;
    record.index_ = aReader.Id<core::LogIndex>();
    record.at_ = aReader.Time<AgreedTime>();
    record.operator_ = aReader.Id<core::OperatorId>();
    record.action_ = aReader.Text();
    record.path_ = aReader.Text();
    records_.push_back(std::move(record));
  }
}

} // namespace crocusslip::state
