#define BOOST_TEST_MODULE TenantsReader
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "entry/TenantCounters.hpp"
#include "platform/RoutesReader.hpp"

#include <set>
#include <string>

using namespace crocusslip;

namespace {

std::string
Config(const std::string& aTenants)
{
  return R"({"Version":7,"Routes":[
    {"Name":"r","Host":"h","PathPrefix":"/a/","RouteKind":"safe",
     "TimeoutMs":10,"Service":"desk","Priority":2}],
    "Services":[{"Name":"desk","MaxConnections":9}],"Tenants":)" +
         aTenants + "}";
}

std::multiset<std::string>
PlacesOf(const core::Findings& aFindings)
{
  std::multiset<std::string> places;
  for (const core::Finding& finding : aFindings) {
    places.insert(finding.key_);
  }
  return places;
}

struct Mistake
{
  std::string tenants_;
  std::string place_;
};

std::ostream&
operator<<(std::ostream& aOut, const Mistake& aMistake)
{
  return aOut << aMistake.tenants_;
}

const std::vector<Mistake> kMistakes = {
  { "{}", "Tenants" },
  { "7", "Tenants" },
  { R"([{"Name":""}])", "Tenants[0].Name" },
  { R"([{"Name":"a\r\nSecret: x"}])", "Tenants[0].Name" },
  { R"([{"Name":"a"},{"Name":"a"}])", "Tenants[1]" },
  { R"([{"Name":"a","ApiKeys":["sesame"]},{"Name":"b","ApiKeys":["sesame"]}])",
    "Tenants[1].ApiKeys" },
  { R"([{"Name":"a","ApiKeys":["sesame",""]}])", "Tenants[0].ApiKeys[1]" },
  { R"([{"Name":"a","ApiKeys":[null]}])", "Tenants[0].ApiKeys[0]" },
  { R"([{"Name":"a","ApiKeys":"sesame"}])", "Tenants[0].ApiKeys" },
  { R"([{"Name":"a","ApiKeys":{"sesame":1}}])", "Tenants[0].ApiKeys" },
  { R"([{"Name":"a","RatePerS":-1}])", "Tenants[0].RatePerS" },
  { R"([{"Name":"a","RatePerS":1e300}])", "Tenants[0].RatePerS" },
  { R"([{"Name":"a","Burst":"sesame"}])", "Tenants[0].Burst" },
  { R"([{"Name":"a","UncachedTokens":-1}])", "Tenants[0].UncachedTokens" },
  { R"([{"Name":"a","Unit":"sesame"}])", "Tenants[0].Unit" },
  { R"([{"Name":"a","Unit":4}])", "Tenants[0].Unit" },
  { R"([{"Name":"a","Priority":[]}])", "Tenants[0].Priority" },
};

} // namespace

BOOST_AUTO_TEST_SUITE(TheTenantsOfAConfiguration)

BOOST_AUTO_TEST_CASE(AreReadWhole)
{
  const auto checked = platform::CheckConfig(
    Config(R"([{"Name":"acme","ApiKeys":["k1","k2","k1"],"RatePerS":2.5,
      "Burst":5,"Unit":"tokens","UncachedTokens":40,"Priority":1},
      {"Name":"gone","ApiKeys":null},{"Name":"last"}])"));
  BOOST_REQUIRE(checked.findings_.empty());
  const auto& tenants = checked.routes_.Tenants();
  BOOST_TEST(tenants.All().size() == 3U);
  const admission::Tenant* acme = tenants.FindByKey("k2");
  BOOST_REQUIRE(acme != nullptr);
  BOOST_TEST(acme == tenants.FindByKey("k1"));
  BOOST_TEST(acme == tenants.FindByName(admission::TenantName("acme")));
  BOOST_TEST(acme->quota_.perSecond_ == 2.5);
  BOOST_TEST(acme->quota_.CostOf(std::nullopt) == 40);
  BOOST_TEST(tenants.FindByKey("") == nullptr);
  BOOST_TEST(tenants.FindByKey("k") == nullptr);
  // The tenant's priority comes first, then the route's, which is 2 of 0 to 2.
  const auto& route = checked.routes_.Routes().front();
  BOOST_TEST(checked.routes_.RankOf(route, acme) == 5U);
  BOOST_TEST(checked.routes_.RankOf(route, nullptr) == 2U);
}

BOOST_AUTO_TEST_CASE(MayBeMissing)
{
  for (const char* none : { "null", "[]" }) {
    const auto checked = platform::CheckConfig(Config(none));
    BOOST_TEST(checked.findings_.empty());
    BOOST_TEST(checked.routes_.Tenants().Empty());
  }
}

BOOST_DATA_TEST_CASE(AreRefusedForOneMistake,
                     boost::unit_test::data::make(kMistakes),
                     mistake)
{
  const auto checked = platform::CheckConfig(Config(mistake.tenants_));
  BOOST_REQUIRE(checked.findings_.size() == 1U);
  BOOST_TEST(checked.findings_.front().key_ == mistake.place_);
  // No key in what operators and logs get.
  BOOST_TEST(checked.findings_.front().Text().find("sesame") ==
             std::string::npos);
}

