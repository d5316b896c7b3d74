#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstdint>
#include <optional>

/// Heads of answers, checked more strictly than the parser does it.
namespace crocusslip::transport {

namespace beast = boost::beast;
namespace http = boost::beast::http;

using AnswerParser = http::response_parser<http::buffer_body>;

enum class HeadState : std::uint8_t
{
  /// More bytes are needed.
  Begun,
  Whole,
  /// Breaks the grammar of HTTP/1.1, or is too large.
  Broken,
};

/// Makes a parser for one answer, whose body may have any length.
void
BeginAnswer(std::optional<AnswerParser>& aParser);

/// Moves what the buffer holds of a head to the parser.
HeadState
ParseHead(beast::flat_buffer& aBuffer, AnswerParser& aParser);

} // namespace crocusslip::transport
