#define BOOST_TEST_MODULE GroupHost
#include <boost/test/unit_test.hpp>

#include "control/BackendPort.hpp"
#include "control/FleetController.hpp"
#include "control/FleetService.hpp"
#include "control/GroupHost.hpp"
#include "core/Clock.hpp"
#include "support/LocalSystem.hpp"
#include "transport/RpcServer.hpp"

#include <filesystem>
#include <functional>
#include <thread>

using namespace crocusslip;
using namespace std::chrono_literals;

namespace {

constexpr auto kLongest = 20s;

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
  Member(std::uint16_t aPort,
         const std::string& aFolder,
         const std::vector<std::string>& aSeeds,
         bool aBootstrap)
  {
    control::GroupHostSettings settings;
    settings.cluster_ = "test";
    settings.address_ = "127.0.0.1:" + std::to_string(aPort);
    settings.dataFolder_ = aFolder;
    settings.seeds_ = aSeeds;
    settings.bootstrap_ = aBootstrap;
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
      port_,
      clock_,
      [](const std::string&) {
        using Limits =
          std::map<coordination::ServiceName, coordination::EngineLimits>;
        return core::Result<Limits>(Limits());
      },
      control::FleetControllerSettings{},
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
  NoServers port_;
  core::MetricsRegistry metrics_;
  std::unique_ptr<control::GroupHost> group_;
  std::unique_ptr<control::FleetController> controller_;
  std::unique_ptr<transport::RpcServer> server_;
};

struct Fixture
{
  ~Fixture()
  {
    members_.clear();
    for (const std::string& folder : folders_) {
      std::filesystem::remove_all(folder);
    }
  }

  void Start(std::size_t aCount)
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      ports_.push_back(tests::FreePort());
      folders_.push_back(tests::NewFolder());
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
      seeds.push_back("127.0.0.1:" + std::to_string(ports_[i]));
    }
    members_[aIndex] = std::make_unique<Member>(
      ports_[aIndex], folders_[aIndex], seeds, aBootstrap);
  }

  static bool Await(const std::function<bool()>& aHolds)
  {
    const auto until = std::chrono::steady_clock::now() + kLongest;
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

  std::vector<std::uint16_t> ports_;
  std::vector<std::string> folders_;
  std::vector<std::unique_ptr<Member>> members_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(AGroupThatNobodyDescribes)

BOOST_FIXTURE_TEST_CASE(FormsOfItsSeedsAndTakesInTheOthers, Fixture)
{
  Start(5);
  BOOST_TEST(Await([&] { return Voters() == 5; }));
  BOOST_TEST(Publish(4));
  for (std::size_t i = 0; i < 5; ++i) {
    BOOST_TEST(Await([&] { return VersionAt(i) == 4; }));
  }
}

// The disk holds what was acknowledged; an empty one must not vote as the
// member that it replaces.
BOOST_FIXTURE_TEST_CASE(ReplacesAMemberThatLostItsDisk, Fixture)
{
  Start(3);
  BOOST_REQUIRE(Await([&] { return Voters() == 3; }));
  BOOST_REQUIRE(Publish(7));
  members_[2].reset();
  std::filesystem::remove_all(folders_[2]);
  std::filesystem::create_directory(folders_[2]);
  Restart(2, false);
  BOOST_TEST(Await([&] {
    const auto group = members_[2]->group_->Current();
    Member* leader = Leader();
    if (!group || leader == nullptr || VersionAt(2) != 7) {
      return false;
    }
    const auto members = leader->group_->Current()->Status().members_;
    return members.VoterCount() == 3 && members.highestId_.Value() > 3;
  }));
}

BOOST_FIXTURE_TEST_CASE(KeepsWhatWasAcknowledgedOverAStopOfAll, Fixture)
{
  Start(3);
  BOOST_REQUIRE(Await([&] { return Voters() == 3; }));
  BOOST_REQUIRE(Publish(9));
  for (auto& member : members_) {
    member.reset();
  }
  for (std::size_t i = 0; i < 3; ++i) {
    Restart(i, false);
  }
  BOOST_TEST(Await([&] {
    Member* leader = Leader();
    return leader != nullptr &&
           leader->group_->Current()->WithState(
             [](const auto& aState) { return aState.Routes().Version(); }) == 9;
  }));
}

BOOST_FIXTURE_TEST_CASE(TellsHostsWhichPartOfPromptsCrashesServers, Fixture)
{
  constexpr std::int64_t kPart = 7;
  Start(1);
  BOOST_REQUIRE(Await([&] { return Leader() != nullptr; }));
  Member& leader = *Leader();
  leader.controller_->Start();
  const auto sync = [&](const wire::SyncRequest& aRequest) {
    leader.loop_.run_for(20ms);
    wire::SyncReply reply;
    leader.controller_->Sync(aRequest, reply);
    return reply;
  };
  BOOST_REQUIRE(Await([&] { return sync({}).leader; }));
  wire::SyncRequest report;
  report.host = "e1";
  for (int i = 1; i <= 3; ++i) {
    wire::Crash& crash = report.crashes.emplace_back();
    crash.request.low = i;
    crash.server = "s" + std::to_string(i);
    crash.parts = { kPart };
    crash.ageMs = 4000 - 1000 * i;
  }
  BOOST_TEST(sync(report).heldParts.empty());
  wire::SyncRequest others;
  others.host = "e2";
  others.starts = 20;
  BOOST_TEST(
    Await([&] { return sync(others).heldParts == std::vector{ kPart }; }));
  others.startedParts = { kPart };
  BOOST_TEST(sync(others).heldParts.empty());
}

BOOST_AUTO_TEST_SUITE_END()
