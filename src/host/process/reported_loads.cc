// SPDX-License-Identifier: MIT
#include "host/process/reported_loads.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <utility>

#include "host/process/separation_reports.h"

namespace valeledge::host {

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;

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

// Adds a host's usage to the server's totals, `times` times: 1 adds it, -1
// subtracts it.
void AddUsage(known_server& server,
              const server_usage& use,
              std::int64_t times) {
  server.others.running += times * use.running;
  server.others.unread_tokens += times * use.unread_tokens;
  server.others.held_tokens += times * use.held_tokens;
  server.others.queued_tokens += times * use.queued_tokens;
  server.others.long_streams += times * use.long_streams;
  if (use.long_prompts.level.count() <= 0)
    return;
  const auto now = std::chrono::steady_clock::now();
  decisions::AddLongPrefill(server.others.long_prompts,
                            decisions::PrefillLevel(use.long_prompts, now) *
                                static_cast<double>(times),
                            now);
}

void AddUsageAt(const servers_by_key& servers,
                unit_key key,
                const server_usage& use,
                std::int64_t times) {
  const auto server = FindServer(servers, key);
  if (server != nullptr)
    AddUsage(*server, use, times);
}

// Counts requests that another host has sent, if `more` is above 0.
void CountSent(known_server& server, std::int64_t more) {
  server.requests_sent += std::max<std::int64_t>(more, 0);
}

}  // namespace

std::shared_ptr<known_server> FindServer(const servers_by_key& servers,
                                         unit_key key) {
  const auto found = servers.find(key);
  return found == servers.end() ? nullptr : found->second.lock();
}

wire::server_load OwnLoad(const known_server& server) {
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

void reported_loads::Replace(const servers_by_key& servers,
                             const std::string& host,
                             const std::vector<wire::server_load>& loads) {
  const auto now = std::chrono::steady_clock::now();
  auto& known = loads_[host];
  for (const auto& [key, use] : known)
    AddUsageAt(servers, key, use, -1);
  const auto before = std::exchange(known, {});
  for (const wire::server_load& each : loads) {
    const auto [position, added] =
        known.emplace(each.server, UsageOf(each, now));
    if (!added)
      continue;
    const auto server = FindServer(servers, each.server);
    if (server == nullptr)
      continue;
    AddUsage(*server, position->second, 1);
    const auto found = before.find(each.server);
    CountSent(*server, position->second.running -
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
      AddUsageAt(servers, key, rest, 1);
  }
}

void reported_loads::Update(const servers_by_key& servers,
                            const std::string& host,
                            const std::vector<wire::server_load>& loads) {
  const auto now = std::chrono::steady_clock::now();
  auto& known = loads_[host];
  for (const wire::server_load& each : loads) {
    const server_usage use = UsageOf(each, now);
    const server_usage before = std::exchange(known[each.server], use);
    const auto server = FindServer(servers, each.server);
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
    CountSent(*server, use.running - before.running);
  }
}

void reported_loads::Forget(const servers_by_key& servers,
                            const std::string& host) {
  const auto found = loads_.find(host);
  if (found == loads_.end())
    return;
  for (const auto& [key, use] : found->second)
    AddUsageAt(servers, key, use, -1);
  loads_.erase(found);
}

void reported_loads::AddTo(known_server& server) const {
  for (const auto& [host, loads] : loads_) {
    const auto use = loads.find(server.key);
    if (use != loads.end())
      AddUsage(server, use->second, 1);
  }
}

}  // namespace valeledge::host
