#pragma once

#include "core/Error.hpp"
#include "core/Finding.hpp"
#include "core/Ids.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace crocusslip::control {

/// Each role includes those before it.
enum class Role : std::uint8_t
{
  Read,
  Operate,
  Administer,
};

struct Operator
{
  core::OperatorId id_;
  Role role_ = Role::Read;
};

/// Operators by the SHA-256 of their token.
class OperatorRoles
{
public:
  /// Nobody needs a token; for loopback only.
  static OperatorRoles Open();
  /// Lines "name role sha256", role being read, operate or administer; "#"
  /// begins a comment.
  static OperatorRoles Parse(std::string_view aText,
                             const std::string& aFile,
                             core::Findings& aFindings);

  /// aAuthorization is the value of the Authorization header, if any.
  std::optional<Operator> Find(
    const std::optional<std::string>& aAuthorization) const;

private:
  bool open_ = false;
  std::map<std::string, Operator, std::less<>> byDigest_;
};

} // namespace crocusslip::control
