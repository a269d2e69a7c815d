// SPDX-License-Identifier: MIT
#include "store/etcd_client.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "base/json.h"
#include "net/http_client.h"
#include "store/base64.h"

namespace valeledge::store {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using base::result_code;

// The end of the range that holds every key with this prefix.
std::string PrefixEnd(std::string prefix) {
  ++prefix.back();
  return prefix;
}

json::object EncodeOperation(const kv_operation& operation);

json::object EncodeTransaction(const kv_transaction& transaction) {
  json::array compares;
  for (const kv_compare& each : transaction.conditions) {
    const bool created = each.what == kv_compare::target::kCreateRevision;
    json::object compare;
    compare["key"] = EncodeBase64(each.key);
    compare["result"] = "EQUAL";
    compare["target"] = created ? "CREATE" : "MOD";
    compare[created ? "create_revision" : "mod_revision"] =
        std::to_string(each.revision);
    compares.push_back(std::move(compare));
  }
  json::array success;
  for (const kv_operation& each : transaction.on_success)
    success.push_back(EncodeOperation(each));
  json::array failure;
  for (const kv_operation& each : transaction.on_failure)
    failure.push_back(EncodeOperation(each));
  return {{"compare", std::move(compares)},
          {"success", std::move(success)},
          {"failure", std::move(failure)}};
}

json::object EncodeOperation(const kv_operation& operation) {
  using enum kv_operation::kind;
  if (operation.what == kTransaction)
    return {{"request_txn", EncodeTransaction(*operation.nested)}};
  json::object body;
  body["key"] = EncodeBase64(operation.key);
  switch (operation.what) {
    case kPut:
      body["value"] = EncodeBase64(operation.value);
      if (operation.lease != 0)
        body["lease"] = std::to_string(operation.lease);
      return {{"request_put", std::move(body)}};
    case kDelete:
      return {{"request_delete_range", std::move(body)}};
    case kGetPrefix:
      body["range_end"] = EncodeBase64(PrefixEnd(operation.key));
      break;
    case kGet:
    case kTransaction:
      break;
  }
  if (operation.min_mod_revision != 0)
    body["min_mod_revision"] = std::to_string(operation.min_mod_revision);
  return {{"request_range", std::move(body)}};
}

kv_pair DecodePair(const json::object& object) {
  kv_pair pair;
  pair.key = DecodeBase64(base::StringField(object, "key")).value_or("");
  pair.value = DecodeBase64(base::StringField(object, "value")).value_or("");
  pair.create_revision = base::IntegerField(object, "create_revision");
  pair.mod_revision = base::IntegerField(object, "mod_revision");
  pair.lease = base::IntegerField(object, "lease");
  return pair;
}

std::vector<kv_operation_result> DecodeResponses(const json::object& object) {
  std::vector<kv_operation_result> out;
  const json::array* responses = base::ArrayField(object, "responses");
  if (responses == nullptr)
    return out;
  for (const json::value& response : *responses) {
    kv_operation_result result;
    const json::object* fields = response.if_object();
    const json::object* range =
        fields ? base::ObjectField(*fields, "response_range") : nullptr;
    const json::object* nested =
        fields ? base::ObjectField(*fields, "response_txn") : nullptr;
    const json::array* pairs =
        range ? base::ArrayField(*range, "kvs") : nullptr;
    if (pairs != nullptr) {
      for (const json::value& pair : *pairs) {
        if (pair.is_object())
          result.pairs.push_back(DecodePair(pair.get_object()));
      }
    }
    if (nested != nullptr) {
      result.succeeded = base::BoolField(*nested, "succeeded");
      result.nested = DecodeResponses(*nested);
    }
    out.push_back(std::move(result));
  }
  return out;
}

std::vector<kv_event> DecodeEvents(const json::array& events) {
  std::vector<kv_event> out;
  for (const json::value& each : events) {
    const json::object* fields = each.if_object();
    const json::object* pair =
        fields ? base::ObjectField(*fields, "kv") : nullptr;
    if (pair == nullptr)
      continue;
    const bool deleted = base::StringField(*fields, "type") == "DELETE";
    out.push_back({DecodePair(*pair), deleted});
  }
  return out;
}

}  // namespace

struct etcd_client::state {
  state(asio::io_context& context,
        kv_client_settings settings_in,
        base::metrics* counts_in)
      : http(context), settings(std::move(settings_in)), counts(counts_in) {}

  void Count(std::string_view kind) {
    if (counts != nullptr)
      counts->Counter("valeledge_platform_calls_total", kind).Add();
  }

  asio::awaitable<base::result<json::object>> Call(std::string_view kind,
                                                   std::string_view path,
                                                   json::object body);

  net::http_client http;
  kv_client_settings settings;
  base::metrics* counts;
  std::optional<base::time_point> heard;
};

asio::awaitable<base::result<json::object>> etcd_client::state::Call(
    std::string_view kind,
    std::string_view path,
    json::object body) {
  Count(kind);
  auto request = net::MakeRequest(boost::beast::http::verb::post, path,
                                  json::serialize(body));
  std::function<void()> on_part = [this] {
    heard = std::chrono::steady_clock::now();
  };
  const auto answer = co_await http.FetchLarge(
      settings.service, std::move(request), {settings.timeout, kLongestAnswer},
      std::move(on_part));
  if (!answer)
    co_return tl::make_unexpected(AsPlatformError(answer.error()));
  auto object = base::ParseJsonObject(answer->body());
  if (answer->result_int() != 200 || !object) {
    co_return base::Unknown(result_code::kPlatformAnswerLost,
                            "the key-value service answered " +
                                std::to_string(answer->result_int()) + ": " +
                                answer->body());
  }
  co_return std::move(*object);
}

