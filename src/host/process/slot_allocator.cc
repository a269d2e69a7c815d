// SPDX-License-Identifier: MIT
#include "host/process/slot_allocator.h"

#include <algorithm>
#include <random>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "decisions/brittle_server.h"
#include "host/constants.h"

namespace valeledge::host {

namespace {

namespace asio = boost::asio;
using base::result_code;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// An allocator in good health responds within this time after the end of the
// request's maximum wait.
constexpr milliseconds kResponseMargin{100};
// How long an allocator that did not respond is not called.
constexpr milliseconds kUnresponsivePause{500};

// Verdict of a reply, as on the wire.
enum class slot_verdict : std::int32_t {
  kAllocated = 0,
  kNoSlotInTime = 1,
  // The called host does not allocate the service's slots.
  kNotAllocator = 2,
};

wire::place_reply Reply(slot_verdict verdict) {
  wire::place_reply reply;
  reply.verdict = static_cast<std::int32_t>(verdict);
  return reply;
}

wire::place_reply NoSlotInTime(milliseconds wait) {
  wire::place_reply reply = Reply(slot_verdict::kNoSlotInTime);
  reply.retry_after_us = duration_cast<microseconds>(wait).count();
  return reply;
}

// A cold server counts with one slot, since it adds little capacity. Servers
// that advertise a limit use permits in place of slots.
std::map<std::string, decisions::server_capacity> UsableServers(
    const host_core& core,
    const std::string& service,
    base::time_point now) {
  const catalog::service* kind =
      core.configuration ? core.configuration->FindService(service) : nullptr;
  std::map<std::string, decisions::server_capacity> out;
  for (const auto& [instance, server] : core.servers.servers()) {
    const bool has_slots = server->TakesRequests() &&
                           server->entry.service == service &&
                           !server->IsLimited();
    if (!has_slots)
      continue;
    // One request more than there are slots is allocated.
    const std::int64_t slots =
        server->rejections_tolerated
            ? decisions::BrittleSlots(server->entry.slots)
            : server->entry.slots;
    const bool cold = kind != nullptr && server->IsCold(*kind, now);
    out[instance] =
        cold ? decisions::server_capacity{1, decisions::ColdAllocationInterval(
                                                 kind->cold_rate)}
             : decisions::server_capacity{slots};
  }
  return out;
}

}  // namespace

slot_allocator::slot_allocator(host_core& core, slot_allocator_links links)
    : core_(core), links_(std::move(links)) {}

void slot_allocator::AllocateSlots(const std::string& service,
                                   service_slots& slots,
                                   base::time_point now) {
  decisions::SetServers(slots.ledger, UsableServers(core_, service, now));
  decisions::Expire(slots.ledger, now);
  for (const auto& [number, server] :
       decisions::AllocateSlots(slots.ledger, now)) {
    waiter& found = slots.waiters.at(number);
    found.server = server;
    found.timer->cancel();
  }
}

asio::awaitable<wire::place_reply> slot_allocator::HandleRequest(
    wire::place_question message) {
  const auto allocator = links_.allocator(message.service_name);
  if (!allocator || *allocator != core_.settings.peer_listen)
    co_return Reply(slot_verdict::kNotAllocator);
  const auto now = std::chrono::steady_clock::now();
  service_slots& slots = services_[message.service_name];
  const auto max_wait =
      decisions::MaxQueueWait(slots.ledger, milliseconds(message.left_ms));
  AllocateSlots(message.service_name, slots, now);
  const auto expected = decisions::ExpectedWait(slots.ledger, message.priority);
  if (!expected)
    co_return Reply(slot_verdict::kNotAllocator);
  if (*expected > max_wait)
    co_return NoSlotInTime(*expected - max_wait);
  decisions::slot_request waiting;
  waiting.priority = message.priority;
  waiting.deadline = now + max_wait;
  waiting.avoid = std::move(message.avoid);
  const std::int64_t number = decisions::AddSlotRequest(slots.ledger, waiting);
  asio::steady_timer timer(core_.context, waiting.deadline);
  slots.waiters[number] = {&timer, {}};
  AllocateSlots(message.service_name, slots, now);
  if (slots.waiters[number].server.empty())
    co_await timer.async_wait(kAwait);
  const std::string server = std::move(slots.waiters[number].server);
  slots.waiters.erase(number);
  if (server.empty()) {
    AllocateSlots(message.service_name, slots,
                  std::chrono::steady_clock::now());
    co_return NoSlotInTime(kShortRetryAfter);
  }
  wire::place_reply reply = Reply(slot_verdict::kAllocated);
  reply.number = number;
  reply.server = server;
  co_return reply;
}

void slot_allocator::HandleRelease(const wire::place_end& end) {
  const auto found = services_.find(end.service_name);
  if (found == services_.end())
    return;
  decisions::slot_pool& ledger = found->second.ledger;
  const auto now = std::chrono::steady_clock::now();
  const auto outcome = static_cast<slot_outcome>(end.how);
  std::optional<std::chrono::duration<double, std::milli>> took;
  if (outcome == slot_outcome::kResponded)
    took = microseconds(end.took_us);
  decisions::ReleaseSlot(ledger, end.server, end.number, took);
  const bool refused =
      outcome == slot_outcome::kFull || outcome == slot_outcome::kUnusable;
  if (refused)
    decisions::BackOff(ledger, end.server, now);
  AllocateSlots(end.service_name, found->second, now);
}

void slot_allocator::ReleaseExpired(base::time_point now) {
  for (auto& [service, slots] : services_)
    AllocateSlots(service, slots, now);
}

asio::awaitable<std::optional<wire::place_reply>> slot_allocator::RequestSlot(
    wire::place_question message,
    milliseconds max_wait) {
  const auto allocator = links_.allocator(message.service_name);
  if (!allocator)
    co_return std::nullopt;
  if (*allocator == core_.settings.peer_listen) {
    auto own = co_await HandleRequest(std::move(message));
    co_return own;
  }
  const auto now = std::chrono::steady_clock::now();
  auto& unresponsive_until = unresponsive_until_[message.service_name];
  if (now < unresponsive_until)
    co_return std::nullopt;
  wire::envelope call;
  call.__set_place_wanted(message);
  const auto reply = co_await links_.call(*allocator, std::move(call),
                                          max_wait + kResponseMargin);
  if (reply && reply->__isset.place)
    co_return reply->place;
  if (!reply) {
    unresponsive_until = std::chrono::steady_clock::now() + kUnresponsivePause;
    links_.suspect(*allocator);
  }
  co_return std::nullopt;
}

std::shared_ptr<slot_handle> slot_allocator::MakeHandle(
    const std::string& service,
    const wire::place_reply& reply) {
  wire::place_end end;
  end.service_name = service;
  end.server = reply.server;
  end.number = reply.number;
  return std::make_shared<slot_handle>(
      reply.server,
      [this, end](slot_outcome outcome, microseconds took) mutable {
        end.how = static_cast<std::int32_t>(outcome);
        end.took_us = took.count();
        Release(end);
      });
}

void slot_allocator::Release(wire::place_end end) {
  const auto allocator = links_.allocator(end.service_name);
  if (allocator && *allocator == core_.settings.peer_listen) {
    HandleRelease(end);
    return;
  }
  asio::co_spawn(core_.context, SendRelease(std::move(end)), asio::detached);
}

asio::awaitable<void> slot_allocator::SendRelease(wire::place_end end) {
  const auto allocator = links_.allocator(end.service_name);
  if (!allocator)
    co_return;
  wire::envelope call;
  call.__set_place_ended(end);
  co_await links_.call(*allocator, std::move(call), kResponseMargin);
}

asio::awaitable<base::result<std::shared_ptr<slot_handle>>>
slot_allocator::Acquire(slot_request request) {
  wire::place_question message;
  message.service_name = request.service;
  message.priority = request.priority;
  message.left_ms = request.left.count();
  message.avoid = std::move(request.avoid);
  const auto reply = co_await RequestSlot(std::move(message), request.left);
  const auto verdict = reply ? static_cast<slot_verdict>(reply->verdict)
                             : slot_verdict::kNotAllocator;
  if (verdict == slot_verdict::kAllocated)
    co_return MakeHandle(request.service, *reply);
  if (verdict == slot_verdict::kNotAllocator)
    co_return std::shared_ptr<slot_handle>();
  auto busy =
      base::MakeError(result_code::kOverloaded, base::outcome::kNotRun,
                      "no slot at the service's servers is free in time");
  busy.retry_after =
      std::max(duration_cast<milliseconds>(microseconds(reply->retry_after_us)),
               kShortRetryAfter);
  co_return tl::make_unexpected(std::move(busy));
}

}  // namespace valeledge::host
