// SPDX-License-Identifier: MIT
// The selection of a server for a request.
#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
#include <random>

#include "host/process/prompt_history.h"
#include "host/process/server_registry.h"

namespace valeledge::host {

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;

// Maximum random cost, fixed and as a share of the expected wait, so that hosts
// with the same knowledge do not all select the same server.
constexpr milliseconds kCostJitter{4};
// Extra cost of a server whose load changes are not sent to this host directly,
// about one prompt: its known load may be stale.
constexpr milliseconds kIndirectUpdateCost{60};
constexpr double kCostJitterShare = 0.25;

// Prefill time of the request's prompt at a server of the usual speed.
milliseconds PrefillOf(const decisions::server_candidate& offer,
                       const server_query& query) {
  return query.weight.time_per_token *
         static_cast<double>(std::max<std::int64_t>(
             query.weight.prompt_tokens - offer.cached_tokens, 0));
}

bool IsLongPromptAt(const decisions::server_candidate& offer,
                    const server_query& query) {
  return decisions::IsLongPrompt(PrefillOf(offer, query), offer.slowdown,
                                 query.max_event_gap);
}

// Whether the whole prompt is long at a server of the usual speed.
bool IsLongRequest(const server_query& query) {
  return IsLongPromptAt({}, query);
}

// The server that has the lowest cost without the separation.
struct unseparated_best {
  std::shared_ptr<known_server> server;
  milliseconds cost{0};
  decisions::server_candidate offer;
};

}  // namespace

bool server_registry::UsesSharedEstimate(
    const server_query& query,
    const catalog::service& service) const {
  return !query.model.empty() && SharesEstimates(service);
}

// The local slowdown of a host is based on few responses, so only a shared
// estimate applies to the prompts ahead.
server_choice server_registry::ChoiceOf(
    const std::shared_ptr<known_server>& server,
    const decisions::server_candidate& offer,
    const server_query& query,
    const catalog::service& service) const {
  server_choice choice;
  choice.server = server;
  choice.expected = ExpectedWait(offer, query.weight);
  choice.unscaled = choice.expected / offer.slowdown;
  choice.prefill_ahead =
      query.weight.time_per_token * static_cast<double>(offer.unread_tokens);
  choice.cached_tokens = offer.cached_tokens;
  if (UsesSharedEstimate(query, service)) {
    choice.prefill_ahead *= offer.slowdown;
    choice.shared_factor = offer.slowdown;
  }
  if (query.model.empty() || !SeparatesStreams(service))
    return choice;
  separated_load& separated = choice.separated.emplace();
  if (IsLongPromptAt(offer, query))
    separated.prefill = PrefillOf(offer, query);
  if (decisions::IsLongStream(query.expected_events))
    separated.stream_events = query.expected_events;
  return choice;
}

decisions::server_candidate server_registry::LoadOf(
    const known_server& server,
    const catalog::service& service) {
  decisions::server_candidate offer;
  offer.slots = std::max<std::int64_t>(server.entry.slots, 1);
  offer.running = server.own.running + server.others.running;
  offer.unread_tokens = server.own.unread_tokens + server.others.unread_tokens;
  offer.held_tokens = server.own.held_tokens + server.others.held_tokens;
  offer.token_memory = service.engines.token_memory;
  offer.slowdown = server.trust.slowdown;
  return offer;
}

decisions::separated_engine server_registry::SeparatedOf(
    const known_server& server,
    base::time_point now) {
  decisions::separated_engine engine;
  engine.long_streams =
      static_cast<double>(server.own.long_streams + server.others.long_streams);
  engine.prefill_level =
      decisions::PrefillLevel(server.own.long_prompts, now) +
      decisions::PrefillLevel(server.others.long_prompts, now);
  return engine;
}

milliseconds server_registry::CostOfSeparation(
    const known_server& server,
    const decisions::server_candidate& offer,
    milliseconds expected,
    const server_query& query,
    base::time_point now) const {
  decisions::separated_engine engine = SeparatedOf(server, now);
  engine.slowdown = offer.slowdown;
  engine.backlog =
      query.weight.time_per_token * static_cast<double>(offer.unread_tokens);
  engine.expected_wait = expected;
  decisions::separated_request request;
  request.prefill = PrefillOf(offer, query);
  request.typical_prefill = typical_prompt_.prefill;
  request.expected_events = query.expected_events;
  request.max_event_gap = query.max_event_gap;
  request.time_left = query.due - now;
  return decisions::SeparationCost(engine, request);
}

