#include "bench/QuotaModel.hpp"

#include "protocol/QuotaWire.hpp"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// What quotas refuse and pass on over many hosts, in trouble and without, and
/// what they cost, against an equal split and against reports alone.
namespace {

using namespace crocusslip;
using namespace crocusslip::bench;
using namespace std::chrono_literals;

struct Case
{
  const char* name_;
  std::function<void(QuotaModelSettings&)> set_;
};

void
Jump(QuotaModelSettings& aSettings)
{
  aSettings.jumpAt_ = 30s;
  for (QuotaModelTenant& tenant : aSettings.tenants_) {
    tenant.jump_ = 7.5;
  }
}

const std::vector<Case> kCases = {
  { "usual", [](QuotaModelSettings&) {} },
  { "jump", Jump },
  { "leader lost",
    [](QuotaModelSettings& aSettings) { aSettings.leaderDiesAt_ = 30s; } },
  { "jump, leader lost",
    [](QuotaModelSettings& aSettings) {
      Jump(aSettings);
      aSettings.leaderDiesAt_ = 30s;
    } },
  { "third cut off",
    [](QuotaModelSettings& aSettings) {
      aSettings.cutAt_ = 25s;
      aSettings.cutHosts_ = aSettings.hosts_ / 3;
    } },
  { "jump, third cut off",
    [](QuotaModelSettings& aSettings) {
      Jump(aSettings);
      aSettings.cutAt_ = 25s;
      aSettings.cutHosts_ = aSettings.hosts_ / 3;
    } },
  { "jump, third frozen",
    [](QuotaModelSettings& aSettings) {
      Jump(aSettings);
      aSettings.cutAt_ = 28s;
      aSettings.cutTime_ = 5s;
      aSettings.cutHosts_ = aSettings.hosts_ / 3;
      aSettings.frozen_ = true;
    } },
  { "hosts added",
    [](QuotaModelSettings& aSettings) {
      aSettings.addAt_ = 25s;
      aSettings.addHosts_ = aSettings.hosts_ / 3;
    } },
  { "limit lowered",
    [](QuotaModelSettings& aSettings) {
      aSettings.changeAt_ = 30s;
      aSettings.change_ = 0.1;
    } },
  { "jump, servers full",
    [](QuotaModelSettings& aSettings) {
      Jump(aSettings);
      aSettings.serverWait_ = 3s;
    } },
};

void
Run(const Case& aCase,
    QuotaPolicy aPolicy,
    std::uint32_t aHosts,
    double aRate,
    double aUse,
    std::uint64_t aSeeds)
{
  QuotaModelResult sum;
  double worst = 0;
  std::size_t worstTenant = 0;
  double worstAt = 0;
  std::uint64_t over = 0;
  for (std::uint64_t seed = 1; seed <= aSeeds; ++seed) {
    QuotaModelSettings settings;
    settings.policy_ = aPolicy;
    settings.hosts_ = aHosts;
    settings.seed_ = seed;
    settings.bound_ = { 8000ms, 0.1, 11000 };
    settings.tenants_ = SkewedTenants(16, aRate, aUse);
    settings.judgeFrom_ = 2s;
    aCase.set_(settings);
    const QuotaModelResult result = QuotaModel(settings).Run();
    sum.requests_ += result.requests_;
    sum.refused_ += result.refused_;
    sum.wronglyRefused_ += result.wronglyRefused_;
    sum.waited_ += result.waited_;
    sum.messagesPerHost_ += result.messagesPerHost_;
    sum.entriesPerHost_ += result.entriesPerHost_;
    sum.leaderMicros_ += result.leaderMicros_;
    if (result.peak_ > worst) {
      worst = result.peak_;
      worstTenant = result.peakTenant_;
      worstAt = core::Seconds(result.peakAt_);
    }
    over += result.peak_ > 1 ? 1 : 0;
  }
  const auto percent = [&](std::uint64_t aCount) {
    return 100.0 * static_cast<double>(aCount) /
           static_cast<double>(sum.requests_);
  };
  const auto runs = static_cast<double>(aSeeds);
  std::printf("%-10s %5u hosts use %.1f %-20s refused %6.2f%% wrongly %6.3f%% "
              "waited %6.2f%% peak %.3f (tenant %zu, %.1f s) over %llu/%llu "
              "messages %.2f entries "
              "%.1f leader %.1f us\n",
              aPolicy == QuotaPolicy::Ledger       ? "ledger"
              : aPolicy == QuotaPolicy::EqualSplit ? "equal"
                                                   : "free",
              aHosts,
              aUse,
              aCase.name_,
              percent(sum.refused_),
              percent(sum.wronglyRefused_),
              percent(sum.waited_),
              worst,
              worstTenant,
              worstAt,
              static_cast<unsigned long long>(over),
              static_cast<unsigned long long>(aSeeds),
              sum.messagesPerHost_ / runs,
              sum.entriesPerHost_ / runs,
              sum.leaderMicros_ / runs);
  std::fflush(stdout);
}

template<typename Entry>
std::uint32_t
BytesOf(const Entry& aEntry)
{
  auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
  apache::thrift::protocol::TCompactProtocol protocol(buffer);
  aEntry.write(&protocol);
  return buffer->available_read();
}

/// Bytes of entries of a tenant limited by tokens.
void
PrintSizes()
{
  wire::TenantUse use;
  use.tenant = "tenant-name";
  protocol::ToWire(admission::QuotaUse{ 3260, 2, 1630, 4890, 1630, 1, {} },
                   use);
  wire::TenantGrant grant;
  grant.tenant = use.tenant;
  protocol::ToWire(
    admission::QuotaGrant{ 4890, true, 700, 1630, std::chrono::seconds(1) },
    grant);
  std::printf(
    "bytes of a use %u, of a grant %u\n", BytesOf(use), BytesOf(grant));
}

} // namespace

/// Arguments: hosts, requests a second, seeds, policy (ledger, equal, free),
/// begin of the cases' names.
int
main(int argc, char** argv)
{
  const auto hosts =
    static_cast<std::uint32_t>(argc > 1 ? std::atoi(argv[1]) : 67);
  const double rate = argc > 2 ? std::atof(argv[2]) : 300;
  const auto seeds =
    static_cast<std::uint64_t>(argc > 3 ? std::atoi(argv[3]) : 5);
  const std::string policy = argc > 4 ? argv[4] : "ledger";
  PrintSizes();
  const std::string only = argc > 5 ? argv[5] : "";
  for (const double use : { 0.5, 0.7, 0.9 }) {
    for (const Case& entry : kCases) {
      if (!std::string_view(entry.name_).starts_with(only)) {
        continue;
      }
      Run(entry,
          policy == "ledger"  ? QuotaPolicy::Ledger
          : policy == "equal" ? QuotaPolicy::EqualSplit
                              : QuotaPolicy::FreeRunning,
          hosts,
          rate,
          use,
          seeds);
    }
  }
  return 0;
}
