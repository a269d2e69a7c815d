// SPDX-License-Identifier: MIT
#include "host/process/server_registry.h"

#include <algorithm>
#include <utility>

#include "base/identifier.h"
#include "decisions/brittle_server.h"
#include "decisions/stream_origin.h"
#include "host/process/separation_reports.h"

namespace valeledge::host {

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;

// Maximum number and age of the prompt prefixes recorded for one server.
constexpr std::size_t kMaxPrompts = 256;
constexpr auto kPromptLifetime = std::chrono::seconds(60);

// Maximum random cost, fixed and as a share of the expected wait, so that hosts
// with the same knowledge do not all select the same server.
constexpr milliseconds kCostJitter{4};
// Extra cost of a server whose load changes are not sent to this host directly,
// about one prompt: its known load may be stale.
constexpr milliseconds kIndirectUpdateCost{60};
constexpr double kCostJitterShare = 0.25;

// A load that is overdue by more than this is not waited for.
constexpr auto kOverdueLoadTolerance = std::chrono::milliseconds(800);

// Whether a request would not be rejected, if the server tolerates few
// rejections.
bool HasRoom(const known_server& server) {
  return !server.rejections_tolerated ||
         server.own.running + server.others.running <
             decisions::BrittleSlots(server.entry.slots);
}

// Extends the hash of a prompt prefix by one part.
std::uint64_t ChainHash(std::uint64_t before, const prompt_part& part) {
  constexpr std::uint64_t kMix = 0x9e3779b97f4a7c15;
  return (before ^ part.id) * kMix + (before >> 29);
}

std::uint64_t ChainStart(const request_metadata& head) {
  return base::StableHash(AdapterUnit(head.model, head.adapter));
}

std::int64_t CachedTokens(const known_server& server,
                          const request_metadata& head,
                          base::time_point now) {
  std::int64_t cached_tokens = 0;
  std::uint64_t chain = ChainStart(head);
  for (const prompt_part& part : head.prompt) {
    chain = ChainHash(chain, part);
    const auto last_seen = server.prompts.last_seen.find(chain);
    if (last_seen == server.prompts.last_seen.end() ||
        now - last_seen->second > kPromptLifetime)
      break;
    cached_tokens += part.tokens;
  }
  return cached_tokens;
}

void EvictOldest(prompt_history& history) {
  const auto oldest = std::ranges::min_element(
      history.last_seen, {}, [](const auto& each) { return each.second; });
  history.last_seen.erase(oldest);
}

// Prefill that hosts have reported is kept while it is longer.
constexpr milliseconds kMinKeptPrefill{1};

server_usage UsageOf(const wire::server_load& load, base::time_point now) {
  const std::int64_t queued = std::clamp<std::int64_t>(
      load.queued_tokens, 0, std::max(load.unread_tokens, 0));
  const reported_separation separation = ReadSeparation(load);
  return {load.running,
          load.unread_tokens - queued,
          load.held_tokens,
          queued,
          separation.long_streams,
          {separation.long_prefill, now}};
}

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

// The software of a run does not change.
bool IsOtherRun(const catalog::backend_server& entry,
                const catalog::backend_server& known) {
  const bool is_newer = entry.started_at && known.started_at &&
                        *entry.started_at > *known.started_at;
  return is_newer || entry.software != known.software;
}

}  // namespace

bool IsInAllowedRegion(const server_query& query, const std::string& region) {
  const auto allows = [&](const std::vector<std::string>* regions) {
    return regions == nullptr || regions->empty() ||
           std::ranges::find(*regions, region) != regions->end();
  };
  return allows(query.route_regions) && allows(query.workspace_regions);
}

bool HasRequiredSoftware(const server_query& query,
                         const catalog::backend_server& entry) {
  return query.software == nullptr || entry.software == *query.software;
}