decisions::server_candidate server_registry::OfferOf(
    const known_server& server,
    const server_query& query,
    const catalog::service& service,
    base::time_point now) const {
  decisions::server_candidate offer = LoadOf(server, service);
  if (!query.model.empty())
    offer.cached_tokens = CachedTokens(server, *query.head, now);
  offer.same_zone = server.entry.zone == zone_;
  offer.slowdown = UsesSharedEstimate(query, service)
                       ? decisions::CurrentFactor(server.estimate, now)
                       : server.trust.slowdown;
  return offer;
}

std::optional<server_choice> server_registry::Choose(
    const server_query& query,
    const catalog::service& service,
    base::time_point now,
    std::mt19937_64& random) {
  auto warm = ChooseWarm(query, service, now, random);
  if (warm || service.cold_rate <= 0)
    return warm;
  return ChooseCold(query, service, now, random);
}

std::optional<server_choice> server_registry::ChooseCold(
    const server_query& query,
    const catalog::service& service,
    base::time_point now,
    std::mt19937_64& random) const {
  decisions::cold_share share;
  if (cold_share_)
    share = cold_share_();
  share.rate = service.cold_rate;
  for (const auto& [instance, server] : servers_) {
    const bool candidate =
        IsCandidate(*server, query, now) && server->IsCold(service, now);
    if (!candidate ||
        !decisions::TryStartColdSend(server->cold, share, now, random))
      continue;
    const decisions::server_candidate offer =
        OfferOf(*server, query, service, now);
    return ChoiceOf(server, offer, query, service);
  }
  return std::nullopt;
}

std::optional<server_choice> server_registry::ChooseWarm(
    const server_query& query,
    const catalog::service& service,
    base::time_point now,
    std::mt19937_64& random) const {
  std::optional<server_choice> best;
  milliseconds best_cost{0};
  unseparated_best unseparated;
  bool any_long_streams = false;
  const bool separates = !query.model.empty() && SeparatesStreams(service);
  // Not decided for each candidate, by its speed and its cached tokens: the
  // costs of candidates would differ by the pause cost.
  const bool is_long_prompt = IsLongRequest(query);
  const bool is_long =
      is_long_prompt || decisions::IsLongStream(query.expected_events);
  std::uniform_real_distribution<double> jitter(0, 1);
  const bool is_shared = UsesSharedEstimate(query, service);
  for (const auto& [instance, server] : servers_) {
    if (!IsCandidate(*server, query, now) || server->IsCold(service, now))
      continue;
    const decisions::server_candidate offer =
        OfferOf(*server, query, service, now);
    const milliseconds expected = ExpectedWait(offer, query.weight);
    const double pause_factor = is_shared ? offer.slowdown : 1;
    const bool receives_directly =
        !receives_directly_ || receives_directly_(instance);
    const milliseconds update_cost =
        receives_directly ? milliseconds(0) : kIndirectUpdateCost;
    const milliseconds pause_cost = PauseCost(server->pace, now) * pause_factor;
    milliseconds cost = update_cost + pause_cost +
                        expected * (1 + kCostJitterShare * jitter(random)) +
                        kCostJitter * jitter(random);
    if (separates) {
      if (unseparated.server == nullptr || cost < unseparated.cost)
        unseparated = {server, cost, offer};
      any_long_streams =
          any_long_streams ||
          server->own.long_streams + server->others.long_streams > 0;
      // Otherwise long prompts would be spread over all engines.
      if (is_long_prompt)
        cost -= pause_cost;
      if (is_long)
        cost += CostOfSeparation(*server, offer, expected, query, now);
    }
    if (best && cost >= best_cost)
      continue;
    best = ChoiceOf(server, offer, query, service);
    best_cost = cost;
  }
  if (!best || unseparated.server == nullptr ||
      unseparated.server == best->server)
    return best;
  // Without long streams long prompts are spread as before.
  if (!any_long_streams && !decisions::IsLongStream(query.expected_events))
    return ChoiceOf(unseparated.server, unseparated.offer, query, service);
  best->separated->changed = is_long_prompt
                                 ? decisions::separated_kind::kLongPrompt
                                 : decisions::separated_kind::kLongStream;
  return best;
}

std::optional<server_choice> server_registry::ChoiceOf(
    const std::string& instance,
    const server_query& query,
    const catalog::service& service,
    base::time_point now) const {
  const auto server = Find(instance);
  if (server == nullptr || !IsCandidate(*server, query, now))
    return std::nullopt;
  const decisions::server_candidate offer =
      OfferOf(*server, query, service, now);
  return ChoiceOf(server, offer, query, service);
}

}  // namespace valeledge::host
