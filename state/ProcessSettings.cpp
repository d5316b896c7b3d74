#include "state/ProcessSettings.hpp"

#include "state/LeaseTiming.hpp"
#include "state/Toml.hpp"
#include "state/TomlParser.hpp"
#include "state/TomlTableReader.hpp"

#include <algorithm>
#include <set>

namespace crocusslip::state {

namespace {

constexpr std::uint32_t kPermissionBits = 0777;
constexpr std::uint32_t kOwnerOnly = 0600;
constexpr std::uint32_t kOthersMayWrite = 0022;

std::string
ModeText(std::uint32_t aMode)
{
  constexpr std::uint32_t kOctalDigitBits = 3;
  std::string mode;
  for (std::uint32_t shift = 3 * kOctalDigitBits; shift != 0;) {
    shift -= kOctalDigitBits;
    mode += static_cast<char>('0' + ((aMode >> shift) & 7U));
  }
  return mode;
}
constexpr double kMaxThreads = 256;
constexpr double kMaxMember = 65535;
constexpr double kMaxCount = 10000000;
constexpr std::string_view kLogLevels = "debug|info|warning|error";

/// Reads one file; each section has its own function.
class FileReader
{
public:
  FileReader(ProgramKind aProgram,
             const std::string& aFile,
             ParsedProcessSettings& aParsed)
    : program_(aProgram)
    , file_(aFile)
    , settings_(aParsed.settings_)
    , findings_(aParsed.findings_)
  {
    settings_.program_ = aProgram;
  }

  void Read(const toml::table& aTable)
  {
    TomlTableReader top = ReaderOf(aTable, "");
    ReadIdentity(top);
    ReadSections(top);
    ReadMembers(top);
    top.ReportUnknown();
    CheckMembers(top);
    CheckPlaintext(top);
  }

private:
  TomlTableReader ReaderOf(const toml::table& aTable,
                           const std::string& aPrefix)
  {
    return { aTable, aPrefix, file_, findings_ };
  }

  template<typename Function>
  void Section(TomlTableReader& aTop, std::string_view aName, Function aRead)
  {
    const toml::table* const table = aTop.Table(aName);
    if (table == nullptr) {
      return;
    }
    TomlTableReader reader = ReaderOf(*table, std::string(aName) + ".");
    aRead(reader);
    reader.ReportUnknown();
  }

  void ReadIdentity(TomlTableReader& aTop)
  {
    std::string text;
    aTop.Text("cluster", settings_.cluster_);
    if (aTop.Text("host", text)) {
      settings_.host_ = core::HostId(text);
    }
    if (aTop.Text("failure_domain", text)) {
      settings_.failureDomain_ = core::FailureDomainId(text);
    }
    aTop.Text("data_folder", settings_.dataFolder_);
    aTop.Take<bool>(Field("allow_plaintext", ValueType::Boolean),
                    settings_.allowPlaintext_);
    aTop.Take<bool>(Field("allow_faults", ValueType::Boolean),
                    settings_.allowFaults_);
    aTop.Text("operator_tokens", settings_.operatorTokens_);
    aTop.Require({ "cluster", "host", "failure_domain", "data_folder" });
    if (program_ == ProgramKind::Control) {
      std::uint32_t member = 0;
      aTop.Count("member", member, kMaxMember);
      settings_.member_ = core::MemberId(member);
      aTop.Require({ "member" });
    }
  }

  void ReadSections(TomlTableReader& aTop)
  {
    Section(aTop, "listen", [this](TomlTableReader& aReader) {
      aReader.Address("http", settings_.http_);
      aReader.Address("rpc", settings_.rpc_);
      aReader.Address("admin", settings_.admin_);
      if (program_ == ProgramKind::Entry) {
        aReader.Require({ "http" });
      } else {
        aReader.Require({ "rpc", "admin" });
      }
    });
    aTop.Require({ "listen" });
    Section(aTop, "threads", [this](TomlTableReader& aReader) {
      aReader.Count("io", settings_.ioThreads_, kMaxThreads);
      aReader.Count("workers", settings_.workerThreads_, kMaxThreads);
    });
    Section(aTop, "tls", [this](TomlTableReader& aReader) {
      aReader.Text("certificate", settings_.tls_.certificate_);
      aReader.Text("key", settings_.tls_.key_);
      aReader.Text("authority", settings_.tls_.authority_);
      aReader.Require({ "certificate", "key", "authority" });
    });
    Section(aTop, "log", [this](TomlTableReader& aReader) {
      aReader.Take<std::string>(
        Field("level", ValueType::Choice, 0, 0, kLogLevels),
        settings_.logLevel_);
      aReader.Text("file", settings_.logFile_);
    });
    Section(aTop, "trace", [this](TomlTableReader& aReader) {
      aReader.Text("file", settings_.traceFile_);
    });
    Section(aTop, "timers", [this](TomlTableReader& aReader) {
      ReadTimers(aReader, settings_.timers_);
      CheckTimers(aReader);
    });
    Section(aTop, "limits", [this](TomlTableReader& aReader) {
      ReadLimits(aReader, settings_.limits_);
    });
  }

