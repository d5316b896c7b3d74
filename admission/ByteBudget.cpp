#include "admission/ByteBudget.hpp"

#include <algorithm>
#include <numeric>
#include <unordered_map>
#include <utility>

namespace crocusslip::admission {

namespace {

/// Share of the memory that requests and answers may take.
constexpr double kTotalShare = 0.4;
/// Shares of that total.
constexpr double kReserveShare = 0.125;
constexpr double kAnswerShare = 0.25;

constexpr std::array<const char*, kHolderKinds> kKindNames = { "body",
                                                               "request",
                                                               "answer" };
constexpr std::array<const char*, kYieldReasons> kReasonNames = { "stalled",
                                                                  "largest",
                                                                  "waited" };

std::uint64_t
ShareOf(std::uint64_t aBytes, double aShare)
{
  return static_cast<std::uint64_t>(static_cast<double>(aBytes) * aShare);
}

} // namespace

const char*
NameOf(HolderKind aKind)
{
  return kKindNames.at(static_cast<std::size_t>(aKind));
}

const char*
NameOf(YieldReason aReason)
{
  return kReasonNames.at(static_cast<std::size_t>(aReason));
}

ByteLimits
ByteLimits::ForMemory(core::Bytes aMemory)
{
  ByteLimits limits;
  limits.total_ = ShareOf(aMemory.Count(), kTotalShare);
  limits.reserve_ = ShareOf(limits.total_, kReserveShare);
  limits.answers_ = ShareOf(limits.total_, kAnswerShare);
  return limits;
}

std::uint64_t
ByteBudget::Held() const
{
  return std::accumulate(held_.begin(), held_.end(), std::uint64_t{ 0 });
}

bool
ByteBudget::IsSmall(const ByteHolder& aHolder, std::uint64_t aBytes) const
{
  return aHolder.held_ + aBytes <= limits_.small_;
}

bool
ByteBudget::HasRoom(const ByteHolder& aHolder, std::uint64_t aBytes) const
{
  return Fits(aHolder, aBytes, HeldBy(HolderKind::Body));
}

bool
ByteBudget::CanMakeRoom(const ByteHolder& aHolder) const
{
  const bool isBody = aHolder.kind_ == HolderKind::Body;
  return Fits(aHolder, aHolder.awaited_, isBody ? aHolder.held_ : 0);
}

bool
ByteBudget::Fits(const ByteHolder& aHolder,
                 std::uint64_t aBytes,
                 std::uint64_t aHeldByBodies) const
{
  const std::uint64_t answers = HeldBy(HolderKind::Answer);
  const bool isAnswer = aHolder.kind_ == HolderKind::Answer;
  if (isAnswer && answers + aBytes > limits_.largestAnswers_) {
    return false;
  }
  if (limits_.total_ == 0) {
    return true;
  }
  const std::uint64_t requests =
    aHeldByBodies + HeldBy(HolderKind::Request) + aBytes;
  std::uint64_t limit = limits_.total_;
  if (!IsSmall(aHolder, aBytes)) {
    limit -= limits_.reserve_;
    if (!isAnswer && requests > limit - limits_.answers_) {
      return false;
    }
  }
  return requests + answers <= limit;
}

void
ByteBudget::Add(ByteHolder& aHolder, std::uint64_t aBytes)
{
  aHolder.held_ += aBytes;
  held_.at(static_cast<std::size_t>(aHolder.kind_)) += aBytes;
  if (!aHolder.place_) {
    aHolder.place_ = holders_.insert(holders_.end(), &aHolder);
  }
}

// Small holders and answers don't wait behind large bodies.
void
ByteBudget::GrantRoom()
{
  bool bodyWaits = false;
  for (auto at = waiting_.begin(); at != waiting_.end();) {
    ByteHolder& holder = **at;
    const bool behind = bodyWaits && holder.kind_ == HolderKind::Body &&
                        !IsSmall(holder, holder.awaited_);
    if (behind || !HasRoom(holder, holder.awaited_)) {
      bodyWaits = bodyWaits || holder.kind_ == HolderKind::Body;
      ++at;
      continue;
    }
    at = waiting_.erase(at);
    Add(holder, std::exchange(holder.awaited_, 0));
    holder.OnRoom();
  }
}

ByteHolder*
ByteBudget::FindStalled(core::MonotonicTime aNow) const
{
  ByteHolder* found = nullptr;
  for (ByteHolder* holder : holders_) {
    const bool stalled = holder->kind_ == HolderKind::Body &&
                         !holder->yields_ && !holder->Waiting() &&
                         aNow - holder->progressAt_ >= limits_.stall_;
    if (stalled &&
        (found == nullptr || holder->progressAt_ < found->progressAt_)) {
      found = holder;
    }
  }
  return found;
}

ByteHolder*
ByteBudget::FindLargest(const ByteHolder& aFor) const
{
  std::unordered_map<std::uint64_t, std::uint64_t> sums;
  const auto mayYield = [&](const ByteHolder* aHolder) {
    return aHolder->kind_ == HolderKind::Body && !aHolder->yields_ &&
           aHolder != &aFor;
  };
  for (const ByteHolder* holder : holders_) {
    if (mayYield(holder)) {
      sums[holder->caller_] += holder->held_;
    }
  }
  ByteHolder* found = nullptr;
  for (ByteHolder* holder : holders_) {
    if (!mayYield(holder)) {
      continue;
    }
    const auto rank = [&](const ByteHolder& aHolder) {
      return std::pair(sums[aHolder.caller_], aHolder.held_);
    };
    if (found == nullptr || rank(*holder) > rank(*found)) {
      found = holder;
    }
  }
  return found;
}

void
ByteBudget::Yield(ByteHolder& aHolder, YieldReason aReason)
{
  ++yields_.at(static_cast<std::size_t>(aReason));
  aHolder.yields_ = true;
  yielding_ += aHolder.held_;
  aHolder.StopWaiting();
  aHolder.OnYield(aReason);
}

void
ByteBudget::Relieve(core::MonotonicTime aNow)
{
  GrantRoom();
  const std::deque<ByteHolder*> waiting = waiting_;
  for (ByteHolder* holder : waiting) {
    // Answers wait for as long as their callers do.
    if (holder->kind_ == HolderKind::Body &&
        aNow - holder->waitsSince_ >= limits_.longestWait_) {
      Yield(*holder, YieldReason::Waited);
    }
  }
  const auto found =
    std::ranges::find_if(waiting_, [this](const ByteHolder* aHolder) {
      return CanMakeRoom(*aHolder);
    });
  if (found == waiting_.end()) {
    return;
  }
  const ByteHolder& first = **found;
  const bool patient = aNow - first.waitsSince_ < limits_.patience_;
  // Holders give back a moment after they were told to yield.
  while (yielding_ < first.awaited_) {
    YieldReason reason = YieldReason::Stalled;
    ByteHolder* holder = FindStalled(aNow);
    if (holder == nullptr && !patient) {
      reason = YieldReason::Largest;
      holder = FindLargest(first);
    }
    if (holder == nullptr) {
      return;
    }
    Yield(*holder, reason);
  }
}

ByteHolder::~ByteHolder()
{
  StopWaiting();
  GiveBackAll();
}

bool
ByteHolder::TryTake(std::uint64_t aBytes)
{
  const bool behind = budget_.HasWaiting() && kind_ == HolderKind::Body &&
                      !budget_.IsSmall(*this, aBytes);
  if (yields_ || behind || !budget_.HasRoom(*this, aBytes)) {
    return false;
  }
  budget_.Add(*this, aBytes);
  return true;
}

void
ByteHolder::Await(std::uint64_t aBytes, core::MonotonicTime aNow)
{
  awaited_ = aBytes;
  waitsSince_ = aNow;
  budget_.waiting_.push_back(this);
  budget_.Relieve(aNow);
}

void
ByteHolder::StopWaiting()
{
  if (std::exchange(awaited_, 0) > 0) {
    std::erase(budget_.waiting_, this);
  }
}

void
ByteHolder::GiveBack(std::uint64_t aBytes)
{
  if (aBytes == 0) {
    return;
  }
  held_ -= aBytes;
  budget_.held_.at(static_cast<std::size_t>(kind_)) -= aBytes;
  if (yields_) {
    budget_.yielding_ -= aBytes;
  }
  if (held_ == 0) {
    budget_.holders_.erase(*place_);
    place_.reset();
  }
  budget_.GrantRoom();
}

void
ByteHolder::Complete()
{
  budget_.held_.at(static_cast<std::size_t>(kind_)) -= held_;
  kind_ = HolderKind::Request;
  budget_.held_.at(static_cast<std::size_t>(kind_)) += held_;
}

} // namespace crocusslip::admission
