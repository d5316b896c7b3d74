#include "bench/EvenLoadModel.hpp"

#include <cstdio>
#include <cstdlib>

/// Prints how evenly many hosts with old views load engines, with and without
/// what the engines say of their load in answers. Optional argument: number of
/// seeds.
namespace {

using namespace crocusslip;

void
RunRow(const char* aName, bench::EvenLoadSettings aSettings, int aSeeds)
{
  bench::EvenLoadResult sum;
  for (int seed = 1; seed <= aSeeds; ++seed) {
    aSettings.seed_ = static_cast<std::uint64_t>(seed);
    const bench::EvenLoadResult result = bench::EvenLoadModel(aSettings).Run();
    sum.arrivals_ += result.arrivals_;
    sum.turnedAway_ += result.turnedAway_;
    sum.givenUp_ += result.givenUp_;
    sum.longPauses_ += result.longPauses_;
    sum.busiestToMean_ += result.busiestToMean_ / aSeeds;
    sum.arrivalsBusiestToMean_ += result.arrivalsBusiestToMean_ / aSeeds;
    sum.slowToOthers_ += result.slowToOthers_ / aSeeds;
    sum.firstMeanMs_ += result.firstMeanMs_ / aSeeds;
    sum.firstP95Ms_ += result.firstP95Ms_ / aSeeds;
    sum.firstP99Ms_ += result.firstP99Ms_ / aSeeds;
    sum.rowsPerReply_ += result.rowsPerReply_ / aSeeds;
    sum.estimateError_ += result.estimateError_ / aSeeds;
    sum.refusedEarly_ += result.refusedEarly_;
    sum.servedUrgent_ += result.servedUrgent_ / aSeeds;
    sum.servedOther_ += result.servedOther_ / aSeeds;
    sum.refusalMs_ += result.refusalMs_ / aSeeds;
  }
  std::printf("%-22s %-5s %8llu %7llu %7llu %8llu %7.2f %7.2f %6.2f %6.0f "
              "%6.0f %6.0f %6.1f %6.2f %7llu %6.3f %6.3f %6.0f\n",
              aName,
              aSettings.namesPace_ ? "yes" : "no",
              static_cast<unsigned long long>(sum.arrivals_),
              static_cast<unsigned long long>(sum.turnedAway_),
              static_cast<unsigned long long>(sum.givenUp_),
              static_cast<unsigned long long>(sum.longPauses_),
              sum.busiestToMean_,
              sum.arrivalsBusiestToMean_,
              sum.slowToOthers_,
              sum.firstMeanMs_,
              sum.firstP95Ms_,
              sum.firstP99Ms_,
              sum.rowsPerReply_,
              sum.estimateError_,
              static_cast<unsigned long long>(sum.refusedEarly_),
              sum.servedUrgent_,
              sum.servedOther_,
              sum.refusalMs_);
  std::fflush(stdout);
}

} // namespace

int
main(int argc, char** argv)
{
  const int seeds = argc > 1 ? std::atoi(argv[1]) : 3;
  std::printf(
    "95 hosts, 140 servers of 12 slots, every 10th of pace 1.8, views "
    "0.5 s old, %d seeds\n",
    seeds);
  std::printf("%-22s %-5s %8s %7s %7s %8s %7s %7s %6s %6s %6s %6s %6s %6s %7s "
              "%6s %6s %6s\n",
              "load",
              "pace",
              "arrivals",
              "turned",
              "givenup",
              "pauses",
              "max/avg",
              "arr.max",
              "slow/o",
              "first",
              "p95",
              "p99",
              "rows",
              "error",
              "early",
              "urgent",
              "other",
              "ref.ms");
  bench::EvenLoadSettings usual;
  bench::EvenLoadSettings heavy;
  heavy.requestsPerHost_ = 5;
  bench::EvenLoadSettings lost;
  lost.leaderLostAt_ = std::chrono::seconds(5);
  const std::pair<const char*, bench::EvenLoadSettings> kinds[] = {
    { "3.5 requests/s a host", usual },
    { "5 requests/s a host", heavy },
    { "3.5, leader lost", lost },
  };
  for (const auto& [name, settings] : kinds) {
    for (const bool pace : { false, true }) {
      bench::EvenLoadSettings set = settings;
      set.namesPace_ = pace;
      RunRow(name, set, seeds);
    }
  }
  bench::EvenLoadSettings overload;
  overload.requestsPerHost_ = 7;
  overload.patience_ = std::chrono::seconds(2);
  RunRow("7, callers bear 2 s", overload, seeds);
  overload.refusesEarly_ = true;
  RunRow("the same, early", overload, seeds);
  return 0;
}
