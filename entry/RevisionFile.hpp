#pragma once

#include "core/Error.hpp"
#include "core/Ids.hpp"
#include "state/FileSystem.hpp"

#include <string>

namespace crocusslip::entry {

/// File with the highest settings revision that this host has served.
class RevisionFile
{
public:
  RevisionFile(state::FileSystem& aFiles, std::string aFolder);

  /// Returns revision 0 when the file does not exist.
  core::Result<core::Revision> Load();
  /// The revision is durable when this returns successfully.
  core::Status Save(core::Revision aRevision);

private:
  state::FileSystem& files_;
  const std::string folder_;
};

} // namespace crocusslip::entry
