#include "state/SettingsTable.hpp"

#include "state/SnapshotCodec.hpp"

#include <algorithm>
#include <utility>

namespace crocusslip::state {

namespace {

constexpr std::size_t kMaxPathBytes = 512;

bool
ValidPath(const std::string& aPath)
{
  return aPath.size() <= kMaxPathBytes &&
         std::none_of(aPath.begin(), aPath.end(), [](char aByte) {
           return static_cast<unsigned char>(aByte) < ' ';
         });
}

std::size_t
SizeOf(const ChangeSettings& aChange)
{
  std::size_t bytes = 0;
  for (const NodeEdit& edit : aChange.edits_) {
    bytes += edit.path_.size() + edit.toml_.size();
  }
  return bytes;
}

bool
HasRepeatedPath(const ChangeSettings& aChange)
{
  std::set<std::string_view> seen;
  return std::any_of(
    aChange.edits_.begin(), aChange.edits_.end(), [&](const NodeEdit& aEdit) {
      return !seen.insert(aEdit.path_).second;
    });
}

/// Digest of all that a change asks for, to recognise a reused change id.
core::Digest
ContentOf(const ChangeSettings& aChange)
{
  SnapshotWriter content;
  content.Id(aChange.operator_);
  content.Id(aChange.expected_);
  for (const NodeEdit& edit : aChange.edits_) {
    content.Text(edit.path_);
    content.Text(edit.toml_);
    content.Flag(edit.removed_);
  }
  return content.ContentDigest();
}

void
WriteAnswer(SnapshotWriter& aWriter, const ChangeAnswer& aAnswer)
{
  aWriter.Number(static_cast<std::uint64_t>(aAnswer.result_));
  aWriter.Id(aAnswer.revision_);
  aWriter.Id(aAnswer.winner_);
  aWriter.Id(aAnswer.winnerRevision_);
  aWriter.Number(aAnswer.winnerPaths_.size());
  for (const std::string& path : aAnswer.winnerPaths_) {
    aWriter.Text(path);
  }
  aWriter.Text(aAnswer.detail_);
}

ChangeAnswer
ReadAnswer(SnapshotReader& aReader)
{
  ChangeAnswer answer;
  answer.result_ = aReader.Enum(ChangeResult::Overloaded);
  answer.revision_ = aReader.Id<core::Revision>();
  answer.winner_ = aReader.Id<core::OperatorId>();
  answer.winnerRevision_ = aReader.Id<core::Revision>();
  for (std::size_t left = aReader.Count(); left > 0; --left) {
    answer.winnerPaths_.push_back(aReader.Text());
  }
  answer.detail_ = aReader.Text();
  return answer;
}

void
WriteRecord(SnapshotWriter& aWriter, const ChangeRecord& aRecord)
{
  aWriter.Id(aRecord.revision_);
  aWriter.Id(aRecord.change_);
  aWriter.Id(aRecord.operator_);
  aWriter.Time(aRecord.at_);
  aWriter.Number(aRecord.paths_.size());
  for (const std::string& path : aRecord.paths_) {
    aWriter.Text(path);
  }
}

ChangeRecord
ReadRecord(SnapshotReader& aReader)
{
  ChangeRecord record;
  record.revision_ = aReader.Id<core::Revision>();
  record.change_ = aReader.Id<core::ChangeId>();
  record.operator_ = aReader.Id<core::OperatorId>();
  record.at_ = aReader.Time<AgreedTime>();
  for (std::size_t left = aReader.Count(); left > 0; --left) {
    record.paths_.push_back(aReader.Text());
  }
  return record;
}

} // namespace

SettingsTable::SettingsTable(SettingsLimits aLimits)
  : limits_(aLimits)
{
}

ChangeAnswer
SettingsTable::Change(const ChangeSettings& aChange, AgreedTime aNow)
{
  const core::Digest content = ContentOf(aChange);
  const auto known = answers_.find(aChange.change_);
  if (known != answers_.end()) {
    ChangeAnswer answer = known->second.answer_;
    if (known->second.content_ != content) {
      answer = AnswerAt(ChangeResult::ChangeIdReused,
                        "change id was used with other content");
    }
    answer.repeated_ = true;
    return answer;
  }
  if (answers_.size() >= limits_.changeAnswers_) {
    return AnswerAt(ChangeResult::Overloaded,
                    "too many changes within the answer retention");
  }
  ChangeAnswer answer = Decide(aChange);
  if (answer.result_ == ChangeResult::Accepted) {
    Accept(aChange, aNow);
    answer.revision_ = revision_;
  }
  if (!aChange.change_.Empty()) {
    answers_.emplace(aChange.change_, FirstAnswer{ content, answer });
    answerAges_.emplace_back(aNow, aChange.change_);
  }
  return answer;
}

ChangeAnswer
SettingsTable::Decide(const ChangeSettings& aChange) const
{
  const bool validPaths =
    std::all_of(aChange.edits_.begin(),
                aChange.edits_.end(),
                [](const NodeEdit& aEdit) { return ValidPath(aEdit.path_); });
  if (aChange.change_.Empty() || aChange.edits_.empty() || !validPaths ||
      HasRepeatedPath(aChange)) {
    return AnswerAt(ChangeResult::Invalid,
                    "change needs an id and edits with valid, distinct paths");
  }
  if (aChange.edits_.size() > limits_.edits_ ||
      SizeOf(aChange) > limits_.changeBytes_ ||
      nodes_.size() + aChange.edits_.size() > limits_.nodes_) {
    return AnswerAt(ChangeResult::TooLarge, "change or tree above its limit");
  }
  if (aChange.expected_ > revision_) {
    return AnswerAt(ChangeResult::Invalid, "expected revision not reached");
  }
  if (aChange.expected_ < revision_) {
    return Conflict(aChange);
  }
  return AnswerAt(ChangeResult::Accepted, {});
}

ChangeAnswer
SettingsTable::AnswerAt(ChangeResult aResult, std::string aDetail) const
{
  ChangeAnswer answer;
  answer.result_ = aResult;
  answer.revision_ = revision_;
  answer.detail_ = std::move(aDetail);
  return answer;
}

ChangeAnswer
SettingsTable::Conflict(const ChangeSettings& aChange) const
{
  ChangeAnswer answer = AnswerAt(ChangeResult::Conflict, {});
  const auto winner =
    std::lower_bound(history_.begin(),
                     history_.end(),
                     aChange.expected_.Next(),
                     [](const ChangeRecord& aRecord, core::Revision aRevision) {
                       return aRecord.revision_ < aRevision;
                     });
  if (winner == history_.end()) {
    return answer;
  }
  answer.winner_ = winner->operator_;
  answer.winnerRevision_ = winner->revision_;
  const std::size_t shown = std::min(winner->paths_.size(), kMaxAnswerPaths);
  answer.winnerPaths_.assign(winner->paths_.begin(),
                             winner->paths_.begin() +
                               static_cast<std::ptrdiff_t>(shown));
  return answer;
}

void
SettingsTable::Accept(const ChangeSettings& aChange, AgreedTime aNow)
{
  revision_ = revision_.Next();
  ChangeRecord record{
    revision_, aChange.change_, aChange.operator_, aNow, {}
  };
  record.paths_.reserve(aChange.edits_.size());
  for (const NodeEdit& edit : aChange.edits_) {
    Edit(edit);
    record.paths_.push_back(edit.path_);
  }
  history_.push_back(std::move(record));
  TrimHistory();
  TrimRemovals();
}

void
SettingsTable::Edit(const NodeEdit& aEdit)
{
  const auto node = nodes_.find(aEdit.path_);
  if (aEdit.removed_ && node == nodes_.end()) {
    return;
  }
  if (node != nodes_.end()) {
    byRevision_.erase({ node->second.revision_, aEdit.path_ });
  }
  const auto removed = removed_.find(aEdit.path_);
  if (removed != removed_.end()) {
    byRevision_.erase({ removed->second, aEdit.path_ });
    removedByRevision_.erase({ removed->second, aEdit.path_ });
    removed_.erase(removed);
  }
  byRevision_.emplace(revision_, aEdit.path_);
  if (aEdit.removed_) {
    nodes_.erase(node);
    removed_.emplace(aEdit.path_, revision_);
    removedByRevision_.emplace(revision_, aEdit.path_);
  } else {
    nodes_.insert_or_assign(aEdit.path_,
                            SettingsNode{ aEdit.toml_, revision_ });
  }
}

void
SettingsTable::TrimHistory()
{
  while (history_.size() > limits_.history_) {
    history_.pop_front();
  }
}

void
SettingsTable::TrimRemovals()
{
  while (removedByRevision_.size() > limits_.removals_) {
    const auto oldest = removedByRevision_.begin();
    floor_ = oldest->first;
    byRevision_.erase(*oldest);
    removed_.erase(oldest->second);
    removedByRevision_.erase(oldest);
  }
}

void
SettingsTable::Expire(AgreedTime aNow)
{
  while (!answerAges_.empty() &&
         answerAges_.front().first + limits_.answerRetention_ <= aNow) {
    answers_.erase(answerAges_.front().second);
    answerAges_.pop_front();
  }
}

SettingsDifference
SettingsTable::Difference(core::Revision aSince,
                          std::size_t aPageBytes,
                          core::Revision aFloor) const
{
  SettingsDifference page;
  const bool removalsKnown = aSince >= floor_ || aFloor == floor_;
  page.complete_ =
    aSince == core::Revision() || aSince > revision_ || !removalsKnown;
  page.through_ = revision_;
  page.floor_ = floor_;
  const core::Revision since = page.complete_ ? core::Revision() : aSince;
  std::size_t bytes = 0;
  core::Revision last = since;
  for (auto next = byRevision_.lower_bound({ since.Next(), std::string() });
       next != byRevision_.end();
       ++next) {
    const auto& [revision, path] = *next;
    if (bytes >= aPageBytes && revision != last) {
      page.more_ = true;
      page.through_ = last;
      return page;
    }
    last = revision;
    bytes += path.size();
    const auto node = nodes_.find(path);
    if (node != nodes_.end()) {
      bytes += node->second.toml_.size();
      page.nodes_.push_back({ path, node->second.toml_, false });
    } else if (!page.complete_) {
      page.nodes_.push_back({ path, std::string(), true });
    }
  }
  return page;
}

void
SettingsTable::Write(SnapshotWriter& aWriter) const
{
  aWriter.Id(revision_);
  aWriter.Id(floor_);
  aWriter.Number(nodes_.size());
  for (const auto& [path, node] : nodes_) {
    aWriter.Text(path);
    aWriter.Text(node.toml_);
    aWriter.Id(node.revision_);
  }
  aWriter.Number(removed_.size());
  for (const auto& [path, revision] : removed_) {
    aWriter.Text(path);
    aWriter.Id(revision);
  }
  aWriter.Number(history_.size());
  for (const ChangeRecord& record : history_) {
    WriteRecord(aWriter, record);
  }
  aWriter.Number(answerAges_.size());
  for (const auto& [at, change] : answerAges_) {
    const FirstAnswer& first = answers_.at(change);
    aWriter.Time(at);
    aWriter.Id(change);
    aWriter.Digest(first.content_);
    WriteAnswer(aWriter, first.answer_);
  }
}

void
SettingsTable::Read(SnapshotReader& aReader)
{
  revision_ = aReader.Id<core::Revision>();
  floor_ = aReader.Id<core::Revision>();
  for (std::size_t left = aReader.Count(); left > 0; --left) {
    std::string path = aReader.Text();
    SettingsNode node{ aReader.Text(), aReader.Id<core::Revision>() };
    byRevision_.emplace(node.revision_, path);
    nodes_.emplace_hint(nodes_.end(), std::move(path), std::move(node));
  }
  for (std::size_t left = aReader.Count(); left > 0; --left) {
    std::string path = aReader.Text();
    const core::Revision revision = aReader.Id<core::Revision>();
    byRevision_.emplace(revision, path);
    removedByRevision_.emplace(revision, path);
    removed_.emplace_hint(removed_.end(), std::move(path), revision);
  }
  for (std::size_t left = aReader.Count(); left > 0; --left) {
    history_.push_back(ReadRecord(aReader));
  }
  for (std::size_t left = aReader.Count(); left > 0; --left) {
    const AgreedTime at = aReader.Time<AgreedTime>();
    core::ChangeId change = aReader.Id<core::ChangeId>();
    FirstAnswer first{ aReader.Digest(), ReadAnswer(aReader) };
    answerAges_.emplace_back(at, change);
    answers_.emplace(std::move(change), std::move(first));
  }
}

} // namespace crocusslip::state
