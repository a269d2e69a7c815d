// SPDX-License-Identifier: MIT
#include "scheduler/process/claim_batcher.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/identifier.h"
#include "base/json.h"
#include "base/logging.h"
#include "store/constants.h"

namespace valeledge::scheduler {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using base::result_code;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// A store lease is attached to new claims for this part of the retention
// (1/24). It outlasts the retention by that time, so that its last claims are
// retained long enough too.
constexpr int kLeasesPerRetention = 24;

std::string KeyOf(const std::string& service,
                  const std::string& partner,
                  const std::string& idempotency_key) {
  // Hashed to bound the key's length for any text.
  const std::string text = partner + "\n" + idempotency_key;
  return std::string(store::kClaimPrefix) + service + "/" +
         std::to_string(base::StableHash(text)) + "-" +
         std::to_string(base::StableHash(text, 1));
}

struct stored_claim {
  std::string claim_id;
  std::string digest;
  std::string state;
  claim_result result;
};

constexpr std::string_view kStateClaimed = "claimed";
constexpr std::string_view kStateAnswered = "answered";
constexpr std::string_view kStateNotKept = "answered, not kept";

std::string Encode(const stored_claim& claim) {
  json::object object;
  object["claim"] = claim.claim_id;
  object["digest"] = claim.digest;
  object["state"] = claim.state;
  if (claim.state == kStateAnswered) {
    object["status"] = claim.result.status;
    object["answer"] = claim.result.body;
    object["content_type"] = claim.result.content_type;
  }
  return json::serialize(object);
}

std::optional<stored_claim> Decode(const store::kv_pair& pair) {
  const auto object = base::ParseJsonObject(pair.value);
  if (!object)
    return std::nullopt;
  stored_claim claim;
  claim.claim_id = base::StringField(*object, "claim");
  claim.digest = base::StringField(*object, "digest");
  claim.state = base::StringField(*object, "state");
  claim.result.revision = pair.mod_revision;
  claim.result.recorded = claim.state == kStateAnswered;
  claim.result.status =
      static_cast<std::int32_t>(base::IntegerField(*object, "status"));
  claim.result.body = base::StringField(*object, "answer");
  claim.result.content_type = base::StringField(*object, "content_type");
  return claim;
}

// Returns the result of a new request for a claim that already exists.
base::result<claim_result> ResultOfExisting(
    const std::vector<store::kv_pair>& pairs,
    const claim_request& request) {
  const auto claim = pairs.empty() ? std::nullopt : Decode(pairs.front());
  if (!claim) {
    return base::NotRun(result_code::kClaimUnavailable,
                        "the claim could not be read");
  }
  if (claim->digest != request.digest) {
    return base::NotRun(result_code::kKeyReused,
                        "this Idempotency-Key was used for another request");
  }
  if (claim->result.recorded || claim->claim_id == request.claim_id)
    return claim->result;
  if (claim->state == kStateNotKept) {
    return base::Unknown(result_code::kAnswerNotKept,
                         "the call ran once; its response was not stored");
  }
  return base::Unknown(result_code::kClaimInProgress,
                       "an earlier submission under this key has no "
                       "response yet");
}

}  // namespace

struct claim_batcher::pending {
  explicit pending(asio::io_context& context)
      : done(context, asio::steady_timer::time_point::max()) {}

  std::string key;
  store::kv_transaction transaction;
  asio::steady_timer done;
  std::optional<base::result<store::kv_operation_result>> result;
};

claim_batcher::claim_batcher(asio::io_context& context,
                             store::kv_client& service,
                             const scheduler_settings& settings,
                             base::metrics& metrics)
    : context_(context),
      service_(service),
      settings_(settings),
      metrics_(metrics) {}

claim_batcher::~claim_batcher() = default;

asio::awaitable<bool> claim_batcher::EnsureLease() {
  const auto now = std::chrono::steady_clock::now();
  const auto rotation_interval =
      settings_.claim_retention / kLeasesPerRetention;
  if (lease_ != 0 && now < lease_until_)
    co_return true;
  // Only one coroutine requests the lease; concurrent ones wait for the result.
  asio::steady_timer timer(context_);
  while (granting_lease_) {
    timer.expires_after(std::chrono::milliseconds(1));
    co_await timer.async_wait(kAwait);
  }
  if (lease_ != 0 && now < lease_until_)
    co_return true;
  granting_lease_ = true;
  const auto granted =
      co_await service_.GrantLease(std::chrono::ceil<std::chrono::seconds>(
          settings_.claim_retention + rotation_interval));
  granting_lease_ = false;
  if (!granted)
    co_return false;
  lease_ = *granted;
  lease_until_ = now + rotation_interval;
  co_return true;
}

asio::awaitable<base::result<store::kv_operation_result>> claim_batcher::Write(
    std::string key,
    store::kv_transaction transaction) {
  auto entry = std::make_shared<pending>(context_);
  entry->key = std::move(key);
  entry->transaction = std::move(transaction);
  waiting_.push_back(entry);
  if (!std::exchange(writing_, true))
    asio::co_spawn(context_, WriteLoop(), asio::detached);
  while (!entry->result)
    co_await entry->done.async_wait(kAwait);
  co_return std::move(*entry->result);
}

