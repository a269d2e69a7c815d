// SPDX-License-Identifier: MIT
// Short ways to read fields of a Boost.JSON object that may be missing.
#ifndef VALELEDGE_BASE_JSON_H_
#define VALELEDGE_BASE_JSON_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <boost/json.hpp>

namespace valeledge::base {

// Deepest nesting that is read from anyone.
inline constexpr std::size_t kMaxJsonDepth = 32;

// The object in `text`; nothing if `text` is anything else.
std::optional<boost::json::object> ParseJsonObject(std::string_view text);

// The string under `key`, or `fallback`.
std::string StringField(const boost::json::object& object,
                        std::string_view key,
                        std::string_view fallback = {});

// The whole number under `key`, written as a number or (as etcd does) as a
// string, or `fallback`.
std::int64_t IntegerField(const boost::json::object& object,
                          std::string_view key,
                          std::int64_t fallback = 0);

// The truth value under `key`, or `fallback`.
bool BoolField(const boost::json::object& object,
               std::string_view key,
               bool fallback = false);

// The array under `key`; null if there is none.
const boost::json::array* ArrayField(const boost::json::object& object,
                                     std::string_view key);

// The object under `key`; null if there is none.
const boost::json::object* ObjectField(const boost::json::object& object,
                                       std::string_view key);

}  // namespace valeledge::base

#endif  // VALELEDGE_BASE_JSON_H_
