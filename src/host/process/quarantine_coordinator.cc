// SPDX-License-Identifier: MIT
#include "host/process/quarantine_coordinator.h"

#include <charconv>
#include <optional>
#include <random>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/identifier.h"
#include "base/logging.h"
#include "host/constants.h"
#include "store/constants.h"
#include "wire/codec.h"

namespace valeledge::host {

namespace {

namespace asio = boost::asio;
using base::log_event;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view kCategory = "quarantine";

// Time for which a host repeats its observations about requests under which
// more than one server has crashed: datagrams get lost, and hosts may be
// disconnected, suspended or starting. Repeating those of all requests that
// were in progress at a crash would take up to 40 KB a second from each host.
constexpr std::chrono::seconds kRepublishPeriod{10};
// Number of subjects by which the recipients of crash reports are chosen: large
// enough that no host receives most reports, and small enough to cache.
constexpr std::uint64_t kSubjectCount = 64;

// A host that is not the first one chosen writes a quarantine key if it has not
// seen it in the store after this delay, plus a random part of up to the same
// length. The first host may be slow, disconnected or dead, and hosts that
// receive no reports must learn of a quarantine within three seconds. By then
// its own write is usually visible; a redundant one costs a single call.
constexpr milliseconds kFallbackWriteDelay{700};
// Delay after a failed call to the store.
constexpr milliseconds kWriteRetryDelay{500};

std::string SubjectOf(std::uint64_t digest) {
  return "ends/" + std::to_string(digest % kSubjectCount);
}

std::string QuarantineKey(std::uint64_t digest) {
  return std::string(store::kHeldPrefix) + base::HexText(digest);
}

// Returns the digest in a quarantine key, or nothing for other keys.
std::optional<std::uint64_t> ParseDigest(std::string_view key) {
  if (!key.starts_with(store::kHeldPrefix))
    return std::nullopt;
  const std::string_view text = key.substr(store::kHeldPrefix.size());
  std::uint64_t digest = 0;
  const char* const end = text.data() + text.size();
  const auto [stopped, failed] = std::from_chars(text.data(), end, digest, 16);
  if (failed != std::errc() || stopped != end)
    return std::nullopt;
  return digest;
}

}  // namespace

quarantine_coordinator::quarantine_coordinator(host_core& core,
                                               store::kv_client& store,
                                               quarantine_callbacks callbacks)
    : core_(core), store_(store), callbacks_(std::move(callbacks)) {}

void quarantine_coordinator::OnServerCrash(std::uint64_t digest,
                                           const decisions::server_crash& end) {
  const auto now = std::chrono::steady_clock::now();
  Publish({digest, end, now});
  if (decisions::RecordCrash(core_.quarantine, digest, end, now))
    BeginQuarantine(digest, "ends");
}

void quarantine_coordinator::OnCompletedResponse(std::uint64_t digest) {
  if (decisions::RecordCompleteResponse(core_.quarantine, digest))
    Publish({digest, std::nullopt, std::chrono::steady_clock::now()});
}

void quarantine_coordinator::Publish(
    const decisions::quarantine_observation& fact) {
  decisions::AddObservation(published_, fact);
  const auto update = decisions::MakeUpdate({fact}, fact.at);
  callbacks_.send(wire::Encode(update),
                  {kMaxReportRecipients, SubjectOf(fact.digest), {}});
}

void quarantine_coordinator::Republish() {
  const auto now = std::chrono::steady_clock::now();
  decisions::Sweep(core_.quarantine, now);
  while (!published_.empty() && now - published_.front().at >= kRepublishPeriod)
    published_.pop_front();
  decisions::quarantine_observations repeated;
  for (const decisions::quarantine_observation& each : published_) {
    if (!each.crash || decisions::IsSuspected(core_.quarantine, each.digest))
      repeated.push_back(each);
  }
  if (repeated.empty())
    return;
  const auto update = decisions::MakeUpdate(repeated, now);
  callbacks_.send(wire::Encode(update), {kMaxReportRecipients, {}, {}});
}

void quarantine_coordinator::HandleUpdate(const wire::end_news& update) {
  decisions::DropCleared(published_, update);
  const auto now = std::chrono::steady_clock::now();
  for (const std::uint64_t digest :
       decisions::ApplyUpdate(core_.quarantine, update, now))
    BeginQuarantine(digest, "told");
}

void quarantine_coordinator::BeginQuarantine(std::uint64_t digest,
                                             std::string_view by) {
  base::Log(kCategory, log_event::kRequestHeld,
            {{"digest", base::HexText(digest)}, {"by", std::string(by)}});
  if (by != "store")
    asio::co_spawn(core_.context, StoreQuarantine(digest), asio::detached);
}

bool quarantine_coordinator::PutKey(std::string_view key) {
  const auto digest = ParseDigest(key);
  if (!digest)
    return false;
  stored_.insert(*digest);
  const auto now = std::chrono::steady_clock::now();
  if (decisions::RecordQuarantine(core_.quarantine, *digest, now))
    BeginQuarantine(*digest, "store");
  return true;
}

bool quarantine_coordinator::RemoveKey(std::string_view key, bool lapsed) {
  const auto digest = ParseDigest(key);
  if (!digest)
    return false;
  stored_.erase(*digest);
  if (lapsed)
    return true;
  decisions::Release(core_.quarantine, *digest,
                     std::chrono::steady_clock::now());
  base::Log(kCategory, log_event::kRequestReleased,
            {{"digest", base::HexText(*digest)}});
  return true;
}

// Writes the quarantine key to the store.
asio::awaitable<void> quarantine_coordinator::StoreQuarantine(
    std::uint64_t digest) {
  asio::steady_timer timer(core_.context);
  if (!callbacks_.is_first(SubjectOf(digest))) {
    std::uniform_int_distribution<std::int64_t> distribution(
        0, kFallbackWriteDelay.count());
    timer.expires_after(kFallbackWriteDelay +
                        milliseconds(distribution(core_.random)));
    co_await timer.async_wait(kAwait);
  }
  while (!stored_.contains(digest) &&
         decisions::RemainingQuarantine(core_.quarantine, digest,
                                        std::chrono::steady_clock::now())) {
    const bool written = co_await WriteKey(digest);
    if (written)
      co_return;
    timer.expires_after(kWriteRetryDelay);
    co_await timer.async_wait(kAwait);
  }
}

asio::awaitable<bool> quarantine_coordinator::WriteKey(std::uint64_t digest) {
  const auto lease = co_await store_.GrantLease(
      duration_cast<std::chrono::seconds>(decisions::kQuarantineDuration));
  if (!lease)
    co_return false;
  const std::string key = QuarantineKey(digest);
  store::kv_transaction write;
  write.conditions.push_back(store::Absent(key));
  write.on_success.push_back(store::Put(key, core_.settings.name, *lease));
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