etcd_client::etcd_client(asio::io_context& context,
                         kv_client_settings settings,
                         base::metrics* counts)
    : state_(std::make_unique<state>(context, std::move(settings), counts)) {}

etcd_client::~etcd_client() = default;

std::optional<base::time_point> etcd_client::HeardAt() const {
  return state_->heard;
}

std::int64_t etcd_client::bytes() const {
  return state_->http.bytes();
}

asio::awaitable<base::result<kv_transaction_result>> etcd_client::Run(
    kv_transaction transaction) {
  const bool reads_only =
      transaction.conditions.empty() &&
      std::ranges::all_of(transaction.on_success, [](const auto& each) {
        return each.what == kv_operation::kind::kGet ||
               each.what == kv_operation::kind::kGetPrefix;
      });
  json::object body = EncodeTransaction(transaction);
  auto answer = co_await state_->Call(reads_only ? "read" : "write",
                                      "/v3/kv/txn", std::move(body));
  if (!answer)
    co_return tl::make_unexpected(answer.error());
  kv_transaction_result result;
  result.succeeded = base::BoolField(*answer, "succeeded");
  if (const json::object* header = base::ObjectField(*answer, "header"))
    result.revision = base::IntegerField(*header, "revision");
  result.results = DecodeResponses(*answer);
  co_return result;
}

asio::awaitable<base::result<std::int64_t>> etcd_client::GrantLease(
    std::chrono::seconds length) {
  json::object body;
  body["TTL"] = std::to_string(length.count());
  auto answer =
      co_await state_->Call("lease", "/v3/lease/grant", std::move(body));
  if (!answer)
    co_return tl::make_unexpected(answer.error());
  co_return base::IntegerField(*answer, "ID");
}

asio::awaitable<base::result<void>> etcd_client::KeepLease(std::int64_t lease) {
  json::object body;
  body["ID"] = std::to_string(lease);
  auto answer =
      co_await state_->Call("lease", "/v3/lease/keepalive", std::move(body));
  if (!answer)
    co_return tl::make_unexpected(answer.error());
  const json::object* result = base::ObjectField(*answer, "result");
  if (result == nullptr || base::IntegerField(*result, "TTL") <= 0) {
    co_return base::NotRun(result_code::kLeaseLost, "the lease has lapsed");
  }
  co_return base::result<void>();
}

asio::awaitable<base::result<void>> etcd_client::RevokeLease(
    std::int64_t lease) {
  json::object body;
  body["ID"] = std::to_string(lease);
  auto answer =
      co_await state_->Call("lease", "/v3/lease/revoke", std::move(body));
  if (!answer)
    co_return tl::make_unexpected(answer.error());
  co_return base::result<void>();
}

asio::awaitable<base::result<kv_changes>> etcd_client::AwaitChange(
    std::string prefix,
    std::int64_t from,
    std::chrono::microseconds longest) {
  state_->Count("watch");
  json::object create;
  create["key"] = EncodeBase64(prefix);
  create["range_end"] = EncodeBase64(PrefixEnd(prefix));
  create["start_revision"] = std::to_string(from);
  const json::object body = {{"create_request", std::move(create)}};
  auto request = net::MakeRequest(boost::beast::http::verb::post, "/v3/watch",
                                  json::serialize(body));
  const net::open_limit limit{state_->settings.timeout,
                              state_->settings.timeout};
  const auto opened =
      co_await state_->http.Open(state_->settings.service, std::move(request),
                                 limit, net::connection_use::kFresh);
  if (!opened)
    co_return tl::make_unexpected(AsPlatformError(opened.error()));
  const auto deadline = std::chrono::steady_clock::now() + longest;
  std::string pending;
  while (true) {
    const auto left = std::chrono::duration_cast<std::chrono::microseconds>(
        deadline - std::chrono::steady_clock::now());
    if (left.count() <= 0)
      co_return kv_changes();
    const auto piece = co_await (*opened)->ReadSome(left);
    const bool waited_out = std::chrono::steady_clock::now() >= deadline;
    if (!piece && waited_out)
      co_return kv_changes();
    if (!piece || piece->empty()) {
      co_return base::NotRun(result_code::kPlatformUnavailable,
                             "the watch ended");
    }
    if (!(*opened)->Append(pending, *piece, net::kMaxAnswerBytes)) {
      co_return base::NotRun(result_code::kPlatformUnavailable,
                             "the watch sent a change that is too large");
    }
    const std::size_t end = pending.find('\n');
    if (end == std::string::npos)
      continue;
    const auto message = base::ParseJsonObject(pending.substr(0, end));
    pending.erase(0, end + 1);
    const json::object* result =
        message ? base::ObjectField(*message, "result") : nullptr;
    if (result == nullptr || base::ArrayField(*result, "events") == nullptr)
      continue;
    const json::object* header = base::ObjectField(*result, "header");
    kv_changes changes;
    changes.revision =
        header == nullptr ? from : base::IntegerField(*header, "revision");
    changes.events = DecodeEvents(*base::ArrayField(*result, "events"));
    co_return changes;
  }
}

}  // namespace valeledge::store
