#pragma once

#include "state/FileSystem.hpp"
#include "state/LogEntry.hpp"

#include <string>

namespace crocusslip::state {

/// Term and vote of a member in one small file that is replaced as a whole.
class VoteStore
{
public:
  VoteStore(FileSystem& aFiles, std::string aFolder);

  /// Term 0 when nothing was saved yet.
  core::Result<HardState> Load() const;
  /// Durable once this has returned.
  core::Status Save(const HardState& aState);

private:
  FileSystem& files_;
  const std::string folder_;
};

} // namespace crocusslip::state