// Operations on the same key must not share a write.
std::vector<std::shared_ptr<claim_batcher::pending>>
claim_batcher::TakeBatch() {
  std::vector<std::shared_ptr<pending>> batch;
  std::set<std::string> keys;
  std::deque<std::shared_ptr<pending>> remaining;
  const auto limit = static_cast<std::size_t>(settings_.claims_per_write);
  for (auto& each : waiting_) {
    const bool fits = batch.size() < limit && keys.insert(each->key).second;
    if (fits)
      batch.push_back(std::move(each));
    else
      remaining.push_back(std::move(each));
  }
  waiting_ = std::move(remaining);
  return batch;
}

asio::awaitable<void> claim_batcher::WriteLoop() {
  asio::steady_timer pause(context_);
  while (!waiting_.empty()) {
    const auto started = std::chrono::steady_clock::now();
    const auto batch = TakeBatch();
    store::kv_transaction combined;
    for (const auto& each : batch)
      combined.on_success.push_back(store::Nested(each->transaction));
    metrics_.Counter("valeledge_claim_writes_total").Add();
    metrics_.Counter("valeledge_claim_operations_total")
        .Add(static_cast<std::int64_t>(batch.size()));
    const auto written = co_await service_.Run(std::move(combined));
    const bool complete = written && written->results.size() == batch.size();
    for (std::size_t i = 0; i < batch.size(); ++i) {
      if (complete) {
        auto result = written->results[i];
        // A put has the revision of its transaction.
        if (result.pairs.empty()) {
          store::kv_pair revision;
          revision.mod_revision = written->revision;
          result.pairs.push_back(std::move(revision));
        }
        batch[i]->result = std::move(result);
      } else {
        batch[i]->result =
            written ? base::Unknown(result_code::kPlatformAnswerLost,
                                    "the store's response is incomplete")
                    : tl::make_unexpected(written.error());
      }
      batch[i]->done.cancel();
    }
    pause.expires_at(started + settings_.claim_interval);
    co_await pause.async_wait(kAwait);
  }
  writing_ = false;
}

asio::awaitable<base::result<claim_result>> claim_batcher::ReadBack(
    claim_request request) {
  const std::string key =
      KeyOf(request.service, request.partner, request.idempotency_key);
  store::kv_transaction query;
  query.on_success.push_back(store::Get(key));
  const auto read_result = co_await service_.Run(std::move(query));
  const bool found = read_result && !read_result->results.empty() &&
                     !read_result->results.front().pairs.empty();
  if (!found) {
    base::Log("claims", base::log_event::kClaimLost,
              {{"request", request.claim_id}});
    co_return base::NotRun(result_code::kClaimUnavailable,
                           "the claim could not be recorded");
  }
  co_return ResultOfExisting(read_result->results.front().pairs, request);
}

asio::awaitable<base::result<claim_result>> claim_batcher::Claim(
    claim_request request) {
  const bool has_lease = co_await EnsureLease();
  if (!has_lease) {
    co_return base::NotRun(result_code::kClaimUnavailable,
                           "the key-value service granted no lease");
  }
  const std::string key =
      KeyOf(request.service, request.partner, request.idempotency_key);
  stored_claim new_claim{
      request.claim_id, request.digest, std::string(kStateClaimed), {}};
  store::kv_transaction create;
  create.conditions.push_back(store::Absent(key));
  create.on_success.push_back(store::Put(key, Encode(new_claim), lease_));
  create.on_failure.push_back(store::Get(key));
  const auto written = co_await Write(key, std::move(create));
  if (!written) {
    if (written.error().what_ran == base::outcome::kUnknown)
      co_return co_await ReadBack(std::move(request));
    co_return base::NotRun(result_code::kClaimUnavailable,
                           written.error().message);
  }
  if (written->succeeded) {
    claim_result result;
    result.revision = written->pairs.front().mod_revision;
    co_return result;
  }
  co_return ResultOfExisting(written->nested.empty()
                                 ? std::vector<store::kv_pair>()
                                 : written->nested.front().pairs,
                             request);
}

asio::awaitable<base::result<void>> claim_batcher::Update(
    wire::claim_update update) {
  const std::string key =
      KeyOf(update.service_name, update.partner, update.idempotency_key);
  store::kv_transaction change;
  change.conditions.push_back(store::Unchanged(key, update.claim_revision));
  if (update.release) {
    change.on_success.push_back(store::Delete(key));
  } else {
    const auto max_bytes =
        static_cast<std::size_t>(settings_.kept_answer_bytes);
    const bool retained = update.answer.size() <= max_bytes;
    stored_claim completed{
        update.claim_id,
        update.digest,
        std::string(retained ? kStateAnswered : kStateNotKept),
        {}};
    completed.result.status = update.status;
    completed.result.body = std::move(update.answer);
    completed.result.content_type = std::move(update.content_type);
    change.on_success.push_back(store::Put(key, Encode(completed), lease_));
  }
  const auto written = co_await Write(key, std::move(change));
  if (!written)
    co_return tl::make_unexpected(written.error());
  if (!written->succeeded) {
    co_return base::NotRun(result_code::kRevisionConflict,
                           "the claim was changed concurrently");
  }
  co_return base::result<void>();
}

}  // namespace valeledge::scheduler
