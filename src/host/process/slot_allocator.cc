// SPDX-License-Identifier: MIT
#include "host/process/slot_allocator.h"

#include <algorithm>
#include <random>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "host/constants.h"

namespace valeledge::host {

namespace {

namespace asio = boost::asio;
using base::result_code;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// A dealer that is well answers so long after a request's patience at the
// latest.
constexpr milliseconds kDealerMargin{100};
// One that did not answer is left alone for so long.
constexpr milliseconds kSilentPause{500};

// What the reply says.
enum class place_verdict : std::int32_t {
  kGiven = 0,
  kNoneInTime = 1,
  // This host does not deal the service's places.
  kNotDealt = 2,
};

wire::place_reply Reply(place_verdict verdict) {
  wire::place_reply reply;
  reply.verdict = static_cast<std::int32_t>(verdict);
  return reply;
}

wire::place_reply NoneInTime(milliseconds wait) {
  wire::place_reply reply = Reply(place_verdict::kNoneInTime);
  reply.retry_after_us = duration_cast<microseconds>(wait).count();
  return reply;
}

// A cold server counts with one slot: it adds little to what the others do.
// Servers that advertise a limit have permits in place of places.
std::map<std::string, decisions::server_capacity> UsableServers(
    const host_core& core,
    const std::string& service,
    base::time_point now) {
  const catalog::service* kind =
      core.configuration ? core.configuration->FindService(service) : nullptr;
  std::map<std::string, decisions::server_capacity> out;
  for (const auto& [instance, server] : core.servers.servers()) {
    const bool is_dealt = server->TakesRequests() &&
                          server->entry.service == service &&
                          !server->IsLimited();
    if (!is_dealt)
      continue;
    const bool cold = kind != nullptr && server->IsCold(*kind, now);
    out[instance] =
        cold ? decisions::server_capacity{1, decisions::ColdDealPause(
                                                 kind->cold_rate)}
             : decisions::server_capacity{server->entry.slots};
  }
  return out;
}

}  // namespace

place_duty::place_duty(host_core& core, place_links links)
    : core_(core), links_(std::move(links)) {}

void place_duty::DealOut(const std::string& service,
                         deal& dealt,
                         base::time_point now) {
  decisions::SetServers(dealt.ledger, UsableServers(core_, service, now));
  decisions::Expire(dealt.ledger, now);
  for (const auto& [number, server] : decisions::Deal(dealt.ledger, now)) {
    waiter& found = dealt.waiters.at(number);
    found.server = server;
    found.timer->cancel();
  }
}

asio::awaitable<wire::place_reply> place_duty::Answer(
    wire::place_question question) {
  const auto dealer = links_.dealer(question.service_name);
  if (!dealer || *dealer != core_.settings.peer_listen)
    co_return Reply(place_verdict::kNotDealt);
  const auto now = std::chrono::steady_clock::now();
  deal& dealt = deals_[question.service_name];
  const auto patience =
      decisions::PatienceOf(dealt.ledger, milliseconds(question.left_ms));
  DealOut(question.service_name, dealt, now);
  const auto expected =
      decisions::ExpectedWait(dealt.ledger, question.priority);
  if (!expected)
    co_return Reply(place_verdict::kNotDealt);
  if (*expected > patience)
    co_return NoneInTime(*expected - patience);
  decisions::place_wish wish;
  wish.priority = question.priority;
  wish.due = now + patience;
  wish.avoid = std::move(question.avoid);
  const std::int64_t number = decisions::AddWish(dealt.ledger, wish);
  asio::steady_timer timer(core_.context, wish.due);
  dealt.waiters[number] = {&timer, {}};
  DealOut(question.service_name, dealt, now);
  if (dealt.waiters[number].server.empty())
    co_await timer.async_wait(kAwait);
  const std::string server = std::move(dealt.waiters[number].server);
  dealt.waiters.erase(number);
  if (server.empty()) {
    DealOut(question.service_name, dealt, std::chrono::steady_clock::now());
    co_return NoneInTime(kShortComeBack);
  }
  wire::place_reply reply = Reply(place_verdict::kGiven);
  reply.number = number;
  reply.server = server;
  co_return reply;
}

void place_duty::TakeBack(const wire::place_end& end) {
  const auto found = deals_.find(end.service_name);
  if (found == deals_.end())
    return;
  decisions::place_ledger& ledger = found->second.ledger;
  const auto now = std::chrono::steady_clock::now();
  const auto how = static_cast<place_end_kind>(end.how);
  std::optional<std::chrono::duration<double, std::milli>> took;
  if (how == place_end_kind::kAnswered)
    took = microseconds(end.took_us);
  decisions::GiveBackPlace(ledger, end.server, end.number, took);
  const bool turned_away =
      how == place_end_kind::kFull || how == place_end_kind::kUnusable;
  if (turned_away)
    decisions::Rest(ledger, end.server, now);
  DealOut(end.service_name, found->second, now);
}

void place_duty::Roll(base::time_point now) {
  for (auto& [service, dealt] : deals_)
    DealOut(service, dealt, now);
}

asio::awaitable<std::optional<wire::place_reply>> place_duty::AskDealer(
    wire::place_question question,
    milliseconds longest) {
  const auto dealer = links_.dealer(question.service_name);
  if (!dealer)
    co_return std::nullopt;
  if (*dealer == core_.settings.peer_listen) {
    auto own = co_await Answer(std::move(question));
    co_return own;
  }
  const auto now = std::chrono::steady_clock::now();
  auto& silent_until = silent_until_[question.service_name];
  if (now < silent_until)
    co_return std::nullopt;
  wire::envelope call;
  call.__set_place_wanted(question);
  const auto reply =
      co_await links_.call(*dealer, std::move(call), longest + kDealerMargin);
  if (reply && reply->__isset.place)
    co_return reply->place;
  if (!reply) {
    silent_until = std::chrono::steady_clock::now() + kSilentPause;
    links_.doubt(*dealer);
  }
  co_return std::nullopt;
}

std::shared_ptr<dealt_place> place_duty::MakePlace(
    const std::string& service,
    const wire::place_reply& reply) {
  wire::place_end end;
  end.service_name = service;
  end.server = reply.server;
  end.number = reply.number;
  return std::make_shared<dealt_place>(
      reply.server, [this, end](place_end_kind how, microseconds took) mutable {
        end.how = static_cast<std::int32_t>(how);
        end.took_us = took.count();
        GiveBack(end);
      });
}

void place_duty::GiveBack(wire::place_end end) {
  const auto dealer = links_.dealer(end.service_name);
  if (dealer && *dealer == core_.settings.peer_listen) {
    TakeBack(end);
    return;
  }
  asio::co_spawn(core_.context, SendBack(std::move(end)), asio::detached);
}

asio::awaitable<void> place_duty::SendBack(wire::place_end end) {
  const auto dealer = links_.dealer(end.service_name);
  if (!dealer)
    co_return;
  wire::envelope call;
  call.__set_place_ended(end);
  co_await links_.call(*dealer, std::move(call), kDealerMargin);
}

asio::awaitable<base::result<std::shared_ptr<dealt_place>>> place_duty::Take(
    place_request wanted) {
  wire::place_question question;
  question.service_name = wanted.service;
  question.priority = wanted.priority;
  question.left_ms = wanted.left.count();
  question.avoid = std::move(wanted.avoid);
  const auto reply = co_await AskDealer(std::move(question), wanted.left);
  const auto verdict = reply ? static_cast<place_verdict>(reply->verdict)
                             : place_verdict::kNotDealt;
  if (verdict == place_verdict::kGiven)
    co_return MakePlace(wanted.service, *reply);
  if (verdict == place_verdict::kNotDealt)
    co_return std::shared_ptr<dealt_place>();
  auto busy =
      base::MakeError(result_code::kOverloaded, base::outcome::kNotRun,
                      "no place at the service's servers is free in time");
  busy.retry_after =
      std::max(duration_cast<milliseconds>(microseconds(reply->retry_after_us)),
               kShortComeBack);
  co_return tl::make_unexpected(std::move(busy));
}

}  // namespace valeledge::host
