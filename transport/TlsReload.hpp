#pragma once

#include "transport/TlsFiles.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace boost::asio::ssl {
class context;
}

/// Certificates that are replaced on disk are taken up by new connections;
/// connections that stand keep the ones they began with.
namespace crocusslip::transport {

/// Identity, size and time of change of the files, to notice a replacement.
class TlsFileStamp
{
public:
  static TlsFileStamp Of(const TlsFiles& aFiles);

  friend bool operator==(const TlsFileStamp&, const TlsFileStamp&) = default;

private:
  std::vector<std::int64_t> values_;
};

/// Whether files that have changed may be used, and the log lines about it.
class TlsFileWatch
{
public:
  explicit TlsFileWatch(TlsFiles aFiles);

  /// True when the files differ from those last accepted or refused.
  bool Changed();
  /// Call after Changed: whether the new files were loaded, or why not.
  void Accepted();
  void Refused(const std::string& aReason);

private:
  const TlsFiles files_;
  TlsFileStamp seen_;
};

/// The files of an HTTP listener, read once and again after each change.
class ListenerTls
{
public:
  /// Throws when the files can't be loaded.
  explicit ListenerTls(const TlsFiles& aFiles);
  ~ListenerTls();
  ListenerTls(const ListenerTls&) = delete;
  ListenerTls& operator=(const ListenerTls&) = delete;

  /// Sets up the context of one accepted connection.
  void Prepare(boost::asio::ssl::context& aConnection);

private:
  struct Content;
  std::unique_ptr<Content> content_;
};

} // namespace crocusslip::transport
