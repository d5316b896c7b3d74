#include "admission/Tenants.hpp"

#include "core/Random.hpp"

#include <algorithm>
#include <cctype>

namespace crocusslip::admission {

namespace {

constexpr std::string_view kScheme = "bearer";

/// Differs in each process, so that a digest in a core dump can't be compared
/// with those of a list of keys made elsewhere.
std::uint64_t
ProcessSeed()
{
  static const std::uint64_t kSeed = core::DeviceSeed();
  return kSeed;
}

core::Digest
DigestOf(std::string_view aKey)
{
  return { core::Hash64(aKey, ProcessSeed()),
           core::Hash64(aKey, ~ProcessSeed()) };
}

} // namespace

double
Quota::CostOf(std::optional<std::uint64_t> aTokens) const
{
  if (unit_ == QuotaUnit::Requests) {
    return 1;
  }
  return static_cast<double>(aTokens.value_or(defaultTokens_));
}

TenantDirectory::TenantDirectory(const std::vector<Entry>& aEntries)
{
  tenants_.reserve(aEntries.size());
  for (const Entry& entry : aEntries) {
    const std::size_t index = tenants_.size();
    tenants_.push_back(entry.tenant_);
    byName_[entry.tenant_.name_] = index;
    for (const std::string& key : entry.keys_) {
      byKey_[DigestOf(key)] = index;
    }
  }
}

const Tenant*
TenantDirectory::FindByKey(std::string_view aKey) const
{
  if (aKey.empty()) {
    return nullptr;
  }
  const auto found = byKey_.find(DigestOf(aKey));
  return found == byKey_.end() ? nullptr : &tenants_[found->second];
}

const Tenant*
TenantDirectory::FindByName(const TenantName& aName) const
{
  const auto found = byName_.find(aName);
  return found == byName_.end() ? nullptr : &tenants_[found->second];
}

std::string_view
BearerKey(std::string_view aHeader)
{
  const auto space = aHeader.find(' ');
  if (space != kScheme.size() ||
      !std::ranges::equal(aHeader.substr(0, space),
                          kScheme,
                          [](unsigned char aLeft, char aRight) {
                            return std::tolower(aLeft) == aRight;
                          })) {
    return {};
  }
  const auto begin = aHeader.find_first_not_of(' ', space);
  if (begin == std::string_view::npos) {
    return {};
  }
  const std::string_view key = aHeader.substr(begin);
  return key.substr(0, key.find_last_not_of(" \t") + 1);
}

} // namespace crocusslip::admission
