// SPDX-License-Identifier: MIT
#include "host/process/owner_duties.h"

#include <string>
#include <utility>

namespace valeledge::host {

namespace {

namespace asio = boost::asio;

// Subjects by which the host is chosen; the name of the workspace, or of the
// service, follows.
constexpr std::string_view kLimitSubject = "limit/";
constexpr std::string_view kPlaceSubject = "places/";

// Asked for each request, a host should have more to spend than others.
constexpr std::int32_t kPreferred = membership::kHighBandwidth;

}  // namespace

owner_duties::owner_duties(host_core& core, peer_link& peers)
    : core_(core),
      peers_(peers),
      limits_(core, LimitLinks()),
      places_(core, PlaceLinks()) {
  core_.take_limit = [this](std::string workspace, double count) {
    return limits_.Take(std::move(workspace), count);
  };
  core_.give_limit_back = [this](const std::string& workspace, double count) {
    limits_.GiveBack(workspace, count);
  };
  if (!core_.settings.allocates_slots)
    return;
  core_.take_place = [this](place_request wanted) {
    return places_.Take(std::move(wanted));
  };
}

limit_links owner_duties::LimitLinks() {
  limit_links links;
  links.owner = [this](const std::string& workspace) {
    return peers_.FirstSound(std::string(kLimitSubject) + workspace,
                             kPreferred);
  };
  links.members = [this] {
    decisions::limit_members members;
    members.visible_fraction = peers_.VisibleFraction();
    members.known = peers_.CountKnown();
    members.is_whole = peers_.IsWhole();
    return members;
  };
  links.call = [this](base::endpoint where, wire::envelope call,
                      std::chrono::microseconds timeout) {
    return peers_.Call(std::move(where), std::move(call), timeout);
  };
  links.doubt = [this](const base::endpoint& owner) { peers_.Doubt(owner); };
  return links;
}

place_links owner_duties::PlaceLinks() {
  place_links links;
  links.dealer = [this](const std::string& service) {
    return peers_.FirstSound(std::string(kPlaceSubject) + service, kPreferred);
  };
  links.call = [this](base::endpoint where, wire::envelope call,
                      std::chrono::microseconds timeout) {
    return peers_.Call(std::move(where), std::move(call), timeout);
  };
  links.doubt = [this](const base::endpoint& dealer) { peers_.Doubt(dealer); };
  return links;
}

void owner_duties::NoteNewMember() {
  limits_.NoteNewMember(std::chrono::steady_clock::now());
}

void owner_duties::Roll(base::time_point now) {
  limits_.Roll(now);
  places_.Roll(now);
}

bool owner_duties::IsFor(const wire::envelope& call) {
  return call.__isset.limit_wanted || call.__isset.place_wanted ||
         call.__isset.place_ended;
}

asio::awaitable<wire::envelope> owner_duties::Answer(wire::envelope call) {
  wire::envelope reply;
  if (call.__isset.limit_wanted) {
    reply.__set_limit(limits_.Answer(call.limit_wanted));
  } else if (call.__isset.place_wanted) {
    const auto place = co_await places_.Answer(std::move(call.place_wanted));
    reply.__set_place(place);
  } else {
    places_.TakeBack(call.place_ended);
    reply.__set_done({});
  }
  co_return reply;
}

}  // namespace valeledge::host
