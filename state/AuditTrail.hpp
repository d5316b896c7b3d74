#pragma once

#include "core/Ids.hpp"
#include "state/AgreedTime.hpp"

#include <cstddef>
#include <deque>
#include <string>

namespace crocusslip::state {

class SnapshotReader;
class SnapshotWriter;

inline constexpr std::size_t kMaxAuditRecords = 100000;

struct AuditRecord
{
  core::LogIndex index_;
  AgreedTime at_;
  core::OperatorId operator_;
  std::string action_;
  std::string path_;
};

/// What operators did, newest last; the oldest records are dropped.
class AuditTrail
{
public:
  void Add(AuditRecord aRecord);
  const std::deque<AuditRecord>& Records() const { return records_; }

  void Write(SnapshotWriter& aWriter) const;
  void Read(SnapshotReader& aReader);

private:
  std::deque<AuditRecord> records_;
};

} // namespace crocusslip::state
