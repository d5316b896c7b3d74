#define BOOST_TEST_MODULE Compression
#include <boost/test/unit_test.hpp>

#include "protocol/Compression.hpp"
#include "protocol/ServerTableWire.hpp"

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

BOOST_AUTO_TEST_SUITE(ATableOfServers)

BOOST_AUTO_TEST_CASE(ComesBackWhole)
{
  wire::ServerTable table;
  table.rows.emplace_back().server = "s1";
  table.rows.back().models = { "m1", "m2/a1" };
  const auto encoded = protocol::EncodeTable(table);
  const auto decoded =
    protocol::DecodeTable(encoded.compressed_, encoded.bytes_);
  BOOST_REQUIRE(decoded.Ok());
  BOOST_TEST((decoded.Value() == table));
}

BOOST_AUTO_TEST_CASE(IsAnErrorWhenItCannotBeRead)
{
  wire::ServerTable table;
  table.rows.emplace_back().server = "s1";
  const auto encoded = protocol::EncodeTable(table);
  BOOST_TEST(
    !protocol::DecodeTable(encoded.compressed_, encoded.bytes_ - 1).Ok());
  // A list with more elements than there are bytes, and a text of 2 GiB.
  const std::string list("\x19\xfc\xff\xff\xff\x07", 6);
  const std::string text("\x19\x1c\x18\xff\xff\xff\xff\x07", 8);
  for (const std::string& bytes : { list, text, std::string() }) {
    const std::string compressed = protocol::Compress(bytes);
    BOOST_TEST(!protocol::DecodeTable(compressed, bytes.size()).Ok());
  }
}

BOOST_AUTO_TEST_SUITE_END()
