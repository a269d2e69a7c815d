// SPDX-License-Identifier: MIT
#include "host/process/peer_link.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/logging.h"
#include "host/constants.h"
#include "membership/selection_cache.h"
#include "wire/codec.h"

namespace valeledge::host {

namespace {

namespace asio = boost::asio;

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr std::string_view kCategory = "peers";

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// 50 Mbit/s: the largest value of the store, 1 MB (1.4 MB in base64), is
// received within a quarter of a second.
constexpr double kWideLinkBytes = 50e6 / 8;

// A call that takes longer than this beyond its time is counted.
constexpr milliseconds kOverrunTolerance{50};

// Kind under which the datagrams of the membership protocol are counted.
constexpr std::string_view kMembershipKind = "membership";

constexpr std::size_t kAllHosts = std::numeric_limits<std::size_t>::max();

// Relays in each availability zone, which forward updates to the other hosts of
// the zone. Two of them tolerate the failure of one.
constexpr std::string_view kRelaySubject = "relay/placed";
constexpr std::size_t kRelaysPerZone = 2;

// Up to this number of hosts, BroadcastEvenly sends directly: a datagram of 140
// bytes to each of them takes 18 kB.
constexpr std::int64_t kMaxDirectHosts = 128;

std::int32_t RolesOf(const host_settings& settings) {
  std::int32_t roles = membership::kGateway | membership::kController;
  if (settings.link_bytes_per_second >= kWideLinkBytes)
    roles |= membership::kHighBandwidth;
  return roles;
}

// The kind under which a datagram is counted.
std::string KindOf(const wire::gossip_message& message) {
  const bool direct = message.kind == static_cast<std::int32_t>(
                                          membership::gossip_kind::kDirect);
  return direct && !message.records.empty() ? message.records.front().key
                                            : std::string(kMembershipKind);
}

membership::gossip_state MakeGossip(const host_settings& settings) {
  membership::gossip_settings times;
  // Short, so that responsibilities of a dead host move to another one soon.
  times.suspect_timeout = std::chrono::seconds(2);
  std::vector<base::endpoint> seeds = settings.seeds;
  std::erase(seeds, settings.peer_listen);
  return membership::gossip_builder()
      .Settings(times)
      .Self(settings.name, settings.peer_listen, settings.zone,
            RolesOf(settings))
      .Incarnation(std::chrono::system_clock::now())
      .Seeds(std::move(seeds))
      .Build();
}

}  // namespace

peer_link::peer_link(asio::io_context& context,
                     const host_settings& settings,
                     peer_events events,
                     const std::shared_ptr<base::memory_budget>& memory)
    : context_(context),
      listen_(settings.peer_listen),
      events_(std::move(events)),
      gossip_(MakeGossip(settings)),
      datagrams_(context,
                 [this](std::string_view bytes, const base::endpoint& from) {
                   Receive(bytes, from);
                 }),
      channels_(context, memory),
      snapshot_channels_(context, memory),
      calls_(context, events_.call, memory) {
  configured_seeds_ = gossip_.seeds;
}

peer_link::~peer_link() = default;

base::result<void> peer_link::Start() {
  const auto datagrams = datagrams_.Start(listen_);
  if (!datagrams)
    return tl::make_unexpected(datagrams.error());
  const auto calls = calls_.Start(listen_);
  if (!calls)
    return tl::make_unexpected(calls.error());
  asio::co_spawn(context_, TickLoop(), asio::detached);
  return {};
}

asio::awaitable<void> peer_link::TickLoop() {
  asio::steady_timer timer(context_);
  while (true) {
    Dispatch(
        membership::Tick(gossip_, std::chrono::steady_clock::now(), random_));
    timer.expires_after(kGossipTickInterval);
    co_await timer.async_wait(kAwait);
  }
}

void peer_link::Receive(std::string_view bytes, const base::endpoint& from) {
  const auto message = wire::DecodeGossip(bytes);
  if (!message)
    return;
  Dispatch(membership::Receive(gossip_, *message, from,
                               std::chrono::steady_clock::now(), random_));
}

void peer_link::Dispatch(membership::gossip_events events) {
  for (const membership::outgoing_datagram& each : events.datagrams) {
    const std::string bytes = wire::Encode(each.message);
    sent_bytes_[KindOf(each.message)] +=
        static_cast<std::int64_t>(bytes.size() * each.to.size());
    for (const base::endpoint& to : each.to)
      datagrams_.Send(to, bytes);
  }
  for (const membership::direct_record& each : events.direct)
    events_.record_received(each);
  for (const std::string& name : events.changed) {
    const auto found = gossip_.others.find(name);
    const auto dead =
        static_cast<std::int32_t>(membership::member_health::kDead);
    if (found == gossip_.others.end() || found->second.record.health == dead)
      dead_hosts_.push_back(name);
  }
  if (!events.changed.empty()) {
    const std::int64_t serving = CountServing();
    if (serving > std::exchange(serving_, serving))
      events_.host_joined();
    events_.members_changed();
  }
  if (events.newer_table_at) {
    events_.newer_snapshot(*events.newer_table_at,
                           events.newer_table_zone == gossip_.self.zone);
  }
}

void peer_link::Send(const std::string& key,
                     std::string value,
                     const membership::direct_recipients& recipients) {
  Dispatch(membership::SendDirectly(gossip_, key, std::move(value), recipients,
                                    random_));
}

void peer_link::Broadcast(
    const std::string& key,
    const std::function<std::string(bool hand_on)>& encode) {
  if (static_cast<std::size_t>(CountServing()) <= kMaxReportRecipients) {
    Send(key, encode(false), {kAllHosts, {}, std::nullopt});
    return;
  }
  BroadcastInZone(key, encode(false));
  SendToRelays(key, encode(true), kRelaysPerZone, std::string(kRelaySubject));
}

void peer_link::BroadcastEvenly(
    const std::string& key,
    const std::function<std::string(bool hand_on)>& encode) {
  if (CountServing() <= kMaxDirectHosts) {
    Send(key, encode(false), {kAllHosts, {}, std::nullopt});
    return;
  }
  BroadcastInZone(key, encode(false));
  SendToRelays(key, encode(true), 1, {});
}

void peer_link::BroadcastInZone(const std::string& key, std::string value) {
  Send(key, std::move(value), {kAllHosts, {}, std::nullopt, gossip_.self.zone});
}

void peer_link::SendToRelays(const std::string& key,
                             const std::string& value,
                             std::size_t count,
                             const std::string& subject) {
  std::set<std::string> zones;
  for (const auto& [id, each] : gossip_.others)
    zones.insert(each.record.zone);
  zones.erase(gossip_.self.zone);
  for (const std::string& zone : zones)
    Send(key, value, {count, subject, std::nullopt, zone});
}

bool peer_link::IsChosen(const std::string& subject,
                         std::size_t count,
                         scope among,
                         std::int32_t preferred_roles) {
  const std::string zone = among == scope::kZone ? gossip_.self.zone : "";
  const auto& chosen = membership::SelectMembers(
      gossip_, {subject, zone, count, preferred_roles});
  return std::ranges::find(chosen, gossip_.self.id) != chosen.end();
}

std::vector<base::endpoint> peer_link::ChosenAddresses(
    const std::string& subject,
    std::size_t count,
    std::int32_t preferred_roles) {
  std::vector<base::endpoint> out;
  for (const std::string& id : membership::SelectMembers(
           gossip_, {subject, {}, count, preferred_roles})) {
    const auto known = gossip_.others.find(id);
    if (known != gossip_.others.end())
      out.push_back(known->second.address);
    else if (id == gossip_.self.id)
      out.push_back(listen_);
  }
  return out;
}

std::optional<base::endpoint> peer_link::FirstHealthy(
    const std::string& subject,
    std::int32_t preferred_roles) {
  // More hosts than this are rarely suspected at the same time.
  constexpr std::size_t kMaxCandidates = 4;
  const auto alive =
      static_cast<std::int32_t>(membership::member_health::kAlive);
  for (const std::string& id : membership::SelectMembers(
           gossip_, {subject, {}, kMaxCandidates, preferred_roles})) {
    if (id == gossip_.self.id)
      return listen_;
    const auto known = gossip_.others.find(id);
    if (known != gossip_.others.end() && known->second.record.health == alive)
      return known->second.address;
  }
  return std::nullopt;
}

std::vector<base::endpoint> peer_link::SampleServing(bool same_zone,
                                                     std::size_t count) {
  std::vector<base::endpoint> serving;
  for (const auto& [id, each] : gossip_.others) {
    const bool in_zone = each.record.zone == gossip_.self.zone;
    if (in_zone == same_zone && membership::TakesWork(each.record))
      serving.push_back(each.address);
  }
  std::vector<base::endpoint> out;
  std::ranges::sample(serving, std::back_inserter(out),
                      static_cast<std::ptrdiff_t>(count), random_);
  return out;
}

void peer_link::Suspect(const base::endpoint& where) {
  membership::ProbeNext(gossip_, where);
}

void peer_link::AnnounceLeaving() {
  Dispatch(membership::AnnounceLeaving(gossip_, random_));
}

void peer_link::AnnounceRevision(std::int64_t revision) {
  gossip_.table_revision = revision;
}

void peer_link::SetSeeds(const std::vector<base::endpoint>& seeds) {
  gossip_.seeds = configured_seeds_;
  for (const base::endpoint& each : seeds) {
    const bool known =
        std::ranges::find(gossip_.seeds, each) != gossip_.seeds.end();
    if (!known && each != listen_)
      gossip_.seeds.push_back(each);
  }
}

std::int64_t peer_link::CountServing() const {
  const auto others =
      std::ranges::count_if(gossip_.others, [](const auto& each) {
        return membership::TakesWork(each.second.record);
      });
  return others + (membership::TakesWork(gossip_.self) ? 1 : 0);
}

std::int64_t peer_link::CountKnown() const {
  const auto others = std::ranges::count_if(
      gossip_.others,
      [](const auto& each) { return !each.second.record.leaving; });
  return others + 1;
}

double peer_link::VisibleFraction() const {
  return static_cast<double>(CountServing()) /
         static_cast<double>(CountKnown());
}

bool peer_link::AreAllHealthy() const {
  const auto alive =
      static_cast<std::int32_t>(membership::member_health::kAlive);
  return std::ranges::all_of(gossip_.others, [alive](const auto& each) {
    const membership::member& record = each.second.record;
    return record.leaving || record.health == alive;
  });
}

std::vector<std::string> peer_link::TakeDeadHosts() {
  return std::exchange(dead_hosts_, {});
}

asio::awaitable<base::result<wire::envelope>> peer_link::Call(
    base::endpoint where,
    wire::envelope call,
    std::chrono::microseconds timeout) {
  const auto called = std::chrono::steady_clock::now();
  auto reply = co_await channels_.Call(where, std::move(call), timeout);
  const auto took =
      duration_cast<milliseconds>(std::chrono::steady_clock::now() - called);
  if (took > timeout + kOverrunTolerance) {
    ++overrun_calls_;
    base::Log(kCategory, base::log_event::kPeerCallOverrun,
              {{"host", base::ToString(where)},
               {"took_ms", took.count()},
               {"allowed_ms", duration_cast<milliseconds>(timeout).count()}});
  }
  co_return reply;
}

asio::awaitable<base::result<wire::envelope>> peer_link::CallForSnapshot(
    base::endpoint where,
    wire::envelope call,
    net::reply_limit limit) {
  auto reply = co_await snapshot_channels_.Call(where, std::move(call),
                                                std::move(limit));
  if (!reply)
    snapshot_channels_.Drop(where);
  co_return reply;
}

void peer_link::CancelSnapshot(const base::endpoint& where) {
  snapshot_channels_.Drop(where);
}

std::int64_t peer_link::bytes() const {
  return datagrams_.bytes_sent() + channels_.bytes_sent() +
         snapshot_channels_.bytes_sent() + calls_.bytes_sent();
}

}  // namespace valeledge::host
