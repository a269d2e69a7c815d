// SPDX-License-Identifier: MIT
#include "node/node.h"

#include <future>
#include <utility>

#include <boost/beast/http.hpp>

#include "base/identifier.h"
#include "base/logging.h"
#include "membership/constants.h"
#include "membership/ownership.h"
#include "node/constants.h"
#include "node/host_watch.h"
#include "node/table_sync.h"
#include "store/etcd_client.h"
#include "wire/codec.h"

namespace valeledge::node {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using base::log_event;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view kCategory = "node";

net::http_response RenderFault(const base::error& fault) {
  boost::json::object body;
  body["code"] = static_cast<int>(fault.code);
  body["message"] = fault.message;
  return net::MakeJsonResponse(base::Describe(fault.code).http_status,
                               boost::json::serialize(body));
}

std::vector<membership::cell_site> Cells(const table::snapshot& table) {
  std::vector<membership::cell_site> out;
  for (const auto& [cell, servers] : table.cells)
    out.push_back({cell, servers.front()->zone});
  return out;
}

net::http_response PlainText(int status, std::string body) {
  auto answer = net::MakeJsonResponse(status, std::move(body));
  answer.set(http::field::content_type, "text/plain; charset=utf-8");
  return answer;
}

}  // namespace

node::node(node_settings settings, std::int32_t roles)
    : settings_(std::move(settings)), random_(std::random_device{}()) {
  if (settings_.id.empty())
    settings_.id = base::NewIdentifier().substr(0, 12);
  gossip_ =
      membership::gossip_builder()
          .Settings(settings_.gossip)
          .Self(settings_.id, settings_.peer_listen, settings_.zone, roles)
          .Incarnation(std::chrono::system_clock::now())
          .Seeds(settings_.seeds)
          .Build();
  handler_ = [](wire::envelope) -> asio::awaitable<wire::envelope> {
    co_return wire::envelope();
  };
  RefreshView();
}

node::~node() {
  Stop();
}

void node::SetCallHandler(net::rpc_handler handler) {
  handler_ = std::move(handler);
}

void node::AddStatusSource(status_source source) {
  status_sources_.push_back(std::move(source));
}

void node::AddGaugeSource(std::function<void(base::metrics&)> source) {
  gauge_sources_.push_back(std::move(source));
}

base::result<void> node::Start() {
  datagrams_ = std::make_unique<net::udp_socket>(
      peers_.context(),
      [this](std::string_view bytes, const base::endpoint& from) {
        HandleDatagram(bytes, from);
      });
  channels_ = std::make_unique<net::rpc_channel_set>(peers_.context());
  calls_ = std::make_unique<net::rpc_server>(
      peers_.context(),
      [this](wire::envelope call) { return HandleCall(std::move(call)); });
  admin_ = std::make_unique<net::http_server>(
      peers_.context(), net::http_limits{},
      [this](net::http_request& request, net::http_responder& responder) {
        return HandleAdmin(request, responder);
      },
      RenderFault);
  key_value_ = std::make_unique<store::etcd_client>(
      platform_.context(),
      store::kv_client_settings{settings_.key_value,
                                settings_.platform_timeout},
      &metrics_);
  sync_ = std::make_unique<table_sync>(*this);
  hosts_ = std::make_unique<host_watch>(
      platform_, settings_, [this] { return sync_->IsWatcher(); },
      [this](std::string value) {
        AnnounceRecord(std::string(membership::kLeavingHostsRecord),
                       std::move(value));
      });
  for (const auto& started : {datagrams_->Start(settings_.peer_listen),
                              calls_->Start(settings_.peer_listen),
                              admin_->Start(settings_.admin_listen)}) {
    if (!started)
      return tl::make_unexpected(started.error());
  }
  table_.OnChange([this](const table::snapshot_pointer& fresh) {
    base::Log(kCategory, log_event::kTableApplied,
              {{"revision", fresh->revision}});
    metrics_.Gauge("valeledge_table_revision").Set(fresh->revision);
    const std::int64_t revision = fresh->revision;
    peers_.Submit([this, revision] {
      view_outdated_ = true;
      owners_outdated_ = true;
      Publish(membership::AnnounceTable(gossip_, revision, random_));
    });
  });
  asio::co_spawn(peers_.context(), TickLoop(), asio::detached);
  sync_->Start();
  hosts_->Start();
  return {};
}

void node::Run() {
  peers_.Start();
  platform_.Start();
}

void node::Stop() {
  platform_.Stop();
  FlushPeers();
  peers_.Stop();
}

void node::FlushPeers() {
  if (!peers_.IsRunning())
    return;
  // Notices queued before are handed to the kernel when these have run.
  for (int hop = 0; hop < kFlushHops; ++hop) {
    auto done = std::make_shared<std::promise<void>>();
    auto passed = done->get_future();
    if (!peers_.Submit([done] { done->set_value(); }))
      return;
    passed.wait_for(kFlushLimit);
  }
}

void node::AnnounceLeaving() {
  leaving_ = true;
  peers_.Submit([this] {
    Publish(membership::AnnounceLeaving(gossip_, random_));
    owners_outdated_ = true;
    RefreshView();
  });
}

void node::AnnounceRecord(std::string key, std::string value) {
  peers_.Submit([this, key = std::move(key), value = std::move(value)] {
    Publish(membership::AnnounceRecord(gossip_, key, value,
                                       std::chrono::system_clock::now()));
  });
}

std::shared_ptr<const member_view> node::View() const {
  const std::lock_guard lock(view_mutex_);
  return view_;
}

bool node::IsReady() const {
  return !leaving_ && sync_ != nullptr && sync_->HasTable();
}