bool server_registry::Put(catalog::backend_server entry, base::time_point now) {
  auto& slot = servers_[entry.instance];
  // Nothing that is known of the earlier run applies to this one.
  if (slot != nullptr && IsOtherRun(entry, slot->entry)) {
    RecordRemovedSoftware(slot->entry, now);
    slot.reset();
  }
  if (slot == nullptr) {
    slot = std::make_shared<known_server>();
    slot->key = KeyOf(entry.instance);
    by_key_[slot->key] = slot;
    slot->leaving = entry.draining;
    slot->entry = std::move(entry);
    slot->evacuated = evacuated_zones_.contains(slot->entry.zone);
    const auto region = regions_.find(slot->entry.zone);
    slot->region = region == regions_.end() ? "" : region->second;
    decisions::MarkCold(slot->cold, slot->entry.cold_for, now);
    // Other hosts may have reported loads at it before its entry was read.
    for (const auto& [host, loads] : loads_) {
      const auto use = loads.find(slot->key);
      if (use != loads.end())
        AddUsage(slot->key, use->second, 1);
    }
    return true;
  }
  const bool changed = slot->leaving != entry.draining || slot->expires_at;
  // An instance that has started draining does not stop doing so, but one whose
  // entry merely expired may reappear.
  const bool left = slot->leaving && slot->entry.draining;
  if (slot->entry.address != entry.address)
    slot->notices.replaced_at.reset();
  decisions::ObserveEntry(slot->notices, now);
  slot->entry = std::move(entry);
  slot->evacuated = evacuated_zones_.contains(slot->entry.zone);
  slot->reinstated_at.reset();
  decisions::MarkCold(slot->cold, slot->entry.cold_for, now);
  slot->entry.draining = slot->entry.draining || left;
  slot->leaving = slot->entry.draining;
  slot->expires_at.reset();
  return changed;
}

void server_registry::Remove(const std::string& instance,
                             bool expired,
                             std::chrono::milliseconds grace,
                             base::time_point now) {
  const auto found = servers_.find(instance);
  if (found == servers_.end())
    return;
  known_server& server = *found->second;
  if (expired && !server.leaving) {
    if (!server.expires_at)
      server.expires_at = now + grace;
    any_expiring_ = true;
    return;
  }
  server.leaving = true;
  RecordRemovedSoftware(server.entry, now);
  by_key_.erase(server.key);
  // Requests in flight keep the object alive.
  servers_.erase(found);
}

void server_registry::RemoveExpired(base::time_point now) {
  if (!any_expiring_)
    return;
  any_expiring_ = false;
  std::vector<std::string> expired;
  for (const auto& [instance, server] : servers_) {
    if (!server->expires_at)
      continue;
    if (now >= *server->expires_at)
      expired.push_back(instance);
    else
      any_expiring_ = true;
  }
  for (const std::string& instance : expired)
    Remove(instance, false, {}, now);
}

void server_registry::RecordRemovedSoftware(
    const catalog::backend_server& entry,
    base::time_point now) {
  std::erase_if(removed_software_, [now](const auto& each) {
    return now - each.second > decisions::kOriginLifetime;
  });
  removed_software_[{entry.service, entry.software}] = now;
}

std::set<std::string> server_registry::SoftwareSince(
    std::string_view service,
    base::time_point since) const {
  std::set<std::string> out;
  for (const auto& [instance, server] : servers_) {
    if (server->entry.service == service)
      out.insert(server->entry.software);
  }
  for (const auto& [removed, removed_at] : removed_software_) {
    if (removed.first == service && removed_at >= since)
      out.insert(removed.second);
  }
  return out;
}

void server_registry::Evacuate(const std::string& zone) {
  evacuated_zones_.insert(zone);
  for (const auto& [instance, server] : servers_) {
    if (server->entry.zone == zone)
      server->evacuated = true;
  }
}

void server_registry::EndEvacuation(const std::string& zone,
                                    base::time_point now) {
  evacuated_zones_.erase(zone);
  for (const auto& [instance, server] : servers_) {
    if (server->entry.zone != zone)
      continue;
    server->evacuated = false;
    server->reinstated_at = now;
  }
}

bool server_registry::AcceptsRequest(const known_server& server,
                                     const server_query& query) const {
  return server.TakesRequests() && server.entry.service == query.service &&
         HasRequiredSoftware(query, server.entry) &&
         IsInAllowedRegion(query, server.region);
}

bool server_registry::IsCandidate(const known_server& server,
                                  const server_query& query,
                                  base::time_point now) const {
  return server.IsPermitted(now) && HasRoom(server) &&
         IsEligible(server, query, now) &&
         !decisions::IsPaused(server.notices, now) &&
         decisions::AllowsRequests(server.trust, now);
}

bool server_registry::IsEligible(const known_server& server,
                                 const server_query& query,
                                 base::time_point now) const {
  const bool tried = std::ranges::find(*query.avoid, server.entry.instance) !=
                     query.avoid->end();
  return AcceptsRequest(server, query) && !tried &&
         (query.model.empty() || server.Holds(query.model, query.adapter, now));
}

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

