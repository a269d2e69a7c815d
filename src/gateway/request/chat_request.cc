// SPDX-License-Identifier: MIT
#include "gateway/request/chat_request.h"

#include <algorithm>
#include <charconv>

#include "base/duration.h"
#include "base/identifier.h"
#include "base/json.h"
#include "gateway/constants.h"

namespace valeledge::gateway {

namespace {

namespace json = boost::json;
using base::result_code;

constexpr std::int64_t kMaxTokens = 1'000'000;

std::string UnknownModel(const table::snapshot& table,
                         const std::string& name) {
  std::string message = "there is no model or adapter \"" + name + "\"";
  auto similar = table::NearNames(table, table::row_kind::kModel, name);
  const auto adapters =
      table::NearNames(table, table::row_kind::kAdapter, name);
  similar.insert(similar.end(), adapters.begin(), adapters.end());
  for (std::size_t i = 0; i < similar.size(); ++i)
    message.append(i == 0 ? "; similar names: " : ", ").append(similar[i]);
  return message;
}

// Returns the text that is hashed to detect conversations with a common prefix.
std::string PrefixOf(const json::array& messages) {
  std::string text;
  for (const json::value& each : messages) {
    if (!each.is_object())
      continue;
    text.append(base::StringField(each.get_object(), "role")).push_back('|');
    text.append(base::StringField(each.get_object(), "content"));
    if (text.size() >= kPrefixCharacters)
      break;
  }
  text.resize(std::min(text.size(), kPrefixCharacters));
  return text;
}

}  // namespace

std::chrono::microseconds Remaining(const request_common& common) {
  return std::chrono::duration_cast<std::chrono::microseconds>(
      common.deadline - std::chrono::steady_clock::now());
}

base::result<request_common> ReadCommon(const net::http_request& request,
                                        const gateway_settings& settings,
                                        const table::row& row) {
  request_common common;
  common.id = base::NewIdentifier();
  common.partner = row.partner;
  common.model = row.name;
  common.unit = table::KeyOf(row);
  const auto target = request.target();
  common.digest = base::StableHash({target.data(), target.size()},
                                   base::StableHash(row.partner));
  common.digest = base::StableHash(request.body(), common.digest);
  common.priority = static_cast<std::int32_t>(row.priority);
  common.started = std::chrono::steady_clock::now();
  auto time = settings.deadline;
  const auto deadline = request.find(kDeadlineField);
  if (deadline != request.end()) {
    const auto requested = base::ParseDuration(
        std::string_view(deadline->value().data(), deadline->value().size()));
    if (!requested || requested->count() == 0) {
      return base::NotRun(result_code::kBadRequest,
                          "Valeledge-Deadline is not a duration such as 30s");
    }
    time = std::min(*requested, settings.longest_deadline);
  }
  common.deadline = common.started + time;
  common.grant_timeout = row.kind == table::row_kind::kModel
                             ? std::chrono::microseconds(row.first_token)
                             : kServiceGrantTimeout;
  const auto priority = request.find(kPriorityField);
  if (priority != request.end()) {
    const auto text = priority->value();
    if (text.size() != 1 || text[0] < '0' || text[0] > '9') {
      return base::NotRun(result_code::kBadRequest,
                          "Valeledge-Priority is not a digit from 0 to 9");
    }
    // Callers can lower the priority, but not raise it above that of the row;
    // smaller numbers are higher priorities.
    common.priority = std::max(common.priority, text[0] - '0');
  }
  return common;
}

base::result<chat_request> ParseChatRequest(const net::http_request& request,
                                            const gateway_settings& settings,
                                            const table::snapshot& table) {
  auto body = base::ParseJsonObject(request.body());
  if (!body)
    return base::NotRun(result_code::kBadRequest,
                        "the body is not a JSON object");
  const std::string name = base::StringField(*body, "model");
  const json::array* messages = base::ArrayField(*body, "messages");
  if (name.empty() || messages == nullptr || messages->empty()) {
    return base::NotRun(result_code::kBadRequest,
                        "the body needs \"model\" and a list \"messages\"");
  }
  const table::row* adapter = table.Find(table::row_kind::kAdapter, name);
  const table::row* model = table.Find(
      table::row_kind::kModel, adapter == nullptr ? name : adapter->base);
  if (model == nullptr)
    return base::NotRun(result_code::kUnknownModel, UnknownModel(table, name));
  auto common = ReadCommon(request, settings, *model);
  if (!common)
    return tl::make_unexpected(common.error());
  if (adapter != nullptr)
    common->unit = table::KeyOf(*adapter);
  chat_request out;
  out.common = std::move(*common);
  out.stream = base::BoolField(*body, "stream");
  const std::int64_t tokens =
      base::IntegerField(*body, "max_tokens", kDefaultMaxTokens);
  if (tokens < 1 || tokens > kMaxTokens) {
    return base::NotRun(result_code::kBadRequest,
                        "\"max_tokens\" is not between 1 and 1000000");
  }
  out.max_tokens = static_cast<std::int32_t>(tokens);
  out.prefix_hash = static_cast<std::int64_t>(
      base::StableHash(PrefixOf(*messages), base::StableHash(name)));
  out.body = std::move(*body);
  return out;
}

}  // namespace valeledge::gateway
