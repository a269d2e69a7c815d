// SPDX-License-Identifier: MIT
#include "host/process/server_registry.h"

#include <algorithm>
#include <utility>

#include "base/identifier.h"

namespace valeledge::host {

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;

// News of the lease holder and refusals of a server stand against its entry
// for so long: entries are written about every second and read a little later.
constexpr auto kFactLife = std::chrono::seconds(5);

// Adapters do not make a server write its entry anew.
constexpr auto kAdapterFactLife = std::chrono::seconds(60);

// Prompts that are remembered of one server, and for how long at the most.
constexpr std::size_t kPromptsRemembered = 256;
constexpr auto kPromptLife = std::chrono::seconds(60);

// Choices are blurred by up to this much, so that hosts which know the same
// do not all choose the same server.
constexpr milliseconds kBlur{4};
// A server of which this host hears late is taken when those it knows well are
// busier by about one prompt.
constexpr milliseconds kUnsure{60};
constexpr double kBlurShare = 0.25;

// A load that has not ended so long after it was due is not waited for.
constexpr auto kLateLoad = std::chrono::milliseconds(800);

// Hash of the model and all parts up to and with one part.
std::uint64_t ChainHash(std::uint64_t before, const prompt_part& part) {
  constexpr std::uint64_t kMix = 0x9e3779b97f4a7c15;
  return (before ^ part.id) * kMix + (before >> 29);
}

std::uint64_t ChainStart(const request_metadata& head) {
  return base::StableHash(AdapterUnit(head.model, head.adapter));
}

std::int64_t KeptTokens(const known_server& server,
                        const request_metadata& head,
                        base::time_point now) {
  std::int64_t kept = 0;
  std::uint64_t chain = ChainStart(head);
  for (const prompt_part& part : head.prompt) {
    chain = ChainHash(chain, part);
    const auto seen = server.prompts.seen.find(chain);
    if (seen == server.prompts.seen.end() || now - seen->second > kPromptLife)
      break;
    kept += part.tokens;
  }
  return kept;
}

void ForgetOldest(prompt_memory& memory) {
  const auto oldest = std::ranges::min_element(
      memory.seen, {}, [](const auto& each) { return each.second; });
  memory.seen.erase(oldest);
}

server_use UseOf(const wire::server_load& load) {
  return {load.running, load.unread_tokens, load.held_tokens};
}

const catalog::held_model* FindModel(const catalog::backend_server& entry,
                                     std::string_view name) {
  const auto found =
      std::ranges::find(entry.models, name, &catalog::held_model::name);
  return found == entry.models.end() ? nullptr : &*found;
}

}  // namespace

unit_key KeyOf(std::string_view name) {
  return static_cast<unit_key>(base::StableHash(name));
}

std::string AdapterUnit(std::string_view model, std::string_view adapter) {
  std::string unit(model);
  if (!adapter.empty())
    unit.append("/").append(adapter);
  return unit;
}

bool IsAtHome(const server_wish& wish, const std::string& region) {
  const auto allows = [&](const std::vector<std::string>* homes) {
    return homes == nullptr || homes->empty() ||
           std::ranges::find(*homes, region) != homes->end();
  };
  return allows(wish.route_homes) && allows(wish.workspace_homes);
}

bool known_server::Holds(std::string_view model,
                         std::string_view adapter,
                         base::time_point now) const {
  const auto fact = [&](const std::string& unit, auto life) {
    const auto found = facts.find(KeyOf(unit));
    const bool fresh =
        found != facts.end() && now - found->second.learned < life;
    return fresh ? std::optional<bool>(found->second.holds) : std::nullopt;
  };
  const catalog::held_model* held = FindModel(entry, model);
  const bool has_model =
      fact(std::string(model), kFactLife).value_or(held != nullptr);
  if (!has_model || adapter.empty())
    return has_model;
  const bool listed =
      held != nullptr &&
      std::ranges::find(held->adapters, adapter) != held->adapters.end();
  return fact(AdapterUnit(model, adapter), kAdapterFactLife).value_or(listed);
}

