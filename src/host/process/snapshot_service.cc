// SPDX-License-Identifier: MIT
#include "host/process/snapshot_service.h"

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

// Minimum delay after a fetch before the same peer is contacted again.
constexpr milliseconds kFetchInterval{30};

// Faster fetches are not logged, since small snapshots may be received every 30
// ms.
constexpr milliseconds kMinLoggedDuration{200};

}  // namespace

std::string snapshot_service::MetricLabel(fetch_result result) {
  switch (result) {
    case fetch_result::kApplied:
      return "taken";
    case fetch_result::kBusy:
      return "busy";
    case fetch_result::kUnneeded:
      return "not_needed";
    case fetch_result::kInvalid:
      return "broken";
    case fetch_result::kAbandoned:
      return "given_up";
  }
  return "";
}

snapshot_service::snapshot_service(host_core& core,
                                   store_mirror& mirror,
                                   peer_link& peers)
    : core_(core), mirror_(mirror), peers_(peers) {}

void snapshot_service::OnNewerSnapshot(const base::endpoint& peer,
                                       bool same_zone) {
  const auto now = std::chrono::steady_clock::now();
  // A host without any snapshot fetches from any zone at once.
  const bool fetch_at_once = same_zone || mirror_.revision() == 0;
  if (!mirror_.NeedsSnapshot() ||
      !decisions::TryStartFetch(fetches_, peer, fetch_at_once, now)) {
    return;
  }
  asio::co_spawn(core_.context, Fetch(peer), asio::detached);
}

milliseconds snapshot_service::StaleFor() const {
  return decisions::StaleFor(fetches_, std::chrono::steady_clock::now());
}

wire::envelope snapshot_service::HandleRequest(
    const wire::mirror_request& request) {
  wire::envelope reply;
  if (decisions::MaySendSnapshot(peers_.QueuedBytes(),
                                 core_.settings.link_bytes_per_second)) {
    reply.__set_mirror(mirror_.SnapshotFor(request));
    return reply;
  }
  core_.metrics.Counter("valeledge_copies_total", "refused").Add();
  wire::acknowledgement busy;
  busy.code = static_cast<std::int32_t>(base::result_code::kRingFull);
  reply.__set_done(busy);
  return reply;
}

asio::awaitable<void> snapshot_service::Fetch(base::endpoint peer) {
  wire::envelope call;
  wire::mirror_request request;
  request.since = mirror_.revision();
  request.__set_takes_packed(true);
  request.__set_takes_packed_copy(true);
  call.__set_mirror_wanted(request);
  // A named variable, since GCC 12 destroys a temporary function object twice
  // if it is created within an awaited call.
  net::reply_limit limit = [this, peer](const net::reply_progress& progress) {
    decisions::RecordBytes(fetches_, peer, progress.bytes, progress.heard);
    return decisions::FetchDeadline(fetches_, peer);
  };
  const auto reply =
      co_await peers_.CallForSnapshot(peer, std::move(call), std::move(limit));
  const fetch_result result = ApplyReply(request.since, reply);
  LogResult(peer, request.since, result, reply);
  if (result == fetch_result::kApplied) {
    // Also if the snapshot is no newer than one received meanwhile.
    decisions::RecordSnapshot(fetches_);
    CancelOtherFetches(peer);
  }
  asio::steady_timer timer(core_.context, kFetchInterval);
  co_await timer.async_wait(kAwait);
  decisions::EndFetch(fetches_, peer);
}

snapshot_service::fetch_result snapshot_service::ApplyReply(
    std::int64_t since,
    const base::result<wire::envelope>& reply) {
  if (!reply) {
    return mirror_.revision() > since ? fetch_result::kUnneeded
                                      : fetch_result::kAbandoned;
  }
  if (!reply->__isset.mirror)
    return fetch_result::kBusy;
  return mirror_.Apply(reply->mirror) ? fetch_result::kApplied
                                      : fetch_result::kInvalid;
}

void snapshot_service::CancelOtherFetches(const base::endpoint& source) {
  for (const auto& [peer, fetch] : fetches_.pending) {
    if (peer != source)
      peers_.CancelSnapshot(peer);
  }
}

void snapshot_service::LogResult(const base::endpoint& peer,
                                 std::int64_t since,
                                 fetch_result result,
                                 const base::result<wire::envelope>& reply) {
  const decisions::snapshot_fetch& fetch = fetches_.pending.at(peer);
  core_.metrics.Counter("valeledge_copy_bytes_total").Add(fetch.bytes);
  core_.metrics.Counter("valeledge_copies_total", MetricLabel(result)).Add();
  const bool applied = result == fetch_result::kApplied;
  const auto elapsed = std::chrono::duration_cast<milliseconds>(
      std::chrono::steady_clock::now() - fetch.started_at);
  const bool expected =
      result == fetch_result::kBusy || result == fetch_result::kUnneeded;
  if (expected || (applied && elapsed < kMinLoggedDuration))
    return;
  base::Log(kCategory,
            applied ? log_event::kCopyTaken : log_event::kCopyGivenUp,
            {{"peer", base::ToString(peer)},
             {"bytes", fetch.bytes},
             {"after_ms", elapsed.count()},
             {"from_revision", since},
             {"to_revision", applied ? reply->mirror.revision : 0},
             {"asked", static_cast<std::int64_t>(fetches_.pending.size())},
             {"reason", reply ? MetricLabel(result) : reply.error().message}});
}

}  // namespace valeledge::host