void node::Publish(membership::gossip_events events) {
  for (const membership::outgoing_datagram& each : events.datagrams) {
    const std::string bytes = wire::Encode(each.message);
    for (const base::endpoint& to : each.to)
      datagrams_->Send(to, bytes);
  }
  if (events.newer_table_at && sync_ != nullptr)
    sync_->FetchFrom(*events.newer_table_at);
  if (events.refuted)
    base::Log(kCategory, log_event::kMemberRefuted);
  for (const std::string& id : events.changed) {
    const auto found = gossip_.others.find(id);
    if (found == gossip_.others.end())
      continue;
    const auto& record = found->second.record;
    const auto health = static_cast<membership::member_health>(record.health);
    base::Log(kCategory, log_event::kMemberChanged,
              {{"member", id},
               {"health", std::string(membership::ToString(health))},
               {"leaving", std::int64_t{record.leaving}}});
  }
  owners_outdated_ |= !events.changed.empty();
  view_outdated_ |= !events.changed.empty() || !events.records.empty();
}

void node::RefreshView() {
  auto fresh = std::make_shared<member_view>();
  fresh->members = membership::Members(gossip_);
  fresh->records = gossip_.soft.records;
  if (std::exchange(owners_outdated_, false))
    fresh->owners =
        membership::AssignCells(fresh->members, Cells(*table_.Get()));
  else
    fresh->owners = view_->owners;
  view_outdated_ = false;
  const std::lock_guard lock(view_mutex_);
  view_ = std::move(fresh);
}

void node::HandleDatagram(std::string_view bytes, const base::endpoint& from) {
  const auto message = wire::DecodeGossip(bytes);
  if (!message) {
    metrics_.CountRefusal(base::result_code::kFrameBroken);
    return;
  }
  Publish(membership::Receive(gossip_, *message, from,
                              std::chrono::steady_clock::now(), random_));
}

asio::awaitable<void> node::TickLoop() {
  asio::steady_timer timer(peers_.context());
  while (true) {
    Publish(
        membership::Tick(gossip_, std::chrono::steady_clock::now(), random_));
    if (view_outdated_)
      RefreshView();
    timer.expires_after(kTickInterval);
    co_await timer.async_wait(kAwait);
  }
}

asio::awaitable<wire::envelope> node::HandleCall(wire::envelope call) {
  if (!call.__isset.table_wanted)
    co_return co_await handler_(std::move(call));
  wire::envelope reply;
  reply.__set_table(table::DeltaSince(*table_.Get(), call.table_wanted.since));
  co_return reply;
}

asio::awaitable<base::result<wire::envelope>> node::CallPeer(
    base::endpoint where,
    wire::envelope call,
    std::chrono::microseconds timeout) {
  co_return co_await channels_->Call(std::move(where), std::move(call),
                                     timeout);
}

asio::awaitable<base::result<wire::envelope>> node::CallPeer(
    base::endpoint where,
    wire::envelope call,
    net::reply_limit limit) {
  co_return co_await channels_->Call(std::move(where), std::move(call),
                                     std::move(limit));
}

void node::UpdateGauges() {
  const auto set = [this](std::string_view name, std::int64_t value) {
    metrics_.Gauge(name).Set(value);
  };
  set("valeledge_gossip_bytes_sent", datagrams_->bytes_sent());
  set("valeledge_gossip_bytes_received", datagrams_->bytes_received());
  set("valeledge_call_bytes_sent",
      channels_->bytes_sent() + calls_->bytes_sent());
  set("valeledge_call_bytes_received",
      channels_->bytes_received() + calls_->bytes_received());
  set("valeledge_members",
      static_cast<std::int64_t>(gossip_.others.size() + 1));
  set("valeledge_gossip_rumors",
      static_cast<std::int64_t>(gossip_.rumors.size()));
  set("valeledge_ring_refused", peers_.refused() + platform_.refused());
  set("valeledge_table_watcher", sync_->IsWatcher() ? 1 : 0);
  set("valeledge_platform_bytes", key_value_->bytes());
  for (const auto& source : gauge_sources_)
    source(metrics_);
}

std::string node::RenderStatus() {
  boost::json::object status;
  status["id"] = settings_.id;
  status["zone"] = settings_.zone;
  status["table_revision"] = table_.Get()->revision;
  status["ready"] = IsReady();
  status["leaving"] = leaving_.load();
  boost::json::array members;
  for (const membership::member& each : membership::Members(gossip_)) {
    const auto health = static_cast<membership::member_health>(each.health);
    members.push_back({{"id", each.id},
                       {"address", each.address},
                       {"zone", each.zone},
                       {"roles", each.roles},
                       {"leaving", each.leaving},
                       {"health", membership::ToString(health)}});
  }
  status["members"] = std::move(members);
  for (const status_source& source : status_sources_)
    source(status);
  return boost::json::serialize(status);
}

asio::awaitable<void> node::HandleAdmin(net::http_request& request,
                                        net::http_responder& responder) {
  const std::string_view path(request.target().data(), request.target().size());
  if (path == "/healthz") {
    co_await responder.Send(PlainText(200, "ok\n"));
  } else if (path == "/readyz") {
    const bool ready = IsReady();
    co_await responder.Send(
        PlainText(ready ? 200 : 503, ready ? "ready\n" : "not ready\n"));
  } else if (path == "/metrics") {
    UpdateGauges();
    co_await responder.Send(PlainText(200, metrics_.Render()));
  } else if (path == "/status") {
    co_await responder.Send(net::MakeJsonResponse(200, RenderStatus()));
  } else {
    const base::error unknown =
        base::MakeError(base::result_code::kUnknownPath, base::outcome::kNotRun,
                        "use /healthz, /readyz, /metrics or /status");
    co_await responder.Send(RenderFault(unknown));
  }
}

}  // namespace valeledge::node
