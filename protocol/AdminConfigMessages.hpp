#pragma once

#include "core/Ids.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Bodies of the settings part of the operators' HTTP API, see
/// protocol/AdminMessages.hpp.
namespace crocusslip::protocol {

struct AdminConfig
{
  core::Revision revision_;
  /// TOML text by path.
  std::map<std::string, std::string> nodes_;

  template<typename Visitor>
  void Fields(Visitor& aVisitor)
  {
    aVisitor("revision", revision_);
    aVisitor("nodes", nodes_);
  }
};

struct AdminConfigEdit
{
  std::string path_;
  std::string toml_;
  bool remove_ = false;

  template<typename Visitor>
  void Fields(Visitor& aVisitor)
  {
    aVisitor("path", path_);
    aVisitor("toml", toml_);
    aVisitor("remove", remove_);
  }
};

struct AdminConfigChange
{
  core::ChangeId changeId_;
  core::Revision expectedRevision_;
  std::vector<AdminConfigEdit> edits_;

  template<typename Visitor>
  void Fields(Visitor& aVisitor)
  {
    aVisitor("change_id", changeId_);
    aVisitor("expected_revision", expectedRevision_);
    aVisitor("edits", edits_);
  }
};

struct AdminChangeAccepted
{
  core::Revision revision_;
  /// The change had been accepted before, under the same change id.
  bool repeated_ = false;

  template<typename Visitor>
  void Fields(Visitor& aVisitor)
  {
    aVisitor("revision", revision_);
    aVisitor("repeated", repeated_);
  }
};

/// The change that took the expected revision.
struct AdminWinner
{
  core::OperatorId operator_;
  core::Revision revision_;
  std::vector<std::string> paths_;

  template<typename Visitor>
  void Fields(Visitor& aVisitor)
  {
    aVisitor("operator", operator_);
    aVisitor("revision", revision_);
    aVisitor("paths", paths_);
  }
};

struct AdminFinding
{
  std::string file_;
  std::uint32_t line_ = 0;
  std::string key_;
  std::string message_;

  template<typename Visitor>
  void Fields(Visitor& aVisitor)
  {
    aVisitor("file", file_);
    aVisitor("line", line_);
    aVisitor("key", key_);
    aVisitor("message", message_);
  }
};

struct AdminChangeRecord
{
  core::Revision revision_;
  core::ChangeId changeId_;
  core::OperatorId operator_;
  std::uint64_t at_ = 0;
  std::vector<std::string> paths_;

  template<typename Visitor>
  void Fields(Visitor& aVisitor)
  {
    aVisitor("revision", revision_);
    aVisitor("change_id", changeId_);
    aVisitor("operator", operator_);
    aVisitor("at", at_);
    aVisitor("paths", paths_);
  }
};

/// Newest first.
struct AdminHistory
{
  std::vector<AdminChangeRecord> changes_;

  template<typename Visitor>
  void Fields(Visitor& aVisitor)
  {
    aVisitor("changes", changes_);
  }
};

} // namespace crocusslip::protocol
