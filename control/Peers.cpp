#include "control/Peers.hpp"

#include "Member.h"
#include "coordination/ConnectionWatch.hpp"
#include "core/Hash.hpp"
#include "core/Log.hpp"
#include "protocol/RaftWire.hpp"
#include "protocol/Version.hpp"
#include "state/ProcessSettings.hpp"
#include "transport/RpcClient.hpp"

#include <thrift/TApplicationException.h>

#include <condition_variable>
#include <deque>
#include <iterator>
#include <optional>
#include <stdexcept>
#include <thread>
#include <utility>

namespace crocusslip::control {

namespace {

/// Messages kept for a peer that does not keep up; older ones are dropped and
/// sent again by the protocol.
constexpr std::size_t kQueueLimit = 512;
/// Messages that are sent again on the next connection; a voter that has missed
/// older ones is brought up by the protocol.
constexpr std::size_t kResendLimit = 32;
/// A write that makes no progress for so long ends its connection.
constexpr std::chrono::milliseconds kSendTimeout{ 250 };
constexpr std::uint64_t kSnapshotPieceBytes = 256 * 1024;

} // namespace

class Peers::Peer
{
public:
  Peer(const core::Clock& aClock,
       transport::RpcTarget aTarget,
       transport::RpcTarget aSnapshotTarget)
    : clock_(aClock)
    , messages_(std::move(aTarget))
    , snapshots_(std::move(aSnapshotTarget))
    , thread_([this] { Run(); })
  {
  }
  ~Peer() { Stop(); }
  Peer(const Peer&) = delete;
  Peer& operator=(const Peer&) = delete;

  void Send(const coordination::RaftMessage& aMessage)
  {
    {
      const std::lock_guard lock(mutex_);
      if (queue_.size() >= kQueueLimit) {
        queue_.pop_front();
      }
      queue_.push_back(protocol::ToWire(aMessage));
    }
    ready_.notify_one();
  }

  void Stop()
  {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    ready_.notify_all();
    if (thread_.joinable()) {
      thread_.join();
    }
    if (snapshotThread_.joinable()) {
      snapshotThread_.join();
    }
  }

  void StartSnapshot(std::function<void(transport::MemberRpc&)> aTransfer)
  {
    if (snapshotRunning_.exchange(true)) {
      return;
    }
    if (snapshotThread_.joinable()) {
      snapshotThread_.join();
    }
    snapshotThread_ = std::thread([this, transfer = std::move(aTransfer)] {
      transfer(snapshots_);
      snapshotRunning_.store(false);
    });
  }

private:
  using Batch = std::vector<wire::RaftMessage>;

  void Run()
  {
    while (const std::optional<Batch> batch = NextBatch()) {
      Remember(*batch);
      const core::Status done =
        messages_.Call([this, &batch](wire::MemberClient& aClient) {
          Exchange(aClient, *batch);
        });
      if (!done.Ok()) {
        OnFailure(done.Failure());
      }
    }
  }

  /// Waits for messages, or until the connection has to be checked; nothing
  /// after Stop.
  std::optional<Batch> NextBatch()
  {
    std::unique_lock lock(mutex_);
    const auto ready = [this] { return stopping_ || !queue_.empty(); };
    if (const auto check = watch_.NextCheck()) {
      ready_.wait_for(lock, *check - clock_.Now(), ready);
    } else {
      ready_.wait(lock, ready);
    }
    if (stopping_) {
      return std::nullopt;
    }
    Batch batch(std::make_move_iterator(queue_.begin()),
                std::make_move_iterator(queue_.end()));
    queue_.clear();
    return batch;
  }

  /// Sends messages without waiting for answers to pings, which are read when
  /// they are there.
  void Exchange(wire::MemberClient& aClient, const Batch& aBatch)
  {
    if (watch_.IsWaiting() && messages_.HasInput()) {
      ReadPong(aClient);
    }
    if (watch_.IsSilent(clock_.Now())) {
      core::Log(core::LogLevel::Info,
                "connection to a member has gone silent",
                { { "address", messages_.Target().Text() } });
      throw std::runtime_error("no answer to a ping");
    }
    if (!aBatch.empty()) {
      aClient.raft(aBatch);
      watch_.OnMessages(clock_.Now());
    }
    if (watch_.ShouldPing(clock_.Now(), !aBatch.empty())) {
      aClient.send_ping();
      watch_.OnPing(clock_.Now());
      coveredByPing_ = unconfirmed_.size();
    }
  }

  void ReadPong(wire::MemberClient& aClient)
  {
    try {
      aClient.recv_ping();
    } catch (const apache::thrift::TApplicationException& error) {
      // A member of an earlier release doesn't know the call, but answers.
      if (error.getType() !=
          apache::thrift::TApplicationException::UNKNOWN_METHOD) {
        throw;
      }
    }
    watch_.OnAnswer();
    resent_ = false;
    while (coveredByPing_ > 0) {
      unconfirmed_.pop_front();
      --coveredByPing_;
    }
  }

  void Remember(const Batch& aBatch)
  {
    unconfirmed_.insert(unconfirmed_.end(), aBatch.begin(), aBatch.end());
    while (unconfirmed_.size() > kResendLimit) {
      unconfirmed_.pop_front();
      coveredByPing_ -= coveredByPing_ > 0 ? 1 : 0;
    }
  }

