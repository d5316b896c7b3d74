#include "protocol/EngineDialect.hpp"

#include <nlohmann/json.hpp>

#include <cmath>
#include <cstdlib>
#include <string_view>

namespace crocusslip::protocol {

namespace {

using nlohmann::json;

constexpr std::uint16_t kPreconditionFailed = 412;
/// More entries than any engine holds; a longer list is refused.
constexpr std::size_t kMaxListed = 100'000;

HttpRequest
Post(std::string aPath, const json& aBody)
{
  HttpRequest request;
  request.method_ = "POST";
  request.path_ = std::move(aPath);
  request.headers_.Set("Content-Type", "application/json");
  request.body_ = aBody.dump();
  return request;
}

void
Mark(HttpRequest& aRequest, const EngineOrder& aOrder)
{
  aRequest.headers_.Set(kFencingHeader,
                        std::to_string(aOrder.fencing_.Value()));
  aRequest.headers_.Set(kOrderHeader, std::to_string(aOrder.order_.Value()));
}

std::optional<EngineArtifactState>
StateNamed(std::string_view aName)
{
  if (aName == "READY") {
    return EngineArtifactState::Ready;
  }
  if (aName == "LOADING") {
    return EngineArtifactState::Loading;
  }
  if (aName == "UNLOADING") {
    return EngineArtifactState::Unloading;
  }
  return std::nullopt;
}

// Sum of all samples of one metric in Prometheus text.
std::optional<double>
SumOf(std::string_view aText, std::string_view aName)
{
  std::optional<double> sum;
  while (!aText.empty()) {
    const std::size_t end = std::min(aText.find('\n'), aText.size());
    const std::string line(aText.substr(0, end));
    aText.remove_prefix(std::min(end + 1, aText.size()));
    const bool named = line.compare(0, aName.size(), aName) == 0 &&
                       line.size() > aName.size() &&
                       (line[aName.size()] == ' ' || line[aName.size()] == '{');
    if (!named) {
      continue;
    }
    const std::size_t brace = line.rfind('}');
    const std::size_t value =
      line.find(' ', brace == std::string::npos ? aName.size() : brace);
    if (value != std::string::npos) {
      const double number = std::strtod(line.c_str() + value, nullptr);
      if (std::isfinite(number) && number >= 0) {
        sum = sum.value_or(0) + number;
      }
    }
  }
  return sum;
}

} // namespace

HttpRequest
RepositoryDialect::Load(const EngineOrder& aOrder) const
{
  const std::string& name = aOrder.deployment_.Value();
  HttpRequest request;
  if (aOrder.kind_ == ArtifactKind::Adapter) {
    request = Post("/v1/load_lora_adapter",
                   { { "lora_name", name },
                     { "lora_path", aOrder.model_.Value() },
                     { "base_model_name", aOrder.base_.Value() },
                     { "memory_bytes", aOrder.memory_.Count() } });
  } else {
    request = Post("/v2/repository/models/" + name + "/load",
                   { { "parameters",
                       { { "checkpoint", aOrder.model_.Value() },
                         { "version", aOrder.version_ },
                         { "memory_bytes", aOrder.memory_.Count() } } } });
  }
  Mark(request, aOrder);
  return request;
}

HttpRequest
RepositoryDialect::Unload(const EngineOrder& aOrder) const
{
  const std::string& name = aOrder.deployment_.Value();
  HttpRequest request =
    aOrder.kind_ == ArtifactKind::Adapter
      ? Post("/v1/unload_lora_adapter", { { "lora_name", name } })
      : Post("/v2/repository/models/" + name + "/unload", json::object());
  Mark(request, aOrder);
  return request;
}

HttpRequest
RepositoryDialect::List() const
{
  return Post("/v2/repository/index", json::object());
}

HttpRequest
RepositoryDialect::Touch(core::Term aFencing) const
{
  HttpRequest request = List();
  request.headers_.Set(kFencingHeader, std::to_string(aFencing.Value()));
  return request;
}

HttpRequest
RepositoryDialect::Metrics() const
{
  HttpRequest request;
  request.method_ = "GET";
  request.path_ = "/metrics";
  return request;
}

EngineReply
RepositoryDialect::ReadReply(const HttpResponse& aResponse) const
{
  if (aResponse.status_ == kPreconditionFailed) {
    return EngineReply::Fenced;
  }
  if (aResponse.status_ >= 200 && aResponse.status_ < 300) {
    return EngineReply::Done;
  }
  if (aResponse.status_ >= 400 && aResponse.status_ < 500) {
    return EngineReply::Refused;
  }
  return aResponse.headers_.Find(kNotRunHeader) ? EngineReply::Refused
                                                : EngineReply::Unclear;
}

core::Result<EngineList>
RepositoryDialect::ReadList(const HttpResponse& aResponse) const
{
  const core::Error invalid{ make_error_code(core::Errc::InvalidInput),
                             "engine list" };
  if (aResponse.status_ != 200) {
    return core::Error{ make_error_code(core::Errc::Unavailable),
                        "engine list answered " +
                          std::to_string(aResponse.status_) };
  }
  const json document = json::parse(aResponse.body_, nullptr, false);
  if (!document.is_array() || document.size() > kMaxListed) {
    return invalid;
  }
  EngineList list;
  list.instance_ = aResponse.headers_.Find(kInstanceHeader).value_or("");
  for (const json& item : document) {
    if (!item.is_object() || !item.contains("name") ||
        !item["name"].is_string()) {
      return invalid;
    }
    const auto state = item.find("state");
    const std::string stateName = state != item.end() && state->is_string()
                                    ? state->get<std::string>()
                                    : "READY";
    const auto phase = StateNamed(stateName);
    if (!phase) {
      continue;
    }
    const auto memory = item.find("memory_bytes");
    const bool known = memory != item.end() && memory->is_number_unsigned();
    list.artifacts_.push_back(
      { core::DeploymentId(item["name"].get<std::string>()),
        core::Bytes(known ? memory->get<std::uint64_t>() : 0),
        *phase });
  }
  return list;
}

std::optional<EngineLoad>
RepositoryDialect::ReadMetrics(const HttpResponse& aResponse) const
{
  if (aResponse.status_ != 200) {
    return std::nullopt;
  }
  const auto running = SumOf(aResponse.body_, "engine_requests_running");
  const auto queued = SumOf(aResponse.body_, "engine_requests_waiting");
  if (!running) {
    return std::nullopt;
  }
  constexpr double kMost = 1e9;
  return EngineLoad{ static_cast<std::uint32_t>(std::min(*running, kMost)),
                     static_cast<std::uint32_t>(
                       std::min(queued.value_or(0), kMost)) };
}

} // namespace crocusslip::protocol
