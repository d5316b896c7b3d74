#pragma once

#include "core/Hash.hpp"
#include "core/StrongId.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// Who may send requests, how many, and in what order they are served.
namespace crocusslip::admission {

using TenantName = core::StrongId<struct TenantTag>;

enum class QuotaUnit : std::uint8_t
{
  Requests,
  Tokens,
};

/// What a tenant may send to all hosts together. A rate of 0 stands for no
/// limit.
struct Quota
{
  QuotaUnit unit_ = QuotaUnit::Requests;
  double perSecond_ = 0;
  double burst_ = 0;
  /// Tokens that a request without a token count costs.
  std::uint64_t defaultTokens_ = 0;

  bool Limited() const { return perSecond_ > 0; }
  /// Units that a request costs; aTokens is empty without a token count.
  double CostOf(std::optional<std::uint64_t> aTokens) const;
};

/// A customer of the operator. It is known by its keys, which may change.
struct Tenant
{
  TenantName name_;
  /// Comes before the priority of the route; 0, or none, is the most urgent.
  std::optional<std::uint32_t> priority_;
  Quota quota_;
};

/// The tenants of one published table, looked up by key or by name. Keys are
/// kept as seeded digests only, so that nothing that prints this prints a key.
class TenantDirectory
{
public:
  struct Entry
  {
    Tenant tenant_;
    std::vector<std::string> keys_;
  };

  TenantDirectory() = default;
  explicit TenantDirectory(const std::vector<Entry>& aEntries);

  /// Without tenants requests need no key.
  bool Empty() const { return tenants_.empty(); }
  /// Null for an unknown key.
  const Tenant* FindByKey(std::string_view aKey) const;
  const Tenant* FindByName(const TenantName& aName) const;
  const std::vector<Tenant>& All() const { return tenants_; }

private:
  std::vector<Tenant> tenants_;
  /// Indexes in tenants_.
  std::unordered_map<core::Digest, std::size_t> byKey_;
  std::unordered_map<TenantName, std::size_t> byName_;
};

/// The key of an Authorization header with the scheme Bearer; empty if it has
/// none.
std::string_view
BearerKey(std::string_view aHeader);

} // namespace crocusslip::admission