bool server_registry::AnyHolds(const server_query& query,
                               base::time_point now) const {
  return std::ranges::any_of(servers_, [&](const auto& each) {
    const known_server& server = *each.second;
    return AcceptsRequest(server, query) &&
           (query.model.empty() ||
            server.Holds(query.model, query.adapter, now));
  });
}

bool server_registry::AnyEligible(const server_query& query,
                                  base::time_point now) const {
  return std::ranges::any_of(servers_, [&](const auto& each) {
    return IsEligible(*each.second, query, now);
  });
}

std::optional<server_release> server_registry::EarliestRelease(
    const server_query& query,
    base::time_point now) const {
  std::optional<server_release> first;
  bool any_stated = false;
  for (const auto& [instance, server] : servers_) {
    if (!IsEligible(*server, query, now))
      continue;
    const bool needs_permit = !server->IsPermitted(now);
    const bool is_stated =
        needs_permit || decisions::IsBackingOff(server->notices, now);
    const auto paused_until = std::max(decisions::PausedUntil(server->notices),
                                       server->trust.suspended_until);
    server_release release{paused_until, false};
    if (needs_permit && server->permit_retry_at >= paused_until)
      release = {server->permit_retry_at, true};
    const bool is_available = !needs_permit && release.at <= now;
    if (is_available)
      return std::nullopt;
    any_stated = any_stated || is_stated;
    if (!first || release.at < first->at)
      first = release;
  }
  return any_stated ? first : std::nullopt;
}

std::optional<base::time_point> server_registry::EarliestLoadDue(
    const server_query& query,
    base::time_point now) const {
  return EarliestOf(&known_server::loads_due, query, now);
}

std::optional<base::time_point> server_registry::EarliestPlannedLoad(
    const server_query& query,
    base::time_point now) const {
  return EarliestOf(&known_server::planned_loads_due, query, now);
}

std::optional<base::time_point> server_registry::EarliestOf(
    std::map<unit_key, base::time_point> known_server::*loads,
    const server_query& query,
    base::time_point now) const {
  std::optional<base::time_point> first;
  for (const auto& [instance, server] : servers_) {
    if (!AcceptsRequest(*server, query))
      continue;
    const auto& known = (*server).*loads;
    const auto found = known.find(KeyOf(query.model));
    const bool current =
        found != known.end() && now < found->second + kOverdueLoadTolerance;
    if (current && (!first || found->second < *first))
      first = found->second;
  }
  return first;
}

std::optional<std::chrono::milliseconds> server_registry::FastestLocalLoad(
    const server_query& query,
    const catalog::service& service) const {
  const catalog::model* model = service.engines.Find(query.model);
  std::optional<std::chrono::milliseconds> best;
  if (model == nullptr)
    return best;
  for (const auto& [instance, server] : servers_) {
    const catalog::backend_server& entry = server->entry;
    if (!AcceptsRequest(*server, query))
      continue;
    const auto has = [&](const std::vector<std::string>& copies) {
      return std::ranges::find(copies, query.model) != copies.end();
    };
    if (has(entry.in_memory))
      return model->load_from_memory;
    if (has(entry.on_disk))
      best = model->load_from_disk;
  }
  return best;
}

void server_registry::RecordPrompt(known_server& server,
                                   const request_metadata& head,
                                   base::time_point now) {
  std::uint64_t chain = ChainStart(head);
  for (const prompt_part& part : head.prompt) {
    chain = ChainHash(chain, part);
    server.prompts.last_seen[chain] = now;
    if (server.prompts.last_seen.size() > kMaxPrompts)
      EvictOldest(server.prompts);
  }
}

void server_registry::ReplaceLoads(
    const std::string& host,
    const std::vector<wire::server_load>& loads) {
  const auto now = std::chrono::steady_clock::now();
  auto& known = loads_[host];
  for (const auto& [key, use] : known)
    AddUsage(key, use, -1);
  const auto before = std::exchange(known, {});
  for (const wire::server_load& each : loads) {
    const auto [position, added] =
        known.emplace(each.server, UsageOf(each, now));
    if (!added)
      continue;
    AddUsage(each.server, position->second, 1);
    const auto found = before.find(each.server);
    CountSent(each.server,
              position->second.running -
                  (found == before.end() ? 0 : found->second.running));
  }
  // A host does not report servers at which it has nothing in progress. What it
  // sent there recently decays.
  for (const auto& [key, use] : before) {
    if (decisions::PrefillLevel(use.long_prompts, now) < kMinKeptPrefill)
      continue;
    server_usage rest;
    rest.long_prompts = use.long_prompts;
    if (known.emplace(key, rest).second)
      AddUsage(key, rest, 1);
  }
}