bool known_server::IsCold(const catalog::service& service,
                          base::time_point now) const {
  if (service.cold_rate <= 0)
    return false;
  const bool may_be = taken_back_at && now < *taken_back_at + service.cold_time;
  return may_be || decisions::IsCold(cold, now);
}

bool server_registry::Put(catalog::backend_server entry, base::time_point now) {
  auto& slot = servers_[entry.instance];
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
    // Other hosts may have told of it before its entry came.
    for (const auto& [host, loads] : loads_) {
      const auto use = loads.find(slot->key);
      if (use != loads.end())
        AddUse(slot->key, use->second, 1);
    }
    return true;
  }
  const bool changed = slot->leaving != entry.draining || slot->lapses_at;
  // Leaving is not unsaid within one instance, but an entry that only lapsed
  // may come back.
  const bool left = slot->leaving && slot->entry.draining;
  slot->entry = std::move(entry);
  slot->evacuated = evacuated_zones_.contains(slot->entry.zone);
  slot->taken_back_at.reset();
  decisions::MarkCold(slot->cold, slot->entry.cold_for, now);
  slot->entry.draining = slot->entry.draining || left;
  slot->leaving = slot->entry.draining;
  slot->lapses_at.reset();
  return changed;
}

void server_registry::Remove(const std::string& instance,
                             bool lapsed,
                             std::chrono::milliseconds grace,
                             base::time_point now) {
  const auto found = servers_.find(instance);
  if (found == servers_.end())
    return;
  known_server& server = *found->second;
  if (lapsed && !server.leaving) {
    if (!server.lapses_at)
      server.lapses_at = now + grace;
    any_lapses_ = true;
    return;
  }
  server.leaving = true;
  by_key_.erase(server.key);
  // Requests that are under way keep the server alive.
  servers_.erase(found);
}

void server_registry::Sweep(base::time_point now) {
  if (!any_lapses_)
    return;
  any_lapses_ = false;
  std::vector<std::string> ended;
  for (const auto& [instance, server] : servers_) {
    if (!server->lapses_at)
      continue;
    if (now >= *server->lapses_at)
      ended.push_back(instance);
    else
      any_lapses_ = true;
  }
  for (const std::string& instance : ended)
    Remove(instance, false, {}, now);
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
    server->taken_back_at = now;
  }
}

bool server_registry::IsOpenTo(const known_server& server,
                               const server_wish& wish) const {
  return server.TakesRequests() && server.entry.service == wish.service &&
         IsAtHome(wish, server.region);
}

bool server_registry::IsCandidate(const known_server& server,
                                  const server_wish& wish,
                                  base::time_point now) const {
  return server.IsPermitted(now) && IsUsable(server, wish, now);
}

bool server_registry::IsUsable(const known_server& server,
                               const server_wish& wish,
                               base::time_point now) const {
  const bool usable =
      IsOpenTo(server, wish) && decisions::AllowsRequests(server.trust, now);
  const bool tried = std::ranges::find(*wish.avoid, server.entry.instance) !=
                     wish.avoid->end();
  return usable && !tried &&
         (wish.model.empty() || server.Holds(wish.model, wish.adapter, now));
}

decisions::server_candidate server_registry::OfferOf(
    const known_server& server,
    const server_wish& wish,
    const catalog::service& service,
    base::time_point now) const {
  decisions::server_candidate offer;
  offer.slots = std::max<std::int64_t>(server.entry.slots, 1);
  offer.running = server.own.running + server.others.running;
  offer.unread_tokens = server.own.unread_tokens + server.others.unread_tokens;
  offer.held_tokens = server.own.held_tokens + server.others.held_tokens;
  offer.token_memory = service.engines.token_memory;
  if (!wish.model.empty())
    offer.cached_tokens = KeptTokens(server, *wish.head, now);
  offer.same_zone = server.entry.zone == zone_;
  offer.slowdown = server.trust.slowdown;
  return offer;
}

