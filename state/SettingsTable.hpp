#pragma once

#include "state/Answer.hpp"
#include "state/Command.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace crocusslip::state {

class SnapshotReader;
class SnapshotWriter;

/// Bounds of the settings table; equal on all members.
struct SettingsLimits
{
  std::size_t edits_ = 4096;
  std::size_t changeBytes_ = 1024UL * 1024;
  std::size_t nodes_ = 1000000;
  std::size_t history_ = 100000;
  std::size_t removals_ = 100000;
  std::size_t changeAnswers_ = 200000;
  AgreedDuration answerRetention_ = std::chrono::hours(24);
};

/// Paths shown in a conflict answer at most.
inline constexpr std::size_t kMaxAnswerPaths = 32;

struct SettingsNode
{
  std::string toml_;
  core::Revision revision_;
};

/// One accepted change, for `config history`.
struct ChangeRecord
{
  core::Revision revision_;
  core::ChangeId change_;
  core::OperatorId operator_;
  AgreedTime at_;
  std::vector<std::string> paths_;
};

/// One page of what changed since a revision.
struct SettingsDifference
{
  /// The nodes replace all that the reader knew.
  bool complete_ = false;
  /// Further pages follow: ask again since through_. The nodes are consistent
  /// only after the last page.
  bool more_ = false;
  core::Revision through_;
  /// To be passed when asking for the next page.
  core::Revision floor_;
  std::vector<NodeEdit> nodes_;
};

/// The tree of settings with one global revision.
class SettingsTable
{
public:
  explicit SettingsTable(SettingsLimits aLimits = {});

  ChangeAnswer Change(const ChangeSettings& aChange, AgreedTime aNow);
  /// Drops change answers older than their retention.
  void Expire(AgreedTime aNow);

  core::Revision CurrentRevision() const { return revision_; }
  const std::map<std::string, SettingsNode>& Nodes() const { return nodes_; }
  const std::deque<ChangeRecord>& History() const { return history_; }
  /// Nodes changed since a revision, one page of about aPageBytes; a page
  /// always holds whole revisions. aFloor is the floor_ of the page before, so
  /// that a reader can go through the complete tree from below the floor.
  SettingsDifference Difference(core::Revision aSince,
                                std::size_t aPageBytes,
                                core::Revision aFloor = {}) const;

  void Write(SnapshotWriter& aWriter) const;
  void Read(SnapshotReader& aReader);

private:
  struct FirstAnswer
  {
    core::Digest content_;
    ChangeAnswer answer_;
  };

  ChangeAnswer Decide(const ChangeSettings& aChange) const;
  ChangeAnswer AnswerAt(ChangeResult aResult, std::string aDetail) const;
  ChangeAnswer Conflict(const ChangeSettings& aChange) const;
  void Accept(const ChangeSettings& aChange, AgreedTime aNow);
  void Edit(const NodeEdit& aEdit);
  void TrimHistory();
  void TrimRemovals();

  SettingsLimits limits_;
  core::Revision revision_;
  /// Readers older than this get the complete tree, since removals up to it
  /// are no longer known.
  core::Revision floor_;
  std::map<std::string, SettingsNode> nodes_;
  std::map<std::string, core::Revision> removed_;
  /// Nodes and removals by the revision that last changed them.
  std::set<std::pair<core::Revision, std::string>> byRevision_;
  std::set<std::pair<core::Revision, std::string>> removedByRevision_;
  std::deque<ChangeRecord> history_;
  std::unordered_map<core::ChangeId, FirstAnswer> answers_;
  std::deque<std::pair<AgreedTime, core::ChangeId>> answerAges_;
};

} // namespace crocusslip::state
