// SPDX-License-Identifier: MIT
#include "gateway/process/grant_client.h"

#include <algorithm>
#include <utility>

#include "base/logging.h"
#include "gateway/constants.h"
#include "membership/ownership.h"
#include "wire/codec.h"

namespace valeledge::gateway {

namespace {

namespace asio = boost::asio;
using base::result_code;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// Schedulers asked for one grant before the gateway chooses alone.
constexpr int kSchedulersAsked = 3;

// Claims are told to this many schedulers in turn.
constexpr int kClaimTries = 2;

wire::grant_request Encode(const grant_wish& wish, const std::string& cell) {
  wire::grant_request request;
  request.request_id = wish.request_id;
  request.attempt_id = wish.attempt_id;
  request.cell = cell;
  request.partner = wish.partner;
  request.model = wish.unit;
  request.prefix_hash = wish.prefix_hash;
  request.estimated_tokens = wish.tokens;
  request.priority = wish.priority;
  request.remaining_us = wish.patience.count();
  request.avoid = wish.avoid;
  if (!wish.idempotency_key.empty()) {
    request.__set_idempotency_key(wish.idempotency_key);
    request.__set_request_digest(wish.request_digest);
  }
  return request;
}

base::error RefusalOf(const wire::grant_reply& reply) {
  base::error refusal;
  refusal.code =
      base::ResultCodeFromNumber(reply.code).value_or(result_code::kOverloaded);
  const bool may_have_run = refusal.code == result_code::kClaimInProgress ||
                            refusal.code == result_code::kOutcomeUnknown;
  refusal.what_ran =
      may_have_run ? base::outcome::kUnknown : base::outcome::kNotRun;
  if (refusal.code == result_code::kAnswerNotKept)
    refusal.what_ran = base::outcome::kCompleted;
  refusal.message = reply.reason;
  if (reply.retry_after_us > 0) {
    refusal.retry_after = std::chrono::ceil<std::chrono::milliseconds>(
        std::chrono::microseconds(reply.retry_after_us));
  }
  return refusal;
}

// Refusals that hold for one cell: another may have room. Limits and claims
// hold everywhere.
bool MayAskElsewhere(result_code code) {
  return code == result_code::kNoBackendServer ||
         code == result_code::kOverloaded ||
         code == result_code::kDeadlineUnreachable;
}

bool IsAlive(const membership::member& each) {
  return each.health ==
         static_cast<std::int32_t>(membership::member_health::kAlive);
}

base::error NoServer(const grant_wish& wish) {
  return {result_code::kNoBackendServer, base::outcome::kNotRun,
          "no backend server is ready for " + wish.unit, kUsualComeBack};
}

}  // namespace

grant_client::grant_client(node::node& node, std::string routing)
    : node_(node), routing_(std::move(routing)), ending_(node) {}

void grant_client::Start() {
  asio::co_spawn(node_.peers().context(), RepeatInFlight(), asio::detached);
}

std::vector<decisions::cell_view> grant_client::CellsFor(
    const table::snapshot& table,
    const node::member_view& view,
    decisions::unit_hash unit) {
  const auto now = std::chrono::steady_clock::now();
  std::vector<decisions::cell_view> out;
  std::string last;
  for (const table::row* server : ReadyServers(table, view, unit)) {
    const std::string cell = table::CellOf(*server);
    if (cell == last)
      continue;
    last = cell;
    decisions::cell_view each{cell, server->zone, 0, 0, 1};
    const auto heard = view.records.find("load/" + cell);
    auto load = heard == view.records.end()
                    ? std::nullopt
                    : wire::DecodeCellLoad(heard->second.value);
    const auto answered = loads_.find(cell);
    if (answered != loads_.end() && now - answered->second.at < kAnsweredLoad)
      load = answered->second.load;
    if (load) {
      each.queued = load->queued;
      each.in_flight = load->in_flight;
      each.slots = load->slots;
    }
    out.push_back(std::move(each));
  }
  return out;
}

bool grant_client::IsAvoided(const base::endpoint& address,
                             std::int64_t incarnation) const {
  const auto found = avoided_.find(address);
  return found != avoided_.end() && found->second.incarnation == incarnation &&
         std::chrono::steady_clock::now() < found->second.until;
}

void grant_client::Avoid(const cell_owner& owner) {
  avoided_[owner.address] = {
      owner.incarnation, std::chrono::steady_clock::now() + kAvoidScheduler};
  node_.metrics().CountRetry(result_code::kPeerUnreachable);
}

std::optional<grant_client::cell_owner> grant_client::OwnerOf(
    const node::member_view& view,
    const std::string& cell,
    const std::string& zone) {
  const auto usable = [this](const membership::member& each) {
    const auto address = base::ParseEndpoint(each.address);
    return address && !IsAvoided(*address, each.incarnation);
  };
  const auto assigned = view.owners.find(cell);
  const bool has_owner = assigned != view.owners.end();
  if (has_owner && IsAlive(assigned->second) && usable(assigned->second)) {
    return cell_owner{*base::ParseEndpoint(assigned->second.address),
                      assigned->second.incarnation};
  }
  // Another one does it meanwhile.
  std::vector<membership::member> others;
  std::ranges::copy_if(view.members, std::back_inserter(others), usable);
  const auto* owner = membership::ChooseCellOwner(others, cell, zone);
  if (owner == nullptr)
    return std::nullopt;
  return cell_owner{*base::ParseEndpoint(owner->address), owner->incarnation};
}

base::result<grant> grant_client::ChooseAlone(const grant_wish& wish,
                                              std::string_view way) {
  const auto chosen =
      fallback_.Choose(way, *node_.table().Get(), *node_.View(),
                       decisions::HashUnit(wish.unit), wish.avoid);
  if (!chosen)
    return tl::make_unexpected(NoServer(wish));
  grant given;
  given.attempt_id = wish.attempt_id;
  given.digest = wish.digest;
  given.partner = wish.partner;
  given.server = chosen->name;
  given.address = *base::ParseEndpoint(chosen->address);
  given.cell = chosen->cell;
  return given;
}

asio::awaitable<base::result<grant>> grant_client::AskScheduler(
    const grant_wish& wish,
    std::string cell,
    base::endpoint scheduler) {
  wire::envelope call;
  call.__set_grant(Encode(wish, cell));
  const auto reply = co_await node_.CallPeer(scheduler, std::move(call),
                                             wish.patience + kGrantGrace);
  if (!reply)
    co_return tl::make_unexpected(reply.error());
  if (!reply->__isset.granted) {
    co_return base::NotRun(result_code::kPeerUnreachable,
                           "the scheduler did not understand the call");
  }
  const wire::grant_reply& answer = reply->granted;
  if (answer.__isset.load)
    loads_[cell] = {answer.load, std::chrono::steady_clock::now()};
  if (answer.code != 0)
    co_return tl::make_unexpected(RefusalOf(answer));
  const auto address = base::ParseEndpoint(answer.address);
  grant given;
  given.attempt_id = wish.attempt_id;
  given.digest = wish.digest;
  given.partner = wish.partner;
  given.server = answer.server;
  given.cell = std::move(cell);
  given.scheduler = scheduler;
  given.claim_revision = answer.claim_revision;
  if (answer.__isset.recorded_answer) {
    given.recorded_answer = answer.recorded_answer;
    given.recorded_status = answer.recorded_status;
    given.recorded_type = answer.recorded_type;
    co_return given;
  }
  if (!address) {
    co_return base::NotRun(result_code::kPeerUnreachable,
                           "the grant names no address");
  }
  given.address = *address;
  in_flight_[given.attempt_id] = given;
  co_return given;
}

asio::awaitable<base::result<grant>> grant_client::Ask(grant_wish wish) {
  if (const auto held = ending_.HeldFor(wish.digest)) {
    auto refusal =
        base::MakeError(result_code::kHeldBack, base::outcome::kNotRun,
                        "backend servers ended under this request");
    refusal.retry_after = *held;
    co_return tl::make_unexpected(std::move(refusal));
  }
  const decisions::unit_hash unit = decisions::HashUnit(wish.unit);
  const bool alone = routing_ != "scheduler" && wish.idempotency_key.empty();
  if (alone)
    co_return ChooseAlone(wish, routing_);
  std::set<std::string> refused_cells;
  std::optional<base::error> refusal;
  for (int asked = 0; asked < kSchedulersAsked; ++asked) {
    const auto table = node_.table().Get();
    const auto view = node_.View();
    auto cells = CellsFor(*table, *view, unit);
    std::erase_if(cells, [&](const decisions::cell_view& each) {
      return refused_cells.contains(each.cell);
    });
    const auto chosen =
        decisions::ChooseCell(cells, node_.settings().zone, random_);
    if (!chosen)
      co_return tl::make_unexpected(refusal.value_or(NoServer(wish)));
    const std::string cell = cells[*chosen].cell;
    const auto owner = OwnerOf(*view, cell, cells[*chosen].zone);
    if (!owner)
      break;
    auto given = co_await AskScheduler(wish, cell, owner->address);
    if (!given && MayAskElsewhere(given.error().code)) {
      refused_cells.insert(cell);
      refusal = given.error();
      continue;
    }
    const bool unreachable =
        !given && given.error().code == result_code::kPeerUnreachable;
    if (!unreachable)
      co_return given;
    Avoid(*owner);
  }
  if (refusal)
    co_return tl::make_unexpected(*refusal);
  if (!wish.idempotency_key.empty()) {
    co_return tl::make_unexpected(base::error{
        result_code::kClaimUnavailable, base::outcome::kNotRun,
        "no scheduler could be reached to record the claim", kUsualComeBack});
  }
  base::Log("gateway", base::log_event::kGrantFallback,
            {{"request", wish.request_id}});
  node_.metrics().Counter("valeledge_grants_alone_total").Add();
  co_return ChooseAlone(wish, "two_choices");
}

void grant_client::End(const grant& given, const attempt_result& result) {
  in_flight_.erase(given.attempt_id);
  if (result.server_ended)
    ending_.NoteEnd(given.digest, given.server, result.took);
  else if (result.answered_well)
    ending_.NoteWhole(given.digest);
  if (!given.scheduler) {
    fallback_.End(given.server);
    return;
  }
  wire::attempt_end ended;
  ended.attempt_id = given.attempt_id;
  ended.cell = given.cell;
  ended.server = given.server;
  ended.partner = given.partner;
  ended.outcome = static_cast<std::int32_t>(result.what_ran);
  ended.unreachable = result.unreachable;
  ended.draining = result.draining;
  ended.tokens = result.tokens;
  ended.first_token_us = result.first_token.count();
  wire::envelope call;
  call.__set_ended(ended);
  node_.channels().Notify(*given.scheduler, call);
}

asio::awaitable<base::result<void>> grant_client::UpdateClaim(
    wire::claim_update update,
    std::optional<base::endpoint> scheduler) {
  for (int attempt = 0; attempt < kClaimTries; ++attempt) {
    const auto view = node_.View();
    const auto owner = OwnerOf(*view, update.service_name, {});
    if (!scheduler && owner)
      scheduler = owner->address;
    if (!scheduler)
      break;
    wire::envelope call;
    call.__set_claim(update);
    const auto reply =
        co_await node_.CallPeer(*scheduler, std::move(call), kRecordTimeout);
    if (reply && reply->__isset.done && reply->done.code == 0)
      co_return base::result<void>();
    scheduler.reset();
  }
  co_return base::Unknown(result_code::kClaimUnavailable,
                          "the claim was not updated");
}

asio::awaitable<void> grant_client::RepeatInFlight() {
  asio::steady_timer timer(node_.peers().context());
  while (true) {
    timer.expires_after(kInFlightInterval);
    co_await timer.async_wait(kAwait);
    std::map<std::string, wire::in_flight_report> reports;
    for (const auto& [attempt, given] : in_flight_) {
      wire::attempt_end entry;
      entry.attempt_id = attempt;
      entry.server = given.server;
      entry.partner = given.partner;
      reports[given.cell].attempts.push_back(std::move(entry));
    }
    const auto table = node_.table().Get();
    const auto view = node_.View();
    for (auto& [cell, report] : reports) {
      const auto servers = table->cells.find(cell);
      if (servers == table->cells.end())
        continue;
      const auto owner = OwnerOf(*view, cell, servers->second.front()->zone);
      if (!owner)
        continue;
      report.cell = cell;
      wire::envelope call;
      call.__set_in_flight(report);
      node_.channels().Notify(owner->address, call);
    }
  }
}

}  // namespace valeledge::gateway
