#define BOOST_TEST_MODULE PrefixCacheView
#include <boost/test/unit_test.hpp>

#include "coordination/PrefixCacheView.hpp"
#include "core/Random.hpp"

#include <vector>

using namespace crocusslip;
using namespace crocusslip::coordination;

namespace {

const std::vector<std::uint64_t> kPrompt = { 11, 12, 13, 14, 15, 16 };

CacheEvent
Stored(std::uint64_t aSequence, std::span<const std::uint64_t> aBlocks)
{
  return { aSequence, CacheEventKind::Stored, aBlocks };
}

} // namespace

BOOST_AUTO_TEST_SUITE(A_prefix_cache_view)

// Guards against a match longer than the stored prefix.
BOOST_AUTO_TEST_CASE(finds_the_longest_stored_prefix_of_each_server)
{
  PrefixCacheView view(1024);
  const auto prompt = std::span(kPrompt);
  view.OnEvent(1, Stored(1, prompt.first(3)));
  view.OnEvent(2, Stored(1, prompt.first(2)));
  BOOST_TEST(view.MatchedBlocks(1, prompt) == 3);
  BOOST_TEST(view.MatchedBlocks(2, prompt) == 2);
  BOOST_TEST(view.MatchedBlocks(3, prompt) == 0);
  PrefixCacheView::Holders holders;
  BOOST_REQUIRE(view.FindHolders(prompt, holders) == 1);
  BOOST_TEST(holders[0].server_ == 1);
  BOOST_TEST(holders[0].matchedBlocks_ == 3);
  view.OnEvent(1, { 2, CacheEventKind::Removed, prompt.subspan(1, 2) });
  BOOST_TEST(view.MatchedBlocks(1, prompt) == 1);
}

BOOST_AUTO_TEST_SUITE(with_unreliable_events)

// Guards against stale estimates after lost events, one of which may have been
// the removal of the blocks.
BOOST_AUTO_TEST_CASE(drops_the_estimates_of_a_server_after_a_gap)
{
  PrefixCacheView view(1024);
  const auto prompt = std::span(kPrompt);
  view.OnEvent(1, Stored(1, prompt));
  view.OnEvent(2, Stored(1, prompt));
  const std::vector<std::uint64_t> other = { 99 };
  BOOST_TEST((view.OnEvent(1, Stored(3, other)) == CacheEventResult::Gap));
  BOOST_TEST(view.MatchedBlocks(1, prompt) == 0);
  BOOST_TEST(view.MatchedBlocks(1, other) == 1);
  BOOST_TEST(view.MatchedBlocks(2, prompt) == 6);
  BOOST_TEST((view.OnEvent(1, Stored(4, prompt)) == CacheEventResult::Applied));
  BOOST_TEST(view.MatchedBlocks(1, prompt) == 6);
}

// Guards against a late event that restores removed blocks.
BOOST_AUTO_TEST_CASE(ignores_an_event_older_than_the_last_one)
{
  PrefixCacheView view(1024);
  const auto prompt = std::span(kPrompt);
  view.OnEvent(1, Stored(5, prompt));
  view.OnEvent(1, { 6, CacheEventKind::Cleared, {} });
  BOOST_TEST((view.OnEvent(1, Stored(5, prompt)) == CacheEventResult::Late));
  BOOST_TEST(view.MatchedBlocks(1, prompt) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against memory use that grows with traffic.
BOOST_AUTO_TEST_CASE(uses_constant_memory_under_many_prompts)
{
  PrefixCacheView view(1024);
  core::Random random(7);
  for (std::uint32_t server = 0; server < 100; ++server) {
    view.OnRouted(server, kPrompt);
  }
  const std::size_t before = view.MemoryBytes();
  for (int i = 0; i < 100000; ++i) {
    const std::vector<std::uint64_t> blocks = { random.Next(), random.Next() };
    view.OnRouted(static_cast<std::uint32_t>(random.Below(100)), blocks);
  }
  BOOST_TEST(view.MemoryBytes() == before);
  view.OnRouted(1, kPrompt);
  BOOST_TEST(view.MatchedBlocks(1, kPrompt) == 6);
}

BOOST_AUTO_TEST_SUITE_END()
