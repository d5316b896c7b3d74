#pragma once

#include "admission/LineTable.hpp"
#include "core/Clock.hpp"
#include "core/Ids.hpp"

#include <cstdint>
#include <map>

namespace crocusslip::admission {

/// What one host reports about its requests for one model.
struct HostLine
{
  ModelLine line_;
  /// Requests that got a place since the last report.
  std::uint32_t begun_ = 0;
};

/// The lines of all hosts, as the leader of the control group adds them up.
class FleetLines
{
public:
  /// Replaces what the host reported before.
  void OnReport(const core::HostId& aHost,
                std::map<core::ModelName, HostLine> aLines,
                core::MonotonicTime aNow);
  /// Removes hosts whose last report is too old.
  void Expire(core::MonotonicTime aNow);
  /// Lines that are long enough to matter, without the host's own waiting
  /// requests.
  std::map<core::ModelName, ModelLine> LinesFor(const core::HostId& aHost,
                                                core::MonotonicTime aNow) const;

private:
  struct Host
  {
    core::MonotonicTime reportedAt_;
    std::map<core::ModelName, HostLine> lines_;
  };
  struct Total
  {
    ModelLine line_;
    std::uint32_t waiting_ = 0;
    /// Decayed number of begun requests, as of begunAt_.
    double begun_ = 0;
    core::MonotonicTime begunAt_;
  };

  void AddTotals(const Host& aHost);
  void SubtractTotals(const Host& aHost);

  std::map<core::HostId, Host> hosts_;
  std::map<core::ModelName, Total> totals_;
};

} // namespace crocusslip::admission
