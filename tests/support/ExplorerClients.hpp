#pragma once

#include "coordination/RaftAction.hpp"
#include "tests/support/ExplorerMember.hpp"
#include "tests/support/ExplorerModel.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace crocusslip::tests {

/// Simulated clients: their pending requests and the history of all requests.
class ExplorerClients
{
public:
  /// The event that submits the requests to a member: one proposal for all of
  /// them, or one read.
  coordination::RaftEvent Begin(core::MemberId aMember,
                                std::vector<ExplorerRequest> aRequests,
                                core::Duration aNow);

  void OnAccepted(core::MemberId aMember,
                  const coordination::raft::ProposalAccepted& aAnswer);
  /// The requests had no effect, so they are removed from the history.
  void OnRefused(coordination::RaftRequestId aRequestId);
  void OnReadReady(ExplorerMember& aMember,
                   const coordination::raft::ReadReady& aAnswer,
                   core::Duration aNow);
  void OnApplied(ExplorerMember& aMember,
                 const state::LogEntry& aEntry,
                 const std::string& aResult,
                 core::Duration aNow);
  /// The outcome of requests that are pending on this member stays unknown.
  void OnCrash(core::MemberId aMember);

  std::vector<ExplorerOperation> History() const;
  std::uint64_t Answered() const { return answered_; }

private:
  struct Write
  {
    std::uint64_t operation_;
    core::Term term_;
  };
  struct Read
  {
    std::uint64_t operation_;
    core::LogIndex index_;
  };
  struct PendingRequests
  {
    std::map<core::LogIndex, Write> writes_;
    std::vector<Read> reads_;
  };

  void Answer(std::uint64_t aOperation,
              std::string aResult,
              core::Duration aNow);
  void AnswerReads(ExplorerMember& aMember, core::Duration aNow);

  std::uint64_t lastOperation_ = 0;
  std::uint64_t answered_ = 0;
  std::map<std::uint64_t, ExplorerOperation> operations_;
  /// Operations of proposals and reads that are neither accepted nor refused.
  std::map<coordination::RaftRequestId, std::vector<std::uint64_t>> undecided_;
  std::map<core::MemberId, PendingRequests> pending_;
};

} // namespace crocusslip::tests
