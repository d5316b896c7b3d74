#include "protocol/TraceFile.hpp"

#include "protocol/JsonFields.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <istream>
#include <ostream>
#include <set>
#include <utility>

namespace crocusslip::protocol {

namespace {

using coordination::CheckpointTier;
using coordination::DeploymentKind;
using Json = nlohmann::json;

constexpr std::array<std::string_view, 7> kEventNames = {
  "store_slowed",        "store_restored",
  "failure_domain_lost", "failure_domain_restored",
  "server_leaving",      "server_killed",
  "server_restored",
};

constexpr std::uint32_t kMaxReplicas = 1U << 16U;

/// One pass over a file.
class Reader
{
public:
  Reader(std::string aName, core::Findings& aFindings)
    : name_(std::move(aName))
    , findings_(aFindings)
  {
  }

  void ReadLine(const std::string& aLine, std::uint32_t aNumber);
  Trace Finish(std::uint32_t aLines);

private:
  JsonFields Fields(const Json& aObject, std::string aPath = {})
  {
    return { aObject, name_, line_, std::move(aPath), findings_ };
  }
  template<typename Read>
  void ReadObjects(const Json& aArray, const std::string& aKey, Read aRead);

  void ReadSettings(JsonFields& aFields);
  void ReadServer(JsonFields& aFields);
  void ReadDeployment(JsonFields& aFields);
  void ReadLoadTimes(JsonFields& aFields,
                     coordination::CapacityDeployment& aDeployment);
  void ReadCached(JsonFields& aFields, TraceDeployment& aDeployment);
  void ReadRequest(JsonFields& aFields);
  void ReadEvent(JsonFields& aFields);
  void CheckOrder(JsonFields& aFields,
                  core::Duration aTime,
                  core::Duration& aLast);
  void CheckServer(JsonFields& aFields,
                   const std::string& aKey,
                   const core::ServerId& aServer);

