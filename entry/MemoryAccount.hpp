#pragma once

#include "admission/ByteBudget.hpp"
#include "core/Clock.hpp"
#include "core/Metrics.hpp"
#include "transport/HttpLink.hpp"

#include <array>
#include <memory>
#include <optional>

namespace crocusslip::entry {

/// What the requests and answers of one process take up together.
class MemoryBudget : public std::enable_shared_from_this<MemoryBudget>
{
public:
  MemoryBudget(transport::asio::io_context& aLoop,
               const core::Clock& aClock,
               const admission::ByteLimits& aLimits,
               core::MetricsRegistry& aMetrics);

  /// Makes room for as long as anyone waits for it.
  void StartRelief();
  const admission::ByteBudget& Bytes() const { return bytes_; }

private:
  friend class MemoryAccount;

  transport::Task<void> Relieve();

  transport::asio::io_context& loop_;
  const core::Clock& clock_;
  admission::ByteBudget bytes_;
  std::array<core::Counter*, admission::kYieldReasons> yields_{};
  bool relieving_ = false;
};

/// The part of one request or answer.
class MemoryAccount final
  : public transport::ReadRoom
  , public admission::ByteHolder
{
public:
  /// aCaller identifies the caller's address. aLink is cancelled when the
  /// request has to yield; it may be null.
  MemoryAccount(std::shared_ptr<MemoryBudget> aBudget,
                admission::HolderKind aKind,
                std::uint64_t aCaller,
                std::shared_ptr<transport::CallerLink> aLink);
  ~MemoryAccount() override;

  bool TryReserve(std::uint64_t aBytes) override { return TryTake(aBytes); }
  transport::Task<bool> AwaitRoom(std::uint64_t aBytes) override;
  void Release(std::uint64_t aBytes) override { GiveBack(aBytes); }
  void NoteProgress() override;
  bool MustYield() const override { return Yields(); }

  /// False when there was no room in this time or the wait was cancelled.
  transport::Task<bool> AwaitRoomFor(std::uint64_t aBytes,
                                     core::Duration aTime);
  void CancelWait();

private:
  void OnRoom() override;
  void OnYield(admission::YieldReason aReason) override;

  const std::shared_ptr<MemoryBudget> shared_;
  const std::shared_ptr<transport::CallerLink> link_;
  /// Set while it waits.
  std::optional<transport::asio::steady_timer> timer_;
  bool granted_ = false;
};

} // namespace crocusslip::entry
