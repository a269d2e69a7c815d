// SPDX-License-Identifier: MIT
#include "host/process/lease_succession.h"

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/boot_clock.h"
#include "base/logging.h"

namespace valeledge::host {

namespace {

namespace asio = boost::asio;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view kCategory = "lease";
constexpr std::string_view kCounter = "valeledge_lease_succession_total";

// Keys of the records. Values are beats as text.
constexpr std::string_view kBeatRecord = "lease_beat";
constexpr std::string_view kReplyRecord = "lease_reply";
constexpr std::string_view kVoteRecord = "lease_vote";

constexpr std::chrono::milliseconds kTickInterval{50};

}  // namespace

base::time_point lease_succession::Now() {
  return base::time_point(base::boot_clock::now().time_since_epoch());
}

void lease_succession::Start() {
  asio::co_spawn(core_.context, TickLoop(), asio::detached);
}

asio::awaitable<void> lease_succession::TickLoop() {
  asio::steady_timer timer(core_.context);
  while (true) {
    timer.expires_after(kTickInterval);
    co_await timer.async_wait(kAwait);
    Tick(Now());
  }
}

bool MayHolderBeSucceeded(const host_core& core) {
  return core.settings.engines_check_fences && core.configuration != nullptr &&
         IsEnabled(core.settings.features.lease_succession,
                   *core.configuration);
}

std::vector<base::endpoint> lease_succession::WitnessesOf(
    const base::endpoint& holder) const {
  std::vector<base::endpoint> witnesses = callbacks_.selected();
  std::erase(witnesses, holder);
  if (witnesses.size() > decisions::kLeaseWitnesses)
    witnesses.resize(decisions::kLeaseWitnesses);
  return witnesses;
}

void lease_succession::Tick(base::time_point now) {
  if (!MayHolderBeSucceeded(core_))
    return;
  const std::int64_t term = callbacks_.term();
  if (term == 0 || term != confirmations_.term)
    withheld_since_.reset();
  const auto beat = decisions::NextBeat(confirmations_, term, now);
  if (beat) {
    for (const auto& to : WitnessesOf(core_.settings.peer_listen))
      callbacks_.send(to, kBeatRecord, decisions::ToText(*beat));
  }
  if (decisions::ShouldVote(watch_, now))
    Vote(now);
}

void lease_succession::Vote(base::time_point now) {
  const auto holder = callbacks_.holder();
  if (!holder)
    return;
  if (std::exchange(logged_vote_term_, watch_.term) != watch_.term) {
    core_.metrics.Counter(kCounter, "silent").Add();
    base::Log(
        kCategory, base::log_event::kHolderSilent,
        {{"holder", base::ToString(*holder)},
         {"term", watch_.term},
         {"silent_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                           now - watch_.heard_at)
                           .count()}});
  }
  for (const auto& to : WitnessesOf(*holder)) {
    if (to != core_.settings.peer_listen)
      callbacks_.send(to, kVoteRecord, decisions::ToText({watch_.term, 0}));
  }
}

bool lease_succession::HandleRecord(const membership::direct_record& record) {
  const bool is_beat = record.key == kBeatRecord;
  const bool is_reply = record.key == kReplyRecord;
  if (!is_beat && !is_reply && record.key != kVoteRecord)
    return false;
  const auto beat = decisions::ParseLeaseBeat(record.value);
  if (!beat) {
    core_.metrics.Counter(kCounter, "unreadable").Add();
    return true;
  }
  if (is_reply) {
    decisions::RecordReply(confirmations_, record.sender_address, *beat);
  } else if (!is_beat) {
    decisions::RecordVote(watch_, record.sender_address, beat->term, Now());
  } else if (decisions::RecordBeat(watch_, beat->term, Now())) {
    callbacks_.send(record.sender_address, kReplyRecord, record.value);
  }
  return true;
}

bool lease_succession::MaySendOrders() {
  const auto now = Now();
  const bool may_send =
      !MayHolderBeSucceeded(core_) ||
      decisions::MaySendOrders(confirmations_,
                               WitnessesOf(core_.settings.peer_listen), now);
  if (may_send) {
    withheld_since_.reset();
  } else if (!withheld_since_) {
    withheld_since_ = now;
    core_.metrics.Counter(kCounter, "withheld").Add();
    base::Log(kCategory, base::log_event::kOrdersWithheld,
              {{"term", confirmations_.term}});
  }
  return may_send;
}

bool lease_succession::IsUnconfirmedFor(std::chrono::milliseconds time) const {
  const std::int64_t term = callbacks_.term();
  // The replies in a term that has just begun are not known before Tick().
  return term != 0 && term == confirmations_.term && withheld_since_ &&
         Now() - *withheld_since_ >= time;
}

bool lease_succession::IsHolderLost() {
  const auto holder = callbacks_.holder();
  return MayHolderBeSucceeded(core_) && holder &&
         decisions::IsHolderLost(watch_, core_.settings.peer_listen,
                                 WitnessesOf(*holder), Now());
}

bool lease_succession::IsHolderLost(std::int64_t term) {
  return term == watch_.term && IsHolderLost();
}

}  // namespace valeledge::host
