#pragma once

#include "entry/RelayedStream.hpp"
#include "entry/Request.hpp"

#include <memory>
#include <string>

namespace crocusslip::entry {

class Dispatcher;

/// Builds the request for the backend server: the caller's request without
/// hop-by-hop headers and credentials, plus the headers of the attempt.
protocol::HttpRequest
ForwardedRequest(const Request& aRequest,
                 std::uint32_t aAttempt,
                 core::MonotonicTime aNow);

/// Sets the headers with the request's id, attempt number, priority and
/// remaining time.
void
SetAttemptHeaders(protocol::HttpRequest& aForwarded,
                  const Request& aRequest,
                  std::uint32_t aAttempt,
                  core::MonotonicTime aNow);

/// The position at which an attempt continues a broken stream.
struct Continuation
{
  std::shared_ptr<RelayedStream> stream_;
  /// Position of the first event requested from the server.
  std::uint64_t from_ = 0;
  /// Number of events from there on that the caller already has; they are
  /// compared with those sent and dropped.
  std::uint64_t skip_ = 0;
};

/// Receives the answer of one attempt. An ordinary answer is buffered and given
/// to the dispatcher when complete; an event stream is relayed as it arrives.
/// Everything is dropped once the attempt is no longer the current one.
class Attempt final : public transport::HttpSink
{
public:
  Attempt(Dispatcher& aDispatcher,
          std::shared_ptr<Request> aRequest,
          std::uint32_t aNumber);
  Attempt(Dispatcher& aDispatcher,
          std::shared_ptr<Request> aRequest,
          std::uint32_t aNumber,
          Continuation aContinuation);

  void OnHead(const protocol::HttpResponse& aHead) override;
  void OnData(std::string_view aBytes) override;
  void OnEnd() override;
  void OnFailure(const transport::CallFailure& aFailure) override;

private:
  bool IsCurrent() const;
  void OnStreamHead(const protocol::HttpResponse& aHead);
  void OnContinuedHead(const protocol::HttpResponse& aHead);
  void OnStreamEnd();
  /// If the answer says that the server did not run the request, reports the
  /// attempt as failed, so that another server may be tried, and returns true.
  bool RetryIfNotRun();

  Dispatcher& dispatcher_;
  const std::shared_ptr<Request> request_;
  const std::uint32_t number_;
  const std::uint64_t from_ = 0;
  const std::uint64_t skip_ = 0;
  /// Whether the attempt continues a stream.
  const bool isContinuation_ = false;
  protocol::HttpResponse answer_;
  /// Set once the head has shown that the answer is a stream.
  std::shared_ptr<RelayedStream> stream_;
  bool tooLarge_ = false;
};

} // namespace crocusslip::entry
