#include "entry/ControlLink.hpp"

#include "Control.h"
#include "core/Log.hpp"
#include "protocol/Version.hpp"

#include <algorithm>
#include <utility>

namespace crocusslip::entry {

namespace {

constexpr std::chrono::milliseconds kRetryDelay{ 50 };
constexpr std::chrono::milliseconds kRetryTimeout{ 3000 };
constexpr std::size_t kClaimBatch = 256;
constexpr std::size_t kOutcomeBatch = 64;
/// Urgent demand that arrives within this time after a send goes out in one
/// message.
constexpr std::chrono::milliseconds kDemandInterval{ 5 };

} // namespace

LeaderConnection::LeaderConnection(const state::ProcessSettings& aSettings,
                                   std::chrono::milliseconds aCallTimeout)
  : settings_(aSettings)
  , callTimeout_(aCallTimeout)
{
  for (const state::MemberSettings& member : aSettings.members_) {
    addresses_.push_back(member.address_.Text());
  }
}

void
LeaderConnection::SelectNextMember(const std::string& aLeader)
{
  rpc_.reset();
  const auto known = std::find(addresses_.begin(), addresses_.end(), aLeader);
  if (known != addresses_.end()) {
    next_ = static_cast<std::size_t>(known - addresses_.begin());
    return;
  }
  if (!aLeader.empty()) {
    addresses_.push_back(aLeader);
    next_ = addresses_.size() - 1;
    return;
  }
  next_ = (next_ + 1) % std::max<std::size_t>(1, addresses_.size());
}

bool
LeaderConnection::TryOnce(const Call& aCall)
{
  if (addresses_.empty()) {
    return false;
  }
  if (!rpc_) {
    const auto address = state::ParseAddress(addresses_[next_]);
    if (!address) {
      SelectNextMember("");
      return false;
    }
    transport::RpcTarget target;
    target.host_ = address->host_;
    target.port_ = address->port_;
    target.callTimeout_ = callTimeout_;
    target.connectTimeout_ =
      std::chrono::duration_cast<std::chrono::milliseconds>(
        settings_.timers_.connectTimeout_);
    target.tls_ = { settings_.tls_.certificate_,
                    settings_.tls_.key_,
                    settings_.tls_.authority_,
                    false };
    rpc_ = std::make_unique<transport::ControlRpc>(target);
  }
  std::optional<std::string> leader = std::string();
  const core::Status done =
    rpc_->Call([&](wire::ControlClient& aClient) { leader = aCall(aClient); });
  if (done.Ok() && !leader) {
    return true;
  }
  SelectNextMember(leader.value_or(""));
  return false;
}

bool
LeaderConnection::TryUntil(const Call& aCall, core::MonotonicTime aUntil)
{
  const core::SystemClock clock;
  while (!TryOnce(aCall)) {
    if (clock.Now() >= aUntil) {
      return false;
    }
    std::this_thread::sleep_for(kRetryDelay);
  }
  return true;
}

ControlLink::ControlLink(const state::ProcessSettings& aSettings,
                         LinkHooks aHooks)
  : settings_(aSettings)
  , hooks_(std::move(aHooks))
{
}

ControlLink::~ControlLink()
{
  Stop();
}

void
ControlLink::Start()
{
  threads_.emplace_back([this] { RunPolls(); });
  threads_.emplace_back([this] { RunDemand(); });
  threads_.emplace_back([this] { RunClaims(); });
  threads_.emplace_back([this] { RunOutcomes(); });
}

void
ControlLink::Stop()
{
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  for (std::thread& thread : threads_) {
    thread.join();
  }
  threads_.clear();
}

bool
ControlLink::Stopping()
{
  const std::lock_guard lock(mutex_);
  return stopping_;
}

void
ControlLink::Pause(std::chrono::milliseconds aTime)
{
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, aTime, [this] { return stopping_; });
}

void
ControlLink::RunPolls()
{
  const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(
    settings_.timers_.poll_);
  // The leader may hold a poll for up to its wait time. Stop waiting soon after
  // that, so that another member can renew the lease in time.
  LeaderConnection leader(settings_, wait + std::chrono::milliseconds(700));
  while (!Stopping()) {
    wire::PollRequest request;
    request.version = protocol::kWireVersion;
    request.cluster = settings_.cluster_;
    request.host = settings_.host_.Value();
    request.failureDomain = settings_.failureDomain_.Value();
    request.waitMs = static_cast<std::int32_t>(wait.count());
    hooks_.fillPoll_(request);
    wire::PollReply reply;
    const bool answered = leader.TryOnce(
      [&](wire::ControlClient& aClient) -> std::optional<std::string> {
        aClient.poll(reply, request);
        const bool compatible = reply.version >= protocol::kOldestPollVersion;
        return reply.leader && compatible
                 ? std::nullopt
                 : std::optional<std::string>(reply.leaderAddress);
      });
    if (answered) {
      hooks_.onReply_(reply);
    } else {
      hooks_.onPollFailed_();
      Pause(kRetryDelay);
    }
  }
}

void
ControlLink::DemandChanged()
{
  {
    const std::lock_guard lock(mutex_);
    demandChanged_ = true;
  }
  changed_.notify_all();
}

