#include "control/OperatorRoles.hpp"
#include "coordination/PrefixCacheView.hpp"
#include "core/Reasons.hpp"
#include "fuzz/Decoders.hpp"
#include "protocol/AdminJson.hpp"
#include "protocol/AdminMessages.hpp"
#include "protocol/EngineDialect.hpp"
#include "protocol/HostList.hpp"
#include "protocol/LoadHeader.hpp"
#include "protocol/OpenAiRequest.hpp"
#include "protocol/Problem.hpp"
#include "protocol/StreamTracker.hpp"
#include "protocol/TraceFile.hpp"
#include "state/ProcessSettings.hpp"
#include "state/SettingsReader.hpp"
#include "state/SettingsTree.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <cmath>
#include <cstring>
#include <sstream>

namespace crocusslip::fuzz {

namespace {

using nlohmann::json;

protocol::HttpResponse
Answered(std::string_view aBody)
{
  return protocol::HttpResponse::Text(200, std::string(aBody));
}

/// The text of findings is shown to operators.
void
RequireText(const core::Findings& aFindings)
{
  for (const core::Finding& finding : aFindings) {
    Require(!finding.Text().empty(), "a finding has a text");
  }
}

/// Reads every value that a tree offers to the rest of the program.
void
ReadTree(const state::SettingsTree& aTree)
{
  for (const core::DeploymentId& id : aTree.Deployments()) {
    const auto deployment = aTree.Deployment(id);
    Require(deployment != nullptr, "a listed deployment can be read");
    deployment->IsNonIdempotent("POST", "/deposits/1");
    protocol::EngineOrder order;
    order.deployment_ = id;
    order.model_ = deployment->model_;
    protocol::RepositoryDialect().Load(order);
  }
  aTree.Servers();
  aTree.Callers();
  aTree.Store();
  aTree.Platform();
  aTree.ServiceForPath("/deposits/1");
  aTree.Effective("root");
}

template<typename Message>
void
ReadAdminMessage(std::string_view aInput)
{
  const auto message = protocol::FromJson<Message>(aInput);
  if (message) {
    const std::string text = protocol::ToJson(message.Value());
    const auto again = protocol::FromJson<Message>(text);
    Require(again.Ok() && protocol::ToJson(again.Value()) == text,
            "a written message reads back as itself");
  }
}

} // namespace

void
RunProcessSettings(std::string_view aInput)
{
  const auto program = static_cast<state::ProgramKind>(TakeByte(aInput) & 1U);
  const auto parsed = state::ParseProcessSettings(program, aInput, "file");
  RequireText(parsed.findings_);
  parsed.settings_.SecretFiles();
}

void
RunSettingsFile(std::string_view aInput)
{
  state::SettingsTree tree;
  const core::Findings findings = tree.Load(aInput, "file");
  RequireText(findings);
  ReadTree(tree);
  const state::SplitSettings split = state::SplitSettingsFile(aInput, "file");
  if (findings.empty() && split.findings_.empty()) {
    state::SettingsTree again;
    Require(again.Load(split.nodes_).empty(),
            "the nodes of a valid file are valid by themselves");
  }
}

void
RunSettingsNode(std::string_view aInput)
{
  constexpr std::array kPaths = { "root",     "group.a",  "deployment.a",
                                  "server.a", "caller.a", "model.a",
                                  "store",    "platform" };
  const unsigned char choice = TakeByte(aInput);
  state::NodeEdit edit;
  edit.path_ = kPaths.at(choice % kPaths.size());
  edit.toml_ = std::string(aInput);
  state::SettingsTree tree;
  RequireText(tree.Follow(std::span(&edit, 1)));
  ReadTree(tree);
  state::SettingsTree checked;
  RequireText(checked.Update(std::span(&edit, 1)));
  ReadTree(checked);
}

void
RunOpenAiRequest(std::string_view aInput)
{
  const auto request = protocol::ReadOpenAiRequest(aInput);
  if (request) {
    Require(request.Value().prefixBlocks_.size() * 256 <= aInput.size(),
            "prefix blocks are no longer than the body");
  }
}

void
RunHttpQuery(std::string_view aInput)
{
  protocol::HttpRequest request;
  request.query_ = std::string(aInput);
  request.Parameter("deployment");
  Require(protocol::PercentDecode(aInput).size() <= aInput.size(),
          "decoded text is no longer than its encoding");
}

// The same bytes in other pieces must give the same result.
void
RunEventStream(std::string_view aInput)
{
  const std::size_t step = TakeByte(aInput) % 16 + 1;
  protocol::StreamTracker whole;
  whole.Add(aInput);
  protocol::StreamTracker pieces;
  for (std::size_t at = 0; at < aInput.size(); at += step) {
    pieces.Add(aInput.substr(at, step));
  }
  Require(whole.Closed() == pieces.Closed() &&
            whole.Events() == pieces.Events() &&
            whole.BetweenEvents() == pieces.BetweenEvents(),
          "a stream's events do not depend on how it was cut");
}

void
RunEngineLoad(std::string_view aInput)
{
  protocol::RepositoryDialect().ReadMetrics(Answered(aInput));
}

void
RunEngineList(std::string_view aInput)
{
  protocol::RepositoryDialect().ReadList(Answered(aInput));
}

void
RunHostList(std::string_view aInput)
{
  protocol::ReadHostList(aInput);
}

void
RunLoadHeader(std::string_view aInput)
{
  const auto load = protocol::ParseLoadHeader(aInput);
  Require(!load || load->pacePercent_ <= 10'000, "a pace is bounded");
}

// Events have no encoding of their own yet; the input is read as sequence
// number, kind and blocks, each a byte.
void
RunCacheEvents(std::string_view aInput)
{
  constexpr std::uint32_t kEntries = 64;
  constexpr std::size_t kMostBlocks = 8;
  coordination::PrefixCacheView view(kEntries);
  while (!aInput.empty()) {
    const std::uint32_t server = TakeByte(aInput) % 5U;
    coordination::CacheEvent event;
    const unsigned char sequence = TakeByte(aInput);
    event.sequence_ = sequence == 255 ? ~std::uint64_t(0) : sequence;
    event.kind_ =
      static_cast<coordination::CacheEventKind>(TakeByte(aInput) % 3U);
    std::array<std::uint64_t, kMostBlocks> blocks{};
    const std::size_t count = TakeByte(aInput) % (kMostBlocks + 1);
    for (std::size_t i = 0; i < count; ++i) {
      blocks.at(i) = TakeByte(aInput);
    }
    event.blocks_ = std::span(blocks.data(), count);
    view.OnEvent(server, event);
    view.OnRouted(server, event.blocks_);
    Require(view.MatchedBlocks(server, event.blocks_) <= count,
            "no more blocks match than were asked for");
    coordination::PrefixCacheView::Holders holders;
    Require(view.FindHolders(event.blocks_, holders) <= holders.size(),
            "no more holders than there is room for");
  }
}

// The detail holds text of callers and engines; the document must stay valid
// JSON that says the same reason.
void
RunProblem(std::string_view aInput)
{
  const auto reason = static_cast<core::RefusalReason>(
    TakeByte(aInput) % static_cast<unsigned>(core::RefusalReason::Count));
  const protocol::Problem problem{
    reason, core::Ran::NotRun, std::string(aInput), std::nullopt
  };
  const json document =
    json::parse(protocol::ToResponse(problem).body_, nullptr, false);
  Require(document.is_object() && document["reason"] == Name(reason),
          "a problem document is JSON with its reason");
  const std::string event = protocol::ErrorEvent(protocol::ToJson(problem));
  protocol::StreamTracker tracker;
  tracker.Add(event);
  Require(tracker.Events() == 1 && !tracker.Closed() && tracker.BetweenEvents(),
          "an error event is one event");
}

void
RunAdminBody(std::string_view aInput)
{
  ReadAdminMessage<protocol::AdminConfigChange>(aInput);
  ReadAdminMessage<protocol::AdminDrain>(aInput);
  ReadAdminMessage<protocol::AdminMemberChange>(aInput);
  ReadAdminMessage<protocol::AdminTransfer>(aInput);
  ReadAdminMessage<protocol::AdminFailure>(aInput);
  ReadAdminMessage<protocol::AdminStatus>(aInput);
}

void
RunOperatorTokens(std::string_view aInput)
{
  core::Findings findings;
  const auto roles = control::OperatorRoles::Parse(aInput, "file", findings);
  RequireText(findings);
  Require(!roles.Find(std::nullopt), "nobody is known without a token");
  Require(!roles.Find("Bearer "), "an empty token is known to nobody");
}

void
RunTraceFile(std::string_view aInput)
{
  std::istringstream input{ std::string(aInput) };
  core::Findings findings;
  const protocol::Trace trace = protocol::ReadTrace(input, "file", findings);
  RequireText(findings);
  if (findings.empty()) {
    std::ostringstream written;
    protocol::WriteTrace(trace, written);
    std::istringstream again(written.str());
    protocol::ReadTrace(again, "file", findings);
    Require(findings.empty(), "a written trace can be read");
  }
}

} // namespace crocusslip::fuzz
