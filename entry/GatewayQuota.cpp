#include "entry/GatewayCall.hpp"
#include "protocol/QuotaWire.hpp"

#include <algorithm>

namespace crocusslip::entry {

namespace {

using Verdict = admission::QuotaGate::Verdict;
using transport::Task;

/// How long a request waits for credit when the leader does not answer.
constexpr std::chrono::milliseconds kQuotaTimeout{ 1000 };

} // namespace

void
Gateway::ReportQuotas(wire::SyncRequest& aRequest)
{
  if (!routes_ || routes_->Tenants().Empty()) {
    return;
  }
  aRequest.quotasComplete = quotas_.ReportIsComplete();
  aRequest.knownHosts = static_cast<std::int32_t>(hosts_);
  for (const auto& [tenant, use] : quotas_.TakeReport(clock_.Now())) {
    protocol::ToWire(use, protocol::EntryOf(aRequest.tenants, tenant.Value()));
  }
}

void
Gateway::ApplyQuotas(const wire::SyncReply& aReply)
{
  std::map<admission::TenantName, admission::QuotaGrant> grants;
  for (const wire::TenantGrant& grant : aReply.tenants) {
    if (grant.quota) {
      grants[admission::TenantName(grant.tenant)] = protocol::FromWire(grant);
    }
  }
  for (const auto& [id, verdict] : quotas_.OnReply(grants, clock_.Now())) {
    const auto call = awaitingQuota_.find(id);
    if (call != awaitingQuota_.end()) {
      call->second->OnQuotaVerdict(verdict);
    }
  }
  SyncQuotas();
}

void
Gateway::SyncQuotas()
{
  if (quotas_.NeedsReport()) {
    fleet_.SyncNow();
  }
}

void
GatewayCall::OnQuotaVerdict(Verdict aVerdict)
{
  quotaVerdict_ = aVerdict;
  timer_.cancel();
}

Task<bool>
GatewayCall::AwaitQuota()
{
  if (tenant_ == nullptr || !tenant_->quota_.Limited()) {
    co_return true;
  }
  const admission::QuotaGate::Id id = ++gateway_.lastQuotaId_;
  admission::QuotaGate& gate = gateway_.quotas_;
  Verdict verdict = gate.Take(tenant_->name_,
                              tenant_->quota_,
                              id,
                              quotaCost_,
                              gateway_.clock_.Now(),
                              gateway_.random_);
  gateway_.SyncQuotas();
  using Outcome = TenantCounters::QuotaOutcome;
  const auto count = [this](Outcome aOutcome) {
    gateway_.tenantCounters_.OnQuota(tenant_->name_, aOutcome);
  };
  if (verdict == Verdict::Waiting) {
    count(Outcome::Waited);
    gateway_.awaitingQuota_[id] = this;
    const core::MonotonicTime until =
      gateway_.clock_.Now() +
      std::min<core::Duration>(kQuotaTimeout, TimeLeft() / 2);
    while (!quotaVerdict_ && !callerGone_ && !givenUp_ &&
           gateway_.clock_.Now() < until) {
      co_await transport::Sleep(timer_, until - gateway_.clock_.Now());
    }
    gateway_.awaitingQuota_.erase(id);
    if (quotaVerdict_) {
      verdict = *quotaVerdict_;
    } else {
      verdict = gate.Expire(tenant_->name_, id, gateway_.clock_.Now())
                  ? Verdict::Admitted
                  : Verdict::Refused;
    }
  }
  if (verdict != Verdict::Admitted) {
    count(Outcome::Refused);
    co_return false;
  }
  count(Outcome::Admitted);
  quotaState_ = QuotaState::Reserved;
  co_return true;
}

void
GatewayCall::ChargeQuota()
{
  if (quotaState_ == QuotaState::None) {
    return;
  }
  if (quotaState_ == QuotaState::Spent) {
    gateway_.quotas_.ChargeAgain(tenant_->name_, quotaCost_);
  }
  gateway_.quotas_.OnSent(tenant_->name_, quotaCost_, gateway_.clock_.Now());
  quotaState_ = QuotaState::Spent;
}

void
GatewayCall::ReturnQuota()
{
  if (quotaState_ == QuotaState::Spent) {
    gateway_.quotas_.OnNotRun(
      tenant_->name_, quotaCost_, gateway_.clock_.Now());
    quotaState_ = QuotaState::Reserved;
  }
}

void
GatewayCall::ReleaseQuota()
{
  if (quotaState_ == QuotaState::Reserved) {
    gateway_.quotas_.Release(tenant_->name_, quotaCost_);
    quotaState_ = QuotaState::None;
  }
}

} // namespace crocusslip::entry
