#pragma once

#include "state/Answer.hpp"
#include "state/Command.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace crocusslip::state {

class SnapshotReader;
class SnapshotWriter;

/// Backend servers that one request may cost at most.
inline constexpr std::uint32_t kMaxServersLost = 2;
/// Reports are forgotten this long after the last one, unless held longer.
inline constexpr AgreedDuration kCrashMemory = std::chrono::hours(24);
inline constexpr std::size_t kMaxQuarantineEntries = 100000;

struct QuarantineEntry
{
  core::DeploymentId deployment_;
  /// Distinct servers that failed while they ran the request.
  std::vector<core::ServerId> servers_;
  bool certain_ = false;
  bool held_ = false;
  AgreedTime until_;
  AgreedTime lastReport_;
};

/// Crash reports by the fingerprint of a request; holds back a request that
/// cost the stated number of servers.
class QuarantineTable
{
public:
  QuarantineAnswer Report(const ReportCrash& aReport, AgreedTime aNow);
  QuarantineAnswer Release(const ReleaseQuarantine& aRelease);
  void Expire(AgreedTime aNow);

  const QuarantineEntry* Find(const std::string& aFingerprint) const;
  bool Held(const std::string& aFingerprint, AgreedTime aNow) const;
  const std::map<std::string, QuarantineEntry>& All() const { return entries_; }

  void Write(SnapshotWriter& aWriter) const;
  void Read(SnapshotReader& aReader);

private:
  void DropOldest();

  std::map<std::string, QuarantineEntry> entries_;
};

} // namespace crocusslip::state