void
ControlLink::RunDemand()
{
  LeaderConnection leader(settings_, std::chrono::milliseconds(1000));
  while (true) {
    {
      std::unique_lock lock(mutex_);
      changed_.wait(lock, [this] { return stopping_ || demandChanged_; });
      if (stopping_) {
        return;
      }
      demandChanged_ = false;
    }
    const UrgentDemands urgent = hooks_.urgentDemand_();
    if (urgent.demands_.empty()) {
      continue;
    }
    leader.TryUntil(
      [&](wire::ControlClient& aClient) -> std::optional<std::string> {
        wire::LeaderAnswer answer;
        aClient.demand(answer,
                       settings_.host_.Value(),
                       urgent.demands_,
                       urgent.instance_,
                       urgent.number_);
        return answer.leader ? std::nullopt
                             : std::optional<std::string>(answer.leaderAddress);
      },
      clock_.Now() + kRetryTimeout);
    Pause(kDemandInterval);
  }
}

void
ControlLink::Claim(const wire::ClaimRequest& aClaim, ClaimCallback aDone)
{
  {
    const std::lock_guard lock(mutex_);
    if (!stopping_) {
      claims_.push_back(
        { std::make_shared<wire::ClaimRequest>(aClaim), std::move(aDone) });
      aDone = nullptr;
    }
  }
  if (aDone) {
    aDone(nullptr);
    return;
  }
  changed_.notify_all();
}

void
ControlLink::RunClaims()
{
  LeaderConnection leader(settings_, std::chrono::milliseconds(2000));
  while (true) {
    std::vector<PendingClaim> batch;
    {
      std::unique_lock lock(mutex_);
      changed_.wait(lock, [this] { return stopping_ || !claims_.empty(); });
      if (claims_.empty()) {
        return;
      }
      const std::size_t count = std::min(claims_.size(), kClaimBatch);
      for (std::size_t i = 0; i < count; ++i) {
        batch.push_back(std::move(claims_.front()));
        claims_.pop_front();
      }
    }
    std::vector<wire::ClaimRequest> claims;
    claims.reserve(batch.size());
    for (const PendingClaim& pending : batch) {
      claims.push_back(*pending.claim_);
    }
    // Claims are safe to resend: the same host and request get the same answer.
    wire::ClaimAnswers answers;
    const bool answered = leader.TryUntil(
      [&](wire::ControlClient& aClient) -> std::optional<std::string> {
        aClient.claim(answers, claims);
        return answers.leader
                 ? std::nullopt
                 : std::optional<std::string>(answers.leaderAddress);
      },
      clock_.Now() + kRetryTimeout);
    for (std::size_t i = 0; i < batch.size(); ++i) {
      const bool has = answered && i < answers.answers.size();
      batch[i].done_(has ? &answers.answers[i] : nullptr);
    }
  }
}

void
ControlLink::Record(const wire::OutcomeRecord& aOutcome)
{
  {
    const std::lock_guard lock(mutex_);
    outcomes_.push_back(std::make_shared<wire::OutcomeRecord>(aOutcome));
  }
  changed_.notify_all();
}

void
ControlLink::ReportCrash(std::vector<wire::CrashReport> aReports,
                         std::function<void()> aDone)
{
  {
    const std::lock_guard lock(mutex_);
    reports_.push_back({ std::move(aReports), std::move(aDone) });
  }
  changed_.notify_all();
}

void
ControlLink::RunOutcomes()
{
  LeaderConnection leader(settings_, std::chrono::milliseconds(2000));
  while (true) {
    std::vector<wire::OutcomeRecord> outcomes;
    std::optional<PendingReport> report;
    {
      std::unique_lock lock(mutex_);
      changed_.wait(lock, [this] {
        return stopping_ || !outcomes_.empty() || !reports_.empty();
      });
      if (!reports_.empty()) {
        report = std::move(reports_.front());
        reports_.pop_front();
      }
      while (!outcomes_.empty() && outcomes.size() < kOutcomeBatch) {
        outcomes.push_back(*outcomes_.front());
        outcomes_.pop_front();
      }
      if (!report && outcomes.empty()) {
        return;
      }
    }
    if (report) {
      leader.TryUntil(
        [&](wire::ControlClient& aClient) -> std::optional<std::string> {
          wire::LeaderAnswer answer;
          aClient.reportCrash(answer, report->reports_);
          return answer.leader
                   ? std::nullopt
                   : std::optional<std::string>(answer.leaderAddress);
        },
        clock_.Now() + kRetryTimeout);
      report->done_();
    }
    // If an outcome can't be recorded, the claim's outcome becomes unknown at
    // its deadline, which is safe: a retry with the key is then refused and not
    // run again.
    if (!outcomes.empty()) {
      leader.TryUntil(
        [&](wire::ControlClient& aClient) -> std::optional<std::string> {
          wire::LeaderAnswer answer;
          aClient.record(answer, outcomes);
          return answer.leader
                   ? std::nullopt
                   : std::optional<std::string>(answer.leaderAddress);
        },
        clock_.Now() + kRetryTimeout);
    }
  }
}

} // namespace crocusslip::entry
