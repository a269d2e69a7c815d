// SPDX-License-Identifier: MIT
#include "host/process/store_mirror.h"

#include <algorithm>
#include <random>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/logging.h"
#include "decisions/initial_read.h"
#include "host/constants.h"

namespace valeledge::host {

namespace {

namespace asio = boost::asio;
using base::log_event;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view kCategory = "mirror";

// Without a store response to any host for this time, a host reads the store
// itself: changes must take effect at all hosts within two seconds.
constexpr std::chrono::milliseconds kTakeoverTimeout{1100};

// Maximum delay until the hosts of the availability zone know of a response:
// the next report of the host that follows the store, and its transmission.
constexpr std::chrono::milliseconds kMaxReportDelay =
    kLoadReportInterval + std::chrono::milliseconds(200);

// Maximum duration of a watch without changes. Its response shows the other
// hosts that the store is available.
constexpr std::chrono::milliseconds kMaxWatchTime =
    kTakeoverTimeout - kMaxReportDelay;

// Maximum random delay of the takeover, so that not all hosts read at the same
// time.
constexpr std::chrono::milliseconds kTakeoverJitter{250};

// Delay until a fallback reader retries after the store has refused it.
constexpr std::chrono::milliseconds kFallbackReaderPause{1500};

// Interval at which a host that does not follow the store checks whether it has
// to.
constexpr std::chrono::milliseconds kFollowCheckInterval{100};

// Interval at which a host that has just started checks for a snapshot.
constexpr std::chrono::milliseconds kInitialCheckInterval{20};

// A watch responds to a change at once, apart from the batch window.
constexpr std::chrono::milliseconds kResponseDue{400};

// Delay of the next watch after changes. Each call has a price, so changes in
// quick succession should cost a single call.
constexpr std::chrono::milliseconds kBatchWindow{200};

// Delays after failed calls; calls to the store are counted and limited.
constexpr std::chrono::milliseconds kMinRetryPause{50};
constexpr std::chrono::milliseconds kMaxRetryPause{600};

// Within this time after a failed call all keys are read: deletions during an
// outage of the store are not to be taken for observed ones.
constexpr std::chrono::milliseconds kReadAllPeriod{2500};

}  // namespace

store_mirror::store_mirror(asio::io_context& context,
                           store::kv_client& store,
                           std::string prefix,
                           mirror_events events)
    : context_(context),
      store_(store),
      prefix_(std::move(prefix)),
      events_(std::move(events)),
      keys_({events_.put, events_.removed, events_.advanced, [this] {
               return decisions::LapsedUntil(responses_,
                                             std::chrono::steady_clock::now());
             }}) {
  std::random_device seed;
  std::uniform_int_distribution<std::int64_t> distribution;
  responses_.own.origin = distribution(seed);
}

void store_mirror::Start() {
  asio::co_spawn(context_, Loop(), asio::detached);
}

bool store_mirror::FailedWithin(std::chrono::milliseconds span) const {
  return failed_once_ && std::chrono::steady_clock::now() - failed_at_ < span;
}

void store_mirror::RecordCallResult(bool succeeded) {
  current_ = succeeded;
  if (succeeded) {
    last_response_at_ = std::chrono::steady_clock::now();
    decisions::RecordOwnResponse(responses_, events_.follows(),
                                 *last_response_at_);
    LogOutage();
  }
  if (!succeeded) {
    failed_at_ = std::chrono::steady_clock::now();
    failed_once_ = true;
  }
  if (succeeded == !was_down_)
    return;
  was_down_ = !succeeded;
  base::Log(kCategory,
            succeeded ? log_event::kPlatformUp : log_event::kPlatformDown);
}

std::optional<std::chrono::milliseconds> store_mirror::Age() const {
  const auto newest = decisions::NewestResponseTime(responses_);
  if (!newest)
    return std::nullopt;
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - *newest);
}

void store_mirror::RecordReportedResponse(
    const decisions::reported_response& report) {
  decisions::RecordReportedResponse(responses_, report,
                                    std::chrono::steady_clock::now());
  LogOutage();
}

void store_mirror::LogOutage() {
  const auto& outage = responses_.last_outage;
  if (!outage || outage->ended_at == logged_outage_end_)
    return;
  logged_outage_end_ = outage->ended_at;
  base::Log(
      kCategory, log_event::kStoreOutage,
      {{"duration_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                           outage->ended_at - outage->began_at)
                           .count()}});
}

std::optional<decisions::reported_response> store_mirror::NewestResponse() {
  // On a narrow link a large response takes longer than the takeover timeout of
  // the other hosts; without counting its parts, 58 of 63 hosts read the store
  // themselves at the same time.
  const auto received_at = store_.HeardAt();
  if (received_at && (!responses_.own_at || *received_at > *responses_.own_at))
    decisions::RecordOwnResponse(responses_, events_.follows(), *received_at);
  LogOutage();
  return decisions::ReportNewest(responses_, std::chrono::steady_clock::now());
}

