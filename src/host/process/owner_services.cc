// SPDX-License-Identifier: MIT
#include "host/process/owner_services.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

namespace valeledge::host {

namespace {

namespace asio = boost::asio;

// Subjects for choosing the owner host, followed by the name of the workspace
// or service.
constexpr std::string_view kLimitSubject = "limit/";
constexpr std::string_view kSlotSubject = "places/";

// Hosts that may own a queue. The next one is asked while one does not respond;
// more than this are rarely lost at the same time.
constexpr std::size_t kQueueCandidates = 4;

// The owner is called for each request, so a host with a wide link is
// preferred.
constexpr std::int32_t kPreferredRoles = membership::kHighBandwidth;

}  // namespace

owner_services::owner_services(host_core& core, peer_link& peers)
    : core_(core),
      peers_(peers),
      limits_(core, MakeLimitCallbacks()),
      slots_(core, MakeSlotCallbacks()),
      queue_groups_(core, MakeQueueOwnerChoice()),
      queue_owner_(core, queue_groups_),
      queue_client_(core, queue_groups_, queue_owner_, MakeCalls()) {
  core_.acquire_limit = [this](std::string workspace, double count,
                               std::optional<limit_wait> wait) {
    return limits_.Acquire(std::move(workspace), count, std::move(wait));
  };
  core_.release_limit = [this](const std::string& workspace, double count) {
    limits_.Release(workspace, count);
  };
  core_.acquire_engine = [this](engine_place_request request) {
    return queue_client_.Acquire(std::move(request));
  };
  core_.queue_owner = [this](const known_server& server) {
    return queue_client_.OwnerOf(server);
  };
  if (!core_.settings.allocates_slots)
    return;
  core_.acquire_slot = [this](slot_request request) {
    return slots_.Acquire(std::move(request));
  };
}

workspace_limit_callbacks owner_services::MakeLimitCallbacks() {
  workspace_limit_callbacks callbacks{MakeCalls()};
  callbacks.owner = [this](const std::string& workspace) {
    return peers_.FirstHealthy(std::string(kLimitSubject) + workspace,
                               kPreferredRoles);
  };
  callbacks.members = [this] {
    decisions::limit_members members;
    members.visible_fraction = peers_.VisibleFraction();
    members.known = peers_.CountKnown();
    members.is_complete = peers_.AreAllHealthy();
    return members;
  };
  return callbacks;
}

slot_allocator_links owner_services::MakeSlotCallbacks() {
  slot_allocator_links callbacks{MakeCalls()};
  callbacks.allocator = [this](const std::string& service) {
    return peers_.FirstHealthy(std::string(kSlotSubject) + service,
                               kPreferredRoles);
  };
  return callbacks;
}

engine_queue_groups::owner_choice owner_services::MakeQueueOwnerChoice() {
  return [this](const std::string& subject) {
    auto owners =
        peers_.ChosenAddresses(subject, kQueueCandidates, kPreferredRoles);
    const auto first = peers_.FirstHealthy(subject, kPreferredRoles);
    const auto begin = first ? std::ranges::find(owners, *first) : owners.end();
    owners.erase(owners.begin(), begin);
    return owners;
  };
}

owner_calls owner_services::MakeCalls() {
  owner_calls calls;
  calls.call = [this](base::endpoint where, wire::envelope call,
                      std::chrono::microseconds timeout) {
    return peers_.Call(std::move(where), std::move(call), timeout);
  };
  calls.suspect = [this](const base::endpoint& owner) {
    peers_.Suspect(owner);
  };
  return calls;
}

void owner_services::OnMemberJoined() {
  limits_.OnMemberJoined(std::chrono::steady_clock::now());
}

void owner_services::Tick(base::time_point now) {
  limits_.Tick(now);
  slots_.ReleaseExpired(now);
  queue_owner_.Tick(now);
}

bool owner_services::Handles(const wire::envelope& call) {
  return call.__isset.limit_wanted || call.__isset.place_wanted ||
         call.__isset.place_ended || call.__isset.engine_place_wanted ||
         call.__isset.engine_place_ended;
}

asio::awaitable<wire::envelope> owner_services::HandleCall(
    wire::envelope call) {
  wire::envelope reply;
  if (call.__isset.limit_wanted) {
    const auto decided =
        co_await limits_.HandleCall(std::move(call.limit_wanted));
    reply.__set_limit(decided);
  } else if (call.__isset.place_wanted) {
    const auto slot =
        co_await slots_.HandleRequest(std::move(call.place_wanted));
    reply.__set_place(slot);
  } else if (call.__isset.engine_place_wanted) {
    const auto place = co_await queue_owner_.HandleQuestion(
        std::move(call.engine_place_wanted));
    reply.__set_engine_place(place);
  } else if (call.__isset.engine_place_ended) {
    queue_owner_.HandleEnd(call.engine_place_ended);
    reply.__set_done({});
  } else {
    slots_.HandleRelease(call.place_ended);
    reply.__set_done({});
  }
  co_return reply;
}

}  // namespace valeledge::host
