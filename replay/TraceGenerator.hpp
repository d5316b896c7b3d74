#pragma once

#include "protocol/TraceFile.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

/// Seeded traces in the shape of the two users' traffic; all of them are
/// marked as made.
namespace crocusslip::replay {

enum class TraceUser : std::uint8_t
{
  Haddad,
  MassaFina,
};

enum class TraceScenario : std::uint8_t
{
  OrdinaryDay,
  MonthEnd,
  SundayRush,
  FirstRequests,
  SlowStore,
  FailureDomainLost,
  HostsLeaving,
  CrashingRequest,
};

inline constexpr std::array<TraceUser, 2> kTraceUsers = {
  TraceUser::Haddad,
  TraceUser::MassaFina,
};
inline constexpr std::array<TraceScenario, 8> kTraceScenarios = {
  TraceScenario::OrdinaryDay,  TraceScenario::MonthEnd,
  TraceScenario::SundayRush,   TraceScenario::FirstRequests,
  TraceScenario::SlowStore,    TraceScenario::FailureDomainLost,
  TraceScenario::HostsLeaving, TraceScenario::CrashingRequest,
};

struct GeneratorSettings
{
  TraceUser user_ = TraceUser::Haddad;
  TraceScenario scenario_ = TraceScenario::OrdinaryDay;
  std::uint64_t seed_ = 1;
  /// Weeks before the measured part, from which arrivals are learned; 0 leaves
  /// out everything but the hour before it.
  std::uint32_t historyWeeks_ = 2;
  /// Hours that are measured.
  std::uint32_t hours_ = 24;
  /// First measured hour of the day.
  std::uint32_t firstHour_ = 0;
};

protocol::Trace
GenerateTrace(const GeneratorSettings& aSettings);

std::string_view
Name(TraceUser aUser);
std::string_view
Name(TraceScenario aScenario);
std::optional<TraceUser>
FindTraceUser(std::string_view aName);
std::optional<TraceScenario>
FindTraceScenario(std::string_view aName);

} // namespace crocusslip::replay
