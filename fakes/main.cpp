#include "core/Reasons.hpp"
#include "fakes/Engine.hpp"
#include "fakes/HostListServer.hpp"
#include "fakes/Service.hpp"
#include "fakes/WeightStore.hpp"
#include "protocol/Problem.hpp"
#include "transport/Daemon.hpp"

#include <boost/program_options.hpp>

#include <iostream>

namespace {

using namespace crocusslip;

constexpr std::size_t kThreads = 8;

int
Serve(std::uint16_t aPort, transport::HttpHandler aHandler)
{
  transport::HttpServerSettings settings;
  settings.port_ = aPort;
  transport::HttpServer server(
    settings,
    std::move(aHandler),
    [](core::RefusalReason aReason, std::string aDetail) {
      return protocol::ToResponse(
        { aReason, core::Ran::NotRun, std::move(aDetail), std::nullopt });
    });
  const core::Status started = server.Start();
  if (!started.Ok()) {
    std::cerr << "crocusslip-fakes: " << started.Failure().Message() << "\n";
    return transport::kExitFailed;
  }
  const std::atomic<bool> stop{ false };
  transport::WaitForSignal(stop);
  server.Stop();
  return transport::kExitOk;
}

} // namespace

int
main(int argc, char** argv)
{
  namespace po = boost::program_options;
  std::string kind;
  std::string name;
  std::uint16_t port = 0;
  std::int64_t loadMs = 0;
  std::int64_t tokenMs = 0;
  std::uint32_t slots = 0;
  bool ignoresFencing = false;
  std::string logFile;
  std::string store;
  std::string crashOn;
  double storeRate = 0;
  std::uint64_t memoryGib = 0;
  std::int64_t serviceMs = 0;
  std::int64_t lagMs = 0;
  po::options_description options("Usage: crocusslip-fakes KIND --port PORT");
  options.add_options()(
    "kind", po::value(&kind), "engine, service, store or hosts")(
    "name", po::value(&name)->default_value("fake"), "name in answers")(
    "port", po::value(&port)->required(), "port on 127.0.0.1")(
    "load-ms", po::value(&loadMs)->default_value(800), "time of a load")(
    "token-ms", po::value(&tokenMs)->default_value(20), "between tokens")(
    "slots", po::value(&slots)->default_value(8), "requests at once")(
    "ignore-fencing", po::bool_switch(&ignoresFencing), "obey old orders")(
    "log", po::value(&logFile), "file for what the stand-in did")(
    "store", po::value(&store), "weight store of an engine, http://...")(
    "crash-on", po::value(&crashOn), "text in a body that ends the engine")(
    "store-rate", po::value(&storeRate)->default_value(8), "loads a second")(
    "memory-gib", po::value(&memoryGib)->default_value(40), "of an engine")(
    "service-ms", po::value(&serviceMs)->default_value(20), "of a call")(
    "lag-ms", po::value(&lagMs)->default_value(10'000), "of the host list")(
    "help,h", "print this help");
  po::positional_options_description positional;
  positional.add("kind", 1);
  try {
    po::variables_map values;
    po::store(po::command_line_parser(argc, argv)
                .options(options)
                .positional(positional)
                .run(),
              values);
    if (values.count("help") != 0) {
      std::cout << options;
      return transport::kExitOk;
    }
    po::notify(values);
  } catch (const std::exception& error) {
    std::cerr << "crocusslip-fakes: " << error.what() << "\n";
    return transport::kExitBadInput;
  }
  transport::BlockSignals();
  transport::StartHttpThreads(kThreads);
  fakes::EventLog log(logFile);
  transport::HttpClient client;
  if (kind == "engine") {
    fakes::EngineSettings settings;
    settings.name_ = name;
    settings.memory_ = core::Bytes(memoryGib * core::kGibi);
    settings.loadTime_ = std::chrono::milliseconds(loadMs);
    settings.betweenTokens_ = std::chrono::milliseconds(tokenMs);
    settings.slots_ = slots;
    settings.checksFencing_ = !ignoresFencing;
    settings.store_ = store;
    settings.crashOn_ = crashOn;
    fakes::Engine engine(settings, log, client);
    return Serve(port,
                 [&](const auto& aExchange) { engine.Handle(aExchange); });
  }
  if (kind == "service") {
    fakes::Service service({ name, std::chrono::milliseconds(serviceMs) }, log);
    return Serve(port,
                 [&](const auto& aExchange) { service.Handle(aExchange); });
  }
  if (kind == "store") {
    fakes::WeightStoreSettings settings;
    settings.loadsPerSecond_ = storeRate;
    fakes::WeightStore weights(settings, log);
    return Serve(port,
                 [&](const auto& aExchange) { weights.Handle(aExchange); });
  }
  if (kind == "hosts") {
    fakes::HostListServer hosts(std::chrono::milliseconds(lagMs), log);
    return Serve(port, [&](const auto& aExchange) { hosts.Handle(aExchange); });
  }
  std::cerr
    << "crocusslip-fakes: KIND must be engine, service, store or hosts\n";
  return transport::kExitBadInput;
}
