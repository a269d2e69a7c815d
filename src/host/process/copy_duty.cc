// SPDX-License-Identifier: MIT
#include "host/process/copy_duty.h"

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/logging.h"
#include "decisions/snapshot_serving.h"

namespace valeledge::host {

namespace {

namespace asio = boost::asio;
using base::log_event;
using std::chrono::milliseconds;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view kCategory = "copies";

// After a copy of the store the next is asked for no sooner.
constexpr milliseconds kCopyPause{30};

// Copies that take less have no line in the log: small ones may come every
// 30 ms.
constexpr milliseconds kLoggedCopy{200};

}  // namespace

std::string copy_duty::NameOf(fetch_end end) {
  switch (end) {
    case fetch_end::kTaken:
      return "taken";
    case fetch_end::kBusy:
      return "busy";
    case fetch_end::kNotNeeded:
      return "not_needed";
    case fetch_end::kBroken:
      return "broken";
    case fetch_end::kGivenUp:
      return "given_up";
  }
  return "";
}

copy_duty::copy_duty(host_core& core, store_mirror& mirror, peer_link& peers)
    : core_(core), mirror_(mirror), peers_(peers) {}

void copy_duty::HearNewer(const base::endpoint& peer, bool same_zone) {
  const auto now = std::chrono::steady_clock::now();
  // Without any copy there is no time to be choosy.
  const bool near = same_zone || mirror_.revision() == 0;
  if (!mirror_.WantsCopy() ||
      !decisions::TryStartFetch(fetches_, peer, near, now)) {
    return;
  }
  asio::co_spawn(core_.context, Fetch(peer), asio::detached);
}

milliseconds copy_duty::StaleFor() const {
  return decisions::StaleFor(fetches_, std::chrono::steady_clock::now());
}

wire::envelope copy_duty::Give(const wire::mirror_request& wanted) {
  wire::envelope reply;
  if (decisions::MaySendSnapshot(peers_.QueuedBytes(),
                                 core_.settings.link_bytes_per_second)) {
    reply.__set_mirror(mirror_.CopyFor(wanted));
    return reply;
  }
  core_.metrics.Counter("valeledge_copies_total", "refused").Add();
  wire::acknowledgement busy;
  busy.code = static_cast<std::int32_t>(base::result_code::kRingFull);
  reply.__set_done(busy);
  return reply;
}

asio::awaitable<void> copy_duty::Fetch(base::endpoint peer) {
  wire::envelope call;
  wire::mirror_request wanted;
  wanted.since = mirror_.revision();
  wanted.__set_takes_packed(true);
  wanted.__set_takes_packed_copy(true);
  call.__set_mirror_wanted(wanted);
  // A named one: the compiler (GCC 12) destroys a temporary function twice that
  // is made within an awaited call.
  net::reply_limit limit = [this, peer](const net::reply_progress& progress) {
    decisions::RecordBytes(fetches_, peer, progress.bytes, progress.heard);
    return decisions::FetchDeadline(fetches_, peer);
  };
  const auto reply =
      co_await peers_.CallForCopy(peer, std::move(call), std::move(limit));
  const fetch_end end = TakeReply(wanted.since, reply);
  LogCompleted(peer, wanted.since, end, reply);
  if (end == fetch_end::kTaken) {
    // Also if it is no newer than what has come meanwhile.
    decisions::RecordSnapshot(fetches_);
    DropOthers(peer);
  }
  asio::steady_timer timer(core_.context, kCopyPause);
  co_await timer.async_wait(kAwait);
  decisions::EndFetch(fetches_, peer);
}

copy_duty::fetch_end copy_duty::TakeReply(
    std::int64_t since,
    const base::result<wire::envelope>& reply) {
  if (!reply) {
    return mirror_.revision() > since ? fetch_end::kNotNeeded
                                      : fetch_end::kGivenUp;
  }
  if (!reply->__isset.mirror)
    return fetch_end::kBusy;
  return mirror_.Take(reply->mirror) ? fetch_end::kTaken : fetch_end::kBroken;
}

void copy_duty::DropOthers(const base::endpoint& giver) {
  for (const auto& [peer, fetch] : fetches_.asked) {
    if (peer != giver)
      peers_.DropCopy(peer);
  }
}

void copy_duty::LogCompleted(const base::endpoint& peer,
                             std::int64_t since,
                             fetch_end end,
                             const base::result<wire::envelope>& reply) {
  const decisions::snapshot_fetch& fetch = fetches_.asked.at(peer);
  core_.metrics.Counter("valeledge_copy_bytes_total").Add(fetch.bytes);
  core_.metrics.Counter("valeledge_copies_total", NameOf(end)).Add();
  const bool taken = end == fetch_end::kTaken;
  const auto took = std::chrono::duration_cast<milliseconds>(
      std::chrono::steady_clock::now() - fetch.begun);
  const bool expected = end == fetch_end::kBusy || end == fetch_end::kNotNeeded;
  if (expected || (taken && took < kLoggedCopy))
    return;
  base::Log(kCategory, taken ? log_event::kCopyTaken : log_event::kCopyGivenUp,
            {{"peer", base::ToString(peer)},
             {"bytes", fetch.bytes},
             {"after_ms", took.count()},
             {"from_revision", since},
             {"to_revision", taken ? reply->mirror.revision : 0},
             {"asked", static_cast<std::int64_t>(fetches_.asked.size())},
             {"reason", reply ? NameOf(end) : reply.error().message}});
}

}  // namespace valeledge::host
