#include "coordination/StreamResume.hpp"

namespace crocusslip::coordination {

namespace {

bool
CanImport(const BrokenStream& aStream, const ResumeTarget& aTarget)
{
  const bool sameModel =
    aTarget.modelRevision_ == aStream.generation_.modelRevision_;
  const bool covered = aStream.kvTokens_ <= aStream.tokens_;
  return !aStream.kvExport_.empty() && aStream.deterministic_ && sameModel &&
         covered;
}

} // namespace

ResumeDecision
DecideResume(const BrokenStream& aStream,
             const std::optional<ResumeTarget>& aTarget,
             const ResumeSettings& aSettings,
             core::MonotonicTime aNow)
{
  EndStream end;
  if (aNow >= aStream.deadline_) {
    end.reason_ = core::RefusalReason::DeadlinePassed;
    end.detail_ = "the deadline passed before the stream's closing event";
    return end;
  }
  if (aStream.resumes_ >= aSettings.maxResumes_) {
    end.detail_ = "the stream broke again after " +
                  std::to_string(aStream.resumes_) + " resumes";
    return end;
  }
  if (aStream.engineReachable_ && !aStream.resumeId_.empty()) {
    return ResumeAtEngine{ aStream.resumeId_, aStream.tokens_ };
  }
  if (aTarget && CanImport(aStream, *aTarget)) {
    return ResumeFromExport{ aTarget->server_,
                             aStream.kvExport_,
                             aStream.kvTokens_,
                             aStream.tokens_ - aStream.kvTokens_ };
  }
  end.detail_ = "the stream broke after " + std::to_string(aStream.tokens_) +
                " tokens and its generation can't be resumed";
  return end;
}

bool
MatchesResumePoint(const Generation& aExpected,
                   std::uint64_t aFromToken,
                   const Generation& aOffered,
                   std::uint64_t aOfferedToken)
{
  return aExpected == aOffered && aFromToken == aOfferedToken;
}

} // namespace crocusslip::coordination
