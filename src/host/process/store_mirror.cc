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

namespace valeledge::host {

namespace {

namespace asio = boost::asio;
using base::log_event;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view kCategory = "mirror";

// One watch waits so long: shorter than the time within which changes must
// be in force, since an answer may get lost on a cut connection.
constexpr std::chrono::milliseconds kWatchLength{1800};

// After changes the next watch begins so much later, so that changes which
// come together cost one call: each call has a price.
constexpr std::chrono::milliseconds kGather{200};

// Pauses after failed calls; the store's calls are counted and limited.
constexpr std::chrono::milliseconds kFirstPause{50};
constexpr std::chrono::milliseconds kLongestPause{600};

// Entries that are found gone within this time of a failed call may belong to
// servers that live: they have two seconds to come back.
constexpr std::chrono::milliseconds kTroubleMemory{2500};

}  // namespace

store_mirror::store_mirror(asio::io_context& context,
                           store::kv_client& store,
                           std::string prefix,
                           mirror_events events)
    : context_(context),
      store_(store),
      prefix_(std::move(prefix)),
      events_(std::move(events)) {}

void store_mirror::Start() {
  asio::co_spawn(context_, Loop(), asio::detached);
}

bool store_mirror::FailedWithin(std::chrono::milliseconds span) const {
  return failed_once_ && std::chrono::steady_clock::now() - failed_at_ < span;
}

void store_mirror::NoteAnswered(bool answered) {
  current_ = answered;
  if (!answered) {
    failed_at_ = std::chrono::steady_clock::now();
    failed_once_ = true;
  }
  if (answered == !was_down_)
    return;
  was_down_ = !answered;
  base::Log(kCategory,
            answered ? log_event::kPlatformUp : log_event::kPlatformDown);
}

void store_mirror::Advance(std::int64_t revision) {
  if (revision <= revision_)
    return;
  revision_ = revision;
  events_.advanced(revision);
}

void store_mirror::Put(const std::string& key, mirrored_value value) {
  mirrored_value& known = values_[key];
  if (value.revision <= known.revision)
    return;
  known = std::move(value);
  events_.put(key, known.value);
}

void store_mirror::Remove(const std::string& key, bool lapsed) {
  if (values_.erase(key) > 0)
    events_.removed(key, lapsed);
}

void store_mirror::Replace(std::map<std::string, mirrored_value> values,
                           std::int64_t revision) {
  std::vector<std::string> missing;
  for (const auto& [key, value] : values_) {
    if (!values.contains(key) && value.revision <= revision)
      missing.push_back(key);
  }
  // What is seen to go while the store answers is gone; what went unseen may
  // have lapsed with the store.
  const bool lapsed = FailedWithin(kTroubleMemory);
  for (const std::string& key : missing)
    Remove(key, lapsed);
  for (auto& [key, value] : values)
    Put(key, std::move(value));
  Advance(revision);
}

asio::awaitable<bool> store_mirror::ReadAll() {
  store::kv_transaction read;
  read.on_success.push_back(store::GetPrefix(prefix_));
  const auto answer = co_await store_.Run(std::move(read));
  NoteAnswered(answer.has_value());
  if (!answer)
    co_return false;
  std::map<std::string, mirrored_value> values;
  for (const store::kv_pair& pair : answer->results.front().pairs)
    values[pair.key] = {pair.value, pair.mod_revision};
  Replace(std::move(values), answer->revision);
  co_return true;
}

asio::awaitable<bool> store_mirror::Follow() {
  std::int64_t at = revision_;
  asio::steady_timer timer(context_);
  while (true) {
    const auto changes =
        co_await store_.AwaitChange(prefix_, at + 1, kWatchLength);
    const bool gone =
        !changes && changes.error().code == base::result_code::kHistoryGone;
    NoteAnswered(changes.has_value() || gone);
    if (!changes)
      co_return gone;
    for (const store::kv_event& each : changes->events) {
      if (each.deleted)
        Remove(each.pair.key, false);
      else
        Put(each.pair.key, {each.pair.value, each.pair.mod_revision});
    }
    at = std::max(at, changes->revision);
    Advance(changes->revision);
    if (changes->events.empty())
      continue;
    timer.expires_after(kGather);
    co_await timer.async_wait(kAwait);
  }
}

asio::awaitable<void> store_mirror::Loop() {
  std::mt19937_64 random{std::random_device{}()};
  asio::steady_timer timer(context_);
  std::chrono::milliseconds pause = kFirstPause;
  while (true) {
    const bool read = co_await ReadAll();
    if (read) {
      pause = kFirstPause;
      const bool again = co_await Follow();
      if (again)
        continue;
    }
    std::uniform_int_distribution<std::int64_t> any(pause.count() / 2,
                                                    pause.count());
    timer.expires_after(std::chrono::milliseconds(any(random)));
    co_await timer.async_wait(kAwait);
    pause = std::min(pause * 2, kLongestPause);
  }
}

wire::mirror_copy store_mirror::Copy() const {
  wire::mirror_copy copy;
  copy.revision = revision_;
  for (const auto& [key, value] : values_) {
    wire::mirror_entry entry;
    entry.key = key;
    entry.value = value.value;
    entry.revision = value.revision;
    copy.entries.push_back(std::move(entry));
  }
  return copy;
}

void store_mirror::Take(const wire::mirror_copy& copy) {
  if (copy.revision <= revision_)
    return;
  std::map<std::string, mirrored_value> values;
  for (const wire::mirror_entry& each : copy.entries)
    values[each.key] = {each.value, each.revision};
  Replace(std::move(values), copy.revision);
}

}  // namespace valeledge::host
