#include "transport/TlsReload.hpp"

#include "core/Log.hpp"

#include <boost/asio/ssl/context.hpp>

#include <openssl/err.h>
#include <openssl/ssl.h>
#include <sys/stat.h>

#include <mutex>
#include <utility>

namespace crocusslip::transport {

namespace {

namespace ssl = boost::asio::ssl;

void
SetRules(ssl::context& aContext, const TlsFiles& aFiles)
{
  aContext.set_options(ssl::context::default_workarounds |
                       ssl::context::no_sslv3 | ssl::context::no_tlsv1 |
                       ssl::context::no_tlsv1_1);
  if (aFiles.verifyPeer_) {
    aContext.set_verify_mode(ssl::context::verify_peer |
                             ssl::context::verify_fail_if_no_peer_cert);
  }
}

std::shared_ptr<ssl::context>
Load(const TlsFiles& aFiles)
{
  auto context = std::make_shared<ssl::context>(ssl::context::sslv23);
  SetRules(*context, aFiles);
  context->use_certificate_chain_file(aFiles.certificate_);
  // Fails when the key is not the certificate's.
  context->use_private_key_file(aFiles.key_, ssl::context::pem);
  if (aFiles.verifyPeer_) {
    context->load_verify_file(aFiles.authority_);
  }
  return context;
}

using ContextPtr = std::shared_ptr<ssl::context>;

int
OnCertificate(SSL* aConnection, void* aLoaded)
{
  const auto* loaded = static_cast<const ContextPtr*>(aLoaded);
  return SSL_set_SSL_CTX(aConnection, (*loaded)->native_handle()) != nullptr
           ? 1
           : 0;
}

void
FreeLoaded(void*, void* aLoaded, CRYPTO_EX_DATA*, int, long, void*)
{
  delete static_cast<ContextPtr*>(aLoaded);
}

} // namespace

TlsFileStamp
TlsFileStamp::Of(const TlsFiles& aFiles)
{
  TlsFileStamp stamp;
  for (const std::string& file :
       { aFiles.certificate_, aFiles.key_, aFiles.authority_ }) {
    struct stat status
    {};
    if (!file.empty() && stat(file.c_str(), &status) == 0) {
      stamp.values_.insert(stamp.values_.end(),
                           { static_cast<std::int64_t>(status.st_ino),
                             static_cast<std::int64_t>(status.st_size),
                             status.st_mtim.tv_sec,
                             status.st_mtim.tv_nsec,
                             static_cast<std::int64_t>(status.st_mode) });
    } else {
      stamp.values_.push_back(0);
    }
  }
  return stamp;
}

TlsFileWatch::TlsFileWatch(TlsFiles aFiles)
  : files_(std::move(aFiles))
  , seen_(TlsFileStamp::Of(files_))
{
}

bool
TlsFileWatch::Changed()
{
  TlsFileStamp now = TlsFileStamp::Of(files_);
  if (now == seen_) {
    return false;
  }
  seen_ = std::move(now);
  return true;
}

void
TlsFileWatch::Accepted()
{
  core::Log(core::LogLevel::Info,
            "TLS files taken up for new connections",
            { { "certificate", files_.certificate_ } });
}

void
TlsFileWatch::Refused(const std::string& aReason)
{
  core::Log(core::LogLevel::Warning,
            "changed TLS files can't be used; the ones before stay in use",
            { { "certificate", files_.certificate_ }, { "error", aReason } });
}

struct ListenerTls::Content
{
  const TlsFiles files_;
  /// Held while files are read; no other lock is taken under it.
  std::mutex mutex_;
  TlsFileWatch watch_;
  ContextPtr newest_;

  ContextPtr Newest()
  {
    const std::lock_guard lock(mutex_);
    if (watch_.Changed()) {
      try {
        newest_ = Load(files_);
        watch_.Accepted();
      } catch (const std::exception& error) {
        // What the failure left in the thread's queue of errors would fail
        // the handshake that goes on.
        ERR_clear_error();
        watch_.Refused(error.what());
      }
    }
    return newest_;
  }
};

ListenerTls::ListenerTls(const TlsFiles& aFiles)
  : content_(new Content{ aFiles, {}, TlsFileWatch(aFiles), Load(aFiles) })
{
}

ListenerTls::~ListenerTls() = default;

// The library makes a context for each connection and has it set up here.
// Reading the files each time costs a parse a connection and fails while only
// one of two files is replaced, so that the handshake takes a loaded context.
void
ListenerTls::Prepare(ssl::context& aConnection)
{
  static const int index =
    SSL_CTX_get_ex_new_index(0, nullptr, nullptr, nullptr, FreeLoaded);
  SetRules(aConnection, content_->files_);
  auto loaded = std::make_unique<ContextPtr>(content_->Newest());
  SSL_CTX* const raw = aConnection.native_handle();
  SSL_CTX_set_cert_cb(raw, OnCertificate, loaded.get());
  // Freed with the connection's context.
  SSL_CTX_set_ex_data(raw, index, loaded.release());
}

} // namespace crocusslip::transport
