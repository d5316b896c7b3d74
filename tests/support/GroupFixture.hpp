#pragma once

#include "control/BackendPort.hpp"
#include "control/FleetController.hpp"
#include "control/FleetService.hpp"
#include "control/GroupHost.hpp"
#include "core/Clock.hpp"
#include "tests/support/LocalSystem.hpp"
#include "tests/support/SilentLink.hpp"
#include "transport/RpcServer.hpp"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <functional>
#include <thread>

/// Control processes within the test program, with a fake port to servers.
namespace crocusslip::tests {

using namespace std::chrono_literals;

using ServiceLimits =
  std::map<coordination::ServiceName, coordination::EngineLimits>;

constexpr std::chrono::seconds kGroupTimeout{ 20 };

class NoServers final : public control::BackendPort
{
public:
  transport::Task<core::Result<std::vector<coordination::ListedServer>>>
  ReadList() override
  {
    co_return std::vector<coordination::ListedServer>{};
  }
  transport::Task<core::Result<control::EngineReport>> ReadReport(
    std::string,
    core::ServerId) override
  {
    co_return control::EngineReport{};
  }
  transport::Task<control::OrderReply> SendOrder(std::string,
                                                 coordination::PlacementOrder,
                                                 std::int64_t,
                                                 control::OrderSender) override
  {
    co_return control::OrderReply::Invalid;
  }
};

/// One control process within this one.
struct Member
{
  /// Others reach the member at aAddress.
  Member(std::uint16_t aPort,
         const std::string& aAddress,
         const std::string& aFolder,
         const std::vector<std::string>& aSeeds,
         bool aBootstrap,
         control::BackendPort& aBackends,
         const ServiceLimits& aLimits,
         const control::FleetControllerSettings& aFleet = {},
         const control::GroupSettings& aGroup = {})
  {
    control::GroupHostSettings settings;
    settings.cluster_ = "test";
    settings.address_ = aAddress;
    settings.dataFolder_ = aFolder;
    settings.seeds_ = aSeeds;
    settings.bootstrap_ = aBootstrap;
    settings.group_ = aGroup;
    control::GroupHooks hooks;
    hooks.applied_ = [](core::LogIndex,
                        core::Term,
                        const state::Command&,
                        const state::Answer&) {};
    hooks.halted_ = [](const std::string&) {};
    hooks.refusedDiskFull_ = [](std::size_t) {};
    group_ = std::make_unique<control::GroupHost>(settings, clock_, hooks);
    controller_ = std::make_unique<control::FleetController>(
      loop_,
      *group_,
      aBackends,
      clock_,
      [&aLimits](const std::string&) {
        return core::Result<ServiceLimits>(aLimits);
      },
      aFleet,
      metrics_);
    transport::RpcServerSettings rpc;
    rpc.port_ = aPort;
    server_ = std::make_unique<transport::RpcServer>(
      rpc, control::MakeFleetProcessor(*group_, *controller_, "test"));
    BOOST_REQUIRE(group_->Start().Ok());
    BOOST_REQUIRE(server_->Start().Ok());
  }
  ~Member()
  {
    group_->Stop();
    server_->Stop();
  }

  const core::SystemClock clock_;
  transport::asio::io_context loop_;
  core::MetricsRegistry metrics_;
  std::unique_ptr<control::GroupHost> group_;
  std::unique_ptr<control::FleetController> controller_;
  std::unique_ptr<transport::RpcServer> server_;
};

struct GroupFixture
{
  ~GroupFixture()
  {
    members_.clear();
    for (const std::string& folder : folders_) {
      std::filesystem::remove_all(folder);
    }
  }

  void Start(std::size_t aCount, bool aOverLinks = false)
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      ports_.push_back(tests::FreePort());
      folders_.push_back(tests::NewFolder());
      std::uint16_t port = ports_.back();
      if (aOverLinks) {
        links_.push_back(std::make_unique<SilentLink>(port));
        port = links_.back()->Port();
      }
      addresses_.push_back("127.0.0.1:" + std::to_string(port));
    }
    members_.resize(aCount);
    for (std::size_t i = 0; i < aCount; ++i) {
      Restart(i, true);
    }
  }

  void Restart(std::size_t aIndex, bool aBootstrap)
  {
    members_[aIndex].reset();
    std::vector<std::string> seeds;
    for (std::size_t i = 0; i < std::min<std::size_t>(3, ports_.size()); ++i) {
      seeds.push_back(addresses_[i]);
    }
    members_[aIndex] = std::make_unique<Member>(ports_[aIndex],
                                                addresses_[aIndex],
                                                folders_[aIndex],
                                                seeds,
                                                aBootstrap,
                                                *backends_,
                                                limits_,
                                                fleet_,
                                                group_);
  }

  static bool Await(const std::function<bool()>& aHolds)
  {
    const auto until = std::chrono::steady_clock::now() + kGroupTimeout;
    while (std::chrono::steady_clock::now() < until) {
      if (aHolds()) {
        return true;
      }
      std::this_thread::sleep_for(20ms);
    }
    return false;
  }

  Member* Leader()
  {
    for (const auto& member : members_) {
      if (member && member->group_->MayDecide()) {
        return member.get();
      }
    }
    return nullptr;
  }

  std::size_t Voters()
  {
    Member* leader = Leader();
    if (leader == nullptr) {
      return 0;
    }
    const auto status = leader->group_->Current()->Status();
    return status.membersCommitted_ ? status.members_.VoterCount() : 0;
  }

  bool Publish(std::uint64_t aVersion)
  {
    return Await([&] {
      Member* leader = Leader();
      return leader != nullptr &&
             leader->group_->Current()
               ->ProposeAndWait(state::PublishRoutes{ aVersion, "routes" }, 2s)
               .Ok();
    });
  }

  std::uint64_t VersionAt(std::size_t aIndex)
  {
    const auto group = members_[aIndex]->group_->Current();
    return group ? group->WithState([](const auto& aState) {
      return aState.Routes().Version();
    })
                 : 0;
  }

  NoServers noServers_;
  control::BackendPort* backends_ = &noServers_;
  control::FleetControllerSettings fleet_;
  control::GroupSettings group_;
  /// Read by the members with each version of the routes.
  ServiceLimits limits_;
  std::vector<std::uint16_t> ports_;
  /// Where the members reach each other.
  std::vector<std::string> addresses_;
  /// One for each member if they reach each other over links.
  std::vector<std::unique_ptr<SilentLink>> links_;
  std::vector<std::string> folders_;
  std::vector<std::unique_ptr<Member>> members_;
};

} // namespace crocusslip::tests
