#pragma once

#include "core/Clock.hpp"
#include "core/Ids.hpp"
#include "core/Reasons.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

/// Decides how to continue a token stream that broke before its closing event.
namespace crocusslip::coordination {

/// Identifies the generation whose tokens a caller receives.
struct Generation
{
  core::DeploymentId deployment_;
  /// Revision of model and adapter; other revisions generate other tokens.
  std::string modelRevision_;
  /// Assigned by the engine at the start of the generation.
  std::string generationId_;

  friend bool operator==(const Generation&, const Generation&) = default;
};

struct BrokenStream
{
  Generation generation_;
  core::ServerId server_;
  /// Number of tokens already sent to the caller.
  std::uint64_t tokens_ = 0;
  /// Whether the tokens so far determine the remaining ones: fixed seed or
  /// greedy decoding.
  bool deterministic_ = false;
  /// Id under which the engine can resume the stream; empty when it can't.
  std::string resumeId_;
  /// Whether the engine of the stream is still reachable.
  bool engineReachable_ = false;
  /// Exported KV cache of this generation; empty when there is none.
  std::string kvExport_;
  /// Number of tokens that the export covers.
  std::uint64_t kvTokens_ = 0;
  std::uint32_t resumes_ = 0;
  core::MonotonicTime deadline_;
};

/// Another engine that can import the KV cache.
struct ResumeTarget
{
  core::ServerId server_;
  std::string modelRevision_;
};

struct ResumeSettings
{
  std::uint32_t maxResumes_ = 2;
};

/// Continue on the same engine from the token after the last one delivered.
struct ResumeAtEngine
{
  std::string resumeId_;
  std::uint64_t fromToken_ = 0;
};

/// Continue on another engine from the exported KV cache.
struct ResumeFromExport
{
  core::ServerId server_;
  std::string kvExport_;
  std::uint64_t fromToken_ = 0;
  /// Number of tokens that the engine generates again and that must not be
  /// sent to the caller a second time.
  std::uint64_t skipTokens_ = 0;
};

/// End the caller's stream with an error event.
struct EndStream
{
  core::RefusalReason reason_ = core::RefusalReason::StreamBroken;
  core::Ran ran_ = core::Ran::Unknown;
  std::string detail_;
};

using ResumeDecision =
  std::variant<ResumeAtEngine, ResumeFromExport, EndStream>;

ResumeDecision
DecideResume(const BrokenStream& aStream,
             const std::optional<ResumeTarget>& aTarget,
             const ResumeSettings& aSettings,
             core::MonotonicTime aNow);

/// Whether the resumed stream continues the same generation at the requested
/// token; if not, none of its tokens may reach the caller.
bool
MatchesResumePoint(const Generation& aExpected,
                   std::uint64_t aFromToken,
                   const Generation& aOffered,
                   std::uint64_t aOfferedToken);

} // namespace crocusslip::coordination
