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

// Maximum number of schedulers queried for a grant before the gateway selects
// the server itself.
constexpr int kMaxSchedulerAttempts = 3;

// Maximum number of schedulers to which a claim update is sent in turn.
constexpr int kMaxClaimAttempts = 2;

wire::grant_request Encode(const scheduling_request& request,
                           const std::string& cell) {
  wire::grant_request encoded;
  encoded.request_id = request.request_id;
  encoded.attempt_id = request.attempt_id;
  encoded.cell = cell;
  encoded.partner = request.partner;
  encoded.model = request.unit;
  encoded.prefix_hash = request.prefix_hash;
  encoded.estimated_tokens = request.tokens;
  encoded.priority = request.priority;
  encoded.remaining_us = request.grant_timeout.count();
  encoded.avoid = request.avoid;
  if (!request.idempotency_key.empty()) {
    encoded.__set_idempotency_key(request.idempotency_key);
    encoded.__set_request_digest(request.request_digest);
  }
  return encoded;
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

// Refusals that apply to one cell only, so that another cell may accept the
// request. Limits and claims apply to all cells.
bool MayTryOtherCell(result_code code) {
  return code == result_code::kNoBackendServer ||
         code == result_code::kOverloaded ||
         code == result_code::kDeadlineUnreachable;
}

bool IsAlive(const membership::member& each) {
  return each.health ==
         static_cast<std::int32_t>(membership::member_health::kAlive);
}

base::error NoServerError(const scheduling_request& request) {
  return {result_code::kNoBackendServer, base::outcome::kNotRun,
          "no backend server is ready for " + request.unit, kDefaultRetryAfter};
}

}  // namespace

grant_client::grant_client(node::node& node, std::string routing)
    : node_(node), routing_(std::move(routing)), quarantine_(node) {}

void grant_client::Start() {
  asio::co_spawn(node_.peers().context(), ReportInFlight(), asio::detached);
}

std::vector<decisions::cell_view> grant_client::CandidateCells(
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
    const auto gossiped = view.records.find("load/" + cell);
    auto load = gossiped == view.records.end()
                    ? std::nullopt
                    : wire::DecodeCellLoad(gossiped->second.value);
    const auto reported = reported_loads_.find(cell);
    if (reported != reported_loads_.end() &&
        now - reported->second.at < kReportedLoadLifetime)
      load = reported->second.load;
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
      owner.incarnation,
      std::chrono::steady_clock::now() + kSchedulerAvoidance};
  node_.metrics().CountRetry(result_code::kPeerUnreachable);
}

std::optional<grant_client::cell_owner> grant_client::FindOwner(
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
  // Until the owner is usable again, another scheduler takes over the cell.
  std::vector<membership::member> others;
  std::ranges::copy_if(view.members, std::back_inserter(others), usable);
  const auto* owner = membership::ChooseCellOwner(others, cell, zone);
  if (owner == nullptr)
    return std::nullopt;
  return cell_owner{*base::ParseEndpoint(owner->address), owner->incarnation};
}

base::result<grant> grant_client::ChooseWithoutScheduler(
    const scheduling_request& request,
    std::string_view strategy) {
  const auto chosen =
      router_.Choose(strategy, *node_.table().Get(), *node_.View(),
                     decisions::HashUnit(request.unit), request.avoid);
  if (!chosen)
    return tl::make_unexpected(NoServerError(request));
  grant issued;
  issued.attempt_id = request.attempt_id;
  issued.digest = request.digest;
  issued.partner = request.partner;
  issued.server = chosen->name;
  issued.address = *base::ParseEndpoint(chosen->address);
  issued.cell = chosen->cell;
  return issued;
}

asio::awaitable<base::result<grant>> grant_client::RequestFromScheduler(
    const scheduling_request& request,
    std::string cell,
    base::endpoint scheduler) {
  wire::envelope call;
  call.__set_grant(Encode(request, cell));
  const auto reply = co_await node_.CallPeer(
      scheduler, std::move(call), request.grant_timeout + kGrantGracePeriod);
  if (!reply)
    co_return tl::make_unexpected(reply.error());
  if (!reply->__isset.granted) {
    co_return base::NotRun(result_code::kPeerUnreachable,
                           "the scheduler's reply contains no grant");
  }
  const wire::grant_reply& response = reply->granted;
  if (response.__isset.load)
    reported_loads_[cell] = {response.load, std::chrono::steady_clock::now()};
  if (response.code != 0)
    co_return tl::make_unexpected(RefusalOf(response));
  const auto address = base::ParseEndpoint(response.address);
  grant issued;
  issued.attempt_id = request.attempt_id;
  issued.digest = request.digest;
  issued.partner = request.partner;
  issued.server = response.server;
  issued.cell = std::move(cell);
  issued.scheduler = scheduler;
  issued.claim_revision = response.claim_revision;
  if (response.__isset.recorded_answer) {
    issued.recorded_answer = response.recorded_answer;
    issued.recorded_status = response.recorded_status;
    issued.recorded_type = response.recorded_type;
    co_return issued;
  }
  if (!address) {
    co_return base::NotRun(result_code::kPeerUnreachable,
                           "the grant contains no valid address");
  }
  issued.address = *address;
  in_flight_[issued.attempt_id] = issued;
  co_return issued;
}