std::optional<server_choice> server_registry::Choose(
    const server_wish& wish,
    const catalog::service& service,
    base::time_point now,
    std::mt19937_64& random) {
  auto warm = ChooseWarm(wish, service, now, random);
  if (warm || service.cold_rate <= 0)
    return warm;
  return ChooseCold(wish, service, now, random);
}

std::optional<server_choice> server_registry::ChooseCold(
    const server_wish& wish,
    const catalog::service& service,
    base::time_point now,
    std::mt19937_64& random) const {
  decisions::cold_share share;
  if (cold_share_)
    share = cold_share_();
  share.rate = service.cold_rate;
  for (const auto& [instance, server] : servers_) {
    const bool candidate =
        IsCandidate(*server, wish, now) && server->IsCold(service, now);
    if (!candidate ||
        !decisions::TryStartColdSend(server->cold, share, now, random))
      continue;
    const decisions::server_candidate offer =
        OfferOf(*server, wish, service, now);
    const milliseconds ahead =
        wish.weight.time_per_token * static_cast<double>(offer.unread_tokens);
    return server_choice{server, ExpectedWait(offer, wish.weight), ahead,
                         offer.cached_tokens};
  }
  return std::nullopt;
}

std::optional<server_choice> server_registry::ChooseWarm(
    const server_wish& wish,
    const catalog::service& service,
    base::time_point now,
    std::mt19937_64& random) const {
  std::optional<server_choice> best;
  milliseconds best_cost{0};
  std::uniform_real_distribution<double> blur(0, 1);
  for (const auto& [instance, server] : servers_) {
    if (!IsCandidate(*server, wish, now) || server->IsCold(service, now))
      continue;
    const decisions::server_candidate offer =
        OfferOf(*server, wish, service, now);
    const milliseconds expected = ExpectedWait(offer, wish.weight);
    const bool hears = !hears_at_once_ || hears_at_once_(instance);
    const milliseconds unsure = hears ? milliseconds(0) : kUnsure;
    const milliseconds cost = unsure + PauseCost(server->pace, now) +
                              expected * (1 + kBlurShare * blur(random)) +
                              kBlur * blur(random);
    if (best && cost >= best_cost)
      continue;
    const milliseconds ahead =
        wish.weight.time_per_token * static_cast<double>(offer.unread_tokens);
    best = server_choice{server, expected, ahead, offer.cached_tokens};
    best_cost = cost;
  }
  return best;
}

bool server_registry::AnyHolds(const server_wish& wish,
                               base::time_point now) const {
  return std::ranges::any_of(servers_, [&](const auto& each) {
    const known_server& server = *each.second;
    return IsOpenTo(server, wish) &&
           (wish.model.empty() || server.Holds(wish.model, wish.adapter, now));
  });
}

std::optional<base::time_point> server_registry::PermittedAt(
    const server_wish& wish,
    base::time_point now) const {
  std::optional<base::time_point> first;
  for (const auto& [instance, server] : servers_) {
    if (!IsUsable(*server, wish, now))
      continue;
    if (server->IsPermitted(now))
      return std::nullopt;
    if (!first || server->closed_until < *first)
      first = server->closed_until;
  }
  return first;
}

std::optional<base::time_point> server_registry::ComingAt(
    const server_wish& wish,
    base::time_point now) const {
  std::optional<base::time_point> first;
  for (const auto& [instance, server] : servers_) {
    if (!IsOpenTo(*server, wish))
      continue;
    const auto found = server->coming.find(KeyOf(wish.model));
    const bool current =
        found != server->coming.end() && now < found->second + kLateLoad;
    if (current && (!first || found->second < *first))
      first = found->second;
  }
  return first;
}

