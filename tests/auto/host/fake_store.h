// SPDX-License-Identifier: MIT
// In-memory key-value store for tests with keys, revisions and watches, which
// fails on demand. Watches respond to a change at once.
#ifndef VALELEDGE_TESTS_AUTO_HOST_FAKE_STORE_H_
#define VALELEDGE_TESTS_AUTO_HOST_FAKE_STORE_H_

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "store/kv_client.h"

namespace valeledge::test {

class fake_store : public store::kv_client {
 public:
  explicit fake_store(boost::asio::io_context& context) : changed_(context) {
    changed_.expires_at(std::chrono::steady_clock::time_point::max());
  }

  // If set, all calls fail.
  bool down = false;
  // If set, leases are granted. Revoking a lease removes its keys.
  bool grants_leases = false;
  // Number of transactions without conditions so far.
  int reads = 0;
  // Number of writes that are executed but whose responses are lost.
  int responses_to_lose = 0;
  // If set, responses to watches or reads are held until this is cleared and
  // Wake is called.
  bool holds_watch_responses = false;
  bool holds_read_responses = false;
  // Number of responses that are held.
  int held_responses = 0;
  // When the first part of a pending response was received.
  std::optional<base::time_point> response_started_at;
  // Maximum duration of the last watch.
  std::optional<std::chrono::microseconds> max_watch_time;
  // If set, the next watch fails because its history is gone.
  bool history_gone = false;

  void Put(const std::string& key, const std::string& value) {
    store::kv_pair pair;
    pair.key = key;
    pair.value = value;
    pair.mod_revision = ++revision_;
    keys_[key] = pair;
    events_.push_back({pair, false});
    changed_.cancel();
  }

  void Remove(const std::string& key) {
    store::kv_pair pair;
    pair.key = key;
    pair.mod_revision = ++revision_;
    keys_.erase(key);
    events_.push_back({pair, true});
    changed_.cancel();
  }

  // Lets pending watches check again.
  void Wake() { changed_.cancel(); }

  boost::asio::awaitable<base::result<store::kv_transaction_result>> Run(
      store::kv_transaction transaction) override {
    if (down)
      co_return Unavailable();
    reads += transaction.conditions.empty() ? 1 : 0;
    store::kv_transaction_result result;
    result.succeeded = std::ranges::all_of(
        transaction.conditions, [&](const store::kv_compare& each) {
          const auto found = keys_.find(each.key);
          return each.revision ==
                 (found == keys_.end() ? 0 : found->second.mod_revision);
        });
    if (result.succeeded) {
      for (const store::kv_operation& each : transaction.on_success)
        result.results.push_back(Do(each));
    }
    result.revision = revision_;
    ++held_responses;
    while (holds_read_responses)
      co_await Changed();
    --held_responses;
    if (responses_to_lose > 0 && !transaction.conditions.empty()) {
      --responses_to_lose;
      co_return base::Unknown(base::result_code::kPlatformAnswerLost, "lost");
    }
    co_return result;
  }

  boost::asio::awaitable<base::result<store::kv_changes>> AwaitChange(
      std::string,
      std::int64_t from,
      std::chrono::microseconds max_time) override {
    max_watch_time = max_time;
    while (true) {
      if (down)
        co_return Unavailable();
      if (std::exchange(history_gone, false)) {
        co_return base::NotRun(base::result_code::kHistoryGone, "gone");
      }
      store::kv_changes changes;
      for (const store::kv_event& each : events_) {
        if (each.pair.mod_revision >= from)
          changes.events.push_back(each);
      }
      changes.revision = revision_;
      if (!changes.events.empty()) {
        ++held_responses;
        while (holds_watch_responses)
          co_await Changed();
        --held_responses;
        co_return changes;
      }
      co_await Changed();
    }
  }

  boost::asio::awaitable<base::result<std::int64_t>> GrantLease(
      std::chrono::seconds) override {
    if (!grants_leases)
      co_return Unavailable();
    co_return ++leases_;
  }
  boost::asio::awaitable<base::result<void>> KeepLease(
      std::int64_t lease) override {
    if (!grants_leases || revoked_.contains(lease))
      co_return base::NotRun(base::result_code::kLeaseLost, "gone");
    co_return base::result<void>();
  }
  boost::asio::awaitable<base::result<void>> RevokeLease(
      std::int64_t lease) override {
    if (!grants_leases)
      co_return Unavailable();
    revoked_.insert(lease);
    std::vector<std::string> keys;
    for (const auto& [key, pair] : keys_) {
      if (pair.lease == lease)
        keys.push_back(key);
    }
    for (const std::string& key : keys)
      Remove(key);
    co_return base::result<void>();
  }
  std::optional<base::time_point> HeardAt() const override {
    return response_started_at;
  }
  std::int64_t bytes() const override { return 0; }

 private:
  boost::asio::awaitable<void> Changed() {
    boost::system::error_code ignored;
    co_await changed_.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  }

  store::kv_operation_result Do(const store::kv_operation& operation) {
    using kind = store::kv_operation::kind;
    store::kv_operation_result result;
    if (operation.what == kind::kDelete) {
      Remove(operation.key);
      return result;
    }
    if (operation.what == kind::kPut) {
      Put(operation.key, operation.value);
      keys_[operation.key].lease = operation.lease;
    }
    for (const auto& [key, pair] : keys_) {
      const bool read =
          (operation.what == kind::kGet && key == operation.key) ||
          (operation.what == kind::kGetPrefix &&
           key.starts_with(operation.key));
      if (read)
        result.pairs.push_back(pair);
    }
    return result;
  }

  static tl::unexpected<base::error> Unavailable() {
    return base::NotRun(base::result_code::kPlatformUnavailable, "down");
  }

  std::map<std::string, store::kv_pair> keys_;
  std::vector<store::kv_event> events_;
  std::int64_t revision_ = 0;
  std::int64_t leases_ = 0;
  std::set<std::int64_t> revoked_;
  boost::asio::steady_timer changed_;
};

}  // namespace valeledge::test

#endif  // VALELEDGE_TESTS_AUTO_HOST_FAKE_STORE_H_
