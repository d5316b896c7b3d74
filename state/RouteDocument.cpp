#include "state/RouteDocument.hpp"

#include "state/SnapshotCodec.hpp"

namespace crocusslip::state {

PublishAnswer
RouteDocument::Publish(const PublishRoutes& aCommand)
{
  if (aCommand.version_ <= version_) {
    return { false, version_ };
  }
  version_ = aCommand.version_;
  text_ = aCommand.document_;
  return { true, version_ };
}

void
RouteDocument::Write(SnapshotWriter& aWriter) const
{
  aWriter.Number(version_);
  aWriter.Text(text_);
}

void
RouteDocument::Read(SnapshotReader& aReader)
{
  version_ = aReader.Number();
  text_ = aReader.Text();
}

} // namespace crocusslip::state
