#include "protocol/TraceFile.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <ostream>

namespace crocusslip::protocol {

namespace {

using coordination::CheckpointTier;
using Json = nlohmann::ordered_json;

/// Seconds, rounded to milliseconds to keep files small.
Json
Seconds(core::Duration aDuration)
{
  const double seconds = std::chrono::duration<double>(aDuration).count();
  const double millis = std::round(seconds * 1000);
  if (std::fmod(millis, 1000) == 0) {
    return static_cast<std::int64_t>(millis / 1000);
  }
  return millis / 1000;
}

Json
ToJson(const TraceServer& aServer)
{
  return { { "id", aServer.id_.Value() },
           { "failure_domain", aServer.failureDomain_.Value() },
           { "memory_mib", aServer.memory_.Count() / core::kMebi },
           { "cache_mib", aServer.cacheMemory_.Count() / core::kMebi },
           { "speed", aServer.speed_ } };
}

Json
ToJson(const TraceDeployment& aDeployment)
{
  const coordination::CapacityDeployment& capacity = aDeployment.capacity_;
  Json json = { { "id", capacity.id_.Value() } };
  if (capacity.base_) {
    json["base"] = capacity.base_->Value();
  }
  json["memory_mib"] = capacity.memory_.Count() / core::kMebi;
  json["min_replicas"] = capacity.minReplicas_;
  json["max_replicas"] = capacity.maxReplicas_;
  json["concurrency"] = capacity.concurrency_;
  json["service_s"] = Seconds(capacity.serviceTime_);
  json["load_memory_s"] = Seconds(capacity.loadTime_[0]);
  json["load_disk_s"] = Seconds(capacity.loadTime_[1]);
  json["load_remote_s"] = Seconds(capacity.loadTime_[2]);
  for (const TraceCheckpoint& checkpoint : aDeployment.cached_) {
    const bool memory = checkpoint.tier_ == CheckpointTier::Memory;
    json["cached"].push_back({ { "server", checkpoint.server_.Value() },
                               { "tier", memory ? "memory" : "disk" } });
  }
  for (const coordination::CalendarWindow& window : aDeployment.windows_) {
    json["windows"].push_back({ { "start_s", Seconds(window.start_) },
                                { "end_s", Seconds(window.end_) } });
  }
  for (const core::ServerId& server : capacity.servers_) {
    json["only_on"].push_back(server.Value());
  }
  return json;
}

Json
ToJson(const TraceSettings& aSettings)
{
  Json json = { { "type", "settings" },
                { "version", aSettings.version_ },
                { "name", aSettings.name_ },
                { "made", aSettings.made_ },
                { "seed", aSettings.seed_ },
                { "replay_from_s", Seconds(aSettings.replayFrom_) },
                { "measure_from_s", Seconds(aSettings.measureFrom_) },
                { "end_s", Seconds(aSettings.end_) },
                { "entry_hosts", aSettings.entryHosts_ },
                { "idle_cost", aSettings.idleCost_ },
                { "store_starts_per_s", aSettings.store_.startsPerSecond_ },
                { "store_models", aSettings.store_.models_ },
                { "store_adapters", aSettings.store_.adapters_ } };
  json["servers"] = Json::array();
  for (const TraceServer& server : aSettings.servers_) {
    json["servers"].push_back(ToJson(server));
  }
  json["deployments"] = Json::array();
  for (const TraceDeployment& deployment : aSettings.deployments_) {
    json["deployments"].push_back(ToJson(deployment));
  }
  return json;
}

Json
ToJson(const TraceRequest& aRequest)
{
  Json json = { { "type", "request" },
                { "t", Seconds(aRequest.time_) },
                { "deployment", aRequest.deployment_.Value() },
                { "caller", aRequest.caller_.Value() },
                { "deadline_s", Seconds(aRequest.deadline_) },
                { "prompt_tokens", aRequest.promptTokens_ },
                { "output_tokens", aRequest.outputTokens_ },
                { "service_s", Seconds(aRequest.service_) },
                { "entry_host", aRequest.entryHost_ } };
  if (!aRequest.idempotent_) {
    json["idempotent"] = false;
  }
  if (aRequest.crashes_) {
    json["crashes"] = true;
  }
  return json;
}

Json
ToJson(const TraceEvent& aEvent)
{
  Json json = { { "type", "event" },
                { "t", Seconds(aEvent.time_) },
                { "event", Name(aEvent.kind_) } };
  if (aEvent.kind_ == TraceEventKind::StoreSlowed) {
    json["factor"] = aEvent.factor_;
  }
  if (!aEvent.failureDomain_.Empty()) {
    json["failure_domain"] = aEvent.failureDomain_.Value();
  }
  if (!aEvent.server_.Empty()) {
    json["server"] = aEvent.server_.Value();
  }
  return json;
}

} // namespace

void
WriteTrace(const Trace& aTrace, std::ostream& aOutput)
{
  aOutput << ToJson(aTrace.settings_).dump() << '\n';
  auto event = aTrace.events_.begin();
  for (const TraceRequest& request : aTrace.requests_) {
    for (; event != aTrace.events_.end() && event->time_ <= request.time_;
         ++event) {
      aOutput << ToJson(*event).dump() << '\n';
    }
    aOutput << ToJson(request).dump() << '\n';
  }
  for (; event != aTrace.events_.end(); ++event) {
    aOutput << ToJson(*event).dump() << '\n';
  }
}

} // namespace crocusslip::protocol
