#include "tests/support/RegisterModel.hpp"

#include <algorithm>
#include <map>
#include <sstream>
#include <utility>

namespace crocusslip::tests {

namespace {

constexpr std::uint64_t kRegisters = 2;
constexpr double kReadShare = 0.5;
constexpr core::Duration kForever = core::Duration::max();

/// Registers by name. A command is "register value"; a read is the name.
class RegisterMachine final : public ExplorerStateMachine
{
public:
  std::string Apply(core::LogIndex,
                    core::Term,
                    const std::string& aCommand) override
  {
    std::istringstream in(aCommand);
    std::string name;
    in >> name >> values_[name];
    return values_[name];
  }

  std::string Read(const std::string& aQuery) const override
  {
    const auto found = values_.find(aQuery);
    return found == values_.end() ? std::string() : found->second;
  }

  std::string Save() const override
  {
    std::string result;
    for (const auto& [name, value] : values_) {
      result.append(name).append(" ").append(value).append("\n");
    }
    return result;
  }

  void Load(const std::string& aBytes) override
  {
    values_.clear();
    std::istringstream in(aBytes);
    std::string name;
    std::string value;
    while (in >> name >> value) {
      values_[name] = value;
    }
  }

private:
  std::map<std::string, std::string> values_;
};

/// Zone of a value: its write and the reads that returned it. Each of these
/// operations must contain a moment at which the value is current.
struct Zone
{
  core::Duration firstAnswer_ = kForever;
  core::Duration lastInvoked_{};
  core::Duration writeInvoked_ = kForever;
  bool written_ = false;
  bool seen_ = false;

  void Add(const ExplorerOperation& aOperation)
  {
    firstAnswer_ =
      std::min(firstAnswer_, aOperation.answered_.value_or(kForever));
    lastInvoked_ = std::max(lastInvoked_, aOperation.invoked_);
    seen_ = seen_ || aOperation.answered_.has_value();
  }
  /// Whether the value must be current throughout [firstAnswer_, lastInvoked_].
  bool IsForward() const { return firstAnswer_ < lastInvoked_; }
};

using Zones = std::map<std::string, Zone>;

/// Checks that the zones of one register, by value, are linearizable, with the
/// algorithm for writes of distinct values from Gibbons and Korach, Testing
/// Shared Memories.
std::optional<std::string>
CheckZones(const Zones& aZones)
{
  std::vector<Zone> forward;
  for (const auto& [value, zone] : aZones) {
    if (!zone.written_) {
      return "a read returned the value " + value + ", which was never written";
    }
    if (zone.firstAnswer_ < zone.writeInvoked_) {
      return "a read returned the value " + value + " before its write";
    }
    if (zone.seen_ && zone.IsForward()) {
      forward.push_back(zone);
    }
  }
  std::ranges::sort(forward, {}, &Zone::firstAnswer_);
  for (std::size_t i = 1; i < forward.size(); ++i) {
    if (forward[i].firstAnswer_ < forward[i - 1].lastInvoked_) {
      return "two values were current at the same time";
    }
  }
  for (const auto& [value, zone] : aZones) {
    if (!zone.seen_ || zone.IsForward()) {
      continue;
    }
    for (const Zone& other : forward) {
      if (other.firstAnswer_ < zone.lastInvoked_ &&
          zone.firstAnswer_ < other.lastInvoked_) {
        return "the value " + value +
               " was current at the same time as another one";
      }
    }
  }
  return std::nullopt;
}

} // namespace

std::unique_ptr<ExplorerStateMachine>
RegisterModel::MakeMachine()
{
  return std::make_unique<RegisterMachine>();
}

ExplorerRequest
RegisterModel::NextRequest(core::Random& aRandom)
{
  const std::string name = "r" + std::to_string(aRandom.Below(kRegisters));
  if (aRandom.Chance(kReadShare)) {
    return { true, name };
  }
  return { false, name + " " + std::to_string(++lastValue_) };
}

std::optional<std::string>
RegisterModel::CheckHistory(const std::vector<ExplorerOperation>& aHistory)
{
  std::map<std::string, Zones> registers;
  for (const ExplorerOperation& operation : aHistory) {
    std::istringstream in(operation.request_.text_);
    std::string name;
    std::string value = operation.result_;
    in >> name;
    if (!operation.request_.read_) {
      in >> value;
    } else if (!operation.answered_) {
      continue;
    }
    Zone& zone = registers[name][value];
    zone.Add(operation);
    if (!operation.request_.read_) {
      zone.written_ = true;
      zone.writeInvoked_ = operation.invoked_;
    }
  }
  for (auto& [name, zones] : registers) {
    if (const auto initial = zones.find(std::string());
        initial != zones.end()) {
      // Treat the initial empty value as written before the run.
      initial->second.written_ = true;
      initial->second.writeInvoked_ = core::Duration(-1);
      initial->second.firstAnswer_ = core::Duration(-1);
    }
    if (auto violation = CheckZones(zones)) {
      return "register " + name + ": " + *violation;
    }
  }
  return std::nullopt;
}

} // namespace crocusslip::tests