  std::string name_;
  core::Findings& findings_;
  std::uint32_t line_ = 0;
  bool settingsRead_ = false;
  Trace trace_;
  std::set<core::ServerId> servers_;
  std::set<core::FailureDomainId> failureDomains_;
  std::set<core::DeploymentId> deployments_;
  core::Duration lastRequest_{};
  core::Duration lastEvent_{};
};

void
Reader::ReadLine(const std::string& aLine, std::uint32_t aNumber)
{
  line_ = aNumber;
  if (aLine.empty()) {
    return;
  }
  const Json object = Json::parse(aLine, nullptr, false);
  if (!object.is_object()) {
    findings_.push_back({ name_, line_, "", "not a JSON object" });
    return;
  }
  JsonFields fields = Fields(object);
  const std::string type = fields.Text("type");
  if (!settingsRead_ && type != "settings") {
    fields.Report("type", "the first line must be the settings");
    settingsRead_ = true;
    return;
  }
  if (type == "settings") {
    ReadSettings(fields);
  } else if (type == "request") {
    ReadRequest(fields);
  } else if (type == "event") {
    ReadEvent(fields);
  } else if (!type.empty()) {
    fields.Report("type", "unknown type '" + type + "'");
    return;
  }
  fields.ReportUnknown();
}

template<typename Read>
void
Reader::ReadObjects(const Json& aArray, const std::string& aKey, Read aRead)
{
  for (std::size_t i = 0; i < aArray.size(); ++i) {
    const std::string path = aKey + "[" + std::to_string(i) + "]";
    if (!aArray[i].is_object()) {
      findings_.push_back({ name_, line_, path, "must be an object" });
      continue;
    }
    JsonFields fields = Fields(aArray[i], path + ".");
    aRead(fields);
    fields.ReportUnknown();
  }
}

void
Reader::ReadSettings(JsonFields& aFields)
{
  if (settingsRead_) {
    aFields.Report("type", "settings may only be the first line");
  }
  settingsRead_ = true;
  TraceSettings& settings = trace_.settings_;
  settings.version_ = static_cast<int>(aFields.Integer("version", 0));
  if (settings.version_ != kTraceVersion) {
    aFields.Report(
      "version", "only version " + std::to_string(kTraceVersion) + " is known");
  }
  settings.name_ = aFields.Text("name");
  settings.made_ = aFields.Flag("made", false);
  settings.seed_ = aFields.Integer("seed", 0);
  settings.replayFrom_ = aFields.Seconds("replay_from_s");
  settings.measureFrom_ = aFields.Seconds("measure_from_s");
  settings.end_ = aFields.Seconds("end_s");
  if (settings.replayFrom_ > settings.measureFrom_ ||
      settings.measureFrom_ > settings.end_) {
    aFields.Report("end_s",
                   "replay_from_s, measure_from_s and end_s must be "
                   "in this order");
  }
  settings.entryHosts_ =
    static_cast<std::uint32_t>(aFields.Integer("entry_hosts", 1));
  settings.idleCost_ = aFields.Number("idle_cost");
  settings.store_.startsPerSecond_ = aFields.Number("store_starts_per_s");
  settings.store_.models_ =
    static_cast<std::uint32_t>(aFields.Integer("store_models", 1));
  settings.store_.adapters_ =
    static_cast<std::uint32_t>(aFields.Integer("store_adapters", 1));
  ReadObjects(aFields.Array("servers"), "servers", [this](JsonFields& aOne) {
    ReadServer(aOne);
  });
  ReadObjects(aFields.Array("deployments"),
              "deployments",
              [this](JsonFields& aOne) { ReadDeployment(aOne); });
}

void
Reader::ReadServer(JsonFields& aFields)
{
  TraceServer server;
  server.id_ = core::ServerId(aFields.Text("id"));
  server.failureDomain_ = core::FailureDomainId(aFields.Text("failure_domain"));
  server.memory_ = core::Bytes(aFields.Integer("memory_mib", 0) * core::kMebi);
  server.cacheMemory_ =
    core::Bytes(aFields.Integer("cache_mib", 0) * core::kMebi);
  constexpr double kSlowest = 0.001;
  server.speed_ = aFields.Number("speed", kSlowest);
  if (!servers_.insert(server.id_).second) {
    aFields.Report("id", "server is listed twice");
  }
  failureDomains_.insert(server.failureDomain_);
  trace_.settings_.servers_.push_back(std::move(server));
}

void
Reader::ReadLoadTimes(JsonFields& aFields,
                      coordination::CapacityDeployment& aDeployment)
{
  aDeployment.loadTime_ = { aFields.Seconds("load_memory_s"),
                            aFields.Seconds("load_disk_s"),
                            aFields.Seconds("load_remote_s") };
}

void
Reader::ReadCached(JsonFields& aFields, TraceDeployment& aDeployment)
{
  ReadObjects(
    aFields.Array("cached"), "cached", [this, &aDeployment](JsonFields& aOne) {
      TraceCheckpoint checkpoint;
      checkpoint.server_ = core::ServerId(aOne.Text("server"));
      const std::string tier = aOne.Text("tier");
      if (tier == "memory") {
        checkpoint.tier_ = CheckpointTier::Memory;
      } else if (tier == "disk") {
        checkpoint.tier_ = CheckpointTier::Disk;
      } else {
        aOne.Report("tier", "must be memory or disk");
      }
      CheckServer(aOne, "server", checkpoint.server_);
      aDeployment.cached_.push_back(std::move(checkpoint));
    });
  ReadObjects(
    aFields.Array("windows"), "windows", [&aDeployment](JsonFields& aOne) {
      aDeployment.windows_.push_back(
        { aOne.Seconds("start_s"), aOne.Seconds("end_s") });
    });
}

void
Reader::ReadDeployment(JsonFields& aFields)
{
  TraceDeployment deployment;
  coordination::CapacityDeployment& capacity = deployment.capacity_;
  capacity.id_ = core::DeploymentId(aFields.Text("id"));
  if (aFields.Has("base")) {
    capacity.base_ = core::DeploymentId(aFields.Text("base"));
    capacity.kind_ = DeploymentKind::Adapter;
    if (!deployments_.contains(*capacity.base_)) {
      aFields.Report("base", "must be a deployment listed before");
    }
  }
  capacity.memory_ =
    core::Bytes(aFields.Integer("memory_mib", 0) * core::kMebi);
  capacity.minReplicas_ =
    static_cast<std::uint32_t>(aFields.Integer("min_replicas", 0));
  capacity.maxReplicas_ =
    static_cast<std::uint32_t>(aFields.Integer("max_replicas", 1));
  capacity.concurrency_ =
    static_cast<std::uint32_t>(aFields.Integer("concurrency", 1));
  if (capacity.minReplicas_ > capacity.maxReplicas_ ||
      capacity.maxReplicas_ > kMaxReplicas) {
    aFields.Report("max_replicas", "out of range");
  }
  if (capacity.concurrency_ == 0) {
    aFields.Report("concurrency", "must be at least 1");
  }
  capacity.serviceTime_ = aFields.Seconds("service_s");
  ReadLoadTimes(aFields, capacity);
  ReadCached(aFields, deployment);
  for (const Json& server : aFields.Array("only_on")) {
    capacity.servers_.emplace_back(
      server.is_string() ? server.get<std::string>() : std::string());
    CheckServer(aFields, "only_on", capacity.servers_.back());
  }
  if (!deployments_.insert(capacity.id_).second) {
    aFields.Report("id", "deployment is listed twice");
  }
  trace_.settings_.deployments_.push_back(std::move(deployment));
}

void
Reader::CheckServer(JsonFields& aFields,
                    const std::string& aKey,
                    const core::ServerId& aServer)
{
  if (!aServer.Empty() && !servers_.contains(aServer)) {
    aFields.Report(aKey, "unknown server '" + aServer.Value() + "'");
  }
}

void
Reader::CheckOrder(JsonFields& aFields,
                   core::Duration aTime,
                   core::Duration& aLast)
{
  if (aTime < aLast) {
    aFields.Report("t", "earlier than a line before");
  }
  aLast = std::max(aLast, aTime);
}

void
Reader::ReadRequest(JsonFields& aFields)
{
  TraceRequest request;
  request.time_ = aFields.Seconds("t");
  request.deployment_ = core::DeploymentId(aFields.Text("deployment"));
  request.caller_ = core::CallerId(aFields.Text("caller"));
  request.deadline_ = aFields.Seconds("deadline_s");
  request.promptTokens_ =
    static_cast<std::uint32_t>(aFields.Integer("prompt_tokens", 0));
  request.outputTokens_ =
    static_cast<std::uint32_t>(aFields.Integer("output_tokens", 0));
  request.service_ = aFields.Seconds("service_s");
  request.entryHost_ =
    static_cast<std::uint32_t>(aFields.Integer("entry_host", 0));
  request.idempotent_ = aFields.Flag("idempotent", true);
  request.crashes_ = aFields.Flag("crashes", false);
  if (!request.deployment_.Empty() &&
      !deployments_.contains(request.deployment_)) {
    aFields.Report("deployment",
                   "unknown deployment '" + request.deployment_.Value() + "'");
  }
  if (request.entryHost_ >= trace_.settings_.entryHosts_) {
    aFields.Report("entry_host", "there are fewer entry hosts");
  }
  CheckOrder(aFields, request.time_, lastRequest_);
  trace_.requests_.push_back(std::move(request));
}

void
Reader::ReadEvent(JsonFields& aFields)
{
  TraceEvent event;
  event.time_ = aFields.Seconds("t");
  const std::string kind = aFields.Text("event");
  const auto* found = std::find(kEventNames.begin(), kEventNames.end(), kind);
  if (found == kEventNames.end()) {
    aFields.Report("event", "unknown event '" + kind + "'");
    return;
  }
  event.kind_ = static_cast<TraceEventKind>(found - kEventNames.begin());
  switch (event.kind_) {
    case TraceEventKind::StoreSlowed:
      event.factor_ = aFields.Number("factor", 1.0);
      break;
    case TraceEventKind::StoreRestored:
      break;
    case TraceEventKind::FailureDomainLost:
    case TraceEventKind::FailureDomainRestored:
      event.failureDomain_ =
        core::FailureDomainId(aFields.Text("failure_domain"));
      if (!failureDomains_.contains(event.failureDomain_)) {
        aFields.Report("failure_domain", "unknown failure domain");
      }
      break;
    case TraceEventKind::ServerLeaving:
    case TraceEventKind::ServerKilled:
    case TraceEventKind::ServerRestored:
      event.server_ = core::ServerId(aFields.Text("server"));
      CheckServer(aFields, "server", event.server_);
      break;
  }
  CheckOrder(aFields, event.time_, lastEvent_);
  trace_.events_.push_back(std::move(event));
}

Trace
Reader::Finish(std::uint32_t aLines)
{
  // Blank lines alone are no trace either.
  if (aLines == 0 || (!settingsRead_ && findings_.empty())) {
    findings_.push_back({ name_, 1, "", "the trace is empty" });
  }
  return std::move(trace_);
}

} // namespace

std::string_view
Name(TraceEventKind aKind)
{
  return kEventNames.at(static_cast<std::size_t>(aKind));
}

Trace
ReadTrace(std::istream& aInput,
          const std::string& aName,
          core::Findings& aFindings)
{
  Reader reader(aName, aFindings);
  std::uint32_t number = 0;
  for (std::string line; std::getline(aInput, line);) {
    reader.ReadLine(line, ++number);
  }
  return reader.Finish(number);
}

} // namespace crocusslip::protocol
