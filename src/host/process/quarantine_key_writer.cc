// SPDX-License-Identifier: MIT
#include "host/process/quarantine_key_writer.h"

#include <chrono>
#include <cstdint>
#include <random>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "decisions/quarantine.h"

namespace valeledge::host {

namespace {

namespace asio = boost::asio;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// A host that is not the first one selected writes a quarantine key if it has
// not seen it in the store after this delay, plus a random part of up to the
// same length. The first host may be slow, disconnected or dead, and hosts that
// receive no reports must learn of a quarantine within three seconds. By then
// its own write is usually visible; a redundant one costs a single call.
constexpr milliseconds kFallbackWriteDelay{700};
// Delay after a failed call to the store.
constexpr milliseconds kWriteRetryDelay{500};

}  // namespace

void quarantine_key_writer::Write(std::string key,
                                  std::string value,
                                  bool is_first,
                                  std::function<bool()> is_needed) {
  asio::co_spawn(core_.context,
                 WriteUntilStored(std::move(key), std::move(value), is_first,
                                  std::move(is_needed)),
                 asio::detached);
}

void quarantine_key_writer::Remove(std::string key,
                                   std::function<bool()> is_needed) {
  asio::co_spawn(core_.context,
                 RemoveUntilDone(std::move(key), std::move(is_needed)),
                 asio::detached);
}

asio::awaitable<void> quarantine_key_writer::RemoveUntilDone(
    std::string key,
    std::function<bool()> is_needed) {
  asio::steady_timer timer(core_.context);
  const auto until =
      std::chrono::steady_clock::now() + decisions::kQuarantineDuration;
  while (std::chrono::steady_clock::now() < until && is_needed()) {
    store::kv_transaction removal;
    removal.on_success.push_back(store::Delete(key));
    const auto done = co_await store_.Run(std::move(removal));
    if (done)
      co_return;
    timer.expires_after(kWriteRetryDelay);
    co_await timer.async_wait(kAwait);
  }
}

asio::awaitable<void> quarantine_key_writer::WriteUntilStored(
    std::string key,
    std::string value,
    bool is_first,
    std::function<bool()> is_needed) {
  asio::steady_timer timer(core_.context);
  if (!is_first) {
    std::uniform_int_distribution<std::int64_t> distribution(
        0, kFallbackWriteDelay.count());
    timer.expires_after(kFallbackWriteDelay +
                        milliseconds(distribution(core_.random)));
    co_await timer.async_wait(kAwait);
  }
  while (!stored_.contains(key) && is_needed()) {
    const bool written = co_await WriteOnce(key, value);
    if (written)
      co_return;
    timer.expires_after(kWriteRetryDelay);
    co_await timer.async_wait(kAwait);
  }
}

asio::awaitable<bool> quarantine_key_writer::WriteOnce(std::string key,
                                                       std::string value) {
  const auto lease = co_await store_.GrantLease(
      duration_cast<std::chrono::seconds>(decisions::kQuarantineDuration));
  if (!lease)
    co_return false;
  store::kv_transaction write;
  write.conditions.push_back(store::Absent(key));
  write.on_success.push_back(store::Put(key, value, *lease));
  const auto written = co_await store_.Run(std::move(write));
  if (written && written->succeeded)
    co_return true;
  // Another host wrote the key first, or the response to this host's own write
  // was lost. In the latter case the key exists for as long as the lease.
  if (written)
    co_await store_.RevokeLease(*lease);
  co_return written.has_value();
}

}  // namespace valeledge::host