std::optional<std::chrono::milliseconds> server_registry::LoadAtHand(
    const server_wish& wish,
    const catalog::service& service) const {
  const catalog::model* model = service.engines.Find(wish.model);
  std::optional<std::chrono::milliseconds> best;
  if (model == nullptr)
    return best;
  for (const auto& [instance, server] : servers_) {
    const catalog::backend_server& entry = server->entry;
    if (!IsOpenTo(*server, wish))
      continue;
    const auto has = [&](const std::vector<std::string>& copies) {
      return std::ranges::find(copies, wish.model) != copies.end();
    };
    if (has(entry.in_memory))
      return model->load_from_memory;
    if (has(entry.on_disk))
      best = model->load_from_disk;
  }
  return best;
}

void server_registry::RememberPrompt(known_server& server,
                                     const request_metadata& head,
                                     base::time_point now) {
  std::uint64_t chain = ChainStart(head);
  for (const prompt_part& part : head.prompt) {
    chain = ChainHash(chain, part);
    server.prompts.seen[chain] = now;
    if (server.prompts.seen.size() > kPromptsRemembered)
      ForgetOldest(server.prompts);
  }
}

void server_registry::TakeLoads(const std::string& host,
                                const std::vector<wire::server_load>& loads) {
  auto& known = loads_[host];
  for (const auto& [key, use] : known)
    AddUse(key, use, -1);
  known.clear();
  for (const wire::server_load& each : loads) {
    const auto [place, added] = known.emplace(each.server, UseOf(each));
    if (added)
      AddUse(each.server, place->second, 1);
  }
}

void server_registry::TakeSomeLoads(
    const std::string& host,
    const std::vector<wire::server_load>& loads) {
  auto& known = loads_[host];
  for (const wire::server_load& each : loads) {
    const server_use use = UseOf(each);
    const server_use before = std::exchange(known[each.server], use);
    const auto server = FindKey(each.server);
    if (server == nullptr)
      continue;
    server->others.running += use.running - before.running;
    const std::int64_t sent = use.unread_tokens - before.unread_tokens;
    server->others.unread_tokens += sent;
    if (sent > 0) {
      decisions::AddPromptRead(server->pace,
                               server->per_token * static_cast<double>(sent),
                               std::chrono::steady_clock::now());
    }
    server->others.held_tokens += use.held_tokens - before.held_tokens;
  }
}

void server_registry::ForgetHost(const std::string& host) {
  const auto found = loads_.find(host);
  if (found == loads_.end())
    return;
  for (const auto& [key, use] : found->second)
    AddUse(key, use, -1);
  loads_.erase(found);
}

void server_registry::AddUse(unit_key key,
                             const server_use& use,
                             std::int64_t times) const {
  const auto server = FindKey(key);
  if (server == nullptr)
    return;
  server->others.running += times * use.running;
  server->others.unread_tokens += times * use.unread_tokens;
  server->others.held_tokens += times * use.held_tokens;
}

wire::server_load server_registry::OwnLoad(const known_server& server) {
  wire::server_load load;
  load.server = server.key;
  load.running = static_cast<std::int32_t>(server.own.running);
  load.unread_tokens = static_cast<std::int32_t>(server.own.unread_tokens);
  load.held_tokens = static_cast<std::int32_t>(server.own.held_tokens);
  return load;
}

std::vector<wire::server_load> server_registry::OwnLoads() const {
  std::vector<wire::server_load> out;
  for (const auto& [instance, server] : servers_) {
    if (server->own.running != 0)
      out.push_back(OwnLoad(*server));
  }
  return out;
}

std::shared_ptr<known_server> server_registry::Find(
    std::string_view instance) const {
  const auto found = servers_.find(instance);
  return found == servers_.end() ? nullptr : found->second;
}

std::shared_ptr<known_server> server_registry::FindKey(unit_key key) const {
  const auto found = by_key_.find(key);
  return found == by_key_.end() ? nullptr : found->second.lock();
}

}  // namespace valeledge::host
