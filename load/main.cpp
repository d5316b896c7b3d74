#include "load/LoadRun.hpp"

#include <boost/program_options.hpp>

#include <iostream>

namespace {

using namespace crocusslip;

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitBadInput = 2;
constexpr std::size_t kThreads = 8;
constexpr std::uint32_t kMostConnections = 2000;
constexpr double kLongestSeconds = 3600;

bool
ParseKind(const std::string& aText, load::LoadKind& aKind)
{
  if (aText == "completion") {
    aKind = load::LoadKind::Completion;
  } else if (aText == "stream") {
    aKind = load::LoadKind::Stream;
  } else if (aText == "deposit") {
    aKind = load::LoadKind::Deposit;
  } else if (aText == "get") {
    aKind = load::LoadKind::Get;
  } else {
    return false;
  }
  return true;
}

bool
IsLoopback(const std::string& aTarget)
{
  return aTarget.rfind("http://127.", 0) == 0 ||
         aTarget.rfind("http://localhost", 0) == 0 ||
         aTarget.rfind("http://[::1]", 0) == 0;
}

} // namespace

int
main(int argc, char** argv)
{
  namespace po = boost::program_options;
  load::LoadSettings settings;
  std::string kind;
  double seconds = 0;
  std::int64_t deadlineMs = 0;
  bool asJson = false;
  po::options_description options(
    "Usage: crocusslip-load --target http://127.0.0.1:PORT ...");
  options.add_options()("target",
                        po::value(&settings.targets_)->required()->composing(),
                        "base address on loopback; several are used in turn")(
    "kind",
    po::value(&kind)->default_value("completion"),
    "completion, stream, deposit or get")(
    "deployment", po::value(&settings.deployment_), "deployment to call")(
    "path",
    po::value(&settings.path_)->default_value("/deposits"),
    "path of the plain service")(
    "key", po::value(&settings.key_), "the caller's key")(
    "connections",
    po::value(&settings.connections_)->default_value(16),
    "requests in progress at most")(
    "seconds", po::value(&seconds)->default_value(10), "length of the run")(
    "rate",
    po::value(&settings.rate_)->default_value(0),
    "requests a second; 0: as fast as answers come")(
    "requests",
    po::value(&settings.requests_)->default_value(0),
    "requests in all; 0: until the time is over")(
    "tokens",
    po::value(&settings.maxTokens_)->default_value(8),
    "tokens to generate")("deadline-ms",
                          po::value(&deadlineMs)->default_value(30'000),
                          "deadline of each request")(
    "seed", po::value(&settings.seed_)->default_value(1), "part of all keys")(
    "marker", po::value(&settings.marker_), "text in each body")(
    "twice",
    po::bool_switch(&settings.twice_),
    "send each deposit to two targets at once")(
    "log", po::value(&settings.log_), "file for one JSON line per request")(
    "balance",
    po::bool_switch(&settings.balances_),
    "use only targets whose /readyz answers 200")(
    "keep-connections",
    po::bool_switch(&settings.keepsConnections_),
    "reuse connections also with --balance")(
    "json", po::bool_switch(&asJson), "print JSON")("help,h",
                                                    "print this help");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    if (values.count("help") != 0) {
      std::cout << options;
      return kExitOk;
    }
    po::notify(values);
  } catch (const std::exception& error) {
    std::cerr << "crocusslip-load: " << error.what() << "\n";
    return kExitBadInput;
  }
  const bool valid = ParseKind(kind, settings.kind_) &&
                     settings.connections_ > 0 &&
                     settings.connections_ <= kMostConnections && seconds > 0 &&
                     seconds <= kLongestSeconds;
  if (!valid) {
    std::cerr << "crocusslip-load: kind, connections (1 to 2000) or seconds "
                 "(up to 3600) out of range\n";
    return kExitBadInput;
  }
  for (const std::string& target : settings.targets_) {
    if (!IsLoopback(target)) {
      std::cerr << "crocusslip-load: " << target << " is not on loopback\n";
      return kExitBadInput;
    }
  }
  settings.duration_ =
    std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000));
  settings.deadline_ = std::chrono::milliseconds(deadlineMs);
  transport::StartHttpThreads(kThreads);
  transport::HttpClient client;
  load::LoadRun run(settings, client);
  run.Run();
  const load::LoadReport& report = run.Report();
  std::cout << (asJson ? report.Json(run.Elapsed())
                       : report.Table(run.Elapsed()));
  const bool lost = report.Count(load::Ending::Cut) > 0 ||
                    report.Count(load::Ending::TimedOut) > 0;
  return lost ? kExitFailed : kExitOk;
}
