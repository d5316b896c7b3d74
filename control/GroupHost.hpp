#pragma once

#include "control/Group.hpp"
#include "control/Peers.hpp"
#include "coordination/MemberRepair.hpp"
#include "state/PosixFileSystem.hpp"

#include "fleet_types.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace crocusslip::control {

struct GroupHostSettings
{
  std::string cluster_;
  /// Address "HOST:PORT" at which the other members reach this one.
  std::string address_;
  core::FailureDomainId failureDomain_;
  std::string dataFolder_;
  /// Addresses of members to ask first.
  std::vector<std::string> seeds_;
  /// The system starts for the first time: the seeds form the group.
  bool bootstrap_ = false;
  GroupSettings group_;
  coordination::MemberRepairSettings repair_;
};

/// Keeps this process a member of the control group although nobody tells it
/// who the members are: forms the group of the seeds at the very first start,
/// joins it otherwise, and joins again as a new member when the group has gone
/// on without it. While it leads, it repairs the list of members.
class GroupHost
{
public:
  GroupHost(GroupHostSettings aSettings,
            const core::Clock& aClock,
            GroupHooks aHooks);
  ~GroupHost();
  GroupHost(const GroupHost&) = delete;
  GroupHost& operator=(const GroupHost&) = delete;

  core::Status Start();
  void Stop();
  /// Hands the leadership to another voter before this process ends.
  void GiveUpLeadership();
  void SetSeeds(std::vector<std::string> aSeeds);

  /// Nothing while this process is not a member.
  std::shared_ptr<Group> Current() const;
  /// Whether this process leads and may act.
  bool MayDecide() const;
  /// The term in which it may, if it may.
  std::optional<core::Term> DecidingTerm() const;
  /// Address of the leader if another process leads; empty when not known.
  std::string LeaderAddress() const;
  std::vector<std::string> MemberAddresses() const;
  core::Term Term() const;

  wire::JoinAnswer Join(const wire::JoinRequest& aRequest);

private:
  void Run();
  core::Status Open(core::MemberId aMember,
                    const state::GroupMembers* aFirstMembers);
  void Close();
  void JoinGroup();
  void LookAfter();
  void Repair(const std::shared_ptr<Group>& aGroup, const GroupStatus& aStatus);
  void AskWhetherMember(const GroupStatus& aStatus);
  /// Called with mutex_ held.
  void LearnAddresses(const wire::JoinAnswer& aAnswer);
  /// Empty answer when nobody could tell.
  wire::JoinAnswer Ask(std::int32_t aMember);
  std::vector<std::string> Addresses() const;
  bool Pause(std::chrono::milliseconds aTime);
  core::Status EmptyFolder();

  GroupHostSettings settings_;
  const core::Clock& clock_;
  const GroupHooks hooks_;
  state::PosixFileSystem files_;
  core::Random random_;
  const std::string disk_;

  /// Lock order 2: nothing but the group's own locks is taken under it.
  mutable std::mutex mutex_;
  std::condition_variable wake_;
  bool stopping_ = false;
  std::shared_ptr<Group> group_;
  std::shared_ptr<Peers> peers_;
  core::MemberId self_;
  std::vector<std::string> known_;
  std::map<core::MemberId, std::string> addresses_;

  /// Only of the thread that looks after the group.
  core::Term contactsTerm_;
  std::map<core::MemberId, coordination::MemberContact> contacts_;
  core::MonotonicTime leaderSeen_;

  /// Lock order 1: one change of members at a time.
  std::mutex joinMutex_;
  std::thread thread_;
};

} // namespace crocusslip::control
