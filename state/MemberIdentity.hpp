#pragma once

#include "core/Ids.hpp"
#include "core/Random.hpp"
#include "state/FileSystem.hpp"

#include <cstdint>
#include <string>

namespace crocusslip::state {

/// Whose data a folder holds.
struct MemberIdentity
{
  std::string cluster_;
  std::uint32_t group_ = 0;
  core::MemberId member_;
  /// Drawn when the folder was first used; another disk has another one.
  std::string diskIdentity_;

  friend bool operator==(const MemberIdentity&,
                         const MemberIdentity&) = default;
};

/// Reads the identity of a data folder. Errc::NotFound for a new folder;
/// Errc::NewerVersion when written by a newer version.
core::Result<MemberIdentity>
LoadIdentity(FileSystem& aFiles, const std::string& aFolder);

/// Checks that a folder belongs to this member (Errc::WrongIdentity), or makes
/// a new folder its own. aExpected's disk identity is not read.
core::Result<MemberIdentity>
ClaimFolder(FileSystem& aFiles,
            const std::string& aFolder,
            const MemberIdentity& aExpected,
            core::Random& aRandom);

} // namespace crocusslip::state
