#include "tests/support/ExplorerClients.hpp"

#include <utility>

namespace crocusslip::tests {

namespace raft = coordination::raft;

coordination::RaftEvent
ExplorerClients::Begin(core::MemberId,
                       std::vector<ExplorerRequest> aRequests,
                       core::Duration aNow)
{
  const coordination::RaftRequestId tag(lastOperation_ + 1);
  const bool read = aRequests.front().read_;
  raft::Propose proposal{ tag, {} };
  for (ExplorerRequest& request : aRequests) {
    proposal.payloads_.push_back(request.text_);
    operations_[++lastOperation_] = {
      std::move(request), aNow, std::nullopt, {}
    };
    undecided_[tag].push_back(lastOperation_);
  }
  if (read) {
    return raft::Read{ tag };
  }
  return proposal;
}

void
ExplorerClients::OnAccepted(core::MemberId aMember,
                            const raft::ProposalAccepted& aAnswer)
{
  const auto operations = undecided_.extract(aAnswer.requestId_);
  if (operations.empty()) {
    return;
  }
  core::LogIndex index = aAnswer.first_;
  for (const std::uint64_t operation : operations.mapped()) {
    pending_[aMember].writes_[index] = { operation, aAnswer.term_ };
    index = index.Next();
  }
}

void
ExplorerClients::OnRefused(coordination::RaftRequestId aRequestId)
{
  const auto operations = undecided_.extract(aRequestId);
  if (operations.empty()) {
    return;
  }
  for (const std::uint64_t operation : operations.mapped()) {
    operations_.erase(operation);
  }
}

void
ExplorerClients::OnReadReady(ExplorerMember& aMember,
                             const raft::ReadReady& aAnswer,
                             core::Duration aNow)
{
  const auto operations = undecided_.extract(aAnswer.requestId_);
  if (operations.empty()) {
    return;
  }
  pending_[aMember.Id()].reads_.push_back(
    { operations.mapped().front(), aAnswer.index_ });
  AnswerReads(aMember, aNow);
}

void
ExplorerClients::OnApplied(ExplorerMember& aMember,
                           const state::LogEntry& aEntry,
                           const std::string& aResult,
                           core::Duration aNow)
{
  const auto write = pending_[aMember.Id()].writes_.extract(aEntry.index_);
  if (!write.empty()) {
    if (write.mapped().term_ == aEntry.term_) {
      Answer(write.mapped().operation_, aResult, aNow);
    } else {
      operations_.erase(write.mapped().operation_);
    }
  }
  AnswerReads(aMember, aNow);
}

void
ExplorerClients::OnCrash(core::MemberId aMember)
{
  pending_.erase(aMember);
}

std::vector<ExplorerOperation>
ExplorerClients::History() const
{
  std::vector<ExplorerOperation> result;
  for (const auto& [id, operation] : operations_) {
    result.push_back(operation);
  }
  return result;
}

void
ExplorerClients::Answer(std::uint64_t aOperation,
                        std::string aResult,
                        core::Duration aNow)
{
  ExplorerOperation& operation = operations_.at(aOperation);
  operation.answered_ = aNow;
  operation.result_ = std::move(aResult);
  ++answered_;
}

void
ExplorerClients::AnswerReads(ExplorerMember& aMember, core::Duration aNow)
{
  std::vector<Read>& reads = pending_[aMember.Id()].reads_;
  std::erase_if(reads, [&](const Read& aRead) {
    if (aRead.index_ > aMember.Applied()) {
      return false;
    }
    const std::string& query = operations_.at(aRead.operation_).request_.text_;
    Answer(aRead.operation_, aMember.StateMachine().Read(query), aNow);
    return true;
  });
}

} // namespace crocusslip::tests
