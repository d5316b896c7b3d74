#include "protocol/EngineDialect.hpp"

#include <nlohmann/json.hpp>

#include <charconv>

namespace crocusslip::protocol {

namespace {

using nlohmann::json;

/// Longest location of an export that is passed on.
constexpr std::size_t kLocationLimit = 2048;

std::optional<std::uint64_t>
Position(const std::string& aText)
{
  std::uint64_t value = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, value);
  if (parsed.ptr != end || parsed.ec != std::errc()) {
    return std::nullopt;
  }
  return value;
}

HttpRequest
PostJson(std::string aPath, const json& aBody)
{
  HttpRequest request;
  request.method_ = "POST";
  request.path_ = std::move(aPath);
  request.headers_.Set("Content-Type", "application/json");
  request.body_ = aBody.dump();
  return request;
}

} // namespace

HttpRequest
RepositoryDialect::Resume(const std::string& aResumeId,
                          std::uint64_t aFrom) const
{
  HttpRequest request;
  request.method_ = "GET";
  request.path_ = "/v1/streams/" + aResumeId;
  request.headers_.Set("Accept", "text/event-stream");
  request.headers_.Set(kLastEventHeader, std::to_string(aFrom));
  return request;
}

HttpRequest
RepositoryDialect::Export(const std::string& aGenerationId,
                          std::uint64_t aTokens) const
{
  return PostJson("/v1/streams/" + aGenerationId + "/export",
                  { { "max_tokens", aTokens } });
}

HttpRequest
RepositoryDialect::Import(const core::DeploymentId& aDeployment,
                          const std::string& aLocation) const
{
  return PostJson(
    "/v1/streams/import",
    { { "model", aDeployment.Value() }, { "export", aLocation } });
}

std::optional<StreamOffer>
RepositoryDialect::ReadStreamHead(const HttpResponse& aHead) const
{
  StreamOffer offer;
  const auto generation = aHead.headers_.Find(kGenerationHeader);
  const auto from = Position(aHead.headers_.Find(kFromHeader).value_or("0"));
  if (!generation || generation->empty() || !from) {
    return std::nullopt;
  }
  offer.generationId_ = *generation;
  offer.modelRevision_ = aHead.headers_.Find(kRevisionHeader).value_or("");
  offer.resumeId_ = aHead.headers_.Find(kResumeHeader).value_or("");
  offer.exports_ = aHead.headers_.Find(kKvExportHeader) == "1";
  offer.from_ = *from;
  return offer;
}

std::optional<KvExport>
RepositoryDialect::ReadExport(const HttpResponse& aResponse) const
{
  if (aResponse.status_ != 200) {
    return std::nullopt;
  }
  const json body = json::parse(aResponse.body_, nullptr, false);
  if (!body.is_object()) {
    return std::nullopt;
  }
  const auto location = body.find("export");
  const auto tokens = body.find("tokens");
  if (location == body.end() || !location->is_string() ||
      tokens == body.end() || !tokens->is_number_unsigned()) {
    return std::nullopt;
  }
  KvExport result{ location->get<std::string>(), tokens->get<std::uint64_t>() };
  if (result.location_.empty() || result.location_.size() > kLocationLimit) {
    return std::nullopt;
  }
  return result;
}

} // namespace crocusslip::protocol