asio::awaitable<base::result<grant>> grant_client::RequestGrant(
    scheduling_request request) {
  if (const auto remaining = quarantine_.RemainingQuarantine(request.digest)) {
    auto refusal =
        base::MakeError(result_code::kQuarantined, base::outcome::kNotRun,
                        "the request is quarantined: backend servers crashed "
                        "while processing it");
    refusal.retry_after = *remaining;
    co_return tl::make_unexpected(std::move(refusal));
  }
  const decisions::unit_hash unit = decisions::HashUnit(request.unit);
  const bool without_scheduler =
      routing_ != "scheduler" && request.idempotency_key.empty();
  if (without_scheduler)
    co_return ChooseWithoutScheduler(request, routing_);
  std::set<std::string> refused_cells;
  std::optional<base::error> refusal;
  for (int attempt = 0; attempt < kMaxSchedulerAttempts; ++attempt) {
    const auto table = node_.table().Get();
    const auto view = node_.View();
    auto cells = CandidateCells(*table, *view, unit);
    std::erase_if(cells, [&](const decisions::cell_view& each) {
      return refused_cells.contains(each.cell);
    });
    const auto chosen =
        decisions::ChooseCell(cells, node_.settings().zone, random_);
    if (!chosen)
      co_return tl::make_unexpected(refusal.value_or(NoServerError(request)));
    const std::string cell = cells[*chosen].cell;
    const auto owner = FindOwner(*view, cell, cells[*chosen].zone);
    if (!owner)
      break;
    auto issued = co_await RequestFromScheduler(request, cell, owner->address);
    if (!issued && MayTryOtherCell(issued.error().code)) {
      refused_cells.insert(cell);
      refusal = issued.error();
      continue;
    }
    const bool unreachable =
        !issued && issued.error().code == result_code::kPeerUnreachable;
    if (!unreachable)
      co_return issued;
    Avoid(*owner);
  }
  if (refusal)
    co_return tl::make_unexpected(*refusal);
  if (!request.idempotency_key.empty()) {
    co_return tl::make_unexpected(
        base::error{result_code::kClaimUnavailable, base::outcome::kNotRun,
                    "no scheduler could be reached to record the claim",
                    kDefaultRetryAfter});
  }
  base::Log("gateway", base::log_event::kGrantFallback,
            {{"request", request.request_id}});
  node_.metrics().Counter("valeledge_grants_alone_total").Add();
  co_return ChooseWithoutScheduler(request, "two_choices");
}

void grant_client::EndAttempt(const grant& issued,
                              const attempt_result& result) {
  in_flight_.erase(issued.attempt_id);
  if (result.server_crashed)
    quarantine_.RecordCrash(issued.digest, issued.server, result.elapsed);
  else if (result.succeeded)
    quarantine_.RecordCompletion(issued.digest);
  if (!issued.scheduler) {
    router_.EndAttempt(issued.server);
    return;
  }
  wire::attempt_end ended;
  ended.attempt_id = issued.attempt_id;
  ended.cell = issued.cell;
  ended.server = issued.server;
  ended.partner = issued.partner;
  ended.outcome = static_cast<std::int32_t>(result.what_ran);
  ended.unreachable = result.unreachable;
  ended.draining = result.draining;
  ended.tokens = result.tokens;
  ended.first_token_us = result.first_token.count();
  wire::envelope call;
  call.__set_ended(ended);
  node_.channels().Notify(*issued.scheduler, call);
}

asio::awaitable<base::result<void>> grant_client::UpdateClaim(
    wire::claim_update update,
    std::optional<base::endpoint> scheduler) {
  for (int attempt = 0; attempt < kMaxClaimAttempts; ++attempt) {
    const auto view = node_.View();
    const auto owner = FindOwner(*view, update.service_name, {});
    if (!scheduler && owner)
      scheduler = owner->address;
    if (!scheduler)
      break;
    wire::envelope call;
    call.__set_claim(update);
    const auto reply = co_await node_.CallPeer(*scheduler, std::move(call),
                                               kClaimUpdateTimeout);
    if (reply && reply->__isset.done && reply->done.code == 0)
      co_return base::result<void>();
    scheduler.reset();
  }
  co_return base::Unknown(result_code::kClaimUnavailable,
                          "no scheduler confirmed the claim update");
}

asio::awaitable<void> grant_client::ReportInFlight() {
  asio::steady_timer timer(node_.peers().context());
  while (true) {
    timer.expires_after(kInFlightReportInterval);
    co_await timer.async_wait(kAwait);
    std::map<std::string, wire::in_flight_report> reports;
    for (const auto& [attempt, issued] : in_flight_) {
      wire::attempt_end entry;
      entry.attempt_id = attempt;
      entry.server = issued.server;
      entry.partner = issued.partner;
      reports[issued.cell].attempts.push_back(std::move(entry));
    }
    const auto table = node_.table().Get();
    const auto view = node_.View();
    for (auto& [cell, report] : reports) {
      const auto servers = table->cells.find(cell);
      if (servers == table->cells.end())
        continue;
      const auto owner = FindOwner(*view, cell, servers->second.front()->zone);
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
