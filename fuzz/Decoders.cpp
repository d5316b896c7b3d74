#include "fuzz/Decoders.hpp"

#include <algorithm>
#include <array>

namespace crocusslip::fuzz {

namespace {

constexpr std::array kDecoders = {
  Decoder{ "process_settings", RunProcessSettings },
  Decoder{ "settings_file", RunSettingsFile },
  Decoder{ "settings_node", RunSettingsNode },
  Decoder{ "openai_request", RunOpenAiRequest },
  Decoder{ "http_query", RunHttpQuery },
  Decoder{ "event_stream", RunEventStream },
  Decoder{ "engine_load", RunEngineLoad },
  Decoder{ "engine_list", RunEngineList },
  Decoder{ "host_list", RunHostList },
  Decoder{ "load_header", RunLoadHeader },
  Decoder{ "cache_events", RunCacheEvents },
  Decoder{ "problem", RunProblem },
  Decoder{ "admin_body", RunAdminBody },
  Decoder{ "operator_tokens", RunOperatorTokens },
  Decoder{ "trace_file", RunTraceFile },
  Decoder{ "member_calls", RunMemberCalls },
  Decoder{ "control_calls", RunControlCalls },
  Decoder{ "poll_reply", RunPollReply },
  Decoder{ "command", RunCommand },
  Decoder{ "answer", RunAnswer },
  Decoder{ "log_record", RunLogRecord },
  Decoder{ "log_segment", RunLogSegment },
  Decoder{ "snapshot_chunks", RunSnapshotChunks },
  Decoder{ "state_snapshot", RunStateSnapshot },
  Decoder{ "vote_file", RunVoteFile },
  Decoder{ "identity_file", RunIdentityFile },
  Decoder{ "revision_file", RunRevisionFile },
};

} // namespace

std::span<const Decoder>
Decoders()
{
  return kDecoders;
}

const Decoder*
FindDecoder(std::string_view aName)
{
  const auto* const found =
    std::ranges::find(kDecoders, aName, &Decoder::name_);
  return found == kDecoders.end() ? nullptr : found;
}

void
Require(bool aHolds, const char* aProperty)
{
  if (!aHolds) {
    throw PropertyBroken(aProperty);
  }
}

unsigned char
TakeByte(std::string_view& aInput)
{
  if (aInput.empty()) {
    return 0;
  }
  const auto byte = static_cast<unsigned char>(aInput.front());
  aInput.remove_prefix(1);
  return byte;
}

} // namespace crocusslip::fuzz