  /// Messages that the peer may not have read are sent once more, so that the
  /// loss of a connection costs no election timeout.
  void OnFailure(const core::Error& aError)
  {
    watch_.OnReplaced();
    coveredByPing_ = 0;
    if (!resent_) {
      const std::lock_guard lock(mutex_);
      queue_.insert(queue_.begin(), unconfirmed_.begin(), unconfirmed_.end());
    }
    resent_ = true;
    unconfirmed_.clear();
    if (aError.code_ == core::Errc::ConnectFailed) {
      WaitAfterFailure();
    }
  }

  // A peer that is down is tried again twenty times a second, so that it is
  // heard from soon after its return.
  void WaitAfterFailure()
  {
    constexpr std::chrono::milliseconds kPause{ 50 };
    std::unique_lock lock(mutex_);
    ready_.wait_for(lock, kPause, [this] { return stopping_; });
  }

  const core::Clock& clock_;
  transport::MemberRpc messages_;
  transport::MemberRpc snapshots_;
  /// Used by thread_ alone, like the members up to mutex_.
  coordination::ConnectionWatch watch_;
  /// Messages sent since the last ping that was answered.
  std::deque<wire::RaftMessage> unconfirmed_;
  /// How many of them the ping under way confirms.
  std::size_t coveredByPing_ = 0;
  /// Whether unconfirmed messages were sent again since the last answer.
  bool resent_ = false;
  /// Innermost lock; guards the queue.
  std::mutex mutex_;
  std::condition_variable ready_;
  std::deque<wire::RaftMessage> queue_;
  bool stopping_ = false;
  std::atomic<bool> snapshotRunning_{ false };
  std::thread snapshotThread_;
  std::thread thread_;
};

Peers::Peers(std::string aCluster,
             std::uint32_t aGroup,
             core::MemberId aSelf,
             transport::TlsFiles aTls,
             std::chrono::milliseconds aCallTimeout,
             const core::Clock& aClock)
  : cluster_(std::move(aCluster))
  , group_(aGroup)
  , self_(aSelf)
  , tls_(std::move(aTls))
  , callTimeout_(aCallTimeout)
  , clock_(aClock)
{
}

Peers::~Peers()
{
  Stop();
}

void
Peers::SetAddress(core::MemberId aMember, const std::string& aAddress)
{
  const std::lock_guard lock(mutex_);
  std::string& address = addresses_[aMember];
  if (address != aAddress) {
    address = aAddress;
    peers_.erase(aMember);
  }
}

std::shared_ptr<Peers::Peer>
Peers::Find(core::MemberId aMember)
{
  const std::lock_guard lock(mutex_);
  const auto found = peers_.find(aMember);
  if (found != peers_.end()) {
    return found->second;
  }
  const auto address = addresses_.find(aMember);
  if (address == addresses_.end()) {
    return nullptr;
  }
  const auto parsed = state::ParseAddress(address->second);
  if (!parsed) {
    return nullptr;
  }
  transport::RpcTarget target;
  target.host_ = parsed->host_;
  target.port_ = parsed->port_;
  target.callTimeout_ = callTimeout_;
  target.tls_ = tls_;
  transport::RpcTarget messages = target;
  messages.callTimeout_ = kSendTimeout;
  auto peer = std::make_shared<Peer>(clock_, messages, target);
  peers_[aMember] = peer;
  return peer;
}

void
Peers::Send(const coordination::RaftMessage& aMessage)
{
  if (const auto peer = Find(aMessage.to_)) {
    peer->Send(aMessage);
  }
}

void
Peers::SendSnapshot(Group& aGroup, core::MemberId aTo, core::Term aTerm)
{
  const auto peer = Find(aTo);
  if (!peer) {
    aGroup.SnapshotSent(aTo, false);
    return;
  }
  peer->StartSnapshot([this, &aGroup, aTo, aTerm](transport::MemberRpc& aRpc) {
    const auto newest = aGroup.NewestSnapshot();
    bool delivered = false;
    if (newest.Ok() && newest.Value()) {
      const core::LogIndex index = *newest.Value();
      std::uint64_t offset = 0;
      std::uint64_t total = 1;
      delivered = true;
      while (delivered && offset < total) {
        auto piece = aGroup.ReadSnapshot(index, offset, kSnapshotPieceBytes);
        if (!piece.Ok()) {
          delivered = false;
          break;
        }
        wire::SnapshotChunk chunk;
        chunk.version = protocol::kWireVersion;
        chunk.cluster = cluster_;
        chunk.group = static_cast<std::int32_t>(group_);
        chunk.sender = static_cast<std::int32_t>(self_.Value());
        chunk.term = static_cast<std::int64_t>(aTerm.Value());
        chunk.index = static_cast<std::int64_t>(index.Value());
        chunk.offset = static_cast<std::int64_t>(offset);
        chunk.total = static_cast<std::int64_t>(piece.Value().total_);
        chunk.data = piece.Value().bytes_;
        chunk.checksum = static_cast<std::int64_t>(core::Hash64(chunk.data));
        const core::Status sent = aRpc.Call([&](wire::MemberClient& aClient) {
          delivered = aClient.installSnapshot(chunk);
        });
        delivered = delivered && sent.Ok();
        offset += piece.Value().bytes_.size();
        total = piece.Value().total_;
      }
    }
    aGroup.SnapshotSent(aTo, delivered);
  });
}

void
Peers::Stop()
{
  std::map<core::MemberId, std::shared_ptr<Peer>> peers;
  {
    const std::lock_guard lock(mutex_);
    peers.swap(peers_);
  }
  for (const auto& [id, peer] : peers) {
    peer->Stop();
  }
}

} // namespace crocusslip::control
