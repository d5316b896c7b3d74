#pragma once

#include "core/Random.hpp"
#include "state/FileSystem.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace crocusslip::tests {

/// Files in memory that lose what is not synced when the machine crashes, and
/// fail on request.
class FaultyFileSystem final : public state::FileSystem
{
public:
  core::Result<std::unique_ptr<state::AppendFile>> OpenAppend(
    const std::string& aPath) override;
  core::Result<std::string> Read(const std::string& aPath,
                                 std::uint64_t aOffset,
                                 std::uint64_t aLength) override;
  core::Result<std::uint64_t> Size(const std::string& aPath) override;
  core::Result<std::vector<std::string>> List(
    const std::string& aFolder) override;
  core::Status Rename(const std::string& aFrom,
                      const std::string& aTo) override;
  core::Status Remove(const std::string& aPath) override;
  core::Status MakeFolder(const std::string& aPath) override;
  core::Status SyncFolder(const std::string& aPath) override;
  core::Result<core::Bytes> FreeSpace(const std::string& aFolder) override;

  /// Loses power: of what was not synced, a random part of each file's tail
  /// (possibly garbled) and a random number of name changes survive.
  void Crash(core::Random& aRandom);
  void FailSyncs(bool aFail) { failSyncs_ = aFail; }
  /// Bytes that can still be written before the disk is full.
  void SetFree(std::uint64_t aBytes) { free_ = aBytes; }
  /// Whether the disk has room for another file.
  void SetCanCreate(bool aCan) { canCreate_ = aCan; }
  void FlipBit(const std::string& aPath, std::uint64_t aOffset);

private:
  friend class FaultyFile;

  struct Content
  {
    std::string bytes_;
    std::string synced_;
    /// bytes_ was cut below the length of synced_ since the last sync.
    bool rewritten_ = false;
  };
  using Names = std::map<std::string, std::shared_ptr<Content>>;
  struct NameChange
  {
    std::string path_;
    /// Nothing for a removal.
    std::shared_ptr<Content> content_;
  };
  /// The changes of one rename become durable together.
  using NameChanges = std::vector<NameChange>;

  static void ApplyTo(Names& aNames, const NameChanges& aChanges);
  void Change(NameChanges aChanges);
  void LoseUnsynced(Content& aContent, core::Random& aRandom) const;

  Names names_;
  Names syncedNames_;
  std::vector<NameChanges> unsyncedChanges_;
  bool failSyncs_ = false;
  bool canCreate_ = true;
  std::uint64_t free_ = core::kGibi;
};

} // namespace crocusslip::tests
