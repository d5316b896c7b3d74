#pragma once

#include "transport/TlsFiles.hpp"

#include <memory>

namespace apache::thrift::transport {
class TSSLSocketFactory;
}

namespace crocusslip::transport {

/// Factory for mutual TLS between the system's own processes: both sides
/// present a certificate that the authority has signed.
std::shared_ptr<apache::thrift::transport::TSSLSocketFactory>
MakeRpcTls(const TlsFiles& aFiles, bool aServer);

} // namespace crocusslip::transport
