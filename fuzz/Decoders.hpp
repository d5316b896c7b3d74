#pragma once

#include <span>
#include <stdexcept>
#include <string>
#include <string_view>

/// Every decoder of bytes that come from outside the process or from disk, as
/// one table for the fuzzer and the corpus test.
namespace crocusslip::fuzz {

struct Decoder
{
  /// Also the name of its folder below fuzz/corpus.
  std::string_view name_;
  /// Decodes aInput. Refusing it is fine; a crash, an escaped exception or a
  /// PropertyBroken is a finding.
  void (*run_)(std::string_view aInput);
};

std::span<const Decoder>
Decoders();

/// Null when there is no such decoder.
const Decoder*
FindDecoder(std::string_view aName);

/// A decoded value that does not have the property that its decoder promises.
class PropertyBroken : public std::logic_error
{
public:
  using std::logic_error::logic_error;
};

void
Require(bool aHolds, const char* aProperty);

/// Takes the first byte off an input, to choose between forms of it; 0 when
/// the input is empty.
unsigned char
TakeByte(std::string_view& aInput);

// Text from callers, engines, the platform and operators.
void
RunProcessSettings(std::string_view aInput);
void
RunSettingsFile(std::string_view aInput);
void
RunSettingsNode(std::string_view aInput);
void
RunOpenAiRequest(std::string_view aInput);
void
RunHttpQuery(std::string_view aInput);
void
RunEventStream(std::string_view aInput);
void
RunEngineLoad(std::string_view aInput);
void
RunEngineList(std::string_view aInput);
void
RunHostList(std::string_view aInput);
void
RunLoadHeader(std::string_view aInput);
void
RunCacheEvents(std::string_view aInput);
void
RunProblem(std::string_view aInput);
void
RunAdminBody(std::string_view aInput);
void
RunOperatorTokens(std::string_view aInput);
void
RunTraceFile(std::string_view aInput);

// Thrift messages of the system's own processes.
void
RunMemberCalls(std::string_view aInput);
void
RunControlCalls(std::string_view aInput);
void
RunPollReply(std::string_view aInput);

// State on disk.
void
RunCommand(std::string_view aInput);
void
RunAnswer(std::string_view aInput);
void
RunLogRecord(std::string_view aInput);
void
RunLogSegment(std::string_view aInput);
void
RunSnapshotChunks(std::string_view aInput);
void
RunStateSnapshot(std::string_view aInput);
void
RunVoteFile(std::string_view aInput);
void
RunIdentityFile(std::string_view aInput);
void
RunRevisionFile(std::string_view aInput);

} // namespace crocusslip::fuzz