void server_registry::UpdateLoads(const std::string& host,
                                  const std::vector<wire::server_load>& loads) {
  const auto now = std::chrono::steady_clock::now();
  auto& known = loads_[host];
  for (const wire::server_load& each : loads) {
    const server_usage use = UsageOf(each, now);
    const server_usage before = std::exchange(known[each.server], use);
    const auto server = FindKey(each.server);
    if (server == nullptr)
      continue;
    server->others.running += use.running - before.running;
    const std::int64_t sent = use.unread_tokens - before.unread_tokens;
    server->others.unread_tokens += sent;
    if (sent > 0) {
      decisions::AddPromptRead(
          server->pace, server->per_token * static_cast<double>(sent), now);
    }
    server->others.held_tokens += use.held_tokens - before.held_tokens;
    server->others.queued_tokens += use.queued_tokens - before.queued_tokens;
    server->others.long_streams += use.long_streams - before.long_streams;
    decisions::AddLongPrefill(
        server->others.long_prompts,
        use.long_prompts.level -
            decisions::PrefillLevel(before.long_prompts, now),
        now);
    CountSent(each.server, use.running - before.running);
  }
}

void server_registry::CountSent(unit_key key, std::int64_t more) const {
  const auto server = more > 0 ? FindKey(key) : nullptr;
  if (server != nullptr)
    server->requests_sent += more;
}

void server_registry::ForgetHost(const std::string& host) {
  const auto found = loads_.find(host);
  if (found == loads_.end())
    return;
  for (const auto& [key, use] : found->second)
    AddUsage(key, use, -1);
  loads_.erase(found);
}

void server_registry::AddUsage(unit_key key,
                               const server_usage& use,
                               std::int64_t times) const {
  const auto server = FindKey(key);
  if (server == nullptr)
    return;
  server->others.running += times * use.running;
  server->others.unread_tokens += times * use.unread_tokens;
  server->others.held_tokens += times * use.held_tokens;
  server->others.queued_tokens += times * use.queued_tokens;
  server->others.long_streams += times * use.long_streams;
  if (use.long_prompts.level.count() <= 0)
    return;
  const auto now = std::chrono::steady_clock::now();
  decisions::AddLongPrefill(server->others.long_prompts,
                            decisions::PrefillLevel(use.long_prompts, now) *
                                static_cast<double>(times),
                            now);
}

wire::server_load server_registry::OwnLoad(const known_server& server) {
  wire::server_load load;
  load.server = server.key;
  load.running = static_cast<std::int32_t>(server.own.running);
  load.unread_tokens = static_cast<std::int32_t>(server.own.unread_tokens +
                                                 server.own.queued_tokens);
  if (server.own.queued_tokens > 0)
    load.__set_queued_tokens(
        static_cast<std::int32_t>(server.own.queued_tokens));
  load.held_tokens = static_cast<std::int32_t>(server.own.held_tokens);
  SetSeparation(server.own, std::chrono::steady_clock::now(), load);
  return load;
}

std::vector<wire::server_load> server_registry::OwnLoads() const {
  std::vector<wire::server_load> out;
  for (const auto& [instance, server] : servers_) {
    if (server->own.running != 0 || server->own.queued_tokens != 0)
      out.push_back(OwnLoad(*server));
  }
  return out;
}

std::shared_ptr<known_server> server_registry::Find(
    std::string_view instance) const {
  const auto found = servers_.find(instance);
  return found == servers_.end() ? nullptr : found->second;
}

std::int64_t server_registry::Count(bool (known_server::*matches)()
                                        const) const {
  return std::ranges::count_if(servers_, [matches](const auto& each) {
    return (*each.second.*matches)();
  });
}

std::shared_ptr<known_server> server_registry::FindKey(unit_key key) const {
  const auto found = by_key_.find(key);
  return found == by_key_.end() ? nullptr : found->second.lock();
}

}  // namespace valeledge::host
