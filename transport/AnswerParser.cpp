#include "transport/AnswerParser.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

#include <limits>
#include <string_view>

namespace crocusslip::transport {

namespace {

/// Largest head of an answer.
constexpr std::uint32_t kHeadBytes = 16 * 1024;
/// Status codes outside this range are invalid (RFC 9110, section 15).
constexpr unsigned kLowestStatus = 100;
constexpr unsigned kHighestStatus = 599;

// The parser joins a folded line (RFC 9112, section 5.2) to the field before
// it, also when it is a field whose name begins with a blank.
bool
HasFoldedLine(std::string_view aHead)
{
  return aHead.find("\r\n ") != std::string_view::npos ||
         aHead.find("\r\n\t") != std::string_view::npos;
}

bool
HasValidStatus(const http::response_header<>& aHead)
{
  return aHead.result_int() >= kLowestStatus &&
         aHead.result_int() <= kHighestStatus;
}

// A body in any other transfer coding would be passed on undecoded.
bool
HasKnownCoding(const http::response_header<>& aHead)
{
  const auto coding = aHead.find(http::field::transfer_encoding);
  return coding == aHead.end() ||
         (aHead.version() == 11 && beast::iequals(coding->value(), "chunked"));
}

} // namespace

void
BeginAnswer(std::optional<AnswerParser>& aParser)
{
  aParser.emplace();
  aParser->header_limit(kHeadBytes);
  aParser->body_limit(std::numeric_limits<std::uint64_t>::max());
}

HeadState
ParseHead(beast::flat_buffer& aBuffer, AnswerParser& aParser)
{
  boost::system::error_code error;
  const auto bytes = aBuffer.cdata();
  const std::size_t used = aParser.put(bytes, error);
  const bool folded =
    HasFoldedLine({ static_cast<const char*>(bytes.data()), used });
  aBuffer.consume(used);
  const auto& head = aParser.get().base();
  if (folded || !HasValidStatus(head)) {
    return HeadState::Broken;
  }
  if (error == http::error::need_more) {
    return HeadState::Begun;
  }
  return !error && HasKnownCoding(head) ? HeadState::Whole : HeadState::Broken;
}

} // namespace crocusslip::transport
