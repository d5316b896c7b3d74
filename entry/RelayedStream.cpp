#include "entry/RelayedStream.hpp"

#include "core/Hash.hpp"

#include <utility>

namespace crocusslip::entry {

namespace {

/// A longer event is relayed before it is complete; its stream can then not be
/// resumed.
constexpr std::size_t kMaxEventBytes = 1024 * 1024;

} // namespace

RelayedStream::RelayedStream(std::shared_ptr<transport::HttpExchange> aExchange,
                             protocol::HttpResponse aHead,
                             const core::DeploymentId& aDeployment,
                             std::optional<protocol::StreamOffer> aOffer,
                             StartedCallback aStarted)
  : exchange_(std::move(aExchange))
  , head_(std::move(aHead))
  , started_(std::move(aStarted))
{
  generation_.deployment_ = aDeployment;
  if (aOffer) {
    generation_.modelRevision_ = aOffer->modelRevision_;
    generation_.generationId_ = aOffer->generationId_;
    resumeId_ = aOffer->resumeId_;
    exports_ = aOffer->exports_;
    wholeEvents_ = CanResume();
  }
}

void
RelayedStream::Write(std::string_view aBytes)
{
  if (!writer_) {
    started_();
    writer_ = exchange_->ReplyStream(head_);
  }
  tracker_.Add(aBytes);
  writer_->Write(aBytes);
}

bool
RelayedStream::Add(std::string_view aBytes)
{
  if (!wholeEvents_) {
    Write(aBytes);
    closed_ = tracker_.Closed();
    return true;
  }
  // Relay all events that this read completes in one write.
  std::string whole;
  bool continues = true;
  for (const protocol::StreamEvent& event : buffer_.Add(aBytes)) {
    const bool data = event.kind_ == protocol::EventKind::Data;
    const std::uint64_t hash = data ? core::Hash64(event.bytes_) : 0;
    if (skip_ > 0) {
      // Other events are dropped while skipping; a data event that differs or a
      // closing event is a mismatch.
      const bool matches = data && hash == hashes_[hashes_.size() - skip_];
      if (data && matches) {
        --skip_;
      }
      continues = matches || event.kind_ == protocol::EventKind::Other;
      if (!continues) {
        break;
      }
      continue;
    }
    if (data) {
      hashes_.push_back(hash);
    }
    closed_ = closed_ || event.kind_ == protocol::EventKind::Closing;
    whole += event.bytes_;
  }
  if (!whole.empty()) {
    Write(whole);
  }
  if (continues && buffer_.Unfinished() > kMaxEventBytes) {
    FlushIncompleteEvent();
  }
  return continues;
}

void
RelayedStream::OnConnectionClosed()
{
  const std::string rest = buffer_.TakeUnfinished();
  protocol::StreamTracker tracker;
  tracker.Add(rest);
  if (skip_ == 0 && tracker.Closed()) {
    Write(rest);
    closed_ = true;
  }
}

void
RelayedStream::FlushIncompleteEvent()
{
  wholeEvents_ = false;
  resumeId_.clear();
  exports_ = false;
  Write(buffer_.TakeUnfinished());
}

void
RelayedStream::Continue(std::uint64_t aSkip,
                        const protocol::StreamOffer& aOffer)
{
  buffer_.TakeUnfinished();
  skip_ = aSkip;
  resumeId_ = aOffer.resumeId_;
  exports_ = aOffer.exports_;
}

void
RelayedStream::Finish()
{
  writer_->Finish();
}

// An incomplete answer ends with an explicit error event, so that the caller
// does not take it for complete.
void
RelayedStream::EndWithError(const protocol::Problem& aProblem)
{
  const std::string separator = tracker_.BetweenEvents() ? "" : "\n\n";
  writer_->Write(separator + protocol::ErrorEvent(protocol::ToJson(aProblem)));
  writer_->Finish();
}

} // namespace crocusslip::entry
