#include "transport/RpcTls.hpp"

#include "transport/TlsReload.hpp"

#include <openssl/err.h>
#include <thrift/transport/TSSLSocket.h>

#include <utility>

namespace crocusslip::transport {

namespace {

namespace thrift = apache::thrift::transport;

/// The authority is the project's own and signs only its processes, so that
/// any certificate of it is a peer; hosts are known by address, not by name.
class AnySignedPeer final : public thrift::AccessManager
{
public:
  Decision verify(const sockaddr_storage&) noexcept override { return ALLOW; }
  Decision verify(const std::string&, const char*, int) noexcept override
  {
    return ALLOW;
  }
  Decision verify(const sockaddr_storage&, const char*, int) noexcept override
  {
    return ALLOW;
  }
};

/// Makes each accepted connection from the files as they are then. A socket
/// keeps the context it was made with.
class ReloadingFactory final : public thrift::TSSLSocketFactory
{
public:
  explicit ReloadingFactory(TlsFiles aFiles)
    : thrift::TSSLSocketFactory(thrift::TLSv1_2)
    , files_(std::move(aFiles))
    , watch_(files_)
  {
    access(std::make_shared<AnySignedPeer>());
    Load();
  }

  using thrift::TSSLSocketFactory::createSocket;

  std::shared_ptr<thrift::TSSLSocket> createSocket(
    THRIFT_SOCKET aSocket) override
  {
    Refresh();
    return thrift::TSSLSocketFactory::createSocket(aSocket);
  }

  std::shared_ptr<thrift::TSSLSocket> createSocket(
    THRIFT_SOCKET aSocket,
    std::shared_ptr<THRIFT_SOCKET> aInterrupt) override
  {
    Refresh();
    return thrift::TSSLSocketFactory::createSocket(aSocket,
                                                   std::move(aInterrupt));
  }

private:
  void Load()
  {
    loadCertificate(files_.certificate_.c_str());
    loadPrivateKey(files_.key_.c_str());
    loadTrustedCertificates(files_.authority_.c_str());
    authenticate(true);
    if (SSL_CTX_check_private_key(ctx_->get()) != 1) {
      throw thrift::TSSLException("the key is not the certificate's");
    }
  }

  // Runs on the thread that accepts, and on no other.
  void Refresh()
  {
    if (!watch_.Changed()) {
      return;
    }
    const auto before = ctx_;
    try {
      ctx_ = std::make_shared<thrift::SSLContext>(thrift::TLSv1_2);
      Load();
      watch_.Accepted();
    } catch (const std::exception& error) {
      ctx_ = before;
      ERR_clear_error();
      watch_.Refused(error.what());
    }
  }

  const TlsFiles files_;
  TlsFileWatch watch_;
};

} // namespace

std::shared_ptr<thrift::TSSLSocketFactory>
MakeRpcTls(const TlsFiles& aFiles, bool aServer)
{
  auto factory = std::make_shared<ReloadingFactory>(aFiles);
  factory->server(aServer);
  return factory;
}

} // namespace crocusslip::transport
