#include "transport/ClientConnection.hpp"

#include <boost/asio/ssl/host_name_verification.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <openssl/ssl.h>
#include <sys/socket.h>

namespace crocusslip::transport {

namespace {

namespace ssl = asio::ssl;
using Tcp = asio::ip::tcp;

constexpr std::size_t kReadBytes = 16UL * 1024;
/// Bytes of an answer that are read ahead.
constexpr std::size_t kReadAheadBytes = 64UL * 1024;
/// Interim answers before the answer proper.
constexpr int kMaxInterimAnswers = 8;

std::unique_ptr<ssl::context>
MakeContext(const TlsFiles& aFiles)
{
  auto context = std::make_unique<ssl::context>(ssl::context::tls_client);
  context->set_options(ssl::context::default_workarounds |
                       ssl::context::no_tlsv1 | ssl::context::no_tlsv1_1);
  context->set_verify_mode(ssl::context::verify_peer);
  context->set_default_verify_paths();
  if (!aFiles.authority_.empty()) {
    context->load_verify_file(aFiles.authority_);
  }
  if (aFiles.Enabled()) {
    context->use_certificate_chain_file(aFiles.certificate_);
    context->use_private_key_file(aFiles.key_, ssl::context::pem);
  }
  return context;
}

} // namespace

std::optional<ClientTarget>
ParseTarget(std::string_view aBase)
{
  constexpr std::string_view kPlain = "http://";
  constexpr std::string_view kSecure = "https://";
  ClientTarget target;
  target.tls_ = aBase.starts_with(kSecure);
  if (!target.tls_ && !aBase.starts_with(kPlain)) {
    return std::nullopt;
  }
  aBase.remove_prefix(target.tls_ ? kSecure.size() : kPlain.size());
  const std::string_view authority = aBase.substr(0, aBase.find('/'));
  target.authority_ = authority;
  target.path_ = aBase.substr(authority.size());
  while (target.path_.ends_with('/')) {
    target.path_.pop_back();
  }
  // The colons of an IPv6 address stand between brackets.
  const auto colon = authority.rfind(':');
  const bool hasPort = colon != std::string_view::npos &&
                       authority.find(']', colon) == std::string_view::npos;
  target.host_ = authority.substr(0, hasPort ? colon : authority.size());
  target.port_ = hasPort       ? std::string(authority.substr(colon + 1))
                 : target.tls_ ? "443"
                               : "80";
  if (target.host_.starts_with('[') && target.host_.ends_with(']')) {
    target.host_ = target.host_.substr(1, target.host_.size() - 2);
  }
  if (target.host_.empty() || target.port_.empty()) {
    return std::nullopt;
  }
  return target;
}

ClientConnection::ClientConnection(Executor aExecutor,
                                   const TlsFiles& aTls,
                                   bool aUseTls)
  : executor_(std::move(aExecutor))
  , buffer_(kReadAheadBytes)
{
  if (aUseTls) {
    tls_ = MakeContext(aTls);
    stream_.emplace<Secure>(executor_, *tls_);
  } else {
    stream_.emplace<Plain>(executor_);
  }
}

beast::tcp_stream&
ClientConnection::Socket()
{
  if (auto* secure = std::get_if<Secure>(&stream_)) {
    return secure->next_layer();
  }
  return std::get<Plain>(stream_);
}

bool
ClientConnection::Note(const boost::system::error_code& aError)
{
  failure_ = aError;
  return !aError;
}

Task<bool>
ClientConnection::Connect(const ClientTarget& aTarget)
{
  boost::system::error_code error;
  Tcp::resolver resolver(executor_);
  const auto found =
    co_await resolver.async_resolve(aTarget.host_, aTarget.port_, Catch(error));
  if (!Note(error)) {
    co_return false;
  }
  Socket().expires_after(timeout_);
  co_await Socket().async_connect(found, Catch(error));
  if (!Note(error)) {
    co_return false;
  }
  boost::system::error_code ignored;
  Socket().socket().set_option(Tcp::no_delay(true), ignored);
  if (!aTarget.tls_) {
    co_return true;
  }
  co_return co_await Handshake(aTarget.host_);
}

Task<bool>
ClientConnection::Handshake(const std::string& aHost)
{
  auto& secure = std::get<Secure>(stream_);
  secure.set_verify_callback(ssl::host_name_verification(aHost));
  boost::system::error_code ignored;
  asio::ip::make_address(aHost, ignored);
  const bool isName = static_cast<bool>(ignored);
  if (isName) {
    SSL_set_tlsext_host_name(secure.native_handle(), aHost.c_str());
  }
  boost::system::error_code error;
  Socket().expires_after(timeout_);
  co_await secure.async_handshake(ssl::stream_base::client, Catch(error));
  co_return Note(error);
}

Task<bool>
ClientConnection::Send(const Request& aRequest)
{
  answerBegun_ = false;
  boost::system::error_code error;
  Socket().expires_after(timeout_);
  if (auto* secure = std::get_if<Secure>(&stream_)) {
    co_await http::async_write(*secure, aRequest, Catch(error));
  } else {
    co_await http::async_write(
      std::get<Plain>(stream_), aRequest, Catch(error));
  }
  co_return Note(error);
}

Task<std::size_t>
ClientConnection::ReadSome()
{
  boost::system::error_code error;
  std::size_t got = 0;
  const auto place = buffer_.prepare(kReadBytes);
  Socket().expires_after(timeout_);
  if (auto* secure = std::get_if<Secure>(&stream_)) {
    got = co_await secure->async_read_some(place, Catch(error));
  } else {
    got =
      co_await std::get<Plain>(stream_).async_read_some(place, Catch(error));
  }
  buffer_.commit(got);
  Note(error);
  co_return got;
}

Task<bool>
ClientConnection::ReadHead(bool aToHead)
{
  for (int i = 0; i <= kMaxInterimAnswers; ++i) {
    BeginAnswer(parser_);
    parser_->skip(aToHead);
    HeadState state = ParseHead(buffer_, *parser_);
    while (state == HeadState::Begun) {
      const std::size_t got = co_await ReadSome();
      if (got == 0) {
        co_return false;
      }
      answerBegun_ = true;
      state = ParseHead(buffer_, *parser_);
    }
    if (state == HeadState::Broken) {
      failure_ = http::make_error_code(http::error::bad_field);
      co_return false;
    }
    if (Head().result_int() / 100 != 1) {
      co_return true;
    }
  }
  failure_ = http::make_error_code(http::error::bad_status);
  co_return false;
}

Task<std::optional<std::string_view>>
ClientConnection::ReadBody()
{
  chunk_.resize(kReadBytes);
  auto& body = parser_->get().body();
  std::size_t got = 0;
  while (got == 0 && !parser_->is_done()) {
    body.data = chunk_.data();
    body.size = chunk_.size();
    body.more = true;
    boost::system::error_code error;
    Socket().expires_after(timeout_);
    if (auto* secure = std::get_if<Secure>(&stream_)) {
      co_await http::async_read_some(*secure, buffer_, *parser_, Catch(error));
    } else {
      co_await http::async_read_some(
        std::get<Plain>(stream_), buffer_, *parser_, Catch(error));
    }
    got = chunk_.size() - body.size;
    if (error == http::error::need_buffer) {
      error = {};
    }
    if (error && got == 0) {
      Note(error);
      co_return std::nullopt;
    }
  }
  co_return std::string_view(chunk_).substr(0, got);
}

bool
ClientConnection::Reusable() const
{
  return parser_ && parser_->is_done() && parser_->keep_alive() &&
         buffer_.size() == 0;
}

bool
ClientConnection::Quiet()
{
  auto& socket = Socket().socket();
  char byte = 0;
  const bool open = socket.is_open();
  const auto got =
    open ? ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT)
         : 0;
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void
ClientConnection::Close()
{
  Socket().close();
}

} // namespace crocusslip::transport
