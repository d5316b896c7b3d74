#pragma once

#include "core/Clock.hpp"
#include "core/Units.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <optional>

namespace crocusslip::admission {

class ByteHolder;

/// What bytes are held for.
enum class HolderKind : std::uint8_t
{
  /// A request that is being read.
  Body,
  /// A request that was read whole. It never yields.
  Request,
  /// A server's answer on its way to the caller. It never yields.
  Answer,
};
inline constexpr std::size_t kHolderKinds = 3;
const char*
NameOf(HolderKind aKind);

/// Why a request that is being read has to yield.
enum class YieldReason : std::uint8_t
{
  /// It made no progress while others waited.
  Stalled,
  /// It held most of the bytes of the caller address that holds the most.
  Largest,
  /// It waited too long for room.
  Waited,
};
inline constexpr std::size_t kYieldReasons = 3;
const char*
NameOf(YieldReason aReason);

struct ByteLimits
{
  /// Bytes of all holders together; 0: no limit.
  std::uint64_t total_ = 0;
  /// Part of the total that only small holders may take.
  std::uint64_t reserve_ = 0;
  /// Part of the total that is kept free for answers.
  std::uint64_t answers_ = 0;
  /// Most that all answers hold.
  std::uint64_t largestAnswers_ = 32 * core::kMebi;
  /// A holder of at most this size is small.
  std::uint64_t small_ = 64 * core::kKibi;
  /// A body without progress for this long yields when room is short.
  core::Duration stall_ = std::chrono::seconds(1);
  /// The largest body yields when another one has waited this long.
  core::Duration patience_ = std::chrono::milliseconds(500);
  /// A body that has waited this long for room yields itself.
  core::Duration longestWait_ = std::chrono::seconds(3);

  /// Shares of a process's memory; without a limit for 0. The rest is left to
  /// what the process needs for itself, to its connections and to what the
  /// allocator keeps.
  static ByteLimits ForMemory(core::Bytes aMemory);
};

/// Decides how many bytes a process holds for requests and answers, who waits
/// for room and who yields.
class ByteBudget
{
public:
  explicit ByteBudget(const ByteLimits& aLimits = {})
    : limits_(aLimits)
  {
  }
  ByteBudget(const ByteBudget&) = delete;
  ByteBudget& operator=(const ByteBudget&) = delete;

  /// Gives room to those that wait, and lets others yield where it is short.
  /// To be called now and then while anyone waits.
  void Relieve(core::MonotonicTime aNow);
  bool HasWaiting() const { return !waiting_.empty(); }

  std::uint64_t Held() const;
  std::uint64_t HeldBy(HolderKind aKind) const
  {
    return held_.at(static_cast<std::size_t>(aKind));
  }
  std::uint64_t Yields(YieldReason aReason) const
  {
    return yields_.at(static_cast<std::size_t>(aReason));
  }
  const ByteLimits& Limits() const { return limits_; }

private:
  friend class ByteHolder;

  bool HasRoom(const ByteHolder& aHolder, std::uint64_t aBytes) const;
  /// Whether there would be room for what it waits for if all other bodies
  /// yielded.
  bool CanMakeRoom(const ByteHolder& aHolder) const;
  bool Fits(const ByteHolder& aHolder,
            std::uint64_t aBytes,
            std::uint64_t aHeldByBodies) const;
  bool IsSmall(const ByteHolder& aHolder, std::uint64_t aBytes) const;
  void Add(ByteHolder& aHolder, std::uint64_t aBytes);
  void GrantRoom();
  void Yield(ByteHolder& aHolder, YieldReason aReason);
  /// The body without progress for the longest time, if long enough.
  ByteHolder* FindStalled(core::MonotonicTime aNow) const;
  /// The largest body of the address with the largest sum.
  ByteHolder* FindLargest(const ByteHolder& aFor) const;

  const ByteLimits limits_;
  std::array<std::uint64_t, kHolderKinds> held_{};
  std::array<std::uint64_t, kYieldReasons> yields_{};
  /// Bytes of holders that yield and have not given back yet.
  std::uint64_t yielding_ = 0;
  /// All that hold anything.
  std::list<ByteHolder*> holders_;
  /// In the order in which they began to wait.
  std::deque<ByteHolder*> waiting_;
};

/// The account of one request or answer. It gives everything back at its end.
class ByteHolder
{
public:
  /// aCaller identifies the caller's address.
  ByteHolder(ByteBudget& aBudget, HolderKind aKind, std::uint64_t aCaller)
    : budget_(aBudget)
    , kind_(aKind)
    , caller_(aCaller)
  {
  }
  virtual ~ByteHolder();
  ByteHolder(const ByteHolder&) = delete;
  ByteHolder& operator=(const ByteHolder&) = delete;

  /// Takes room if there is some and nobody has waited for it before.
  bool TryTake(std::uint64_t aBytes);
  /// Waits for room; OnRoom or OnYield follows.
  void Await(std::uint64_t aBytes, core::MonotonicTime aNow);
  void StopWaiting();
  void GiveBack(std::uint64_t aBytes);
  void GiveBackAll() { GiveBack(held_); }
  void OnProgress(core::MonotonicTime aNow) { progressAt_ = aNow; }
  /// The request was read whole.
  void Complete();

  std::uint64_t Held() const { return held_; }
  bool Waiting() const { return awaited_ > 0; }
  bool Yields() const { return yields_; }

protected:
  virtual void OnRoom() {}
  virtual void OnYield(YieldReason) {}

private:
  friend class ByteBudget;

  ByteBudget& budget_;
  HolderKind kind_;
  const std::uint64_t caller_;
  std::uint64_t held_ = 0;
  std::uint64_t awaited_ = 0;
  core::MonotonicTime waitsSince_;
  core::MonotonicTime progressAt_;
  bool yields_ = false;
  std::optional<std::list<ByteHolder*>::iterator> place_;
};

} // namespace crocusslip::admission
