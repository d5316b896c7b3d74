#pragma once

#include "replay/Replay.hpp"
#include "replay/TraceGenerator.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace crocusslip::replay {

/// Figures of one replay that are compared between policies.
struct StudyFigures
{
  double coldP99_ = 0;
  double tailP99_ = 0;
  double idleHours_ = 0;
  double goodput_ = 0;
  double combinedCost_ = 0;
  double lost_ = 0;
  double violations_ = 0;
};

/// Mean and standard deviation over the seeds.
struct StudyRow
{
  StudyFigures mean_;
  StudyFigures spread_;
};

struct StudyTrace
{
  TraceUser user_ = TraceUser::Haddad;
  TraceScenario scenario_ = TraceScenario::OrdinaryDay;
  std::vector<std::string> policies_;
  /// One row a policy.
  std::vector<StudyRow> rows_;
  double boundOnDemand_ = 0;
  double boundAhead_ = 0;
};

struct FrontierPoint
{
  double idleCost_ = 0;
  StudyRow row_;
};

/// Sweep of the trade setting on the ordinary day.
struct StudyFrontier
{
  TraceUser user_ = TraceUser::Haddad;
  std::vector<FrontierPoint> points_;
};

struct StudySettings
{
  std::uint32_t seeds_ = 10;
  std::uint64_t firstSeed_ = 1;
  std::uint32_t threads_ = 4;
  std::vector<TraceScenario> scenarios_{ kTraceScenarios.begin(),
                                         kTraceScenarios.end() };
  bool frontier_ = true;
};

struct Study
{
  std::vector<StudyTrace> traces_;
  std::vector<StudyFrontier> frontiers_;
};

/// Replays every user, scenario and seed under every policy.
Study
RunStudy(const StudySettings& aSettings);

/// Length of a scenario in the study.
GeneratorSettings
StudyTraceSettings(TraceUser aUser,
                   TraceScenario aScenario,
                   std::uint64_t aSeed);

} // namespace crocusslip::replay
