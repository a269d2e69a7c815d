// SPDX-License-Identifier: MIT
#include "host/process/quarantine_duty.h"

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

// What a host has seen of requests that more than one server has ended under is
// told for so long: datagrams get lost, and others are cut off, frozen or
// starting. Told of all requests that were at an end, this would be up to 40
// KB a second from each host.
constexpr std::chrono::seconds kToldFor{10};
// Requests share so many subjects, by which those who hear of their ends are
// chosen: enough that no host hears of most, and few enough to be remembered.
constexpr std::uint64_t kSubjects = 64;

// Hosts that are not the first chosen write a hold if they have not seen it in
// the store after this time, and up to as long again: the first one may be
// slow, cut off or dead, and hosts that hear of ends from nobody have three
// seconds in all. Its own write is mostly seen by then; one too many costs a
// call.
constexpr milliseconds kOthersWrite{700};
// After a call to the store that failed.
constexpr milliseconds kWritePause{500};

std::string SubjectOf(std::uint64_t digest) {
  return "ends/" + std::to_string(digest % kSubjects);
}

std::string KeyOfHold(std::uint64_t digest) {
  return std::string(store::kHeldPrefix) + base::HexText(digest);
}

// The digest in a key; nothing if the key is of something else.
std::optional<std::uint64_t> DigestInKey(std::string_view key) {
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

quarantine_duty::quarantine_duty(host_core& core,
                                 store::kv_client& store,
                                 quarantine_links links)
    : core_(core), store_(store), links_(std::move(links)) {}

void quarantine_duty::RecordCrash(std::uint64_t digest,
                                  const decisions::server_crash& end) {
  const auto now = std::chrono::steady_clock::now();
  Tell({digest, end, now});
  if (decisions::RecordCrash(core_.quarantine, digest, end, now))
    Hold(digest, "ends");
}

void quarantine_duty::RecordCompleteResponse(std::uint64_t digest) {
  if (decisions::RecordCompleteResponse(core_.quarantine, digest))
    Tell({digest, std::nullopt, std::chrono::steady_clock::now()});
}

void quarantine_duty::Tell(const decisions::quarantine_observation& fact) {
  decisions::AddObservation(told_, fact);
  const auto news = decisions::MakeUpdate({fact}, fact.at);
  links_.tell(wire::Encode(news),
              {kMaxReportRecipients, SubjectOf(fact.digest), {}});
}

void quarantine_duty::Republish() {
  const auto now = std::chrono::steady_clock::now();
  decisions::Sweep(core_.quarantine, now);
  while (!told_.empty() && now - told_.front().at >= kToldFor)
    told_.pop_front();
  decisions::quarantine_observations worth_telling;
  for (const decisions::quarantine_observation& each : told_) {
    if (!each.end || decisions::IsSuspected(core_.quarantine, each.digest))
      worth_telling.push_back(each);
  }
  if (worth_telling.empty())
    return;
  const auto news = decisions::MakeUpdate(worth_telling, now);
  links_.tell(wire::Encode(news), {kMaxReportRecipients, {}, {}});
}

void quarantine_duty::ApplyUpdate(const wire::end_news& news) {
  decisions::DropCleared(told_, news);
  const auto now = std::chrono::steady_clock::now();
  for (const std::uint64_t digest :
       decisions::ApplyUpdate(core_.quarantine, news, now))
    Hold(digest, "told");
}

void quarantine_duty::Hold(std::uint64_t digest, std::string_view by) {
  base::Log(kCategory, log_event::kRequestHeld,
            {{"digest", base::HexText(digest)}, {"by", std::string(by)}});
  if (by != "store")
    asio::co_spawn(core_.context, Keep(digest), asio::detached);
}

bool quarantine_duty::PutKey(std::string_view key) {
  const auto digest = DigestInKey(key);
  if (!digest)
    return false;
  kept_.insert(*digest);
  const auto now = std::chrono::steady_clock::now();
  if (decisions::RecordQuarantine(core_.quarantine, *digest, now))
    Hold(*digest, "store");
  return true;
}

bool quarantine_duty::RemoveKey(std::string_view key, bool lapsed) {
  const auto digest = DigestInKey(key);
  if (!digest)
    return false;
  kept_.erase(*digest);
  if (lapsed)
    return true;
  decisions::Release(core_.quarantine, *digest,
                     std::chrono::steady_clock::now());
  base::Log(kCategory, log_event::kRequestReleased,
            {{"digest", base::HexText(*digest)}});
  return true;
}

// Has the store say that a request is held back.
asio::awaitable<void> quarantine_duty::Keep(std::uint64_t digest) {
  asio::steady_timer timer(core_.context);
  if (!links_.is_first(SubjectOf(digest))) {
    std::uniform_int_distribution<std::int64_t> any(0, kOthersWrite.count());
    timer.expires_after(kOthersWrite + milliseconds(any(core_.random)));
    co_await timer.async_wait(kAwait);
  }
  while (!kept_.contains(digest) &&
         decisions::RemainingQuarantine(core_.quarantine, digest,
                                        std::chrono::steady_clock::now())) {
    const bool written = co_await Write(digest);
    if (written)
      co_return;
    timer.expires_after(kWritePause);
    co_await timer.async_wait(kAwait);
  }
}

asio::awaitable<bool> quarantine_duty::Write(std::uint64_t digest) {
  const auto lease = co_await store_.GrantLease(
      duration_cast<std::chrono::seconds>(decisions::kQuarantineDuration));
  if (!lease)
    co_return false;
  const std::string key = KeyOfHold(digest);
  store::kv_transaction write;
  write.conditions.push_back(store::Absent(key));
  write.on_success.push_back(store::Put(key, core_.settings.name, *lease));
  const auto written = co_await store_.Run(std::move(write));
  if (written && written->succeeded)
    co_return true;
  // Another host was first, or the answer got lost: then the key is there for
  // as long as the lease is.
  if (written)
    co_await store_.RevokeLease(*lease);
  co_return written.has_value();
}

}  // namespace valeledge::host
