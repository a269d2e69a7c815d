// SPDX-License-Identifier: MIT
#include "host/request/queued_selection.h"

#include <algorithm>
#include <utility>

#include "host/constants.h"
#include "host/load_features.h"

namespace valeledge::host {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Returns the time left until the request has to be read by an engine.
milliseconds TimeToRead(const routed_request& routed,
                        const decisions::engine_candidate& turn) {
  milliseconds left = std::min(decisions::ResponseLimit(turn) - turn.waited,
                               RemainingTime(routed));
  if (routed.origin) {
    left = duration_cast<milliseconds>(ResumeCutoff(routed) -
                                       std::chrono::steady_clock::now());
  }
  return left - decisions::kFirstEventOverhead;
}

// Keeps those of the instances that hold the model: the others are not selected
// anyway.
std::vector<std::string> HoldersAmong(const host_core& core,
                                      const request_metadata& metadata,
                                      std::vector<std::string> instances) {
  const auto now = std::chrono::steady_clock::now();
  std::erase_if(instances, [&](const std::string& each) {
    const auto server = core.servers.Find(each);
    return server == nullptr ||
           !server->Holds(metadata.model, metadata.adapter, now);
  });
  return instances;
}

}  // namespace

bool AsksForEngine(const host_core& core,
                   const routed_request& routed,
                   const server_choice& best,
                   decisions::admission_decision decided) {
  if (!core.acquire_engine || best.server->IsLimited())
    return false;
  const bool is_active =
      IsEnabled(core.settings.features.engine_queues, *routed.service);
  return best.server->HasQueue() || (routed.origin && best.server->IsFull()) ||
         (is_active && decided != decisions::admission_decision::kSend);
}

boost::asio::awaitable<queued_selection> SelectInQueue(
    host_core& core,
    const routed_request& routed,
    const server_query& query,
    const server_choice& best,
    const decisions::engine_candidate& turn,
    queue_question question) {
  queued_selection out;
  engine_place_request request;
  request.left = TimeToRead(routed, turn);
  if (request.left.count() <= 0)
    co_return out;
  request.service = routed.service->name;
  request.model = routed.metadata.model;
  request.adapter = routed.metadata.adapter;
  request.workspace = WorkspaceName(routed);
  request.priority = PriorityOf(routed);
  request.tokens_to_read = std::max<std::int64_t>(
      routed.weight.prompt_tokens - best.cached_tokens, 0);
  request.tokens_to_hold = routed.weight.held_tokens;
  request.token_time = routed.weight.time_per_token;
  request.event_gap = turn.max_event_gap;
  // The deadline of other requests lies after their objective. An owner would
  // leave them to another engine although their response is late already.
  if (best.separated && turn.refusable)
    request.expected_events = best.separated->stream_events;
  request.resumes = routed.origin.has_value();
  request.avoid =
      HoldersAmong(core, routed.metadata, std::move(question.excluded));
  request.best = best.server->entry.instance;
  request.is_withdrawn = std::move(question.is_withdrawn);
  request.sent_anyway = !turn.refusable;
  if (IsEnabled(core.settings.features.return_reservations, *routed.service))
    request.caller_left = RemainingTime(routed);
  const auto until = std::chrono::steady_clock::now() + request.left;
  auto result = co_await core.acquire_engine(std::move(request));
  if (result.verdict == engine_place_verdict::kWithdrawn)
    out.outcome = queued_outcome::kSearchAgain;
  // A stream that is resumed is refused at once if no engine will have room in
  // time. At the end of its time an engine's own queue may still take it.
  const bool has_time =
      std::chrono::steady_clock::now() + kSelectionRetryInterval < until;
  const bool is_final = turn.refusable || (routed.origin && has_time);
  if (result.verdict == engine_place_verdict::kRefused && is_final) {
    out.outcome = queued_outcome::kRefused;
    out.retry_after = result.retry_after;
  }
  if (result.verdict != engine_place_verdict::kGranted)
    co_return out;
  out.choice =
      core.servers.ChoiceOf(result.place->server(), query, *routed.service,
                            std::chrono::steady_clock::now());
  if (!out.choice) {
    // This host knows the engine as unusable.
    core.metrics.Counter("valeledge_engine_queue_replies_total", "unusable")
        .Add();
    co_return out;
  }
  out.choice->slot = std::move(result.place);
  out.outcome = queued_outcome::kGranted;
  co_return out;
}

}  // namespace valeledge::host
