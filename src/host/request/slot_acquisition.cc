// SPDX-License-Identifier: MIT
#include "host/request/slot_acquisition.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "host/constants.h"
#include "host/request/server_queries.h"

namespace valeledge::host {

namespace {

namespace asio = boost::asio;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Returns the time left to respond within the objective and the deadline.
milliseconds RemainingObjective(const routed_request& routed,
                                base::time_point now) {
  return std::max(duration_cast<milliseconds>(DueOf(routed) - now),
                  milliseconds(0));
}

// Requests a permit to send the request to a server that advertises a limit.
asio::awaitable<bool> AcquirePermit(host_core& core,
                                    const routed_request& routed,
                                    const server_choice& choice) {
  if (!core.acquire_permit) {
    choice.server->permit_retry_at =
        std::chrono::steady_clock::now() + kDefaultRetryAfter;
    co_return false;
  }
  const bool granted =
      co_await core.acquire_permit(choice.server, PriorityOf(routed));
  if (!granted)
    co_return false;
  co_return choice.server->SendBlock(std::chrono::steady_clock::now()) ==
      send_block::kNone;
}

// Waits for a slot if the service's slots are allocated centrally. Otherwise
// returns this host's own choice. Returns nothing if another server must be
// chosen.
asio::awaitable<base::result<std::optional<server_choice>>> AcquireSlot(
    host_core& core,
    const routed_request& routed,
    server_choice local_choice) {
  if (!core.acquire_slot)
    co_return std::move(local_choice);
  const auto now = std::chrono::steady_clock::now();
  slot_request slot_request;
  slot_request.service = routed.service->name;
  slot_request.priority = PriorityOf(routed);
  slot_request.left = RemainingObjective(routed, now);
  slot_request.avoid =
      ExcludedInstances(core, routed, now, decisions::AllowsRequests);
  auto slot = co_await core.acquire_slot(std::move(slot_request));
  if (!slot)
    co_return tl::make_unexpected(slot.error());
  // This host may have learned meanwhile that a server is not available.
  const auto after_wait = std::chrono::steady_clock::now();
  const auto may_send = [&](const known_server& server) {
    const server_query query = QueryOf(routed);
    return server.SendBlock(after_wait) == send_block::kNone &&
           IsInAllowedRegion(query, server.region) &&
           HasRequiredSoftware(query, server.entry);
  };
  auto server = *slot ? core.servers.Find((*slot)->server()) : nullptr;
  std::optional<server_choice> out;
  if (server != nullptr && may_send(*server)) {
    local_choice.server = std::move(server);
    local_choice.slot = std::move(*slot);
    out = std::move(local_choice);
  } else if (may_send(*local_choice.server)) {
    out = std::move(local_choice);
  }
  co_return out;
}

}  // namespace

asio::awaitable<base::result<std::optional<server_choice>>> AcquirePermitOrSlot(
    host_core& core,
    const routed_request& routed,
    server_choice choice) {
  std::optional<server_choice> secured;
  if (choice.server->IsLimited()) {
    const bool permitted = co_await AcquirePermit(core, routed, choice);
    if (permitted)
      secured = std::move(choice);
    co_return std::move(secured);
  }
  if (!routed.metadata.model.empty()) {
    secured = std::move(choice);
    co_return std::move(secured);
  }
  auto slot = co_await AcquireSlot(core, routed, std::move(choice));
  if (!slot)
    co_return tl::make_unexpected(slot.error());
  // The server may have advertised a limit meanwhile.
  if (*slot && !(*slot)->server->IsLimited())
    secured = std::move(*slot);
  co_return std::move(secured);
}

}  // namespace valeledge::host
