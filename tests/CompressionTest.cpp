#define BOOST_TEST_MODULE Compression
#include <boost/test/unit_test.hpp>

#include "protocol/Compression.hpp"

using namespace crocusslip;

namespace {

std::string
RoutesText()
{
  std::string text;
  for (int i = 0; i < 400; ++i) {
    text += "{\"Name\":\"model" + std::to_string(i) + "\",\"WeightsMb\":34300}";
  }
  return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ACompressedText)

BOOST_AUTO_TEST_CASE(IsSmallerAndComesBackWhole)
{
  const std::string text = RoutesText();
  const std::string bytes = protocol::Compress(text);
  BOOST_TEST(bytes.size() * 5 < text.size());
  BOOST_TEST(protocol::Decompress(bytes, text.size()).Value() == text);
}

BOOST_AUTO_TEST_CASE(IsRefusedWhenItIsNotWhole)
{
  const std::string text = RoutesText();
  const std::string bytes = protocol::Compress(text);
  BOOST_TEST(!protocol::Decompress(bytes.substr(1), text.size()).Ok());
  BOOST_TEST(
    !protocol::Decompress(bytes.substr(0, bytes.size() / 2), text.size()).Ok());
  BOOST_TEST(!protocol::Decompress(bytes, text.size() - 1).Ok());
  BOOST_TEST(!protocol::Decompress(bytes, text.size() + 1).Ok());
}

BOOST_AUTO_TEST_CASE(IsRefusedOverTheLimit)
{
  constexpr std::size_t kHuge = 1UL << 40U;
  BOOST_TEST(!protocol::Decompress(protocol::Compress("a"), kHuge).Ok());
}

BOOST_AUTO_TEST_SUITE_END()
