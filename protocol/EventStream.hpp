#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace crocusslip::protocol {

/// Cuts a stream of server-sent events into whole events, so that an event
/// that breaks off half way is never passed on.
class EventSplitter
{
public:
  /// Adds bytes as they arrive.
  void Add(std::string_view aBytes);
  /// All whole events that have not been taken yet, as they came.
  std::string TakeWhole();
  /// Drops events up to this id, which the caller already has.
  void SkipThrough(std::uint64_t aId) { skipThrough_ = aId; }
  /// Id of the last whole event taken, if it had one.
  std::optional<std::uint64_t> LastId() const { return lastId_; }
  /// Whole events taken so far.
  std::uint64_t Taken() const { return taken_; }
  /// Whether a whole event has come, also one that was dropped.
  bool HasBegun() const { return begun_; }
  /// Bytes of an event that is not whole yet.
  std::string_view Pending() const { return pending_; }
  /// An event did not follow the one before it.
  bool Gap() const { return gap_; }

private:
  std::string pending_;
  std::optional<std::uint64_t> lastId_;
  std::optional<std::uint64_t> skipThrough_;
  std::uint64_t taken_ = 0;
  bool gap_ = false;
  bool begun_ = false;
};

} // namespace crocusslip::protocol
