#include "entry/MemoryAccount.hpp"

#include <string>
#include <utility>

namespace crocusslip::entry {

namespace {

using admission::HolderKind;
using admission::YieldReason;
using transport::Task;

/// Pause between two looks at who yields while others wait.
constexpr std::chrono::milliseconds kReliefInterval{ 100 };
/// Bounds the wait of a request that is read; the budget ends it earlier.
constexpr std::chrono::seconds kLongestReadWait{ 10 };

} // namespace

MemoryBudget::MemoryBudget(transport::asio::io_context& aLoop,
                           const core::Clock& aClock,
                           const admission::ByteLimits& aLimits,
                           core::MetricsRegistry& aMetrics)
  : loop_(aLoop)
  , clock_(aClock)
  , bytes_(aLimits)
{
  for (std::size_t i = 0; i < admission::kHolderKinds; ++i) {
    const auto kind = static_cast<HolderKind>(i);
    aMetrics.AddGauge(
      "crocusslip_held_bytes",
      std::string("holder=\"") + NameOf(kind) + "\"",
      "Bytes held for requests and answers beyond 4 KiB each.",
      [this, kind] { return static_cast<double>(bytes_.HeldBy(kind)); });
  }
  aMetrics.AddGauge(
    "crocusslip_held_bytes_limit",
    "",
    "Most bytes held for all of them; 0 is no limit.",
    [total = bytes_.Limits().total_] { return static_cast<double>(total); });
  for (std::size_t i = 0; i < admission::kYieldReasons; ++i) {
    yields_.at(i) = &aMetrics.AddCounter(
      "crocusslip_yields_total",
      std::string("reason=\"") + NameOf(static_cast<YieldReason>(i)) + "\"",
      "Requests that were not read whole for lack of memory.");
  }
}

void
MemoryBudget::StartRelief()
{
  if (!std::exchange(relieving_, true)) {
    transport::Spawn(loop_,
                     [self = shared_from_this()] { return self->Relieve(); });
  }
}

Task<void>
MemoryBudget::Relieve()
{
  transport::asio::steady_timer timer(loop_);
  while (bytes_.HasWaiting()) {
    co_await transport::Sleep(timer, kReliefInterval);
    bytes_.Relieve(clock_.Now());
  }
  relieving_ = false;
}

MemoryAccount::MemoryAccount(std::shared_ptr<MemoryBudget> aBudget,
                             HolderKind aKind,
                             std::uint64_t aCaller,
                             std::shared_ptr<transport::CallerLink> aLink)
  : ByteHolder(aBudget->bytes_, aKind, aCaller)
  , shared_(std::move(aBudget))
  , link_(std::move(aLink))
{
}

// The account gives back before it lets go of the budget.
MemoryAccount::~MemoryAccount()
{
  StopWaiting();
  GiveBackAll();
}

Task<bool>
MemoryAccount::AwaitRoom(std::uint64_t aBytes)
{
  return AwaitRoomFor(aBytes, kLongestReadWait);
}

Task<bool>
MemoryAccount::AwaitRoomFor(std::uint64_t aBytes, core::Duration aTime)
{
  granted_ = false;
  if (Yields()) {
    co_return false;
  }
  Await(aBytes, shared_->clock_.Now());
  if (Waiting()) {
    shared_->StartRelief();
    timer_.emplace(shared_->loop_);
    co_await transport::Sleep(*timer_, aTime);
    timer_.reset();
    StopWaiting();
  }
  co_return granted_;
}

void
MemoryAccount::CancelWait()
{
  if (timer_) {
    timer_->cancel();
  }
}

void
MemoryAccount::NoteProgress()
{
  OnProgress(shared_->clock_.Now());
}

void
MemoryAccount::OnRoom()
{
  granted_ = true;
  CancelWait();
}

void
MemoryAccount::OnYield(YieldReason aReason)
{
  shared_->yields_.at(static_cast<std::size_t>(aReason))->Add();
  CancelWait();
  if (link_) {
    link_->CancelWait();
  }
}

} // namespace crocusslip::entry