  static void ReadTimers(TomlTableReader& aReader, TimerSettings& aTimers)
  {
    aReader.Interval("poll", aTimers.poll_);
    aReader.Interval("heartbeat", aTimers.heartbeat_);
    aReader.Interval("election_min", aTimers.electionMin_);
    aReader.Interval("election_max", aTimers.electionMax_);
    aReader.Interval("leader_lease", aTimers.leaderLease_);
    aReader.Interval("settings_lease", aTimers.settingsLease_);
    aReader.Interval("rpc_timeout", aTimers.rpcTimeout_);
    aReader.Interval("connect_timeout", aTimers.connectTimeout_);
    aReader.Interval("body_wait", aTimers.bodyWait_);
    aReader.Interval("drain_wait", aTimers.drainWait_);
    aReader.Interval("ready_grace", aTimers.readyGrace_);
    aReader.Interval("metrics_scrape", aTimers.metricsScrape_);
  }

  static void ReadLimits(TomlTableReader& aReader, LimitSettings& aLimits)
  {
    aReader.Count("requests", aLimits.requests_, kMaxCount);
    aReader.Count("connections", aLimits.connections_, kMaxCount);
    aReader.Size("body", aLimits.body_);
    aReader.Size("bodies_in_memory", aLimits.bodiesInMemory_);
    aReader.Count("claims", aLimits.claims_, kMaxCount);
    aReader.Count("snapshot_every", aLimits.snapshotEvery_, kMaxCount);
  }

  void ReadMembers(TomlTableReader& aTop)
  {
    const toml::array* const array = aTop.Tables("members");
    if (array == nullptr) {
      if (!aTop.Has("members")) {
        aTop.Report("members",
                    "is required: one [[members]] table for each member of "
                    "the control group");
      }
      return;
    }
    for (const toml::node& node : *array) {
      ReadMember(*node.as_table());
    }
  }

  void ReadMember(const toml::table& aTable)
  {
    TomlTableReader reader = ReaderOf(aTable, "members.");
    MemberSettings member;
    std::uint32_t id = 0;
    std::string domain;
    reader.Count("id", id, kMaxMember);
    reader.Address("address", member.address_);
    reader.Address("admin", member.admin_);
    reader.Text("failure_domain", domain);
    reader.Take<bool>(Field("voter", ValueType::Boolean), member.voter_);
    reader.Require({ "id", "address", "failure_domain" });
    reader.ReportUnknown();
    member.id_ = core::MemberId(id);
    member.failureDomain_ = core::FailureDomainId(domain);
    for (const MemberSettings& other : settings_.members_) {
      CheckDistinct(reader, other, member);
    }
    settings_.members_.push_back(std::move(member));
  }

  static void CheckDistinct(TomlTableReader& aReader,
                            const MemberSettings& aOther,
                            const MemberSettings& aMember)
  {
    if (aOther.id_ == aMember.id_ && aMember.id_ != core::MemberId()) {
      aReader.Report("id", "another member has the same id");
    }
    if (aOther.address_ == aMember.address_ && !aMember.address_.Empty()) {
      aReader.Report("address", "another member has the same address");
    }
  }

  void CheckMembers(TomlTableReader& aTop)
  {
    if (program_ != ProgramKind::Control || !aTop.Has("member") ||
        settings_.member_ == core::MemberId()) {
      return;
    }
    const auto& members = settings_.members_;
    const auto self = std::find_if(
      members.begin(), members.end(), [this](const MemberSettings& aMember) {
        return aMember.id_ == settings_.member_;
      });
    if (self == members.end()) {
      aTop.Report("member",
                  "no [[members]] table has the id " +
                    std::to_string(settings_.member_.Value()));
    } else if (!self->failureDomain_.Empty() &&
               self->failureDomain_ != settings_.failureDomain_) {
      aTop.Report("failure_domain",
                  "the [[members]] table of this member says \"" +
                    self->failureDomain_.Value() + "\"");
    }
  }

