// SPDX-License-Identifier: MIT
#include "host/request/server_search.h"

#include <algorithm>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "decisions/engine_admission.h"
#include "decisions/replica_wait.h"
#include "host/constants.h"

namespace valeledge::host {

namespace {

namespace asio = boost::asio;
using base::result_code;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

server_wish WishOf(const routed_request& routed) {
  server_wish wish;
  wish.service = routed.service->name;
  wish.model = routed.head.model;
  wish.adapter = routed.head.adapter;
  wish.head = &routed.head;
  wish.weight = routed.weight;
  wish.avoid = &routed.avoid;
  wish.route_homes = &routed.route->homes;
  if (routed.workspace != nullptr)
    wish.workspace_homes = &routed.workspace->homes;
  return wish;
}

// The same wish for the model without its adapter.
server_wish BareWish(server_wish wish) {
  wish.adapter = {};
  return wish;
}

// When a part of the objective has passed, or all of the time.
base::time_point PartOfObjective(const routed_request& routed, double part) {
  const auto patience =
      duration_cast<milliseconds>(routed.route->objective * part);
  return std::min(routed.arrived + patience, routed.deadline);
}

asio::awaitable<base::result<void>> WantAdapter(host_core& core,
                                                const routed_request& routed) {
  const auto until = PartOfObjective(routed, kRefuseWithin);
  const auto patience =
      duration_cast<milliseconds>(until - std::chrono::steady_clock::now());
  if (patience.count() <= 0) {
    co_return base::NotRun(result_code::kNoBackendServer,
                           "no backend server holds the adapter yet");
  }
  const request_head& head = routed.head;
  const auto holder = co_await core.request_adapter(
      routed.service->name, head.model, head.adapter, patience);
  if (!holder)
    co_return tl::make_unexpected(holder.error());
  const auto server = core.servers.Find(*holder);
  if (server != nullptr) {
    const holding_fact fact{true, std::chrono::steady_clock::now()};
    server->facts[KeyOf(AdapterUnit(head.model, head.adapter))] = fact;
  }
  co_return base::result<void>();
}

// Whether the caller has been refused before: its deadline is shorter than
// others'.
bool CameBack(const routed_request& routed) {
  const auto& deadline = routed.head.deadline;
  return deadline && *deadline < routed.route->timeout * kFirstTimePart;
}

// A request of a model at the best server that holds it.
decisions::engine_candidate TurnOf(const routed_request& routed,
                                   const server_choice& choice,
                                   bool first_attempt,
                                   base::time_point now) {
  const milliseconds gap = routed.route->event_gap;
  decisions::engine_candidate turn;
  turn.waited = duration_cast<milliseconds>(now - routed.arrived);
  turn.objective = routed.route->objective;
  turn.response_in = choice.expected;
  turn.prompt_backlog = choice.reading_ahead;
  turn.max_event_gap = gap.count() > 0 ? gap : kUsualEventGap;
  turn.recheck_interval = kChoicePause;
  turn.refusable = first_attempt && !CameBack(routed);
  return turn;
}

// When a refused caller should come back: spread, so that those who are
// refused together do not come together.
milliseconds RetryAfter(host_core& core,
                        const routed_request& routed,
                        milliseconds usual) {
  constexpr double kLeastPart = 0.5;
  constexpr double kMostPart = 1.5;
  std::uniform_real_distribution<double> any(kLeastPart, kMostPart);
  const auto spread = duration_cast<milliseconds>(usual * any(core.random));
  const auto most = duration_cast<milliseconds>(Left(routed) * kComeBackWithin);
  return std::max(std::min(spread, most), milliseconds(0));
}

// What is known of a model that no server has now.
decisions::unavailable_model AbsentModelOf(host_core& core,
                                           const routed_request& routed,
                                           const server_wish& wish,
                                           base::time_point now) {
  decisions::unavailable_model out;
  out.waited = duration_cast<milliseconds>(now - routed.arrived);
  out.objective =
      std::min(routed.route->objective,
               duration_cast<milliseconds>(routed.deadline - routed.arrived));
  if (const auto due = core.servers.ComingAt(wish, now))
    out.ready_in =
        std::max(duration_cast<milliseconds>(*due - now), milliseconds(0));
  out.local_load_time = core.servers.LoadAtHand(wish, *routed.service);
  return out;
}

// Servers that this request has tried, those that this host does not use now,
// and those to which the request may not go.
std::vector<std::string> AvoidedOf(const host_core& core,
                                   const routed_request& routed,
                                   base::time_point now) {
  std::vector<std::string> out = routed.avoid;
  const server_wish wish = WishOf(routed);
  for (const auto& [instance, server] : core.servers.servers()) {
    const bool unusable = !decisions::AllowsRequests(server->trust, now) ||
                          server->IsLimited() ||
                          !IsAtHome(wish, server->region);
    if (server->entry.service == routed.service->name && unusable)
      out.push_back(instance);
  }
  return out;
}

// What is left of the time within which a request is answered on time.
milliseconds LeftOnTime(const routed_request& routed, base::time_point now) {
  const auto due =
      std::min(routed.arrived + routed.route->objective, routed.deadline);
  return std::max(duration_cast<milliseconds>(due - now), milliseconds(0));
}

// Asks for a permit to send the request to a server that advertises a limit.
asio::awaitable<bool> AcquirePermit(host_core& core,
                                    const routed_request& routed,
                                    const server_choice& choice) {
  if (!core.acquire_permit) {
    choice.server->closed_until =
        std::chrono::steady_clock::now() + kUsualComeBack;
    co_return false;
  }
  const bool granted =
      co_await core.acquire_permit(choice.server, PriorityOf(routed));
  if (!granted)
    co_return false;
  co_return choice.server->TakesRequests();
}

// Waits for a place where the service's places are dealt out; else goes by this
// host's own choice.
asio::awaitable<base::result<server_choice>> TakeDealtPlace(
    host_core& core,
    const routed_request& routed,
    server_choice own) {
  if (!core.acquire_slot)
    co_return std::move(own);
  const auto now = std::chrono::steady_clock::now();
  place_request wanted;
  wanted.service = routed.service->name;
  wanted.priority = PriorityOf(routed);
  wanted.left = LeftOnTime(routed, now);
  wanted.avoid = AvoidedOf(core, routed, now);
  auto dealt = co_await core.acquire_slot(std::move(wanted));
  if (!dealt)
    co_return tl::make_unexpected(dealt.error());
  if (*dealt == nullptr)
    co_return std::move(own);
  auto server = core.servers.Find((*dealt)->server());
  // It may have left meanwhile, as this host knows.
  if (server == nullptr || !server->TakesRequests() ||
      !IsAtHome(WishOf(routed), server->region)) {
    co_return std::move(own);
  }
  own.server = std::move(server);
  own.place = std::move(*dealt);
  co_return std::move(own);
}

// What the request needs beside the server that was chosen: a permit if it
// advertises a limit, a place if its places are dealt out. Nothing if another
// server is to be chosen.
asio::awaitable<base::result<std::optional<server_choice>>>
Secure(host_core& core, const routed_request& routed, server_choice choice) {
  std::optional<server_choice> secured;
  if (choice.server->IsLimited()) {
    const bool permitted = co_await AcquirePermit(core, routed, choice);
    if (permitted)
      secured = std::move(choice);
    co_return std::move(secured);
  }
  if (!routed.head.model.empty()) {
    secured = std::move(choice);
    co_return std::move(secured);
  }
  auto dealt = co_await TakeDealtPlace(core, routed, std::move(choice));
  if (!dealt)
    co_return tl::make_unexpected(dealt.error());
  // It may have advertised a limit meanwhile.
  if (!dealt->server->IsLimited())
    secured = std::move(*dealt);
  co_return std::move(secured);
}

// How long no server of the request has a permit, if that is too long to wait;
// nothing otherwise.
std::optional<milliseconds> PermittedTooLate(host_core& core,
                                             const routed_request& routed,
                                             const server_wish& wish,
                                             base::time_point now) {
  const auto permitted_at = core.servers.PermittedAt(wish, now);
  if (!permitted_at || *permitted_at < PartOfObjective(routed, kRefuseWithin))
    return std::nullopt;
  return duration_cast<milliseconds>(*permitted_at - now);
}

// Whether a replica that is being loaded is there in time.
bool ReplicaComesInTime(host_core& core,
                        const routed_request& routed,
                        const server_wish& wish,
                        base::time_point now) {
  if (wish.model.empty())
    return false;
  const auto model = AbsentModelOf(core, routed, wish, now);
  return model.ready_in && decisions::ShouldWaitForReplica(model);
}

}  // namespace

asio::awaitable<base::result<server_choice>> FindServer(
    host_core& core,
    const routed_request& routed,
    bool first_attempt,
    const net::http_responder& responder) {
  asio::steady_timer pause(core.context);
  std::optional<milliseconds> retry_after;
  base::error reason =
      base::MakeError(result_code::kNoBackendServer, base::outcome::kNotRun,
                      "no backend server takes requests for this now");
  while (!responder.caller_gone()) {
    const auto now = std::chrono::steady_clock::now();
    // What waits here for a replica, up to 8 s, would be broken off without an
    // answer.
    const auto leaving = LeavingTooSoon(core, routed);
    if (leaving && first_attempt)
      co_return tl::make_unexpected(*leaving);
    const server_wish wish = WishOf(routed);
    auto choice = core.servers.Choose(wish, *routed.service, now, core.random);
    if (choice && !wish.model.empty()) {
      const auto turn = TurnOf(routed, *choice, first_attempt, now);
      const auto decided = decisions::DecideAdmission(turn);
      if (decided == decisions::admission_decision::kRefuse) {
        reason =
            base::MakeError(result_code::kOverloaded, base::outcome::kNotRun,
                            "all backend servers for this are busy");
        break;
      }
      if (decided == decisions::admission_decision::kWait) {
        pause.expires_after(kChoicePause);
        co_await pause.async_wait(kAwait);
        continue;
      }
    }
    if (choice) {
      auto secured = co_await Secure(core, routed, std::move(*choice));
      if (!secured)
        co_return tl::make_unexpected(secured.error());
      if (*secured)
        co_return std::move(**secured);
      continue;
    }
    const auto permitted_in = PermittedTooLate(core, routed, wish, now);
    if (permitted_in && ReplicaComesInTime(core, routed, wish, now)) {
      pause.expires_after(kChoicePause);
      co_await pause.async_wait(kAwait);
      continue;
    }
    if (permitted_in) {
      reason = base::MakeError(
          result_code::kServerLimit, base::outcome::kNotRun,
          "the backend servers for this have reached their limits");
      retry_after = permitted_in;
      break;
    }
    const bool refusable = now >= PartOfObjective(routed, kRefuseWithin);
    const bool absent = !choice && !wish.model.empty() &&
                        !core.servers.AnyHolds(BareWish(wish), now);
    if (absent) {
      const auto model = AbsentModelOf(core, routed, wish, now);
      if (!decisions::ShouldWaitForReplica(model)) {
        reason.message = "no replica of the model is there in time";
        retry_after = decisions::TimeToReplica(model);
        break;
      }
    } else if (!choice && refusable) {
      break;
    } else if (!choice && !core.servers.AnyHolds(wish, now)) {
      if (routed.head.adapter.empty())
        break;
      const auto placed = co_await WantAdapter(core, routed);
      if (placed)
        continue;
      reason.message = placed.error().message;
    }
    pause.expires_after(kChoicePause);
    co_await pause.async_wait(kAwait);
  }
  reason.retry_after =
      RetryAfter(core, routed, retry_after.value_or(kUsualComeBack));
  co_return tl::make_unexpected(reason);
}

}  // namespace valeledge::host
