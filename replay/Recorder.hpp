#pragma once

#include "protocol/TraceFile.hpp"
#include "replay/ColdStarts.hpp"
#include "replay/Measures.hpp"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace crocusslip::replay {

/// Records what happens to each request and to each replica, and sums it up.
class Recorder
{
public:
  explicit Recorder(const protocol::Trace& aTrace);

  void OnArrival(std::size_t aRequest, bool aCold);
  void OnFirstByte(std::size_t aRequest, core::MonotonicTime aNow);
  void OnAnswered(std::size_t aRequest, core::MonotonicTime aNow);
  /// A refusal, or an answer with unknown outcome.
  void OnRefused(std::size_t aRequest,
                 core::RefusalReason aReason,
                 core::Ran aRan,
                 core::MonotonicTime aNow);
  void OnRetry(std::size_t aRequest, core::RetryReason aReason);
  /// An attempt began on a server; checks that it may run again.
  void OnRun(std::size_t aRequest, core::MonotonicTime aNow);
  bool FirstByteSent(std::size_t aRequest) const;

  void OnHeld(const core::DeploymentId& aDeployment,
              const core::ServerId& aServer,
              double aAcceleratorShare,
              core::MonotonicTime aNow);
  void OnBusy(const core::DeploymentId& aDeployment,
              const core::ServerId& aServer,
              int aChange,
              core::MonotonicTime aNow);
  void OnReleased(const core::DeploymentId& aDeployment,
                  const core::ServerId& aServer,
                  core::MonotonicTime aNow);

  void OnLoad() { ++measures_.loads_; }
  void OnEviction() { ++measures_.evictions_; }
  void OnUnload() { ++measures_.unloads_; }
  void OnServerLostToRequest() { ++measures_.serversLostToRequests_; }
  void Violation(const std::string& aInvariant,
                 core::MonotonicTime aNow,
                 const std::string& aDetail);

  ColdStartLog& ColdStarts() { return coldStarts_; }

  Measures Finish(core::MonotonicTime aNow);

private:
  enum class Outcome : std::uint8_t
  {
    Pending,
    Answered,
    Refused,
  };
  struct Request
  {
    Outcome outcome_ = Outcome::Pending;
    bool arrived_ = false;
    bool cold_ = false;
    bool unknown_ = false;
    core::RefusalReason reason_ = core::RefusalReason::Internal;
    std::uint32_t runs_ = 0;
    core::MonotonicTime firstByte_;
    core::MonotonicTime answered_;
    core::MonotonicTime refused_;
  };
  struct Held
  {
    double share_ = 0;
    int busy_ = 0;
    core::MonotonicTime since_;
  };
  using Key = std::pair<core::DeploymentId, core::ServerId>;

  void AddIdle(Held& aHeld, core::MonotonicTime aNow);
  double RefusalDelay(const protocol::TraceRequest& aRequest,
                      core::MonotonicTime aRefused) const;
  void Count(std::size_t aRequest);
  bool Decided(std::size_t aRequest, core::MonotonicTime aNow);

  const protocol::Trace& trace_;
  std::vector<Request> requests_;
  double fastest_ = 1;
  ColdStartLog coldStarts_;
  std::map<Key, Held> held_;
  Measures measures_;
};

} // namespace crocusslip::replay
