#pragma once

#include "core/Error.hpp"
#include "core/StrongId.hpp"
#include "core/Units.hpp"
#include "state/JsonNumber.hpp"

#include <map>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include <nlohmann/json.hpp>

/// JSON of the structs in protocol/AdminMessages.hpp. A reader ignores fields
/// that it does not know and keeps the default of a missing one.
namespace crocusslip::protocol {

namespace adminjson {

template<typename Message>
nlohmann::json
Write(Message& aMessage);

class Writer
{
public:
  template<typename Value>
  void operator()(const char* aName, Value& aValue)
  {
    object_[aName] = Convert(aValue);
  }

  nlohmann::json Take() { return std::move(object_); }

private:
  template<typename Tag>
  static nlohmann::json Convert(core::StrongId<Tag>& aId)
  {
    return aId.Value();
  }
  template<typename Tag, typename Rep>
  static nlohmann::json Convert(core::StrongNumber<Tag, Rep>& aNumber)
  {
    return aNumber.Value();
  }
  static nlohmann::json Convert(core::Bytes& aBytes) { return aBytes.Count(); }
  static nlohmann::json Convert(std::map<std::string, std::string>& aTexts)
  {
    return aTexts;
  }
  template<typename Item>
  static nlohmann::json Convert(std::vector<Item>& aItems)
  {
    nlohmann::json array = nlohmann::json::array();
    for (Item& item : aItems) {
      array.push_back(Convert(item));
    }
    return array;
  }
  template<typename Value>
  static nlohmann::json Convert(Value& aValue)
  {
    if constexpr (std::is_arithmetic_v<Value> ||
                  std::is_same_v<Value, std::string>) {
      return aValue;
    } else {
      return Write(aValue);
    }
  }

  nlohmann::json object_ = nlohmann::json::object();
};

class Reader
{
public:
  explicit Reader(const nlohmann::json& aObject)
    : object_(aObject)
  {
  }

  template<typename Value>
  void operator()(const char* aName, Value& aValue)
  {
    const auto found = object_.find(aName);
    if (found != object_.end()) {
      Convert(*found, aValue);
    }
  }

private:
  template<typename Tag>
  static void Convert(const nlohmann::json& aJson, core::StrongId<Tag>& aId)
  {
    aId = core::StrongId<Tag>(aJson.get<std::string>());
  }
  template<typename Tag, typename Rep>
  static void Convert(const nlohmann::json& aJson,
                      core::StrongNumber<Tag, Rep>& aNumber)
  {
    aNumber = core::StrongNumber<Tag, Rep>(state::UnsignedIn<Rep>(aJson));
  }
  static void Convert(const nlohmann::json& aJson, core::Bytes& aBytes)
  {
    aBytes = core::Bytes(state::UnsignedIn<std::uint64_t>(aJson));
  }
  static void Convert(const nlohmann::json& aJson,
                      std::map<std::string, std::string>& aTexts)
  {
    aTexts = aJson.get<std::map<std::string, std::string>>();
  }
  template<typename Item>
  static void Convert(const nlohmann::json& aJson, std::vector<Item>& aItems)
  {
    for (const nlohmann::json& json : aJson) {
      Convert(json, aItems.emplace_back());
    }
  }
  template<typename Value>
  static void Convert(const nlohmann::json& aJson, Value& aValue)
  {
    if constexpr (std::is_same_v<Value, bool> ||
                  std::is_same_v<Value, std::string>) {
      aValue = aJson.get<Value>();
    } else if constexpr (std::is_arithmetic_v<Value>) {
      aValue = state::UnsignedIn<Value>(aJson);
    } else {
      Reader reader(aJson);
      aValue.Fields(reader);
    }
  }

  const nlohmann::json& object_;
};

template<typename Message>
nlohmann::json
Write(Message& aMessage)
{
  Writer writer;
  aMessage.Fields(writer);
  return writer.Take();
}

} // namespace adminjson

template<typename Message>
std::string
ToJson(Message aMessage)
{
  return adminjson::Write(aMessage).dump(
    -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// Errc::InvalidInput when the text is not such a message.
template<typename Message>
core::Result<Message>
FromJson(std::string_view aText)
{
  try {
    const nlohmann::json json = nlohmann::json::parse(aText);
    if (!json.is_object()) {
      return core::Error{ core::Errc::InvalidInput, "not a JSON object" };
    }
    Message message;
    adminjson::Reader reader(json);
    message.Fields(reader);
    return message;
  } catch (const nlohmann::json::exception& error) {
    return core::Error{ core::Errc::InvalidInput, error.what() };
  }
}

} // namespace crocusslip::protocol
