#include "tests/support/RandomCommand.hpp"

#include "state/ClaimTable.hpp"

#include <string>

namespace crocusslip::tests {

using namespace state;

namespace {

std::string
Pick(core::Random& aRandom, const char* aKind, std::uint64_t aNumber)
{
  return aKind + std::to_string(aRandom.Below(aNumber));
}

ChangeSettings
RandomChange(core::Random& aRandom)
{
  ChangeSettings change{ core::ChangeId(Pick(aRandom, "change-", 300)),
                         core::OperatorId(Pick(aRandom, "operator-", 3)),
                         core::Revision(aRandom.Below(60)),
                         {} };
  for (std::uint64_t edits = aRandom.Below(4); edits > 0; --edits) {
    change.edits_.push_back({ "/" + Pick(aRandom, "node-", 20),
                              Pick(aRandom, "replicas = ", 9),
                              aRandom.Chance(0.2) });
  }
  return change;
}

ClaimKey
RandomKey(core::Random& aRandom)
{
  ClaimKey key{ core::Hash128(Pick(aRandom, "key-", 40)), std::nullopt };
  if (key.hash_.low_ % 3 == 0) {
    key.issued_ = AgreedTime(AgreedDuration(key.hash_.high_ % 1000000));
  }
  return key;
}

EndOrders
RandomEnd(core::Random& aRandom)
{
  return { std::chrono::milliseconds(aRandom.Below(100000)),
           std::chrono::milliseconds(aRandom.Below(5000)),
           aRandom.Chance(0.5),
           { aRandom.Below(60), aRandom.Below(60) } };
}

} // namespace

Command
RandomCommand(core::Random& aRandom)
{
  const core::DeploymentId deployment(Pick(aRandom, "model-", 6));
  const core::ServerId server(Pick(aRandom, "server-", 4));
  const core::HostId host(Pick(aRandom, "host-", 3));
  const core::RequestId request(Pick(aRandom, "request-", 20));
  const core::OrderId order(aRandom.Below(400));
  const core::OperatorId person(Pick(aRandom, "operator-", 3));
  const std::string fingerprint = Pick(aRandom, "print-", 10);
  const std::chrono::milliseconds time(aRandom.Below(100000));
  const bool flag = aRandom.Chance(0.5);
  const auto third = static_cast<std::uint8_t>(aRandom.Below(3));
  switch (aRandom.Below(std::variant_size_v<Command>)) {
    case 0:
      return RandomChange(aRandom);
    case 1:
      return DecideLoad{ deployment,
                         server,
                         core::Bytes(8),
                         core::Bytes(24),
                         2,
                         time,
                         flag ? EngineKind::Checks : EngineKind::Ignores };
    case 2:
      return DecideUnload{ deployment, server, time };
    case 3:
      return ObserveOrder{ order, static_cast<OrderOutcome>(third) };
    case 4:
      return AdoptReplica{
        deployment, server, core::Bytes(5), EngineKind::Checks
      };
    case 5:
      return LoseReplica{ deployment, server, order };
    case 6:
      return ForgetServer{ server };
    case 7:
      return Claim{
        RandomKey(aRandom), core::Hash128(fingerprint), host, request, time
      };
    case 8:
      return RecordOutcome{ RandomKey(aRandom).hash_,
                            host,
                            request,
                            static_cast<ClaimOutcome>(third),
                            { 200, "text/plain", fingerprint, flag } };
    case 9:
      return SetDrain{ flag ? DrainTarget::Host : DrainTarget::Server,
                       flag ? host.Value() : server.Value(),
                       third == 0,
                       person };
    case 10:
      return ReportCrash{
        fingerprint, deployment, server, host, flag, 2, time
      };
    case 11:
      return ReleaseQuarantine{ fingerprint, person };
    case 12:
      return PublishRoutes{ aRandom.Below(20), fingerprint };
    case 13: {
      RecordOrders record{ RandomEnd(aRandom), {} };
      record.orders_.push_back(
        { server, time.count(), third, flag, deployment.Value() });
      return record;
    }
    case 14:
      return RandomEnd(aRandom);
    default:
      return AdvanceTime{ AgreedTime(time * 10) };
  }
}

} // namespace crocusslip::tests
