// SPDX-License-Identifier: MIT
// A key-value service in memory, for tests: keys, revisions and watches, with
// failures on demand. Watches answer at once.
#ifndef VALELEDGE_TESTS_AUTO_HOST_FAKE_STORE_H_
#define VALELEDGE_TESTS_AUTO_HOST_FAKE_STORE_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "store/kv_client.h"

namespace valeledge::test {

class fake_store : public store::kv_client {
 public:
  explicit fake_store(boost::asio::io_context& context) : changed_(context) {
    changed_.expires_at(std::chrono::steady_clock::time_point::max());
  }

  // Calls fail while this is set.
  bool down = false;
  // Watches answer that the history is gone once.
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

  // Lets watches that wait look again.
  void Wake() { changed_.cancel(); }

  boost::asio::awaitable<base::result<store::kv_transaction_result>> Run(
      store::kv_transaction) override {
    if (down)
      co_return Unavailable();
    store::kv_transaction_result result;
    result.succeeded = true;
    result.revision = revision_;
    result.results.resize(1);
    for (const auto& [key, pair] : keys_)
      result.results.front().pairs.push_back(pair);
    co_return result;
  }

  boost::asio::awaitable<base::result<store::kv_changes>> AwaitChange(
      std::string,
      std::int64_t from,
      std::chrono::microseconds) override {
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
      if (!changes.events.empty())
        co_return changes;
      boost::system::error_code ignored;
      co_await changed_.async_wait(
          boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
  }

  boost::asio::awaitable<base::result<std::int64_t>> GrantLease(
      std::chrono::seconds) override {
    co_return Unavailable();
  }
  boost::asio::awaitable<base::result<void>> KeepLease(std::int64_t) override {
    co_return Unavailable();
  }
  boost::asio::awaitable<base::result<void>> RevokeLease(
      std::int64_t) override {
    co_return Unavailable();
  }
  std::int64_t bytes() const override { return 0; }

 private:
  static tl::unexpected<base::error> Unavailable() {
    return base::NotRun(base::result_code::kPlatformUnavailable, "down");
  }

  std::map<std::string, store::kv_pair> keys_;
  std::vector<store::kv_event> events_;
  std::int64_t revision_ = 0;
  boost::asio::steady_timer changed_;
};

}  // namespace valeledge::test

#endif  // VALELEDGE_TESTS_AUTO_HOST_FAKE_STORE_H_
