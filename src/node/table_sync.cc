// SPDX-License-Identifier: MIT
#include "node/table_sync.h"

#include <algorithm>
#include <random>
#include <set>
#include <utility>

#include "base/logging.h"
#include "membership/ownership.h"
#include "node/constants.h"
#include "node/node.h"
#include "store/constants.h"
#include "store/table_reader.h"

namespace valeledge::node {

namespace {

namespace asio = boost::asio;
using base::log_event;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view kCategory = "table";

asio::awaitable<void> Pause(std::chrono::microseconds length) {
  asio::steady_timer timer(co_await asio::this_coro::executor, length);
  co_await timer.async_wait(kAwait);
}

// A pause between half of `bound` and `bound`.
std::chrono::microseconds Jittered(std::chrono::microseconds bound) {
  thread_local std::mt19937_64 random{std::random_device{}()};
  std::uniform_int_distribution<std::int64_t> any(bound.count() / 2,
                                                  bound.count());
  return std::chrono::microseconds(any(random));
}

}  // namespace

table_sync::table_sync(node& owner) : owner_(owner) {}

void table_sync::Start() {
  asio::co_spawn(owner_.peers().context(), FindFirstTable(), asio::detached);
  asio::co_spawn(owner_.platform().context(), WatchLoop(), asio::detached);
}

bool table_sync::IsWatcher() const {
  const auto view = owner_.View();
  const node_settings& settings = owner_.settings();
  const auto chosen = membership::ChooseOwners(
      view->members, "watch/" + settings.zone, 0, settings.zone,
      static_cast<std::size_t>(settings.watchers_per_zone));
  return std::ranges::any_of(chosen, [this](const membership::member* each) {
    return each->id == owner_.id();
  });
}

void table_sync::FetchFrom(const base::endpoint& peer) {
  const auto now = std::chrono::steady_clock::now();
  if (!decisions::TryStartFetch(fetches_, peer, true, now))
    return;
  asio::co_spawn(owner_.peers().context(), Fetch(peer), asio::detached);
}

asio::awaitable<void> table_sync::Fetch(base::endpoint peer) {
  const std::int64_t since = owner_.table().Get()->revision;
  wire::envelope call;
  wire::table_request wanted;
  wanted.since = since;
  call.__set_table_wanted(wanted);
  net::reply_limit limit = [this, peer](const net::reply_progress& progress) {
    decisions::RecordBytes(fetches_, peer, progress.bytes, progress.heard);
    return decisions::FetchDeadline(fetches_, peer);
  };
  const auto reply =
      co_await owner_.CallPeer(peer, std::move(call), std::move(limit));
  decisions::EndFetch(fetches_, peer);
  if (!reply || !reply->__isset.table)
    co_return;
  decisions::RecordSnapshot(fetches_);
  owner_.table().Apply(reply->table, since);
}

asio::awaitable<void> table_sync::FindFirstTable() {
  const auto started = std::chrono::steady_clock::now();
  std::set<std::string> asked;
  while (true) {
    const auto view = owner_.View();
    std::size_t others = 0;
    for (const membership::member& each : view->members) {
      const auto address = base::ParseEndpoint(each.address);
      if (each.id == owner_.id() || !address)
        continue;
      ++others;
      if (asked.size() >= kFirstTablePeers || asked.contains(each.id))
        continue;
      asked.insert(each.id);
      decisions::StartFetch(fetches_, *address,
                            std::chrono::steady_clock::now());
      co_await Fetch(*address);
    }
    const bool have = owner_.table().Get()->revision > 0;
    const bool asked_enough =
        asked.size() >= std::min(kFirstTablePeers, others);
    const bool waited =
        std::chrono::steady_clock::now() - started >= kPeersFirst;
    if (have && (waited || asked.size() >= kFirstTablePeers) && asked_enough)
      break;
    // Peers that had none are asked again.
    if (!have && waited && asked_enough)
      asked.clear();
    co_await Pause(kTickInterval);
  }
  has_table_ = true;
}

void table_sync::NotePlatform(bool answered) {
  if (answered == !platform_down_)
    return;
  platform_down_ = !answered;
  base::Log(kCategory,
            answered ? log_event::kPlatformUp : log_event::kPlatformDown);
  owner_.metrics().Gauge("valeledge_platform_up").Set(answered ? 1 : 0);
}

asio::awaitable<bool> table_sync::ReadPlatform() {
  const std::int64_t since = owner_.table().Get()->revision;
  // A delta of the service starts at its own revision; one that was read
  // before this process had a table must be whole.
  const std::int64_t from = since == 0 ? 0 : next_read_;
  const auto reading = co_await store::ReadTable(owner_.key_value(), from);
  NotePlatform(reading.has_value() ||
               reading.error().code == base::result_code::kTableInvalid);
  if (!reading)
    co_return false;
  next_watch_ = reading->service_revision + 1;
  const std::int64_t revision = reading->delta.revision;
  if (revision < since) {
    base::Log(kCategory, log_event::kRevisionWentBack,
              {{"platform", revision}, {"here", since}});
    owner_.metrics().CountRefusal(base::result_code::kRevisionBackwards);
    next_read_ = 0;
    co_return true;
  }
  owner_.table().Apply(reading->delta, 0);
  next_read_ = reading->service_revision + 1;
  co_return true;
}

asio::awaitable<void> table_sync::WatchLoop() {
  auto pause = kFirstPlatformPause;
  co_await Pause(Jittered(kPeersFirst));
  while (true) {
    const bool without_table = owner_.table().Get()->revision == 0;
    if (!IsWatcher() && !without_table) {
      next_read_ = 0;
      co_await Pause(Jittered(std::chrono::seconds(1)));
      continue;
    }
    const bool read = co_await ReadPlatform();
    if (!read) {
      co_await Pause(Jittered(pause));
      pause = std::min(kLongestPlatformPause, pause * 2);
      continue;
    }
    pause = kFirstPlatformPause;
    if (owner_.table().Get()->revision == 0 || !IsWatcher()) {
      co_await Pause(Jittered(kPeersFirst));
      continue;
    }
    const auto change = co_await owner_.key_value().AwaitChange(
        std::string(store::kRevisionKey), next_watch_, kWatchLength);
    if (!change)
      co_await Pause(Jittered(pause));
  }
}

}  // namespace valeledge::node
