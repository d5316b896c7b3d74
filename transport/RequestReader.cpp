#include "transport/RequestReader.hpp"

#include "transport/CancelTimer.hpp"

#include <boost/asio/write.hpp>

#include <algorithm>
#include <utility>

namespace crocusslip::transport {

namespace {

constexpr std::size_t kReadBytes = 4096;
/// What a request may take without asking for room. Ordinary requests have a
/// few hundred bytes; a connection costs more than this by itself.
constexpr std::uint64_t kFreeBytes = 4096;
/// A body of up to this announced size is allocated in one step.
constexpr std::uint64_t kOneStepBytes = 64UL * 1024;
/// First step of a larger body; further ones double what there is.
constexpr std::uint64_t kFirstStepBytes = 16UL * 1024;
/// What a field of a head takes beside its text.
constexpr std::size_t kFieldOverhead = 80;
/// Time after a cancelled read in which it must have ended.
constexpr std::chrono::milliseconds kLostCancelTime{ 500 };

ReadResult
ResultOf(const boost::system::error_code& aError)
{
  if (aError == http::error::header_limit) {
    return ReadResult::HeaderTooLarge;
  }
  if (aError == http::error::body_limit) {
    return ReadResult::BodyTooLarge;
  }
  const bool syntax = aError.category() ==
                      http::make_error_code(http::error::bad_method).category();
  return syntax ? ReadResult::Malformed : ReadResult::Broken;
}

std::uint64_t
Beyond(std::uint64_t aBytes)
{
  return aBytes > kFreeBytes ? aBytes : 0;
}

} // namespace

RequestReader::RequestReader(beast::tcp_stream& aStream,
                             beast::flat_buffer& aBuffer,
                             const LinkLimits& aLimits,
                             ReadRoom* aRoom)
  : stream_(aStream)
  , buffer_(aBuffer)
  , limits_(aLimits)
  , room_(aRoom)
{
  parser_.header_limit(limits_.headerBytes_);
  parser_.body_limit(limits_.bodyBytes_);
}

Task<ReadResult>
RequestReader::Read(HttpRequest& aRequest)
{
  NoteProgress();
  ReadResult result = co_await ReadHead();
  if (result != ReadResult::Complete) {
    co_return result;
  }
  std::string body;
  if (!parser_.is_done()) {
    result = co_await ReadBody(body);
  }
  auto message = parser_.release();
  if (result == ReadResult::Yielded) {
    body = {};
  }
  aRequest = HttpRequest(std::move(message.base()), std::move(body));
  if (buffer_.size() == 0 && buffer_.capacity() > kReadBytes) {
    buffer_.clear();
    buffer_.shrink_to_fit();
    if (room_ != nullptr) {
      room_->Release(std::exchange(bufferReserved_, 0));
    }
  }
  co_return result;
}

std::size_t
RequestReader::Parse(boost::system::error_code& aError)
{
  aError = {};
  const std::size_t used = parser_.put(buffer_.data(), aError);
  buffer_.consume(used);
  return used;
}

Task<ReadResult>
RequestReader::ReadHead()
{
  boost::system::error_code error;
  headBytes_ += Parse(error);
  if (error == http::error::need_more) {
    stream_.expires_after(limits_.headerTime_ + kLostCancelTime);
    const CancelTimer timer(stream_, limits_.headerTime_);
    while (error == http::error::need_more) {
      if (!ReserveBuffer() || (headBytes_ >= measureAt_ && !ReserveHead())) {
        co_return ReadResult::Yielded;
      }
      const std::size_t got = co_await stream_.async_read_some(
        buffer_.prepare(kReadBytes), Catch(error));
      buffer_.commit(got);
      // A cancel between two reads is lost.
      if (timer.Expired() || error == beast::error::timeout) {
        co_return ReadResult::HeaderTimeout;
      }
      if (error) {
        co_return ReadResult::Broken;
      }
      headBytes_ += Parse(error);
    }
  }
  if (error) {
    co_return ResultOf(error);
  }
  co_return ReserveHead() ? ReadResult::Complete : ReadResult::Yielded;
}

// Heads do not wait for room: while they did, they would hold what they need.
bool
RequestReader::ReserveHead()
{
  if (room_ == nullptr) {
    return true;
  }
  measureAt_ = headBytes_ + kHeadStep;
  std::uint64_t bytes = 0;
  for (const auto& field : parser_.get().base()) {
    bytes += kFieldOverhead + field.name_string().size() + field.value().size();
  }
  bytes = Beyond(bytes);
  if (bytes <= headReserved_) {
    return true;
  }
  if (!room_->TryReserve(bytes - headReserved_)) {
    return false;
  }
  headReserved_ = bytes;
  return true;
}

bool
RequestReader::ReserveBuffer()
{
  // The buffer doubles when it is full.
  const std::uint64_t next =
    buffer_.size() + kReadBytes > buffer_.capacity()
      ? std::max<std::uint64_t>(buffer_.size() * 2, kReadBytes)
      : buffer_.capacity();
  const std::uint64_t bytes = Beyond(next);
  if (room_ == nullptr || bytes <= bufferReserved_) {
    return true;
  }
  if (!room_->TryReserve(bytes - bufferReserved_)) {
    return false;
  }
  bufferReserved_ = bytes;
  return true;
}

Task<bool>
RequestReader::Continue()
{
  constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  boost::system::error_code error;
  stream_.expires_after(limits_.stallTime_);
  co_await asio::async_write(
    stream_, asio::buffer(kContinue.data(), kContinue.size()), Catch(error));
  co_return !error;
}

void
RequestReader::NoteProgress()
{
  progressAt_ = std::chrono::steady_clock::now();
  if (room_ != nullptr) {
    room_->NoteProgress();
  }
}

Task<ReadResult>
RequestReader::ReadBody(std::string& aBody)
{
  const auto announced = parser_.content_length();
  const std::uint64_t most = announced ? *announced : limits_.bodyBytes_;
  NoteProgress();
  bodyBegan_ = progressAt_;
  if (!co_await Grow(aBody, 0, most)) {
    co_return ReadResult::Yielded;
  }
  if (beast::iequals(parser_.get()[http::field::expect], "100-continue") &&
      !co_await Continue()) {
    co_return ReadResult::Broken;
  }
  parser_.eager(true);
  std::size_t size = 0;
  while (!parser_.is_done()) {
    if (size == aBody.size() && !co_await Grow(aBody, size, most)) {
      co_return ReadResult::Yielded;
    }
    auto& space = parser_.get().body();
    space.data = aBody.data() + size;
    space.size = aBody.size() - size;
    space.more = true;
    boost::system::error_code error;
    const std::size_t used = buffer_.size() > 0 ? Parse(error) : 0;
    const std::size_t before = std::exchange(size, aBody.size() - space.size);
    if (size > before) {
      NoteProgress();
    }
    const bool goesOn = !error || error == http::error::need_more ||
                        error == http::error::need_buffer;
    if (!goesOn) {
      co_return ResultOf(error);
    }
    if (parser_.is_done() || (buffer_.size() > 0 && used > 0) ||
        (error == http::error::need_buffer && size < most)) {
      continue;
    }
    ReadResult result = CheckPace(size);
    if (result == ReadResult::Complete) {
      result = co_await ReadMore();
    }
    if (result != ReadResult::Complete) {
      co_return result;
    }
  }
  aBody.resize(size);
  stream_.expires_never();
  co_return ReadResult::Complete;
}

Task<ReadResult>
RequestReader::ReadMore()
{
  // The buffer holds less than the largest chunk head and trailer here.
  if (buffer_.size() + kReadBytes > buffer_.max_size()) {
    co_return ReadResult::Malformed;
  }
  if (!ReserveBuffer()) {
    co_return ReadResult::Yielded;
  }
  stream_.expires_after(limits_.stallTime_);
  boost::system::error_code error;
  const std::size_t got =
    co_await stream_.async_read_some(buffer_.prepare(kReadBytes), Catch(error));
  buffer_.commit(got);
  if (room_ != nullptr && room_->MustYield()) {
    co_return ReadResult::Yielded;
  }
  co_return error ? ReadResult::Broken : ReadResult::Complete;
}

ReadResult
RequestReader::CheckPace(std::size_t aBytes) const
{
  const auto taken = std::chrono::steady_clock::now() - bodyBegan_;
  if (taken <= limits_.slowTime_) {
    return ReadResult::Complete;
  }
  const auto least =
    std::chrono::duration<double>(taken - limits_.slowTime_).count() *
    static_cast<double>(limits_.bodyRate_);
  return taken > limits_.bodyTime_ || static_cast<double>(aBytes) < least
           ? ReadResult::BodyTimeout
           : ReadResult::Complete;
}

Task<bool>
RequestReader::Grow(std::string& aBody, std::size_t aUsed, std::uint64_t aMost)
{
  if (aBody.size() >= aMost) {
    co_return true;
  }
  const bool announced = parser_.content_length().has_value();
  std::uint64_t next = std::max<std::uint64_t>(
    2 * aBody.size(), announced ? kFirstStepBytes : kFreeBytes);
  if (announced && aMost <= kOneStepBytes) {
    next = aMost;
  }
  next = std::min(next, aMost);
  if (room_ != nullptr && Beyond(next) > 0 && !room_->TryReserve(next)) {
    const auto since = std::chrono::steady_clock::now();
    if (!co_await room_->AwaitRoom(next)) {
      co_return false;
    }
    NoteProgress();
    bodyBegan_ += progressAt_ - since;
  }
  const std::uint64_t before = Beyond(aBody.size());
  std::string larger;
  larger.reserve(next);
  larger.append(aBody, 0, aUsed);
  larger.resize(next);
  aBody.swap(larger);
  larger = {};
  if (room_ != nullptr) {
    room_->Release(before);
  }
  co_return true;
}

} // namespace crocusslip::transport
