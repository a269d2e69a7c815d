// SPDX-License-Identifier: MIT
#include "host/process/key_freshness_monitor.h"

#include <algorithm>
#include <random>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/logging.h"
#include "store/constants.h"
#include "wire/codec.h"

namespace valeledge::host {

namespace {

namespace asio = boost::asio;
using base::boot_clock;
using base::log_event;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view kCategory = "keys";

// Interval of read requests. The random jitter prevents hosts from sending them
// in step.
constexpr milliseconds kReadRequestInterval{600};
constexpr milliseconds kReadRequestJitter{100};
// Interval at which the configuration is checked while it requires no keys.
constexpr milliseconds kIdleCheckInterval{250};

// Read requests are batched over this time, since each store read has a price
// and a request costs next to nothing.
constexpr milliseconds kBatchWindow{400};

// Without a response for this time the next reader is tried; after the
// second one this host also reads the store itself.
constexpr milliseconds kNextReaderTimeout{1100};
constexpr milliseconds kOwnReadTimeout{2200};
// Delay before this host reads the store again after a failed read.
constexpr milliseconds kFailedReadPause{1000};

decisions::boot_time FromMicroseconds(std::int64_t count) {
  return decisions::boot_time(microseconds(count));
}

}  // namespace

key_freshness_monitor::key_freshness_monitor(host_core& core,
                                             store::kv_client& store,
                                             key_freshness_callbacks callbacks)
    : core_(core),
      store_(store),
      callbacks_(std::move(callbacks)),
      last_response_at_(boot_clock::now()) {
  std::random_device seed;
  std::uniform_int_distribution<std::int64_t> distribution;
  process_id_ = distribution(seed);
}

void key_freshness_monitor::Start() {
  asio::co_spawn(core_.context, Loop(), asio::detached);
}

bool key_freshness_monitor::IsStale() const {
  const auto& bound = core_.settings.keys.revoked_within;
  if (!RequiresKeys() || !bound)
    return false;
  const auto age = decisions::DataAge(core_.freshness, boot_clock::now());
  return decisions::CheckKey(true, age, core_.settings.keys) !=
         decisions::key_verdict::kValid;
}

void key_freshness_monitor::OnRevisionAdvanced() {
  decisions::RecordRevision(core_.freshness, callbacks_.revision());
  // A host that has just received its first snapshot serves no callers until
  // its keys are fresh.
  if (RequiresKeys() && !has_requested_)
    RequestRead();
}

void key_freshness_monitor::OnMirrorComplete(
    decisions::boot_time requested_at) {
  const std::int64_t revision = callbacks_.revision();
  decisions::RecordStoreRead(core_.freshness, {requested_at, revision},
                             revision, boot_clock::now());
}

bool key_freshness_monitor::RequiresKeys() const {
  return core_.configuration != nullptr && core_.configuration->needs_keys;
}

wire::store_reading key_freshness_monitor::MakeReadRequest() const {
  wire::store_reading out;
  out.origin = process_id_;
  out.asked_us =
      std::chrono::floor<microseconds>(boot_clock::now().time_since_epoch())
          .count();
  return out;
}

void key_freshness_monitor::HandleReadRequest(
    const base::endpoint& requester,
    const wire::store_reading& request) {
  QueueRead({requester, request});
}

void key_freshness_monitor::HandleReadResponse(
    const wire::store_reading& response) {
  if (response.origin != process_id_)
    return;
  const auto now = boot_clock::now();
  last_response_at_ = now;
  decisions::RecordStoreRead(
      core_.freshness, {FromMicroseconds(response.asked_us), response.revision},
      callbacks_.revision(), now);
}

void key_freshness_monitor::QueueRead(read_request request) {
  pending_.push_back(std::move(request));
  if (std::exchange(is_batching_, true))
    return;
  asio::co_spawn(core_.context, ReadStore(), asio::detached);
}

// A read without a response does not delay the next one: a store that was
// unresponsive may never respond on connections opened before.
asio::awaitable<void> key_freshness_monitor::ReadStore() {
  // No batching while this host knows nothing yet, since it serves no callers
  // meanwhile.
  if (core_.freshness.complete_as_of) {
    asio::steady_timer timer(core_.context, kBatchWindow);
    co_await timer.async_wait(kAwait);
  }
  is_batching_ = false;
  const std::vector<read_request> requests = std::exchange(pending_, {});
  store::kv_transaction read;
  read.on_success.push_back(store::Get(std::string(store::kLeaderKey)));
  const auto found = co_await store_.Run(std::move(read));
  if (found && found->revision > 0)
    Respond(requests, found->revision);
  else
    read_failed_at_ = boot_clock::now();
}

void key_freshness_monitor::Respond(const std::vector<read_request>& requests,
                                    std::int64_t revision) {
  for (const read_request& each : requests) {
    wire::store_reading response = each.request;
    response.revision = revision;
    if (each.requester)
      callbacks_.send(*each.requester, kReadResponseRecord,
                      wire::Encode(response));
    else
      HandleReadResponse(response);
  }
}

void key_freshness_monitor::RequestRead() {
  has_requested_ = true;
  const auto now = boot_clock::now();
  const auto since_response = now - last_response_at_;
  const std::vector<base::endpoint> readers = callbacks_.readers();
  const bool overdue = since_response >= kNextReaderTimeout;
  if (overdue)
    ++reader_index_;
  const wire::store_reading request = MakeReadRequest();
  if (!readers.empty()) {
    const base::endpoint& reader = readers[reader_index_ % readers.size()];
    if (reader == core_.settings.peer_listen)
      QueueRead({std::nullopt, request});
    else
      callbacks_.send(reader, kReadRequestRecord, wire::Encode(request));
  }
  const bool failed_recently =
      read_failed_at_ && now - *read_failed_at_ < kFailedReadPause;
  const bool reads_itself =
      since_response >= kOwnReadTimeout || !core_.freshness.complete_as_of;
  if (reads_itself && !failed_recently)
    QueueRead({std::nullopt, request});
}

void key_freshness_monitor::LogFreshnessChange() {
  const bool is_stale = IsStale();
  if (std::exchange(was_stale_, is_stale) == is_stale)
    return;
  const auto age = decisions::DataAge(core_.freshness, boot_clock::now());
  base::Log(kCategory,
            is_stale ? log_event::kKeysNotCertain : log_event::kKeysCertain,
            {{"age_ms", age ? age->count() : -1},
             {"revision", callbacks_.revision()}});
}

asio::awaitable<void> key_freshness_monitor::Loop() {
  asio::steady_timer timer(core_.context);
  std::uniform_int_distribution<std::int64_t> distribution(
      -kReadRequestJitter.count(), kReadRequestJitter.count());
  while (true) {
    const bool needed = RequiresKeys();
    if (needed)
      RequestRead();
    LogFreshnessChange();
    timer.expires_after(needed ? kReadRequestInterval +
                                     milliseconds(distribution(core_.random))
                               : kIdleCheckInterval);
    co_await timer.async_wait(kAwait);
  }
}

}  // namespace valeledge::host
