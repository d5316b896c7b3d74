#pragma once

#include "transport/Coroutine.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace crocusslip::transport {

namespace beast = boost::beast;
namespace http = boost::beast::http;

struct LinkLimits
{
  std::uint32_t headerBytes_ = 16 * 1024;
  std::uint64_t bodyBytes_ = 4ULL * 1024 * 1024;
  std::chrono::milliseconds headerTime_{ 3000 };
  std::chrono::milliseconds idleTime_{ 15'000 };
  /// Longest time for one write, and between two reads of a body.
  std::chrono::milliseconds stallTime_{ 10'000 };
  /// Longest time for a whole body, without the time in which there was no
  /// room for it.
  std::chrono::milliseconds bodyTime_{ 600'000 };
  /// Least bytes a second of a body, once it has taken slowTime_.
  std::uint64_t bodyRate_ = 1024;
  std::chrono::milliseconds slowTime_{ 20'000 };
};

using HttpRequest = http::request<http::string_body>;

enum class ReadResult : std::uint8_t
{
  Complete,
  /// The peer closed or was silent before the first byte of a message.
  Closed,
  HeaderTimeout,
  HeaderTooLarge,
  BodyTooLarge,
  /// The body was sent too slowly.
  BodyTimeout,
  Malformed,
  /// The connection broke within a message.
  Broken,
  /// The request gave way to others for lack of room.
  Yielded,
};

/// Bounds what the requests that are being read take up together.
class ReadRoom
{
public:
  ReadRoom() = default;
  virtual ~ReadRoom() = default;
  ReadRoom(const ReadRoom&) = delete;
  ReadRoom& operator=(const ReadRoom&) = delete;

  /// Room for aBytes more; false when there is none now.
  virtual bool TryReserve(std::uint64_t aBytes) = 0;
  /// Waits for room. False: the request has to yield.
  virtual Task<bool> AwaitRoom(std::uint64_t aBytes) = 0;
  virtual void Release(std::uint64_t aBytes) = 0;
  virtual void NoteProgress() = 0;
  virtual bool MustYield() const = 0;
};

/// Reads one request from a caller. What it allocates beyond a few kilobytes is
/// reserved before.
class RequestReader
{
public:
  /// aRoom may be null: no bound.
  RequestReader(beast::tcp_stream& aStream,
                beast::flat_buffer& aBuffer,
                const LinkLimits& aLimits,
                ReadRoom* aRoom);

  /// The buffer holds the first bytes. Also sets the head when the request has
  /// to yield.
  Task<ReadResult> Read(HttpRequest& aRequest);
  std::chrono::steady_clock::time_point ProgressAt() const
  {
    return progressAt_;
  }

private:
  using Parser = http::request_parser<http::buffer_body>;

  static constexpr std::size_t kHeadStep = 1024;

  Task<ReadResult> ReadHead();
  Task<ReadResult> ReadBody(std::string& aBody);
  /// Reads more bytes into the buffer.
  Task<ReadResult> ReadMore();
  /// Parses what the buffer holds.
  std::size_t Parse(boost::system::error_code& aError);
  /// Makes space for the next bytes of the body, of which aUsed are there.
  Task<bool> Grow(std::string& aBody, std::size_t aUsed, std::uint64_t aMost);
  Task<bool> Continue();
  void NoteProgress();
  bool ReserveHead();
  bool ReserveBuffer();
  /// Why a body that has aBytes so far takes too long; Complete if it doesn't.
  ReadResult CheckPace(std::size_t aBytes) const;

  beast::tcp_stream& stream_;
  beast::flat_buffer& buffer_;
  const LinkLimits& limits_;
  ReadRoom* const room_;
  Parser parser_;
  std::size_t headBytes_ = 0;
  /// Parsed bytes from which on an unfinished head is measured again.
  std::size_t measureAt_ = kHeadStep;
  /// Reserved for the buffer and for the head.
  std::uint64_t bufferReserved_ = 0;
  std::uint64_t headReserved_ = 0;
  std::chrono::steady_clock::time_point bodyBegan_;
  /// Its first byte, the end of its head or the last byte of its body.
  std::chrono::steady_clock::time_point progressAt_ =
    std::chrono::steady_clock::now();
};

} // namespace crocusslip::transport
