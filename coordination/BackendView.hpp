#pragma once

#include "coordination/RouteTable.hpp"
#include "core/Clock.hpp"
#include "core/Ids.hpp"
#include "core/Random.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace crocusslip::coordination {

enum class BackendState : std::uint8_t
{
  Ready = 0,
  /// Finishes what it runs, and takes nothing new.
  Leaving = 1,
  Gone = 2,
};

/// What the control group tells about one backend server.
struct BackendRow
{
  core::ServerId server_;
  std::string address_;
  ServiceName service_;
  core::FailureDomainId failureDomain_;
  BackendState state_ = BackendState::Ready;
  std::uint32_t slots_ = 0;
  /// Tokens that its memory holds; 0 when it runs no models.
  std::uint64_t memoryTokens_ = 0;
  /// MODEL or MODEL/ADAPTER.
  std::set<core::ModelName> models_;
  /// Requests and tokens of all other hosts.
  std::uint32_t othersInFlight_ = 0;
  std::uint64_t othersTokens_ = 0;
  /// Time that it takes to begin a run, against the mean server of its service.
  double slowness_ = 1;
  /// Time that it takes to read one token of a prompt; 0 when not known.
  std::chrono::nanoseconds tokenTime_{ 0 };
  /// Tokens of prompts that it reads for other hosts.
  std::uint64_t othersUnreadTokens_ = 0;
  /// Several hosts had failures there lately.
  bool suspect_ = false;
};

/// Sums over runs that began, for the time that a prompt takes by its tokens.
struct PromptTimeSums
{
  double runs_ = 0;
  double tokens_ = 0;
  double micros_ = 0;
  double tokensSquared_ = 0;
  double tokensMicros_ = 0;

  void Add(const PromptTimeSums& aOther);
  void Scale(double aFactor);
};

/// What one request asks of a server.
struct BackendRequirements
{
  ServiceName service_;
  /// Empty when any server of the service will do.
  core::ModelName model_;
  std::uint64_t tokens_ = 0;
  std::uint64_t promptTokens_ = 0;
  /// Longest pause between events that its caller accepts; 0: any.
  core::Duration longestPause_{ 0 };
  /// It has waited for long: a slow place is better than none.
  bool overdue_ = false;
  /// Servers that were tried before.
  std::set<core::ServerId> tried_;
};

/// How one send to a server ended.
enum class SendOutcome : std::uint8_t
{
  Served,
  /// The server said that it did not run the request.
  Refused,
  /// The server answered with a failure, or broke off.
  Failed,
  /// No connection, or silence until the time limit.
  Unreachable,
  /// Says nothing about the server, e.g. the caller left.
  Neutral,
};

enum class BackendChoiceStatus : std::uint8_t
{
  Found,
  /// Servers could run the request but have no place at present.
  Full,
  /// No server in use has the model.
  NoModel,
  /// No server of the service is in use.
  NoServer,
};

struct BackendChoice
{
  BackendChoiceStatus status_ = BackendChoiceStatus::NoServer;
  core::ServerId server_;
  std::string address_;
};

/// One host's picture of the backend servers: what the control group told, what
/// the host's own requests do there, and what they met. Answers the load of
/// ordinary and month-end days by spreading it over places and memory, and
/// failing servers by leaving them out for a while.
class BackendView
{
public:
  explicit BackendView(core::FailureDomainId aOwn);

  void Update(BackendRow aRow);
  void Remove(const core::ServerId& aServer);
  std::vector<core::ServerId> Ids() const;

  BackendChoice Choose(const BackendRequirements& aNeed,
                       core::MonotonicTime aNow,
                       core::Random& aRandom) const;
  void OnStart(const core::ServerId& aServer, const BackendRequirements& aNeed);
  void OnFinish(const core::ServerId& aServer,
                std::uint64_t aTokens,
                SendOutcome aOutcome,
                core::MonotonicTime aNow);
  /// A run that OnStart counted has read its prompt, or never will.
  void OnPromptRead(const core::ServerId& aServer, std::uint64_t aPromptTokens);
  /// What a run at a server that was nearly idle took to read its prompt.
  void OnPromptTime(const core::ServerId& aServer,
                    std::uint64_t aTokens,
                    core::Duration aTime);
  /// Time from a send to the head of its answer.
  void OnLatency(const core::ServerId& aServer, core::Duration aTime);
  /// The server said that it does not have the model. It is believed until the
  /// control group names the model there again.
  void OnModelMissing(const core::ServerId& aServer,
                      const core::ModelName& aModel);

  struct Use
  {
    std::uint32_t inFlight_ = 0;
    std::uint64_t tokens_ = 0;
    std::uint32_t failures_ = 0;
    std::uint32_t successes_ = 0;
    std::uint32_t unreachable_ = 0;
    PromptTimeSums prompts_;
    std::uint64_t unreadTokens_ = 0;
    std::vector<core::ModelName> missing_;
  };
  /// What to report; the counts start anew.
  std::map<core::ServerId, Use> TakeUsage();
  /// Requests of all hosts at a server.
  std::uint32_t LoadOf(const core::ServerId& aServer) const;
  const BackendRow* Find(const core::ServerId& aServer) const;
  std::size_t Size() const { return servers_.size(); }

private:
  struct Server
  {
    BackendRow row_;
    Use use_;
    /// Own requests whose prompt is still being read.
    std::uint32_t beginning_ = 0;
    double latencyMs_ = 0;
    std::uint32_t failuresInRow_ = 0;
    std::optional<core::MonotonicTime> outUntil_;
    core::Duration outFor_{ 0 };
  };

  bool Out(const Server& aServer, core::MonotonicTime aNow) const;
  /// Whether the runs there would pause for too long while it reads this prompt
  /// beside those that it reads already.
  static bool HoldsUpRuns(const Server& aServer,
                          const BackendRequirements& aNeed);
  bool HasPlace(const Server& aServer, const BackendRequirements& aNeed) const;
  double Score(const Server& aServer, core::MonotonicTime aNow) const;

  const core::FailureDomainId own_;
  std::map<core::ServerId, Server> servers_;
};

} // namespace crocusslip::coordination
