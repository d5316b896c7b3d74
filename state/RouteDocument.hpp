#pragma once

#include "state/Answer.hpp"
#include "state/Command.hpp"

#include <cstdint>
#include <string>

namespace crocusslip::state {

class SnapshotReader;
class SnapshotWriter;

/// The newest table of routes that operators have published. A version that is
/// not higher than the held one changes nothing.
class RouteDocument
{
public:
  PublishAnswer Publish(const PublishRoutes& aCommand);
  /// 0 before the first table.
  std::uint64_t Version() const { return version_; }
  const std::string& Text() const { return text_; }

  void Write(SnapshotWriter& aWriter) const;
  void Read(SnapshotReader& aReader);

private:
  std::uint64_t version_ = 0;
  std::string text_;
};

} // namespace crocusslip::state
