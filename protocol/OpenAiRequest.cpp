#include "protocol/OpenAiRequest.hpp"

#include "core/Hash.hpp"

#include <nlohmann/json.hpp>

namespace crocusslip::protocol {

namespace {

using nlohmann::json;

constexpr std::size_t kBlockBytes = 256;
constexpr std::size_t kMostBlocks = 64;

bool
IsDeterministic(const json& aBody)
{
  const auto seed = aBody.find("seed");
  const auto temperature = aBody.find("temperature");
  const bool seeded = seed != aBody.end() && seed->is_number_integer();
  const bool greedy = temperature != aBody.end() && temperature->is_number() &&
                      temperature->get<double>() == 0.0;
  return seeded || greedy;
}

core::Error
Invalid(const char* aDetail)
{
  return { make_error_code(core::Errc::InvalidInput), aDetail };
}

std::string
PromptText(const json& aBody)
{
  const auto prompt = aBody.find("prompt");
  if (prompt != aBody.end() && prompt->is_string()) {
    return prompt->get<std::string>();
  }
  std::string text;
  const auto messages = aBody.find("messages");
  if (messages == aBody.end() || !messages->is_array()) {
    return text;
  }
  for (const json& message : *messages) {
    if (message.is_object() && message.contains("content") &&
        message["content"].is_string()) {
      text += message["content"].get<std::string>() + "\n";
    }
  }
  return text;
}

std::vector<std::uint64_t>
BlocksOf(std::string_view aText)
{
  std::vector<std::uint64_t> blocks;
  std::uint64_t hash = 0;
  for (std::size_t begin = 0;
       begin + kBlockBytes <= aText.size() && blocks.size() < kMostBlocks;
       begin += kBlockBytes) {
    hash = core::Hash64(aText.substr(begin, kBlockBytes), hash);
    blocks.push_back(hash);
  }
  return blocks;
}

} // namespace

core::Result<OpenAiRequest>
ReadOpenAiRequest(std::string_view aBody)
{
  const json body = json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    return Invalid("the body is not a JSON object");
  }
  const auto model = body.find("model");
  if (model == body.end() || !model->is_string()) {
    return Invalid("\"model\" must be a string");
  }
  OpenAiRequest request;
  request.model_ = core::DeploymentId(model->get<std::string>());
  const auto stream = body.find("stream");
  if (stream != body.end()) {
    if (!stream->is_boolean()) {
      return Invalid("\"stream\" must be true or false");
    }
    request.stream_ = stream->get<bool>();
  }
  request.deterministic_ = IsDeterministic(body);
  request.prefixBlocks_ = BlocksOf(PromptText(body));
  return request;
}

} // namespace crocusslip::protocol
