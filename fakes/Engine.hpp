#pragma once

#include "core/Clock.hpp"
#include "core/Units.hpp"
#include "fakes/EventLog.hpp"
#include "protocol/HttpMessage.hpp"
#include "transport/HttpClient.hpp"
#include "transport/HttpServer.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace crocusslip::fakes {

struct Generation;

struct EngineSettings
{
  std::string name_;
  core::Bytes memory_{ 24 * core::kGibi };
  std::chrono::milliseconds loadTime_{ 800 };
  std::chrono::milliseconds adapterLoadTime_{ 10 };
  std::chrono::milliseconds firstToken_{ 30 };
  std::chrono::milliseconds betweenTokens_{ 20 };
  std::uint32_t slots_ = 8;
  /// Refuse orders with a fencing number lower than one seen before.
  bool checksFencing_ = true;
  /// Base address of the weight store; empty: loads take loadTime_.
  std::string store_;
  /// A body that holds this text ends the process; empty: none does.
  std::string crashOn_;
  /// Continue broken streams.
  bool resumes_ = false;
  /// Export and import KV caches.
  bool exports_ = false;
};

/// Faults that can be switched while the engine runs.
struct EngineFaults
{
  /// Answers requests with 503 and X-Not-Run: leaving.
  bool leaving_ = false;
  /// Carries out orders without answering them.
  bool loseOrderAnswers_ = false;
  /// Breaks each stream after this many tokens; 0: none.
  std::uint64_t breakStreamAfter_ = 0;
  /// Streams that are broken before the fault ends; 0: no limit.
  std::uint64_t breakStreams_ = 0;
  /// Breaks only streams that are not continuations.
  bool breakNewStreams_ = false;
  /// Ends a broken stream in the middle of an event.
  bool breakInsideEvent_ = false;
  /// Continues a stream with another generation.
  bool otherGeneration_ = false;
  /// Makes other tokens under the same generation id.
  bool otherTokens_ = false;
  /// Has lost the state of its streams.
  bool forgetStreams_ = false;
};

/// Stand-in of a model engine: OpenAI-compatible completions with batching up
/// to its slots, repository and adapter calls, load metrics.
class Engine
{
public:
  Engine(EngineSettings aSettings,
         EventLog& aLog,
         transport::HttpClient& aClient);

  void Handle(const std::shared_ptr<transport::HttpExchange>& aExchange);

private:
  enum class Phase : std::uint8_t
  {
    Loading,
    Ready,
    Unloading,
  };
  struct Artifact
  {
    Phase phase_ = Phase::Loading;
    core::Bytes memory_;
    std::uint32_t running_ = 0;
    std::string revision_;
  };
  using ExchangePtr = std::shared_ptr<transport::HttpExchange>;

  bool Fenced(const protocol::HttpRequest& aRequest);
  void Index(const ExchangePtr& aExchange);
  void Load(const ExchangePtr& aExchange,
            const std::string& aName,
            core::Bytes aMemory,
            const std::string& aRevision,
            bool aAdapter);
  void Loaded(const ExchangePtr& aExchange, const std::string& aName);
  void SetFaults(const ExchangePtr& aExchange);
  void AnswerOrder(const ExchangePtr& aExchange,
                   protocol::HttpResponse aResponse);
  void LogState(const std::string& aEvent, const std::string& aName);
  void Unload(const ExchangePtr& aExchange, const std::string& aName);
  void Complete(const ExchangePtr& aExchange, bool aChat);
  void StartStream(const std::shared_ptr<Generation>& aGeneration);
  void HandleStreams(const ExchangePtr& aExchange);
  void Resume(const ExchangePtr& aExchange, const std::string& aId);
  void Export(const ExchangePtr& aExchange, const std::string& aId);
  void SendExport(const ExchangePtr& aExchange, const std::string& aId);
  void Import(const ExchangePtr& aExchange);
  void Imported(const ExchangePtr& aExchange,
                const std::string& aModel,
                const std::string& aState);
  void Continue(const std::shared_ptr<Generation>& aGeneration,
                const std::string& aEvent);
  void BreakStream(Generation& aGeneration);
  void NextToken(const std::shared_ptr<Generation>& aGeneration);
  void Finish(const std::shared_ptr<Generation>& aGeneration);
  void Metrics(const ExchangePtr& aExchange);
  core::Bytes Used() const;

  const EngineSettings settings_;
  EventLog& log_;
  transport::HttpClient& client_;
  const std::string instance_;
  std::mutex mutex_;
  EngineFaults faults_;
  std::map<std::string, Artifact> artifacts_;
  std::uint64_t highestFencing_ = 0;
  std::uint32_t running_ = 0;
  std::uint64_t nextGeneration_ = 1;
  /// Generations whose streams may be continued, by their ids.
  std::map<std::string, std::shared_ptr<Generation>> kept_;
};

} // namespace crocusslip::fakes