// Guards against an operator who mends one mistake after the other.
BOOST_AUTO_TEST_CASE(AreRefusedWithAllTheirMistakes)
{
  const auto checked = platform::CheckConfig(
    Config(R"([null,{"ApiKeys":["sesame",5],"RatePerS":-1},
      {"Name":"b","ApiKeys":["","sesame","word"],"Unit":"x"},
      {"Name":"b","ApiKeys":["word"],"Burst":-2}])"));
  const std::multiset<std::string> expected{
    "Tenants[0]",
    "Tenants[0].Name",
    "Tenants[1].Name",
    "Tenants[1].RatePerS",
    "Tenants[1].ApiKeys[1]",
    "Tenants[2].ApiKeys[0]",
    "Tenants[2].ApiKeys",
    "Tenants[2].Unit",
    "Tenants[3].ApiKeys",
    "Tenants[3].Burst",
    "Tenants[3]",
  };
  BOOST_TEST((PlacesOf(checked.findings_) == expected));
  for (const core::Finding& finding : checked.findings_) {
    BOOST_TEST(finding.Text().find("sesame") == std::string::npos);
    BOOST_TEST(finding.Text().find("word") == std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(NeedFiniteRates)
{
  for (const char* rate : { "NaN", "1e999", "Infinity" }) {
    const auto checked = platform::CheckConfig(
      Config(R"([{"Name":"a","RatePerS":)" + std::string(rate) + "}]"));
    BOOST_TEST(!checked.findings_.empty());
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ADirectoryOfTenants)

// Guards against a lookup that finds a tenant by a part of a key, or by another
// key.
BOOST_AUTO_TEST_CASE(FindsEachOfThousandsOfKeys)
{
  constexpr std::size_t kTenants = 2000;
  constexpr std::size_t kKeys = 3;
  const auto keyOf = [](std::size_t aTenant, std::size_t aKey) {
    return "key-" + std::to_string(aTenant) + "-" + std::to_string(aKey);
  };
  std::vector<admission::TenantDirectory::Entry> entries(kTenants);
  for (std::size_t i = 0; i < kTenants; ++i) {
    entries[i].tenant_.name_ = admission::TenantName("t" + std::to_string(i));
    for (std::size_t k = 0; k < kKeys; ++k) {
      entries[i].keys_.push_back(keyOf(i, k));
    }
  }
  const admission::TenantDirectory tenants(entries);
  std::size_t wrong = 0;
  for (std::size_t i = 0; i < kTenants; ++i) {
    for (std::size_t k = 0; k < kKeys; ++k) {
      const auto* found = tenants.FindByKey(keyOf(i, k));
      wrong += found == nullptr || found->name_ != entries[i].tenant_.name_;
      wrong += tenants.FindByKey(keyOf(i, k) + "0") != nullptr;
    }
    wrong += tenants.FindByKey(keyOf(i, kKeys)) != nullptr;
  }
  BOOST_TEST(wrong == 0U);
}

BOOST_AUTO_TEST_CASE(ReadsKeysOfTheBearerSchemeOnly)
{
  BOOST_TEST(admission::BearerKey("Bearer k") == "k");
  BOOST_TEST(admission::BearerKey("bEARER   k \t") == "k");
  for (const char* header :
       { "", "Bearer", "Bearer ", "Bearer  \t", "Bearerk", "Basic k", "k" }) {
    BOOST_TEST(admission::BearerKey(header).empty());
  }
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a metrics page that grows with the number of tenants.
BOOST_AUTO_TEST_CASE(TenantsAreCountedByNameUpToABound)
{
  core::MetricsRegistry metrics;
  entry::TenantCounters counters(metrics);
  counters.OnRequest(admission::TenantName("a\"b"));
  for (std::size_t i = 0; i < 2 * entry::TenantCounters::kMaxNamedTenants;
       ++i) {
    counters.OnRequest(admission::TenantName("t" + std::to_string(i)));
  }
  counters.OnRefusal(admission::TenantName("t0"));
  const std::string text = metrics.Text();
  const auto has = [&](const std::string& aLine) {
    return text.find("\n" + aLine + "\n") != std::string::npos;
  };
  BOOST_TEST(has(R"(crocusslip_tenant_requests_total{tenant="a\"b"} 1)"));
  BOOST_TEST(has(R"(crocusslip_tenant_refusals_total{tenant="t0"} 1)"));
  BOOST_TEST(has(R"(crocusslip_tenant_requests_total{tenant="t62"} 1)"));
  BOOST_TEST(has(R"(crocusslip_tenant_requests_total{tenant="other"} 65)"));
  BOOST_TEST(text.find("t63") == std::string::npos);
}
