#include "replay/PolicyStudy.hpp"

#include "core/WorkerPool.hpp"
#include "replay/LowerBound.hpp"

#include <array>
#include <cmath>

namespace crocusslip::replay {

namespace {

constexpr std::array<double, 7> kIdleCosts = {
  5, 60, 150, 400, 1000, 3000, 20000,
};

constexpr std::array<double StudyFigures::*, 7> kFields = {
  &StudyFigures::coldP99_,      &StudyFigures::tailP99_,
  &StudyFigures::idleHours_,    &StudyFigures::goodput_,
  &StudyFigures::combinedCost_, &StudyFigures::lost_,
  &StudyFigures::violations_,
};

StudyFigures
FiguresOf(const Measures& aMeasures, double aIdleCost)
{
  StudyFigures figures;
  figures.coldP99_ = aMeasures.ColdPercentile(0.99);
  figures.tailP99_ = aMeasures.TailOfAll(0.99);
  figures.idleHours_ = aMeasures.idleAcceleratorHours_;
  figures.goodput_ = aMeasures.Goodput();
  figures.combinedCost_ = CombinedCost(
    aMeasures.idleAcceleratorHours_, aMeasures.ColdSeconds(), aIdleCost);
  figures.lost_ = static_cast<double>(aMeasures.lost_);
  figures.violations_ = static_cast<double>(aMeasures.violations_.size());
  return figures;
}

StudyRow
RowOf(const std::vector<StudyFigures>& aFigures)
{
  StudyRow row;
  const auto count = static_cast<double>(aFigures.size());
  for (const auto field : kFields) {
    double sum = 0;
    for (const StudyFigures& figures : aFigures) {
      sum += figures.*field;
    }
    const double mean = sum / count;
    double squares = 0;
    for (const StudyFigures& figures : aFigures) {
      squares += std::pow(figures.*field - mean, 2);
    }
    row.mean_.*field = mean;
    row.spread_.*field = std::sqrt(squares / std::max(1.0, count - 1));
  }
  return row;
}

/// Results of one generated trace under all policies.
struct SeedResult
{
  std::vector<StudyFigures> policies_;
  std::vector<StudyFigures> frontier_;
  LowerBound bound_;
};

SeedResult
RunSeed(const GeneratorSettings& aSettings,
        const std::vector<ReplayPolicy>& aPolicies,
        bool aFrontier)
{
  const protocol::Trace trace = GenerateTrace(aSettings);
  const double idleCost = trace.settings_.idleCost_;
  SeedResult result;
  result.bound_ = ComputeLowerBound(trace);
  for (const ReplayPolicy& policy : aPolicies) {
    result.policies_.push_back(FiguresOf(ReplayTrace(trace, policy), idleCost));
  }
  if (!aFrontier) {
    return result;
  }
  ReplayPolicy policy = aPolicies.front();
  for (const double cost : kIdleCosts) {
    policy.idleCost_ = cost;
    result.frontier_.push_back(FiguresOf(ReplayTrace(trace, policy), idleCost));
  }
  return result;
}

struct Job
{
  TraceUser user_;
  TraceScenario scenario_;
  std::vector<SeedResult> seeds_;
};

StudyTrace
TraceOf(const Job& aJob, const std::vector<ReplayPolicy>& aPolicies)
{
  StudyTrace trace;
  trace.user_ = aJob.user_;
  trace.scenario_ = aJob.scenario_;
  for (std::size_t i = 0; i < aPolicies.size(); ++i) {
    std::vector<StudyFigures> figures;
    for (const SeedResult& seed : aJob.seeds_) {
      figures.push_back(seed.policies_[i]);
    }
    trace.policies_.push_back(aPolicies[i].name_);
    trace.rows_.push_back(RowOf(figures));
  }
  for (const SeedResult& seed : aJob.seeds_) {
    const auto count = static_cast<double>(aJob.seeds_.size());
    trace.boundOnDemand_ += seed.bound_.onDemand_ / count;
    trace.boundAhead_ += seed.bound_.ahead_ / count;
  }
  return trace;
}

StudyFrontier
FrontierOf(const Job& aJob)
{
  StudyFrontier frontier;
  frontier.user_ = aJob.user_;
  for (std::size_t i = 0; i < kIdleCosts.size(); ++i) {
    std::vector<StudyFigures> figures;
    for (const SeedResult& seed : aJob.seeds_) {
      figures.push_back(seed.frontier_[i]);
    }
    frontier.points_.push_back({ kIdleCosts.at(i), RowOf(figures) });
  }
  return frontier;
}

} // namespace

GeneratorSettings
StudyTraceSettings(TraceUser aUser,
                   TraceScenario aScenario,
                   std::uint64_t aSeed)
{
  GeneratorSettings settings;
  settings.user_ = aUser;
  settings.scenario_ = aScenario;
  settings.seed_ = aSeed;
  switch (aScenario) {
    case TraceScenario::OrdinaryDay:
      break;
    case TraceScenario::MonthEnd:
      settings.firstHour_ = 7;
      settings.hours_ = 6;
      break;
    default:
      settings.firstHour_ = 7;
      settings.hours_ = 4;
      break;
  }
  return settings;
}

Study
RunStudy(const StudySettings& aSettings)
{
  const std::vector<ReplayPolicy> policies = AllPolicies();
  std::vector<Job> jobs;
  for (const TraceUser user : kTraceUsers) {
    for (const TraceScenario scenario : aSettings.scenarios_) {
      jobs.push_back(
        { user, scenario, std::vector<SeedResult>(aSettings.seeds_) });
    }
  }
  core::WorkerPool pool(aSettings.threads_, jobs.size() * aSettings.seeds_);
  for (Job& job : jobs) {
    const bool frontier =
      aSettings.frontier_ && job.scenario_ == TraceScenario::OrdinaryDay;
    for (std::uint32_t seed = 0; seed < aSettings.seeds_; ++seed) {
      const GeneratorSettings trace = StudyTraceSettings(
        job.user_, job.scenario_, aSettings.firstSeed_ + seed);
      pool.Submit([&job, &policies, frontier, seed, trace] {
        job.seeds_[seed] = RunSeed(trace, policies, frontier);
      });
    }
  }
  pool.Stop();
  Study study;
  for (const Job& job : jobs) {
    study.traces_.push_back(TraceOf(job, policies));
    if (aSettings.frontier_ && job.scenario_ == TraceScenario::OrdinaryDay) {
      study.frontiers_.push_back(FrontierOf(job));
    }
  }
  return study;
}

} // namespace crocusslip::replay