  void CheckPlaintext(TomlTableReader& aTop)
  {
    if (settings_.tls_.Enabled() || settings_.allowPlaintext_) {
      return;
    }
    std::vector<const ListenAddress*> addresses = { &settings_.http_,
                                                    &settings_.rpc_,
                                                    &settings_.admin_ };
    for (const MemberSettings& member : settings_.members_) {
      addresses.push_back(&member.address_);
      addresses.push_back(&member.admin_);
    }
    std::set<std::string> open;
    for (const ListenAddress* const address : addresses) {
      if (!address->Empty() && !address->IsLoopback()) {
        open.insert(address->Text());
      }
    }
    for (const std::string& address : open) {
      aTop.Report("allow_plaintext",
                  address + " is not a loopback address; give [tls] files or "
                            "set allow_plaintext = true");
    }
  }

  /// Rules between timers on which the safety of leases rests. The defaults
  /// keep them, so that a broken one names a key of the file.
  void CheckTimers(TomlTableReader& aReader)
  {
    const TimerSettings& timers = settings_.timers_;
    const auto require = [&](bool aHolds,
                             std::string_view aKey,
                             std::string_view aOther,
                             std::string_view aMessage) {
      if (!aHolds) {
        aReader.Report(aReader.Has(aKey) ? aKey : aOther,
                       std::string(aMessage));
      }
    };
    require(timers.electionMin_ < timers.electionMax_,
            "election_max",
            "election_min",
            "election_min must be less than election_max");
    require(timers.heartbeat_ * 2 <= timers.electionMin_,
            "election_min",
            "heartbeat",
            "election_min must be at least twice heartbeat");
    require(timers.heartbeat_ < timers.leaderLease_,
            "leader_lease",
            "heartbeat",
            "leader_lease must be longer than heartbeat");
    require(LeaseEndsBeforeVotes(timers.leaderLease_, timers.electionMin_),
            "leader_lease",
            "election_min",
            "leader_lease must be shorter than election_min by more than the "
            "drift of two clocks (about 2%), or two members could hold the "
            "lease at once");
    require(timers.poll_ * 2 <= timers.settingsLease_,
            "settings_lease",
            "poll",
            "settings_lease must be at least twice poll");
    require(timers.settingsLease_ <= std::chrono::milliseconds(3900),
            "settings_lease",
            "poll",
            "settings_lease must be at most 3900ms, so that a change is in "
            "force everywhere within 4 s");
  }

  ProgramKind program_;
  const std::string& file_;
  ProcessSettings& settings_;
  core::Findings& findings_;
};

} // namespace

std::vector<std::string>
ProcessSettings::SecretFiles() const
{
  std::vector<std::string> files;
  for (const std::string& file : { tls_.key_, operatorTokens_ }) {
    if (!file.empty()) {
      files.push_back(file);
    }
  }
  return files;
}

ParsedProcessSettings
ParseProcessSettings(ProgramKind aProgram,
                     std::string_view aText,
                     const std::string& aFile)
{
  ParsedProcessSettings parsed;
  if (const auto table = ParseToml(aText, aFile, parsed.findings_)) {
    FileReader(aProgram, aFile, parsed).Read(*table);
  }
  return parsed;
}

std::optional<core::Finding>
CheckSettingsMode(const std::string& aFile, std::uint32_t aMode)
{
  if ((aMode & kOthersMayWrite) == 0) {
    return std::nullopt;
  }
  return core::Finding{ aFile,
                        0,
                        "",
                        "others may change it: mode 0" + ModeText(aMode) +
                          "; at most 0755 is accepted" };
}

std::optional<core::Finding>
CheckSecretMode(const std::string& aFile, std::uint32_t aMode)
{
  if ((aMode & kPermissionBits & ~kOwnerOnly) == 0) {
    return std::nullopt;
  }
  return core::Finding{ aFile,
                        0,
                        "",
                        "holds a secret but has mode 0" + ModeText(aMode) +
                          "; at most 0600 is accepted" };
}

} // namespace crocusslip::state
