#pragma once

#include "core/Error.hpp"
#include "core/Ids.hpp"
#include "core/Units.hpp"
#include "protocol/HttpMessage.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Control of engines over HTTP, one variant per dialect.
namespace crocusslip::protocol {

enum class ArtifactKind : std::uint8_t
{
  Model,
  Adapter,
};

/// A load or unload as the engine is told of it.
struct EngineOrder
{
  core::OrderId order_;
  /// Fencing number.
  core::Term fencing_;
  ArtifactKind kind_ = ArtifactKind::Model;
  /// The deployment is the name under which the engine serves the artifact.
  core::DeploymentId deployment_;
  core::ModelName model_;
  core::DeploymentId base_;
  std::string version_;
  core::Bytes memory_;
};

enum class EngineReply : std::uint8_t
{
  Done,
  Refused,
  /// The engine has seen a newer fencing number.
  Fenced,
  /// The answer does not tell.
  Unclear,
};

enum class EngineArtifactState : std::uint8_t
{
  Loading,
  Ready,
  Unloading,
};

struct EngineArtifact
{
  core::DeploymentId deployment_;
  core::Bytes memory_;
  EngineArtifactState state_ = EngineArtifactState::Ready;
};

/// An engine's own list of what it holds.
struct EngineList
{
  /// Changes with each start of the engine; empty if it does not tell.
  std::string instance_;
  std::vector<EngineArtifact> artifacts_;
};

struct EngineLoad
{
  std::uint32_t running_ = 0;
  std::uint32_t queued_ = 0;
};

/// What an engine says about a token stream at its head. Positions count data
/// events, one for each token.
struct StreamOffer
{
  std::string generationId_;
  /// Revision of model and adapter.
  std::string modelRevision_;
  /// Id under which the engine continues a broken stream; empty: it doesn't.
  std::string resumeId_;
  /// Whether the engine exports the generation's KV cache.
  bool exports_ = false;
  /// Position of the first event.
  std::uint64_t from_ = 0;
};

/// A KV cache that another engine can fetch from the one that exported it.
struct KvExport
{
  std::string location_;
  /// Tokens that it covers.
  std::uint64_t tokens_ = 0;
};

/// Open Inference Protocol v2 model repository calls, the customary calls for
/// adapters and Prometheus text. A stream is continued as an event source is
/// reconnected, by Last-Event-ID; here the id is the event's position.
class RepositoryDialect
{
public:
  HttpRequest Load(const EngineOrder& aOrder) const;
  HttpRequest Unload(const EngineOrder& aOrder) const;
  HttpRequest List() const;
  /// A list call that carries a fencing number.
  HttpRequest Touch(core::Term aFencing) const;
  HttpRequest Metrics() const;

  EngineReply ReadReply(const HttpResponse& aResponse) const;
  core::Result<EngineList> ReadList(const HttpResponse& aResponse) const;
  /// Nothing when the answer has none of the known gauges.
  std::optional<EngineLoad> ReadMetrics(const HttpResponse& aResponse) const;

  /// Continues a broken stream with the event at a position.
  HttpRequest Resume(const std::string& aResumeId, std::uint64_t aFrom) const;
  /// Asks for a KV cache that covers at most so many tokens.
  HttpRequest Export(const std::string& aGenerationId,
                     std::uint64_t aTokens) const;
  /// Continues a generation from an exported KV cache.
  HttpRequest Import(const core::DeploymentId& aDeployment,
                     const std::string& aLocation) const;
  /// Nothing when the engine names no generation.
  std::optional<StreamOffer> ReadStreamHead(const HttpResponse& aHead) const;
  std::optional<KvExport> ReadExport(const HttpResponse& aResponse) const;
};

using EngineDialect = std::variant<RepositoryDialect>;

inline constexpr std::string_view kFencingHeader = "X-Fencing-Number";
inline constexpr std::string_view kOrderHeader = "X-Order-Id";
inline constexpr std::string_view kInstanceHeader = "X-Instance-Id";
inline constexpr std::string_view kRequestHeader = "X-Request-Id";
inline constexpr std::string_view kAttemptHeader = "X-Attempt";
inline constexpr std::string_view kPriorityHeader = "X-Priority";
inline constexpr std::string_view kDeadlineHeader = "X-Request-Deadline-Ms";
/// An engine or service that answers an error sets it when nothing ran.
inline constexpr std::string_view kNotRunHeader = "X-Not-Run";
inline constexpr std::string_view kGenerationHeader = "X-Generation-Id";
inline constexpr std::string_view kRevisionHeader = "X-Model-Revision";
inline constexpr std::string_view kResumeHeader = "X-Resume-Id";
/// "1" when the generation's KV cache can be exported.
inline constexpr std::string_view kKvExportHeader = "X-Kv-Export";
/// Position of the first event of a continued stream.
inline constexpr std::string_view kFromHeader = "X-Stream-From";
inline constexpr std::string_view kLastEventHeader = "Last-Event-ID";

} // namespace crocusslip::protocol
