#include "protocol/TraceFile.hpp"
#include "replay/Chart.hpp"
#include "replay/Outcomes.hpp"
#include "replay/Replay.hpp"
#include "replay/TraceGenerator.hpp"

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <exception>
#include <fstream>
#include <iostream>

using namespace crocusslip;

namespace {

namespace options = boost::program_options;

constexpr int kOutcomeMissed = 1;
constexpr int kInvalidInput = 2;

int
Report(const core::Findings& aFindings, int aCode)
{
  for (const core::Finding& finding : aFindings) {
    std::cerr << finding.Text() << '\n';
  }
  return aFindings.empty() ? 0 : aCode;
}

int
Fail(const std::string& aMessage)
{
  std::cerr << "crocusslip-replay: " << aMessage << '\n';
  return kInvalidInput;
}

void
PrintText(const replay::Measures& aMeasures)
{
  for (const replay::NamedMeasure& measure : replay::AllMeasures(aMeasures)) {
    const bool counter = measure.name_.find('.') != std::string::npos;
    if (!counter || measure.value_ > 0) {
      std::cout << measure.name_ << ' ' << measure.value_ << '\n';
    }
  }
}

void
PrintJson(const replay::Measures& aMeasures,
          const std::string& aTrace,
          const std::string& aPolicy)
{
  nlohmann::ordered_json json = { { "trace", aTrace }, { "policy", aPolicy } };
  for (const replay::NamedMeasure& measure : replay::AllMeasures(aMeasures)) {
    json["measures"][measure.name_] = measure.value_;
  }
  json["violations"] = nlohmann::ordered_json::array();
  for (const replay::InvariantViolation& violation : aMeasures.violations_) {
    json["violations"].push_back({ { "invariant", violation.invariant_ },
                                   { "t", violation.time_ },
                                   { "detail", violation.detail_ } });
  }
  std::cout << json.dump(2) << '\n';
}

/// Distribution of the cold-start waits.
replay::Chart
ColdStartChart(const replay::Measures& aMeasures, const std::string& aPolicy)
{
  std::vector<double> waits = aMeasures.coldWaits_;
  std::sort(waits.begin(), waits.end());
  replay::ChartSeries series{ aPolicy, {}, true };
  for (std::size_t i = 0; i < waits.size(); ++i) {
    const double share =
      static_cast<double>(i + 1) / static_cast<double>(waits.size());
    series.points_.push_back({ waits[i], share, "" });
  }
  return { "Wait of requests that found no loaded replica",
           "seconds until the first byte",
           "share of requests",
           { series } };
}

int
Generate(const options::variables_map& aArguments)
{
  const auto name = aArguments["generate"].as<std::string>();
  const std::size_t colon = name.find(':');
  replay::GeneratorSettings settings;
  const auto user = replay::FindTraceUser(name.substr(0, colon));
  const auto scenario = replay::FindTraceScenario(
    colon == std::string::npos ? "" : name.substr(colon + 1));
  if (!user || !scenario) {
    return Fail("--generate needs USER:SCENARIO, e.g. haddad:ordinary-day");
  }
  settings.user_ = *user;
  settings.scenario_ = *scenario;
  settings.seed_ = aArguments["seed"].as<std::uint64_t>();
  settings.hours_ = aArguments["hours"].as<std::uint32_t>();
  settings.firstHour_ = aArguments["first-hour"].as<std::uint32_t>();
  settings.historyWeeks_ = aArguments["history-weeks"].as<std::uint32_t>();
  const protocol::Trace trace = replay::GenerateTrace(settings);
  if (aArguments.count("out") == 0) {
    WriteTrace(trace, std::cout);
    return 0;
  }
  std::ofstream output(aArguments["out"].as<std::string>());
  WriteTrace(trace, output);
  output.close();
  return output ? 0 : Fail("the trace could not be written");
}

int
Replay(const options::variables_map& aArguments)
{
  const auto name = aArguments["trace"].as<std::string>();
  std::ifstream input(name);
  if (!input) {
    return Fail("can't read " + name);
  }
  core::Findings findings;
  const protocol::Trace trace = protocol::ReadTrace(input, name, findings);
  replay::Outcomes outcomes;
  outcomes.name_ = name;
  if (aArguments.count("expect") > 0) {
    const auto expect = aArguments["expect"].as<std::string>();
    std::ifstream expected(expect);
    if (!expected) {
      return Fail("can't read " + expect);
    }
    outcomes = replay::ReadOutcomes(expected, expect, findings);
  }
  if (!findings.empty()) {
    return Report(findings, kInvalidInput);
  }
  auto policy = replay::FindPolicy(aArguments["policy"].as<std::string>());
  if (!policy) {
    return Fail("unknown policy; known: learned, fixed-10m, none, fcfs");
  }
  if (aArguments.count("idle-cost") > 0) {
    policy->idleCost_ = aArguments["idle-cost"].as<double>();
  }
  const replay::Measures measures = replay::ReplayTrace(trace, *policy);
  if (aArguments.count("json") > 0) {
    PrintJson(measures, name, policy->name_);
  } else {
    PrintText(measures);
  }
  if (aArguments.count("cold-starts") > 0) {
    replay::PrintColdStarts(measures.coldStarts_,
                            aArguments["cold-starts"].as<double>() / 100,
                            std::cout);
  }
  if (aArguments.count("svg") > 0) {
    std::ofstream svg(aArguments["svg"].as<std::string>());
    replay::WriteSvg({ ColdStartChart(measures, policy->name_) }, svg);
  }
  return Report(replay::CheckOutcomes(outcomes, measures), kOutcomeMissed);
}

options::options_description
Options()
{
  options::options_description description(
    "crocusslip-replay TRACE [--expect OUTCOMES] [--policy NAME] [--json] "
    "[--svg FILE]\ncrocusslip-replay --generate USER:SCENARIO [--seed N] "
    "[--out FILE]\n\nOptions");
  auto add = description.add_options();
  add("help", "print this text");
  add("trace", options::value<std::string>(), "trace to replay");
  add("expect", options::value<std::string>(), "file of stated outcomes");
  add("policy",
      options::value<std::string>()->default_value("learned"),
      "learned, fixed-10m, none or fcfs");
  add("idle-cost", options::value<double>(), "replaces the trace's setting");
  add("json", "print the measures as JSON");
  add("cold-starts",
      options::value<double>()->implicit_value(95),
      "report causes and parts of the cold starts above this percentile");
  add("svg", options::value<std::string>(), "chart of the cold-start waits");
  add("generate", options::value<std::string>(), "make a trace");
  add("seed", options::value<std::uint64_t>()->default_value(1), "");
  add("hours", options::value<std::uint32_t>()->default_value(24), "");
  add("first-hour", options::value<std::uint32_t>()->default_value(0), "");
  add("history-weeks", options::value<std::uint32_t>()->default_value(2), "");
  add("out", options::value<std::string>(), "file for the made trace");
  return description;
}

int
Run(int argc, char** argv)
{
  const options::options_description description = Options();
  options::positional_options_description positional;
  positional.add("trace", 1);
  options::variables_map arguments;
  options::store(options::command_line_parser(argc, argv)
                   .options(description)
                   .positional(positional)
                   .run(),
                 arguments);
  if (arguments.count("help") > 0) {
    std::cout << description;
    return 0;
  }
  if (arguments.count("generate") > 0) {
    return Generate(arguments);
  }
  if (arguments.count("trace") == 0) {
    return Fail("no trace given; see --help");
  }
  return Replay(arguments);
}

} // namespace

int
main(int argc, char** argv)
{
  try {
    return Run(argc, argv);
  } catch (const std::exception& error) {
    return Fail(error.what());
  }
}
