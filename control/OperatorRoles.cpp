#include "control/OperatorRoles.hpp"

#include "transport/Sha256.hpp"

#include <algorithm>
#include <sstream>
#include <utility>

namespace crocusslip::control {

namespace {

constexpr std::string_view kBearer = "Bearer ";
constexpr std::size_t kDigestLength = 64;

std::optional<Role>
RoleNamed(const std::string& aName)
{
  if (aName == "read") {
    return Role::Read;
  }
  if (aName == "operate") {
    return Role::Operate;
  }
  if (aName == "administer") {
    return Role::Administer;
  }
  return std::nullopt;
}

bool
IsDigest(const std::string& aText)
{
  return aText.size() == kDigestLength &&
         aText.find_first_not_of("0123456789abcdef") == std::string::npos;
}

} // namespace

OperatorRoles
OperatorRoles::Open()
{
  OperatorRoles roles;
  roles.open_ = true;
  return roles;
}

OperatorRoles
OperatorRoles::Parse(std::string_view aText,
                     const std::string& aFile,
                     core::Findings& aFindings)
{
  const std::string emptyToken = transport::Sha256Hex({});
  OperatorRoles roles;
  std::istringstream lines{ std::string(aText) };
  std::string line;
  for (std::uint32_t number = 1; std::getline(lines, line); ++number) {
    line = line.substr(0, line.find('#'));
    std::istringstream words(line);
    std::string name;
    std::string roleName;
    std::string digest;
    if (!(words >> name)) {
      continue;
    }
    words >> roleName >> digest;
    // No finding repeats a word of the line: it may be a token.
    const auto report = [&](std::string aMessage) {
      aFindings.push_back({ aFile, number, "", std::move(aMessage) });
    };
    const auto role = RoleNamed(roleName);
    if (!role) {
      report("the role must be read, operate or administer");
    }
    if (!IsDigest(digest)) {
      report("the token's SHA-256 must be 64 digits");
    } else if (digest == emptyToken) {
      report("this is the SHA-256 of an empty token");
    } else if (role) {
      roles.byDigest_[digest] = { core::OperatorId(name), *role };
    }
  }
  return roles;
}

std::optional<Operator>
OperatorRoles::Find(const std::optional<std::string>& aAuthorization) const
{
  if (open_) {
    return Operator{ core::OperatorId("local"), Role::Administer };
  }
  if (!aAuthorization ||
      aAuthorization->compare(0, kBearer.size(), kBearer) != 0) {
    return std::nullopt;
  }
  const std::string digest =
    transport::Sha256Hex(aAuthorization->substr(kBearer.size()));
  const auto found = byDigest_.find(digest);
  return found == byDigest_.end() ? std::nullopt
                                  : std::optional<Operator>(found->second);
}

} // namespace crocusslip::control
