#include "state/SettingsViewReader.hpp"

#include "state/SettingsChecker.hpp"
#include "state/SettingsKeys.hpp"

#include <utility>

namespace crocusslip::state {

namespace {

/// Reads effective values of one node; a value that is not set gives the
/// type's own default.
class Reader
{
public:
  Reader(const NodeTable& aNodes, NodeIndex aNode)
    : nodes_(aNodes)
    , node_(aNode)
  {
  }

  template<typename T>
  T Get(KeyIndex aKey) const
  {
    SettingsValue value =
      node_ == kNoNode ? DefaultValue(aKey) : nodes_.Value(node_, aKey).value_;
    T* const held = std::get_if<T>(&value);
    return held == nullptr ? T() : std::move(*held);
  }

  std::uint32_t Count(KeyIndex aKey) const
  {
    return static_cast<std::uint32_t>(Get<std::int64_t>(aKey));
  }

  std::uint8_t Small(KeyIndex aKey) const
  {
    return static_cast<std::uint8_t>(Get<std::int64_t>(aKey));
  }

  std::string Text(KeyIndex aKey) const { return Get<std::string>(aKey); }

private:
  const NodeTable& nodes_;
  NodeIndex node_;
};

consteval KeyIndex
DeploymentKey(std::string_view aName)
{
  return Key(NodeKind::Deployment, aName);
}

consteval KeyIndex
ServerKey(std::string_view aName)
{
  return Key(NodeKind::Server, aName);
}

consteval KeyIndex
CallerKey(std::string_view aName)
{
  return Key(NodeKind::Caller, aName);
}

consteval KeyIndex
ModelKey(std::string_view aName)
{
  return Key(NodeKind::Model, aName);
}

consteval KeyIndex
StoreKey(std::string_view aName)
{
  return Key(NodeKind::Store, aName);
}

consteval KeyIndex
PlatformKey(std::string_view aName)
{
  return Key(NodeKind::Platform, aName);
}

DeploymentKind
KindOf(const std::string& aText)
{
  if (aText == "adapter") {
    return DeploymentKind::Adapter;
  }
  return aText == "service" ? DeploymentKind::Service : DeploymentKind::Model;
}

void
ReadIdentity(const Reader& aReader, DeploymentSettings& aSettings)
{
  aSettings.kind_ = KindOf(aReader.Text(DeploymentKey("kind")));
  aSettings.base_ = core::DeploymentId(aReader.Text(DeploymentKey("base")));
  aSettings.version_ = aReader.Text(DeploymentKey("version"));
  aSettings.pool_ = aReader.Text(DeploymentKey("pool"));
  aSettings.pathPrefix_ = aReader.Text(DeploymentKey("path_prefix"));
  for (std::string& name : aReader.Get<TextList>(DeploymentKey("callers"))) {
    if (name == "*") {
      aSettings.anyCaller_ = true;
    } else {
      aSettings.callers_.emplace_back(std::move(name));
    }
  }
}

void
ReadReplicas(const Reader& aReader, DeploymentSettings& aSettings)
{
  aSettings.maxReplicas_ = aReader.Count(DeploymentKey("max_replicas"));
  aSettings.minReplicas_ = aReader.Count(DeploymentKey("min_replicas"));
  aSettings.scaleUpQueue_ = aReader.Count(DeploymentKey("scale_up_queue"));
  aSettings.keepAliveMin_ =
    aReader.Get<core::Duration>(DeploymentKey("keep_alive_min"));
  aSettings.keepAliveMax_ =
    aReader.Get<core::Duration>(DeploymentKey("keep_alive_max"));
  aSettings.idleCost_ = aReader.Get<double>(DeploymentKey("idle_cost"));
  for (const std::string& text :
       aReader.Get<TextList>(DeploymentKey("warm_windows"))) {
    if (const auto window = ParseWarmWindow(text)) {
      aSettings.warmWindows_.push_back(*window);
    }
  }
  aSettings.utcOffset_ =
    ParseUtcOffset(aReader.Text(DeploymentKey("utc_offset")))
      .value_or(std::chrono::minutes(0));
  aSettings.orderDeadline_ =
    aReader.Get<core::Duration>(DeploymentKey("order_deadline"));
}

void
ReadLimits(const Reader& aReader, DeploymentSettings& aSettings)
{
  aSettings.deadlineDefault_ =
    aReader.Get<core::Duration>(DeploymentKey("deadline_default"));
  aSettings.deadlineMax_ =
    aReader.Get<core::Duration>(DeploymentKey("deadline_max"));
  aSettings.queueLimit_ = aReader.Count(DeploymentKey("queue_limit"));
  aSettings.queueBytes_ =
    aReader.Get<core::Bytes>(DeploymentKey("queue_bytes"));
  aSettings.priority_ = aReader.Small(DeploymentKey("priority"));
  aSettings.requestRate_ = aReader.Get<double>(DeploymentKey("request_rate"));
  aSettings.concurrency_ = aReader.Count(DeploymentKey("concurrency"));
  aSettings.bodyLimit_ = aReader.Get<core::Bytes>(DeploymentKey("body_limit"));
}

void
ReadRequestRules(const Reader& aReader, DeploymentSettings& aSettings)
{
  for (const std::string& text :
       aReader.Get<TextList>(DeploymentKey("non_idempotent"))) {
    if (auto pattern = ParseRoutePattern(text)) {
      aSettings.nonIdempotent_.push_back(std::move(*pattern));
    }
  }
  aSettings.requireIdempotencyKey_ =
    aReader.Get<bool>(DeploymentKey("require_idempotency_key"));
  aSettings.claimRetention_ =
    aReader.Get<core::Duration>(DeploymentKey("claim_retention"));
  aSettings.retryBudget_ = aReader.Get<double>(DeploymentKey("retry_budget"));
  aSettings.retryAttempts_ = aReader.Count(DeploymentKey("retry_attempts"));
  aSettings.retryBackoff_ =
    aReader.Get<core::Duration>(DeploymentKey("retry_backoff"));
  aSettings.hedgeAfter_ =
    aReader.Get<core::Duration>(DeploymentKey("hedge_after"));
  aSettings.streamResumes_ = aReader.Count(DeploymentKey("stream_resumes"));
  aSettings.crashLimit_ = aReader.Count(DeploymentKey("crash_limit"));
  aSettings.prefixAffinity_ =
    aReader.Get<bool>(DeploymentKey("prefix_affinity"));
}

} // namespace

DeploymentSettings
ReadDeployment(const NodeTable& aNodes, NodeIndex aNode)
{
  const Reader reader(aNodes, aNode);
  DeploymentSettings settings;
  settings.id_ = core::DeploymentId(aNodes.NodeName(aNode));
  ReadIdentity(reader, settings);
  settings.model_ = core::ModelName(ModelNameOf(aNodes, aNode));
  settings.memory_ = settings.kind_ == DeploymentKind::Service
                       ? core::Bytes()
                       : ReplicaMemory(aNodes, aNode).value_or(core::Bytes());
  ReadReplicas(reader, settings);
  ReadLimits(reader, settings);
  ReadRequestRules(reader, settings);
  return settings;
}

ServerSettings
ReadServer(const NodeTable& aNodes, NodeIndex aNode)
{
  const Reader reader(aNodes, aNode);
  ServerSettings settings;
  settings.id_ = core::ServerId(aNodes.NodeName(aNode));
  settings.kind_ = reader.Text(ServerKey("kind")) == "service"
                     ? ServerKind::Service
                     : ServerKind::Engine;
  settings.address_ = reader.Text(ServerKey("address"));
  const std::string host = reader.Text(ServerKey("host"));
  settings.host_ = core::HostId(host.empty() ? settings.id_.Value() : host);
  settings.failureDomain_ =
    core::FailureDomainId(reader.Text(ServerKey("failure_domain")));
  settings.memory_ = reader.Get<core::Bytes>(ServerKey("memory"));
  settings.pool_ = reader.Text(ServerKey("pool"));
  settings.slots_ = reader.Count(ServerKey("slots"));
  settings.accelerators_ = reader.Count(ServerKey("accelerators"));
  settings.fencing_ = reader.Text(ServerKey("fencing")) == "ignored"
                        ? Fencing::Ignored
                        : Fencing::Checked;
  settings.loadReporting_ = reader.Text(ServerKey("load_reports")) == "push"
                              ? LoadReporting::Push
                              : LoadReporting::Scrape;
  return settings;
}

CallerSettings
ReadCaller(const NodeTable& aNodes, NodeIndex aNode)
{
  const Reader reader(aNodes, aNode);
  CallerSettings settings;
  settings.id_ = core::CallerId(aNodes.NodeName(aNode));
  settings.keySha256_ = reader.Text(CallerKey("key_sha256"));
  settings.weight_ = reader.Get<double>(CallerKey("weight"));
  settings.priority_ = reader.Small(CallerKey("priority"));
  settings.requestRate_ = reader.Get<double>(CallerKey("request_rate"));
  settings.concurrency_ = reader.Count(CallerKey("concurrency"));
  return settings;
}

ModelSettings
ReadModel(const NodeTable& aNodes, NodeIndex aNode)
{
  const Reader reader(aNodes, aNode);
  ModelSettings settings;
  settings.id_ = core::ModelName(aNodes.NodeName(aNode));
  settings.memory_ = reader.Get<core::Bytes>(ModelKey("memory"));
  settings.checkpoint_ = reader.Get<core::Bytes>(ModelKey("checkpoint"));
  settings.loadFromMemory_ =
    reader.Get<core::Duration>(ModelKey("load_from_memory"));
  settings.loadFromDisk_ =
    reader.Get<core::Duration>(ModelKey("load_from_disk"));
  settings.loadFromRemote_ =
    reader.Get<core::Duration>(ModelKey("load_from_remote"));
  return settings;
}

StoreSettings
ReadStore(const NodeTable& aNodes)
{
  const Reader reader(aNodes, aNodes.Find(NodeKind::Store));
  StoreSettings settings;
  settings.loadsPerSecond_ = reader.Get<double>(StoreKey("loads_per_second"));
  settings.concurrentLoads_ = reader.Count(StoreKey("concurrent_loads"));
  settings.adapterLoads_ = reader.Count(StoreKey("adapter_loads"));
  return settings;
}

PlatformSettings
ReadPlatform(const NodeTable& aNodes)
{
  const Reader reader(aNodes, aNodes.Find(NodeKind::Platform));
  PlatformSettings settings;
  settings.hostListUrl_ = reader.Text(PlatformKey("host_list_url"));
  settings.pollInterval_ =
    reader.Get<core::Duration>(PlatformKey("poll_interval"));
  return settings;
}

} // namespace crocusslip::state
