#pragma once

#include "coordination/StreamResume.hpp"
#include "protocol/EngineDialect.hpp"
#include "protocol/EventBuffer.hpp"
#include "protocol/Problem.hpp"
#include "protocol/StreamTracker.hpp"
#include "transport/HttpServer.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace crocusslip::entry {

/// Why the stream of one attempt ended without its closing event.
enum class StreamBreak : std::uint8_t
{
  /// The server ended the response early.
  EndedEarly,
  ConnectionLost,
  /// The caller does not read fast enough; too much is buffered.
  CallerTooSlow,
  /// The server refused to continue the stream.
  ResumeRefused,
  /// The server continued with a different generation, position or content.
  Mismatch,
};

/// The event stream to one caller, produced by one attempt or by several that
/// continue the same generation. Used by one attempt at a time; passed from one
/// to the next under the dispatcher's lock. A stream that can be continued is
/// relayed in whole events, so that a continuation starts exactly where the
/// caller's bytes end; other streams are relayed as they arrive.
class RelayedStream
{
public:
  /// Called just before the first bytes are sent to the caller.
  using StartedCallback = std::function<void()>;

  RelayedStream(std::shared_ptr<transport::HttpExchange> aExchange,
                protocol::HttpResponse aHead,
                const core::DeploymentId& aDeployment,
                std::optional<protocol::StreamOffer> aOffer,
                StartedCallback aStarted);

  /// Relays bytes of the current attempt. Returns false if an event that the
  /// engine generated again differs from the one that the caller got; that
  /// event and all after it are dropped.
  bool Add(std::string_view aBytes);
  /// The connection was closed without an error. Relays a closing event whose
  /// final blank line is missing.
  void OnConnectionClosed();
  /// Prepares for the bytes of another attempt. The caller already has its
  /// first aSkip events; they are compared with those sent and dropped.
  void Continue(std::uint64_t aSkip, const protocol::StreamOffer& aOffer);
  void Finish();
  void EndWithError(const protocol::Problem& aProblem);

  /// Whether bytes were sent to the caller.
  bool Started() const { return writer_ != nullptr; }
  bool Closed() const { return closed_; }
  std::size_t PendingBytes() const { return writer_ ? writer_->Pending() : 0; }
  /// Number of data events sent to the caller.
  std::uint64_t Events() const { return hashes_.size(); }
  const coordination::Generation& Generation() const { return generation_; }
  const std::string& ResumeId() const { return resumeId_; }
  /// Whether the engine can export the generation.
  bool CanExport() const { return exports_; }
  bool CanResume() const { return !resumeId_.empty() || exports_; }
  std::uint32_t Resumes() const { return resumes_; }
  /// Counts an attempt to continue the stream.
  void CountResume() { ++resumes_; }
  void DropResumeId() { resumeId_.clear(); }
  void DropExport() { exports_ = false; }

private:
  void Write(std::string_view aBytes);
  void FlushIncompleteEvent();

  const std::shared_ptr<transport::HttpExchange> exchange_;
  const protocol::HttpResponse head_;
  const StartedCallback started_;
  coordination::Generation generation_;
  std::string resumeId_;
  bool exports_ = false;
  std::shared_ptr<transport::BodyWriter> writer_;
  protocol::EventBuffer buffer_;
  protocol::StreamTracker tracker_;
  /// Hashes of the data events sent, to compare with events that an engine
  /// generates again.
  std::vector<std::uint64_t> hashes_;
  /// Number of events still to come that the caller already has.
  std::uint64_t skip_ = 0;
  std::uint32_t resumes_ = 0;
  bool wholeEvents_ = false;
  bool closed_ = false;
};

} // namespace crocusslip::entry
