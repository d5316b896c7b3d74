#include "cli/Commands.hpp"
#include "cli/MemoryFiles.hpp"
#include "cli/TextTable.hpp"
#include "state/CommandCodec.hpp"
#include "state/ListenAddress.hpp"
#include "state/MemberStorage.hpp"
#include "state/SettingsTree.hpp"
#include "state/StateMachine.hpp"

#include <algorithm>
#include <charconv>

#include <nlohmann/json.hpp>

namespace crocusslip::cli {

namespace {

/// The consensus group of a cluster with one group.
constexpr std::uint32_t kGroup = 1;
/// First line of a backup; term and index follow, then the state's snapshot.
constexpr std::string_view kBackupMagic = "crocusslip-backup 1 ";
/// Added to the term of a backup: the old group may have reached later terms
/// after it, and engines refuse fencing numbers below those they have seen.
constexpr std::uint64_t kTermMargin = 1000000;

/// A member's stored state, read without changing its folder.
struct OfflineMember
{
  state::MemberIdentity identity_;
  state::StoredState stored_;
  state::StateMachine machine_;
  core::Term lastTerm_;
  core::LogIndex lastIndex_;
  std::uint64_t entries_ = 0;
  /// Bytes of a torn record at the end of the log.
  std::uint64_t tornBytes_ = 0;
};

core::Status
ApplyEntries(OfflineMember& aMember)
{
  for (const state::LogEntry& entry : aMember.stored_.entries_) {
    aMember.lastTerm_ = entry.term_;
    aMember.lastIndex_ = entry.index_;
    ++aMember.entries_;
    if (entry.kind_ != state::EntryKind::Command) {
      continue;
    }
    const auto command = state::DecodeCommand(entry.payload_);
    if (!command) {
      return core::Error{ core::Errc::Corrupt,
                          "log entry " + std::to_string(entry.index_.Value()) +
                            ": " + command.Failure().Message() };
    }
    aMember.machine_.Apply(entry.index_, entry.term_, command.Value());
  }
  return core::Success();
}

core::Status
ReadMember(Session& aSession,
           const std::string& aFolder,
           OfflineMember& aMember)
{
  MemoryFiles files;
  if (core::Status done = files.Copy(aSession.Outside().files_, aFolder);
      !done) {
    return done;
  }
  const auto identity = state::LoadIdentity(files, aFolder);
  if (!identity) {
    return identity.Failure();
  }
  aMember.identity_ = identity.Value();
  auto storage = state::MemberStorage::Open(
    files, aFolder, aMember.identity_, aSession.Outside().random_);
  if (!storage) {
    return storage.Failure();
  }
  aMember.tornBytes_ = files.CutBytes();
  aMember.stored_ = storage.Value()->TakeStored();
  if (aMember.stored_.snapshot_) {
    const state::Snapshot& snapshot = *aMember.stored_.snapshot_;
    if (core::Status done = aMember.machine_.Restore(snapshot.content_);
        !done) {
      return done;
    }
    aMember.lastTerm_ = snapshot.meta_.term_;
    aMember.lastIndex_ = snapshot.meta_.index_;
  }
  return ApplyEntries(aMember);
}

/// The argument's member, or nothing after printing why not.
std::unique_ptr<OfflineMember>
OpenMember(Session& aSession)
{
  auto member = std::make_unique<OfflineMember>();
  const std::string& folder = aSession.Arguments()[0];
  if (const core::Status done = ReadMember(aSession, folder, *member); !done) {
    aSession.Fail(ExitCode::Failed, folder + ": " + done.Failure().Message());
    return nullptr;
  }
  return member;
}

std::string
Text(std::uint64_t aNumber)
{
  return std::to_string(aNumber);
}

nlohmann::json
NodesJson(const state::StateMachine& aMachine)
{
  nlohmann::json nodes = nlohmann::json::object();
  for (const auto& [path, node] : aMachine.Settings().Nodes()) {
    nodes[path] = { { "toml", node.toml_ },
                    { "revision", node.revision_.Value() } };
  }
  return nodes;
}

nlohmann::json
ReplicasJson(const state::StateMachine& aMachine)
{
  nlohmann::json replicas = nlohmann::json::array();
  for (const auto& [key, replica] : aMachine.Orders().Replicas()) {
    replicas.push_back({ { "deployment", key.deployment_.Value() },
                         { "server", key.server_.Value() },
                         { "phase", state::Name(replica.phase_) },
                         { "memory", replica.memory_.Count() },
                         { "order", replica.order_.Value() },
                         { "term", replica.term_.Value() } });
  }
  return replicas;
}

nlohmann::json
DrainsJson(const state::StateMachine& aMachine)
{
  nlohmann::json drains = nlohmann::json::array();
  for (const auto& [key, drain] : aMachine.Drains().All()) {
    drains.push_back(
      { { "target", key.first == state::DrainTarget::Host ? "host" : "server" },
        { "id", key.second },
        { "since", drain.since_.time_since_epoch().count() },
        { "operator", drain.operator_.Value() } });
  }
  return drains;
}

nlohmann::json
QuarantineJson(const state::StateMachine& aMachine)
{
  nlohmann::json entries = nlohmann::json::array();
  for (const auto& [fingerprint, entry] : aMachine.Quarantine().All()) {
    entries.push_back({ { "fingerprint", fingerprint },
                        { "deployment", entry.deployment_.Value() },
                        { "held", entry.held_ },
                        { "until", entry.until_.time_since_epoch().count() } });
  }
  return entries;
}

struct Backup
{
  core::Term term_;
  core::LogIndex index_;
  std::string content_;
};

core::Result<Backup>
ParseBackup(std::string_view aText)
{
  const core::Error malformed{ core::Errc::Corrupt, "not a backup" };
  const std::size_t lineEnd = aText.find('\n');
  if (!aText.starts_with(kBackupMagic) || lineEnd == std::string_view::npos) {
    return malformed;
  }
  std::uint64_t term = 0;
  std::uint64_t index = 0;
  const char* const begin = aText.data() + kBackupMagic.size();
  const char* const end = aText.data() + lineEnd;
  const auto first = std::from_chars(begin, end, term);
  if (first.ec != std::errc() || first.ptr == end) {
    return malformed;
  }
  const auto second = std::from_chars(first.ptr + 1, end, index);
  if (second.ec != std::errc() || second.ptr != end) {
    return malformed;
  }
  return Backup{ core::Term(term),
                 core::LogIndex(index),
                 std::string(aText.substr(lineEnd + 1)) };
}

/// The first member of the new group, from the options.
std::optional<state::GroupMember>
FirstMember(Session& aSession)
{
  state::GroupMember member;
  const std::string id = aSession.Option("member");
  core::MemberId::RepType number = 0;
  const auto [last, error] =
    std::from_chars(id.data(), id.data() + id.size(), number);
  if (error != std::errc() || last != id.data() + id.size() || number == 0 ||
      aSession.Option("cluster").empty() ||
      aSession.Option("failure-domain").empty() ||
      !state::ParseAddress(aSession.Option("address"))) {
    aSession.Fail(ExitCode::BadInput,
                  "give --cluster, --member, --address and --failure-domain "
                  "of the first member");
    return std::nullopt;
  }
  member.id_ = core::MemberId(number);
  member.address_ = aSession.Option("address");
  member.failureDomain_ =
    core::FailureDomainId(aSession.Option("failure-domain"));
  member.role_ = state::MemberRole::Voter;
  return member;
}

core::Status
WriteFolder(Session& aSession,
            const std::string& aFolder,
            const Backup& aBackup,
            state::GroupMember aMember)
{
  state::FileSystem& files = aSession.Outside().files_;
  const auto present = state::LoadIdentity(files, aFolder);
  if (present || present.Failure().code_ != core::Errc::NotFound) {
    return core::Error{ core::Errc::Conflict,
                        aFolder + " already holds a member's data" };
  }
  auto storage = state::MemberStorage::Open(
    files,
    aFolder,
    { aSession.Option("cluster"), kGroup, aMember.id_, {} },
    aSession.Outside().random_);
  if (!storage) {
    return storage.Failure();
  }
  const core::Term term(aBackup.term_.Value() + kTermMargin);
  aMember.diskIdentity_ = storage.Value()->Identity().diskIdentity_;
  const state::SnapshotMeta meta{ aBackup.index_,
                                  term,
                                  { { aMember }, aMember.id_ } };
  core::Status done =
    storage.Value()->Write(state::HardState{ term, {} }, std::nullopt, {});
  if (done) {
    done = storage.Value()->Snapshots().Save(meta, aBackup.content_);
  }
  if (!done) {
    return done;
  }
  const auto restored = storage.Value()->RestoreSnapshot(meta);
  return restored ? storage.Value()->Sync() : restored.Failure();
}

std::string
FolderOf(const std::string& aPath)
{
  const std::size_t slash = aPath.rfind('/');
  return slash == std::string::npos ? "." : aPath.substr(0, slash);
}

std::string
NameOf(const std::string& aPath)
{
  const std::size_t slash = aPath.rfind('/');
  return slash == std::string::npos ? aPath : aPath.substr(slash + 1);
}

} // namespace

ExitCode
RunStateVerify(Session& aSession)
{
  const auto member = OpenMember(aSession);
  if (!member) {
    return ExitCode::Failed;
  }
  const state::StoredState& stored = member->stored_;
  TextTable table({ "cluster", member->identity_.cluster_ });
  table.Add({ "member", Text(member->identity_.member_.Value()) });
  table.Add({ "disk identity", member->identity_.diskIdentity_ });
  table.Add({ "term", Text(stored.hardState_.term_.Value()) });
  table.Add({ "snapshot",
              stored.snapshot_ ? Text(stored.snapshot_->meta_.index_.Value())
                               : "none" });
  table.Add({ "entries after it",
              Text(member->entries_) + ", last index " +
                Text(member->lastIndex_.Value()) });
  table.Add({ "torn bytes at the end", Text(member->tornBytes_) });
  table.Add({ "settings revision",
              Text(member->machine_.Settings().CurrentRevision().Value()) });
  table.Add({ "state digest", member->machine_.StateDigest().Hex() });
  table.Print(aSession.Out());
  return ExitCode::Ok;
}

ExitCode
RunStateDump(Session& aSession)
{
  const auto member = OpenMember(aSession);
  if (!member) {
    return ExitCode::Failed;
  }
  const state::StateMachine& machine = member->machine_;
  const nlohmann::json dump = {
    { "cluster", member->identity_.cluster_ },
    { "member", member->identity_.member_.Value() },
    { "last_index", member->lastIndex_.Value() },
    { "last_term", member->lastTerm_.Value() },
    { "revision", machine.Settings().CurrentRevision().Value() },
    { "settings", NodesJson(machine) },
    { "replicas", ReplicasJson(machine) },
    { "drains", DrainsJson(machine) },
    { "quarantine", QuarantineJson(machine) },
    { "claims", machine.Claims().Claims() },
    { "tombstones", machine.Claims().Tombstones() },
    { "digest", machine.StateDigest().Hex() },
  };
  aSession.Out() << dump.dump(
                      2, ' ', false, nlohmann::json::error_handler_t::replace)
                 << '\n';
  return ExitCode::Ok;
}

ExitCode
RunStateBackup(Session& aSession)
{
  const auto member = OpenMember(aSession);
  if (!member) {
    return ExitCode::Failed;
  }
  const std::string& file = aSession.Arguments()[1];
  const std::uint64_t term = std::max(member->lastTerm_.Value(),
                                      member->stored_.hardState_.term_.Value());
  const std::string text = std::string(kBackupMagic) + Text(term) + " " +
                           Text(member->lastIndex_.Value()) + "\n" +
                           member->machine_.Snapshot();
  const core::Status done = state::ReplaceFile(
    aSession.Outside().files_, FolderOf(file), NameOf(file), text);
  if (!done) {
    return aSession.Fail(ExitCode::Failed,
                         file + ": " + done.Failure().Message());
  }
  aSession.Out() << file << ": state at index " << member->lastIndex_.Value()
                 << ", digest " << member->machine_.StateDigest().Hex() << '\n';
  return ExitCode::Ok;
}

ExitCode
RunStateRestore(Session& aSession)
{
  const std::string& file = aSession.Arguments()[0];
  const std::string& folder = aSession.Arguments()[1];
  const auto first = FirstMember(aSession);
  if (!first) {
    return ExitCode::BadInput;
  }
  const auto text = aSession.ReadFile(file);
  if (!text) {
    return aSession.LastFailure();
  }
  const auto backup = ParseBackup(*text);
  state::StateMachine machine;
  const core::Status readable =
    backup ? machine.Restore(backup.Value().content_) : backup.Failure();
  if (!readable) {
    return aSession.Fail(ExitCode::BadInput,
                         file + ": " + readable.Failure().Message());
  }
  const core::Status done =
    WriteFolder(aSession, folder, backup.Value(), *first);
  if (!done) {
    return aSession.Fail(done.Failure().code_ == core::Errc::Conflict
                           ? ExitCode::Conflict
                           : ExitCode::Failed,
                         done.Failure().Message());
  }
  aSession.Out() << folder << ": state at index "
                 << backup.Value().index_.Value() << ", digest "
                 << machine.StateDigest().Hex() << '\n';
  return ExitCode::Ok;
}

} // namespace crocusslip::cli