bool store_mirror::OthersFollow() const {
  return revision() > 0 &&
         decisions::OthersRespondedWithin(responses_, kTakeoverTimeout,
                                          std::chrono::steady_clock::now());
}

// Whether this host, as a fallback reader, may leave the store to the chosen
// followers.
bool store_mirror::MayStopFollowing() const {
  return !events_.follows() &&
         decisions::MayStopFallbackRead(responses_, kTakeoverTimeout,
                                        std::chrono::steady_clock::now());
}

bool store_mirror::NeedsSnapshot() const {
  const bool due =
      last_response_at_ &&
      std::chrono::steady_clock::now() - *last_response_at_ < kResponseDue;
  return !current_ || !due;
}

asio::awaitable<bool> store_mirror::ReadAll() {
  store::kv_transaction read;
  read.on_success.push_back(store::GetPrefix(prefix_));
  const auto requested_at = base::boot_clock::now();
  const auto response = co_await store_.Run(std::move(read));
  RecordCallResult(response.has_value());
  if (!response)
    co_return false;
  std::map<std::string, mirrored_value> values;
  for (const store::kv_pair& pair : response->results.front().pairs)
    values[pair.key] = {pair.value, pair.mod_revision, {}};
  keys_.Replace(std::move(values), response->revision);
  history_gone_ = false;
  events_.complete(requested_at);
  co_return true;
}

asio::awaitable<bool> store_mirror::Follow() {
  std::int64_t at = revision();
  asio::steady_timer timer(context_);
  while (true) {
    const auto changes =
        co_await store_.AwaitChange(prefix_, at + 1, kMaxWatchTime);
    const bool gone =
        !changes && changes.error().code == base::result_code::kHistoryGone;
    RecordCallResult(changes.has_value() || gone);
    history_gone_ = gone;
    if (!changes)
      co_return gone;
    for (const store::kv_event& each : changes->events) {
      if (each.deleted)
        keys_.Remove(each.pair.key, each.pair.mod_revision, false);
      else
        keys_.Put(each.pair.key, {each.pair.value, each.pair.mod_revision, {}},
                  changes->revision);
    }
    at = std::max(at, changes->revision);
    keys_.Advance(changes->revision);
    if (MayStopFollowing())
      co_return true;
    if (changes->events.empty())
      continue;
    timer.expires_after(kBatchWindow);
    co_await timer.async_wait(kAwait);
  }
}

// Waits for a snapshot of another host, so that hosts that start together do
// not all read the whole store.
asio::awaitable<void> store_mirror::AwaitInitialSnapshot(
    std::mt19937_64& random) {
  const auto start = std::chrono::steady_clock::now();
  decisions::initial_read state;
  state.jitter = std::uniform_real_distribution<double>(0, 1)(random);
  asio::steady_timer timer(context_);
  while (true) {
    state.since_start = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - start);
    state.knows_peers = events_.knows_others && events_.knows_others();
    state.chosen = events_.follows();
    const bool has_snapshot = OthersFollow();
    if (has_snapshot || decisions::ShouldStartInitialRead(state))
      co_return;
    timer.expires_after(kInitialCheckInterval);
    co_await timer.async_wait(kAwait);
  }
}

// A host that has a snapshot continues from its revision unless a call to the
// store has just failed: keys deleted meanwhile may have lapsed, which only a
// full read shows.
asio::awaitable<void> store_mirror::Loop() {
  std::mt19937_64 random{std::random_device{}()};
  co_await AwaitInitialSnapshot(random);
  const auto between = [&](std::chrono::milliseconds from,
                           std::chrono::milliseconds to) {
    std::uniform_int_distribution<std::int64_t> distribution(from.count(),
                                                             to.count());
    return std::chrono::milliseconds(distribution(random));
  };
  asio::steady_timer timer(context_);
  std::chrono::milliseconds pause = kMinRetryPause;
  while (true) {
    if (!events_.follows() && OthersFollow()) {
      current_ = false;
      timer.expires_after(kFollowCheckInterval);
      co_await timer.async_wait(kAwait);
      if (OthersFollow() || events_.follows())
        continue;
      timer.expires_after(between({}, kTakeoverJitter));
      co_await timer.async_wait(kAwait);
      continue;
    }
    if (!events_.follows() && revision() > 0)
      base::Log(kCategory, log_event::kStandingIn);
    const bool known =
        revision() > 0 && !history_gone_ && !FailedWithin(kReadAllPeriod);
    const bool read = known || co_await ReadAll();
    if (read) {
      pause = kMinRetryPause;
      const bool again = co_await Follow();
      if (again)
        continue;
    }
    timer.expires_after(
        events_.follows() || revision() == 0
            ? between(pause / 2, pause)
            : between(kFallbackReaderPause / 2, kFallbackReaderPause));
    co_await timer.async_wait(kAwait);
    pause = std::min(pause * 2, kMaxRetryPause);
  }
}

}  // namespace valeledge::host
