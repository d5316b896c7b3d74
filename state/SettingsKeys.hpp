#pragma once

#include "state/SettingsSchema.hpp"

#include <array>

/// The rows of the key table; used through state/SettingsSchema.hpp.
namespace crocusslip::state {

inline constexpr NodeKinds kDeploymentTree =
  Bit(NodeKind::Root) | Bit(NodeKind::Group) | Bit(NodeKind::Deployment);
inline constexpr NodeKinds kBelowRoot =
  Bit(NodeKind::Group) | Bit(NodeKind::Deployment);
inline constexpr NodeKinds kDeployment = Bit(NodeKind::Deployment);
inline constexpr NodeKinds kServer = Bit(NodeKind::Server);
inline constexpr NodeKinds kCaller = Bit(NodeKind::Caller);
inline constexpr NodeKinds kModel = Bit(NodeKind::Model);
inline constexpr NodeKinds kStore = Bit(NodeKind::Store);
inline constexpr NodeKinds kPlatform = Bit(NodeKind::Platform);

inline constexpr double kHour = 3600;
inline constexpr double kDay = 24 * kHour;
inline constexpr double kGibibyte = static_cast<double>(core::kGibi);
inline constexpr double kTebibyte = 1024 * kGibibyte;
inline constexpr double kMaxCount = 1000000;

// clang-format off
inline constexpr auto kSettingsKeys = std::to_array<SettingsKey>({
  { "parent", kBelowRoot, ValueType::Text, "", "", false, 0, 0, "",
    "Name of the group whose values this node inherits; without it, the root." },
  { "kind", kDeploymentTree, ValueType::Choice, "", "\"model\"", true, 0, 0,
    "model|adapter|service",
    "What the deployment serves: a model, an adapter of a model, or a plain HTTP service." },
  { "model", kDeployment, ValueType::Text, "", "", false, 0, 0, "",
    "Name under which the engine knows the model or adapter; default: the deployment's name." },
  { "base", kDeploymentTree, ValueType::Text, "", "", true, 0, 0, "",
    "For an adapter: the deployment of its base model." },
  { "version", kDeploymentTree, ValueType::Text, "", "\"1\"", true, 0, 0, "",
    "Version that the engine is ordered to load." },
  { "pool", kDeploymentTree, ValueType::Text, "", "\"default\"", true, 0, 0, "",
    "Pool of backend servers that may run the deployment." },
  { "path_prefix", kDeployment, ValueType::Text, "", "", false, 0, 0, "",
    "For a service: first part of the paths that are sent to it, e.g. \"/deposits\"." },
  { "callers", kDeploymentTree, ValueType::TextList, "", "[]", true, 0, 0, "",
    "Callers that may use the deployment; \"*\" stands for every known caller." },
  { "max_replicas", kDeploymentTree, ValueType::Integer, "replicas", "1", true, 1, 12000, "",
    "Most replicas that may be loaded at once." },
  { "min_replicas", kDeploymentTree, ValueType::Integer, "replicas", "0", true, 0, 12000, "",
    "Replicas that stay loaded even when idle." },
  { "scale_up_queue", kDeploymentTree, ValueType::Integer, "requests", "8", true, 1, kMaxCount, "",
    "Waiting requests per loaded replica above which another replica is decided." },
  { "memory", kDeploymentTree, ValueType::Size, "", "", true, 1, 64 * kTebibyte, "",
    "Memory that one replica takes on a backend server; default: that of the model." },
  { "keep_alive_min", kDeploymentTree, ValueType::Duration, "", "\"30s\"", true, 0, 31 * kDay, "",
    "Least time that an idle replica stays loaded." },
  { "keep_alive_max", kDeploymentTree, ValueType::Duration, "", "\"30m\"", true, 0, 31 * kDay, "",
    "Greatest time that an idle replica stays loaded." },
  { "idle_cost", kDeploymentTree, ValueType::Number, "", "1.0", true, 0, 1000, "",
    "Trades cold starts against idle accelerator time: larger values unload sooner, 0 keeps replicas up to keep_alive_max." },
  { "warm_windows", kDeploymentTree, ValueType::TextList, "", "[]", true, 0, 0, "",
    "Times at which one replica is loaded ahead of requests, e.g. \"Sun 09:00-12:00\", \"Mon-Fri 04:00-06:00\", \"daily 04:00-06:00\", \"day 28-31 08:00-18:00\"." },
  { "utc_offset", kDeploymentTree, ValueType::Text, "", "\"+00:00\"", true, 0, 0, "",
    "Offset of the local time in warm_windows from UTC." },
  { "deadline_default", kDeploymentTree, ValueType::Duration, "", "\"30s\"", true, 0.001, kDay, "",
    "Deadline of a request that names none." },
  { "deadline_max", kDeploymentTree, ValueType::Duration, "", "\"10m\"", true, 0.001, kDay, "",
    "Longest deadline that a request may ask for." },
  { "queue_limit", kDeploymentTree, ValueType::Integer, "requests", "256", true, 0, kMaxCount, "",
    "Most requests that wait in one entry host." },
  { "queue_bytes", kDeploymentTree, ValueType::Size, "", "\"16MiB\"", true, 0, kTebibyte, "",
    "Most bytes of bodies that wait in one entry host." },
  { "priority", kDeploymentTree, ValueType::Integer, "", "4", true, 0, 9, "",
    "Priority of requests and loads of the deployment; 9 is the most urgent." },
  { "request_rate", kDeploymentTree, ValueType::Number, "requests/s", "0", true, 0, kMaxCount, "",
    "Most requests a second through one entry host; 0 is no limit." },
  { "concurrency", kDeploymentTree, ValueType::Integer, "requests", "0", true, 0, kMaxCount, "",
    "Most requests in progress in one entry host; 0 is no limit." },
  { "non_idempotent", kDeploymentTree, ValueType::TextList, "", "[]", true, 0, 0, "",
    "Methods and paths whose requests run at most once, e.g. \"POST /deposits\", \"* /orders/*\"." },
  { "require_idempotency_key", kDeploymentTree, ValueType::Boolean, "", "true", true, 0, 0, "",
    "Whether a non-idempotent request without an Idempotency-Key is refused; otherwise it is sent once and never retried." },
  { "claim_retention", kDeploymentTree, ValueType::Duration, "", "\"7d\"", true, kHour, 31 * kDay, "",
    "Time for which the answer to a non-idempotent request is kept under its key." },
  { "order_deadline", kDeploymentTree, ValueType::Duration, "", "\"2m\"", true, 0.1, kHour, "",
    "Time after which an order to a backend server is no longer sent and its outcome is looked up." },
  { "retry_budget", kDeploymentTree, ValueType::Number, "share of requests", "0.1", true, 0, 1, "",
    "Retries as a share of first attempts." },
  { "retry_attempts", kDeploymentTree, ValueType::Integer, "attempts", "3", true, 1, 10, "",
    "Most attempts for one request, including the first." },
  { "retry_backoff", kDeploymentTree, ValueType::Duration, "", "\"20ms\"", true, 0, 60, "",
    "Mean delay before the first retry; doubles with each further one." },
  { "hedge_after", kDeploymentTree, ValueType::Duration, "", "\"0s\"", true, 0, kHour, "",
    "Delay after which an idempotent request is also sent to a second server; 0 is never." },
  { "stream_resumes", kDeploymentTree, ValueType::Integer, "resumes", "2", true, 0, 10, "",
    "Times that one token stream is resumed after it broke before its closing event; 0 is never." },
  { "crash_limit", kDeploymentTree, ValueType::Integer, "servers", "2", true, 1, 2, "",
    "Backend servers that one request may be lost on before it is quarantined." },
  { "body_limit", kDeploymentTree, ValueType::Size, "", "\"4MiB\"", true, 1, kGibibyte, "",
    "Largest request body." },
  { "prefix_affinity", kDeploymentTree, ValueType::Boolean, "", "true", true, 0, 0, "",
    "Whether requests prefer servers that probably hold their prompt prefix in cache." },

  { "address", kServer, ValueType::Text, "", "", false, 0, 0, "",
    "IP address and port of the backend server, e.g. \"10.0.3.7:8000\"." },
  { "host", kServer, ValueType::Text, "", "", false, 0, 0, "",
    "Host in the platform's list on which the server runs; default: the server's name." },
  { "failure_domain", kServer, ValueType::Text, "", "", false, 0, 0, "",
    "Failure domain of the server." },
  { "kind", kServer, ValueType::Choice, "", "\"engine\"", false, 0, 0, "engine|service",
    "Whether the server is an engine, which loads models, or a plain HTTP service." },
  { "memory", kServer, ValueType::Size, "", "\"0B\"", false, 0, 64 * kTebibyte, "",
    "Memory for models and adapters." },
  { "pool", kServer, ValueType::Text, "", "\"default\"", false, 0, 0, "",
    "Pool to which the server belongs." },
  { "slots", kServer, ValueType::Integer, "requests", "32", false, 1, kMaxCount, "",
    "Requests that the server runs at once without slowing down." },
  { "accelerators", kServer, ValueType::Integer, "accelerators", "1", false, 0, 1024, "",
    "Accelerators of the server; weighs its idle time." },
  { "fencing", kServer, ValueType::Choice, "", "\"checked\"", false, 0, 0, "checked|ignored",
    "Whether the engine refuses an order with a stale fencing number." },
  { "load_reports", kServer, ValueType::Choice, "", "\"scrape\"", false, 0, 0, "scrape|push",
    "Whether load is read from the server's /metrics or pushed by it." },

  { "key_sha256", kCaller, ValueType::Text, "", "", false, 0, 0, "",
    "SHA-256 of the caller's API key, 64 hexadecimal digits." },
  { "weight", kCaller, ValueType::Number, "", "1.0", false, 0.001, 1000, "",
    "Share of the caller in fair queueing." },
  { "priority", kCaller, ValueType::Integer, "", "4", false, 0, 9, "",
    "Priority of the caller's requests; 9 is the most urgent." },
  { "request_rate", kCaller, ValueType::Number, "requests/s", "0", false, 0, kMaxCount, "",
    "Most requests a second through one entry host; 0 is no limit." },
  { "concurrency", kCaller, ValueType::Integer, "requests", "0", false, 0, kMaxCount, "",
    "Most requests in progress in one entry host; 0 is no limit." },

  { "memory", kModel, ValueType::Size, "", "", false, 1, 64 * kTebibyte, "",
    "Memory that one replica takes on a backend server." },
  { "checkpoint", kModel, ValueType::Size, "", "", false, 1, 64 * kTebibyte, "",
    "Size of the checkpoint." },
  { "load_from_memory", kModel, ValueType::Duration, "", "\"1s\"", false, 0, kHour, "",
    "Expected load time when the checkpoint is cached in memory." },
  { "load_from_disk", kModel, ValueType::Duration, "", "\"5s\"", false, 0, kHour, "",
    "Expected load time when the checkpoint is cached on disk." },
  { "load_from_remote", kModel, ValueType::Duration, "", "\"20s\"", false, 0, kHour, "",
    "Expected load time from the weight store at full speed." },

  { "loads_per_second", kStore, ValueType::Number, "loads/s", "8.0", false, 0.01, kMaxCount, "",
    "Model loads a second that the weight store sustains." },
  { "concurrent_loads", kStore, ValueType::Integer, "loads", "4", false, 1, 10000, "",
    "Model loads at once that the weight store serves at full speed." },
  { "adapter_loads", kStore, ValueType::Integer, "loads", "32", false, 1, 10000, "",
    "Adapter loads in flight that the weight store serves at full speed." },

  { "host_list_url", kPlatform, ValueType::Text, "", "", false, 0, 0, "",
    "Address of the platform's list of live and leaving hosts; without it, no list is read." },
  { "poll_interval", kPlatform, ValueType::Duration, "", "\"1s\"", false, 0.1, kHour, "",
    "Time between two reads of the list." },
});
// clang-format on

/// Position of a key of this kind of node; an unknown name does not compile.
consteval KeyIndex
Key(NodeKind aKind, std::string_view aName)
{
  for (std::size_t i = 0; i < kSettingsKeys.size(); ++i) {
    if ((kSettingsKeys[i].places_ & Bit(aKind)) != 0 &&
        kSettingsKeys[i].name_ == aName) {
      return static_cast<KeyIndex>(i);
    }
  }
  throw "unknown settings key";
}

} // namespace crocusslip::state
