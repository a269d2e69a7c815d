// SPDX-License-Identifier: MIT
#include "scheduler/process/scheduler.h"

#include <future>
#include <utility>

#include "membership/member.h"

namespace valeledge::scheduler {

namespace {

namespace asio = boost::asio;
using base::result_code;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// Interval at which the polled backend servers are matched to the owned cells.
constexpr auto kBackendUpdateInterval = std::chrono::milliseconds(200);

// The status omits the cells if they take longer than this to collect.
constexpr auto kStatusTimeout = std::chrono::milliseconds(200);

constexpr auto kClaimRetryAfter = std::chrono::milliseconds(1000);

wire::grant_reply RefusalOf(const base::error& failed) {
  wire::grant_reply reply;
  reply.code = static_cast<std::int32_t>(failed.code);
  reply.reason = failed.message;
  reply.retry_after_us = std::chrono::microseconds(kClaimRetryAfter).count();
  return reply;
}

wire::envelope Done(std::int32_t code) {
  wire::acknowledgement done;
  done.code = code;
  wire::envelope reply;
  reply.__set_done(done);
  return reply;
}

}  // namespace

scheduler::scheduler(scheduler_settings settings)
    : settings_(std::move(settings)),
      node_(settings_.shared, membership::role::kScheduler),
      registry_(decisions_, node_, settings_),
      reporter_(decisions_, node_, registry_, settings_),
      poller_(backends_,
              settings_,
              [this](const std::string& cell, const backend_report& report) {
                decisions_.Submit([this, cell, report] {
                  registry_.HandleReport(cell, report);
                });
              }) {}

base::result<void> scheduler::Start() {
  node_.SetCallHandler(
      [this](wire::envelope call) { return HandleCall(std::move(call)); });
  node_.table().OnChange([this](const table::snapshot_pointer& table) {
    decisions_.Submit([this, table] { registry_.HandleTable(table); });
  });
  node_.AddStatusSource([this](boost::json::object& status) {
    auto part = std::make_shared<std::promise<boost::json::object>>();
    auto filled = part->get_future();
    const bool submitted = decisions_.Submit([this, part] {
      boost::json::object cells_status;
      registry_.AddStatus(cells_status);
      part->set_value(std::move(cells_status));
    });
    const bool filled_in_time = submitted && filled.wait_for(kStatusTimeout) ==
                                                 std::future_status::ready;
    if (!filled_in_time)
      return;
    for (auto& [key, value] : filled.get())
      status[key] = std::move(value);
  });
  node_.AddGaugeSource([this](base::metrics& metrics) {
    metrics.Gauge("valeledge_poll_bytes").Set(poller_.bytes());
  });
  const auto started = node_.Start();
  if (!started)
    return started;
  claims_ = std::make_unique<claim_batcher>(node_.platform().context(),
                                            node_.key_value(), settings_,
                                            node_.metrics());
  registry_.SetClaimFunction([this](const wire::grant_request& request) {
    return CreateClaim(request);
  });
  registry_.Start();
  reporter_.Start();
  asio::co_spawn(decisions_.context(), UpdatePolledBackends(), asio::detached);
  node_.Run();
  decisions_.Start();
  backends_.Start();
  return {};
}

asio::awaitable<void> scheduler::UpdatePolledBackends() {
  asio::steady_timer timer(decisions_.context());
  std::map<std::string, polled_backend> last;
  while (true) {
    std::map<std::string, polled_backend> wanted;
    for (const auto& [name, cell] : registry_.cells()) {
      for (const auto& server : cell.admission.servers) {
        const auto address = base::ParseEndpoint(server.address);
        const auto backend = cell.backends.find(server.name);
        if (!address || backend == cell.backends.end())
          continue;
        wanted[server.name] = {name, server.name, *address,
                               backend->second.is_engine};
      }
    }
    if (wanted != last) {
      last = wanted;
      backends_.Submit([this, wanted] { poller_.SetBackends(wanted); });
    }
    timer.expires_after(kBackendUpdateInterval);
    co_await timer.async_wait(kAwait);
  }
}

asio::awaitable<wire::grant_reply> scheduler::CreateClaim(
    const wire::grant_request& request) {
  claim_request claim;
  const std::size_t slash = request.model.find('/');
  claim.service = request.model.substr(slash + 1);
  claim.partner = request.partner;
  claim.idempotency_key = request.idempotency_key;
  claim.claim_id = request.request_id;
  claim.digest = request.request_digest;
  auto work = [this, claim]() -> asio::awaitable<base::result<claim_result>> {
    co_return co_await claims_->Claim(claim);
  };
  const auto result = co_await base::RunOn<base::result<claim_result>>(
      node_.platform(), std::move(work));
  if (!result) {
    co_return RefusalOf(base::MakeError(result_code::kRingFull,
                                        base::outcome::kNotRun,
                                        "the claim queue is full"));
  }
  if (!*result)
    co_return RefusalOf(result->error());
  wire::grant_reply reply;
  reply.__set_claim_revision((*result)->revision);
  if ((*result)->recorded) {
    reply.__set_recorded_answer((*result)->body);
    reply.__set_recorded_status((*result)->status);
    reply.__set_recorded_type((*result)->content_type);
  }
  co_return reply;
}

asio::awaitable<wire::envelope> scheduler::HandleGrant(
    wire::grant_request call) {
  wire::envelope reply;
  if (refusing_) {
    wire::grant_reply refused;
    refused.code = static_cast<std::int32_t>(result_code::kPeerUnreachable);
    refused.reason = "this scheduler is leaving";
    reply.__set_granted(refused);
    co_return reply;
  }
  ++active_;
  auto work = [this,
               call = std::move(call)]() -> asio::awaitable<wire::grant_reply> {
    co_return co_await registry_.Grant(call);
  };
  auto granted =
      co_await base::RunOn<wire::grant_reply>(decisions_, std::move(work));
  --active_;
  if (!granted) {
    granted = RefusalOf(base::MakeError(result_code::kRingFull,
                                        base::outcome::kNotRun,
                                        "the request queue is full"));
  }
  reply.__set_granted(*granted);
  co_return reply;
}

asio::awaitable<wire::envelope> scheduler::HandleClaim(
    wire::claim_update call) {
  auto work =
      [this, call = std::move(call)]() -> asio::awaitable<base::result<void>> {
    co_return co_await claims_->Update(call);
  };
  const auto updated = co_await base::RunOn<base::result<void>>(
      node_.platform(), std::move(work));
  if (!updated)
    co_return Done(static_cast<std::int32_t>(result_code::kRingFull));
  if (!*updated)
    co_return Done(static_cast<std::int32_t>(updated->error().code));
  co_return Done(0);
}

asio::awaitable<wire::envelope> scheduler::HandleCall(wire::envelope call) {
  if (call.__isset.grant)
    co_return co_await HandleGrant(std::move(call.grant));
  if (call.__isset.claim)
    co_return co_await HandleClaim(std::move(call.claim));
  if (call.__isset.ended) {
    decisions_.Submit(
        [this, ended = std::move(call.ended)] { registry_.EndAttempt(ended); });
  } else if (call.__isset.in_flight) {
    decisions_.Submit([this, report = std::move(call.in_flight)] {
      registry_.HandleInFlight(report);
    });
  }
  co_return Done(0);
}

void scheduler::Leave() {
  node_.AnnounceLeaving();
}

void scheduler::RefuseNewWork() {
  refusing_ = true;
}

bool scheduler::IsIdle() const {
  return active_ == 0;
}

void scheduler::Stop() {
  decisions_.Stop();
  backends_.Stop();
  node_.Stop();
}

}  // namespace valeledge::scheduler
