// SPDX-License-Identifier: MIT
#include "base/json.h"

#include <charconv>

namespace valeledge::base {

namespace json = boost::json;

std::optional<json::object> ParseJsonObject(std::string_view text) {
  json::parse_options options;
  options.max_depth = kMaxJsonDepth;
  json::error_code failed;
  json::value value = json::parse(text, failed, {}, options);
  if (failed || !value.is_object())
    return std::nullopt;
  return std::move(value.get_object());
}

std::string StringField(const json::object& object,
                        std::string_view key,
                        std::string_view fallback) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr || !value->is_string())
    return std::string(fallback);
  return std::string(value->get_string());
}

std::int64_t IntegerField(const json::object& object,
                          std::string_view key,
                          std::int64_t fallback) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr)
    return fallback;
  if (value->is_string()) {
    const json::string& text = value->get_string();
    std::int64_t number = fallback;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
  }
  boost::system::error_code failed;
  const auto number = value->to_number<std::int64_t>(failed);
  return failed ? fallback : number;
}

bool BoolField(const json::object& object,
               std::string_view key,
               bool fallback) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr || !value->is_bool())
    return fallback;
  return value->get_bool();
}

const json::array* ArrayField(const json::object& object,
                              std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value == nullptr ? nullptr : value->if_array();
}

const json::object* ObjectField(const json::object& object,
                                std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value == nullptr ? nullptr : value->if_object();
}

}  // namespace valeledge::base
