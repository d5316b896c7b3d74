#include "cli/Commands.hpp"
#include "state/Quantity.hpp"

#include <algorithm>
#include <charconv>

namespace crocusslip::cli {

namespace {

using namespace protocol;

constexpr core::Duration kDrainPoll = std::chrono::seconds(1);

template<typename Request>
ExitCode
Post(Session& aSession,
     const std::string& aPath,
     const Request& aRequest,
     bool aRepeatable,
     std::string_view aDone)
{
  const auto body =
    aSession.Call({ "POST", aPath, ToJson(aRequest), aRepeatable });
  if (!body) {
    return aSession.LastFailure();
  }
  if (aSession.Json()) {
    aSession.Out() << *body << '\n';
  } else {
    aSession.Out() << aDone << '\n';
  }
  return ExitCode::Ok;
}

/// An entry host that has not polled for this long is gone.
constexpr std::uint64_t kGoneAfterMs = 5000;

bool
IsHost(const AdminHosts& aHosts, const std::string& aId)
{
  return std::any_of(
    aHosts.hosts_.begin(),
    aHosts.hosts_.end(),
    [&](const AdminEntryHost& aHost) { return aHost.id_.Value() == aId; });
}

bool
IsServer(const AdminHosts& aHosts, const std::string& aId)
{
  return std::any_of(
    aHosts.servers_.begin(),
    aHosts.servers_.end(),
    [&](const AdminServer& aServer) { return aServer.id_.Value() == aId; });
}

/// "host" or "server"; nothing when the id names neither, or both.
std::optional<std::string>
FindTarget(Session& aSession, const std::string& aId)
{
  if (aSession.Has("target")) {
    const std::string target = aSession.Option("target");
    if (target == "host" || target == "server") {
      return target;
    }
    aSession.Fail(ExitCode::BadInput, "--target expects host or server");
    return std::nullopt;
  }
  const auto hosts = aSession.Fetch<AdminHosts>("/hosts");
  if (!hosts) {
    return std::nullopt;
  }
  const bool host = IsHost(*hosts, aId);
  const bool server = IsServer(*hosts, aId);
  if (host != server) {
    return host ? "host" : "server";
  }
  aSession.Fail(ExitCode::BadInput,
                host ? aId + " is a host and a server; give --target"
                     : "no host or server \"" + aId +
                         "\" is known; give --target to drain it anyway");
  return std::nullopt;
}

/// What still runs on an entry host; empty when nothing does.
std::string
RestOnHost(const AdminHosts& aHosts, const std::string& aId)
{
  for (const AdminEntryHost& host : aHosts.hosts_) {
    if (host.id_.Value() == aId && host.lastPollMs_ < kGoneAfterMs) {
      return "still polls, last " + std::to_string(host.lastPollMs_) + "ms ago";
    }
  }
  return {};
}

/// What still runs on a backend server; empty when nothing does.
std::string
RestOnServer(const AdminHosts& aHosts, const std::string& aId)
{
  for (const AdminServer& server : aHosts.servers_) {
    const bool busy =
      server.running_ + server.queued_ != 0 || server.memoryHeld_.Count() != 0;
    if (server.id_.Value() == aId && busy && server.standing_ != "gone") {
      return std::to_string(server.running_) + " requests running, " +
             std::to_string(server.queued_) + " queued, " +
             state::FormatSize(server.memoryHeld_) + " held by replicas";
    }
  }
  return {};
}

/// Waits until nothing runs there any more, and says what still does.
ExitCode
WaitForDrain(Session& aSession,
             const std::string& aTarget,
             const std::string& aId,
             core::Duration aLimit)
{
  std::string last;
  for (core::Duration waited{ 0 };; waited += kDrainPoll) {
    const auto hosts = aSession.Fetch<AdminHosts>("/hosts");
    if (!hosts) {
      return aSession.LastFailure();
    }
    const std::string rest =
      aTarget == "host" ? RestOnHost(*hosts, aId) : RestOnServer(*hosts, aId);
    if (rest.empty()) {
      aSession.Out() << aId << " is drained\n";
      return ExitCode::Ok;
    }
    if (rest != last) {
      aSession.Err() << aId << ": " << rest << '\n';
      last = rest;
    }
    if (waited >= aLimit) {
      return aSession.Fail(ExitCode::Failed,
                           aId + " is not drained within " +
                             aSession.Option("wait-limit"));
    }
    aSession.Outside().sleep_(kDrainPoll);
  }
}

std::optional<core::MemberId>
ReadMemberId(Session& aSession)
{
  const std::string& text = aSession.Arguments()[0];
  core::MemberId::RepType value = 0;
  const char* const end = text.data() + text.size();
  const auto [last, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || last != end || value == 0) {
    aSession.Fail(ExitCode::BadInput,
                  "\"" + text + "\" is not the id of a member");
    return std::nullopt;
  }
  return core::MemberId(value);
}

ExitCode
ChangeMember(Session& aSession, const std::string& aAction)
{
  const auto id = ReadMemberId(aSession);
  if (!id) {
    return ExitCode::BadInput;
  }
  AdminMemberChange change;
  change.action_ = aAction;
  change.id_ = *id;
  if (aAction == "add") {
    change.address_ = aSession.Arguments()[1];
    change.failureDomain_ = core::FailureDomainId(aSession.Arguments()[2]);
    change.disk_ = aSession.Option("disk");
  }
  // A repeated change of membership could undo another operator's change.
  return Post(aSession,
              "/members",
              change,
              false,
              "member " + aSession.Arguments()[0] + ": " + aAction + " done");
}

} // namespace

ExitCode
RunDrain(Session& aSession)
{
  const std::string& id = aSession.Arguments()[0];
  const bool undo = aSession.Has("undo");
  const auto limit = aSession.DurationOption("wait-limit");
  if (!limit) {
    return ExitCode::BadInput;
  }
  if (undo && aSession.Has("wait")) {
    return aSession.Fail(ExitCode::BadInput, "--undo excludes --wait");
  }
  const auto target = FindTarget(aSession, id);
  if (!target) {
    return aSession.LastFailure() == ExitCode::Ok ? ExitCode::BadInput
                                                  : aSession.LastFailure();
  }
  const ExitCode sent =
    Post(aSession,
         "/drain",
         AdminDrain{ *target, id, !undo },
         true,
         id + (undo ? " is back in use" : " gets no new work"));
  if (sent != ExitCode::Ok || !aSession.Has("wait")) {
    return sent;
  }
  return WaitForDrain(aSession, *target, id, *limit);
}

ExitCode
RunQuarantineRelease(Session& aSession)
{
  const std::string& fingerprint = aSession.Arguments()[0];
  return Post(aSession,
              "/quarantine/release",
              AdminRelease{ fingerprint },
              true,
              fingerprint + " is released");
}

ExitCode
RunMembersAdd(Session& aSession)
{
  return ChangeMember(aSession, "add");
}

ExitCode
RunMembersRemove(Session& aSession)
{
  return ChangeMember(aSession, "remove");
}

ExitCode
RunMembersPromote(Session& aSession)
{
  return ChangeMember(aSession, "promote");
}

ExitCode
RunMembersDemote(Session& aSession)
{
  return ChangeMember(aSession, "demote");
}

ExitCode
RunMembersTransfer(Session& aSession)
{
  const auto id = ReadMemberId(aSession);
  if (!id) {
    return ExitCode::BadInput;
  }
  return Post(aSession,
              "/transfer",
              AdminTransfer{ *id },
              true,
              "member " + aSession.Arguments()[0] + " is asked to lead");
}

} // namespace crocusslip::cli
