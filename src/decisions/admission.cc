// SPDX-License-Identifier: MIT
#include "decisions/admission.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace valeledge::decisions {

namespace {

using base::result_code;
using detail::partner_queue;

// Weight of a new sample in the smoothed service time.
constexpr double kServiceSmoothing = 0.1;

std::int64_t UsableSlots(const cell_admission& cell) {
  std::int64_t slots = 0;
  for (const server_view& server : cell.servers) {
    if (AcceptsWork(server))
      slots += server.slots;
  }
  return std::max<std::int64_t>(slots, 1);
}

// Requests per second that the cell can serve with all slots in use. The
// current throughput does not serve as an estimate: an idle cell would refuse a
// burst. Until an attempt has ended, each slot is assumed to serve one request
// per second.
double ServiceRate(const cell_admission& cell) {
  const auto slots = static_cast<double>(UsableSlots(cell));
  const double each = cell.mean_service_time.count();
  return each > 0 ? slots / each : slots;
}

std::int64_t ServedPerWindow(const cell_admission& cell) {
  const std::chrono::duration<double> window = cell.retries.window;
  return std::llround(ServiceRate(cell) * window.count());
}

refused_request Refuse(cell_admission& cell,
                       std::int64_t ticket,
                       result_code code,
                       base::time_point now) {
  const auto wait =
      ReserveRetrySlot(cell.retries, now, ServedPerWindow(cell), cell.queued);
  return {ticket, code, wait};
}

// Time until the limit admits `amount`; nullopt if it does so now.
std::optional<std::chrono::milliseconds> LimitWait(
    std::map<std::string, token_bucket>& limits,
    const std::string& key,
    double amount,
    base::time_point now) {
  const auto found = limits.find(key);
  if (found == limits.end())
    return std::nullopt;
  Refill(found->second, now);
  const auto wait = TimeUntilAvailable(found->second, amount);
  if (wait.count() == 0)
    return std::nullopt;
  return std::chrono::ceil<std::chrono::milliseconds>(wait);
}

void Charge(std::map<std::string, token_bucket>& limits,
            const std::string& key,
            double amount) {
  const auto found = limits.find(key);
  if (found != limits.end())
    found->second.level -= amount;
}

std::optional<refused_request> CheckLimits(cell_admission& cell,
                                           const waiting_request& request,
                                           base::time_point now) {
  const std::string partner = "partner/" + request.partner;
  for (const auto& [key, code] :
       {std::pair(partner, result_code::kPartnerLimit),
        std::pair(request.limit_key, result_code::kModelLimit)}) {
    auto wait = LimitWait(cell.request_limits, key, 1, now);
    if (!wait)
      wait = LimitWait(cell.token_limits, key, request.tokens, now);
    if (wait) {
      // Retries after the limit's own wait are spread over the retry schedule.
      const auto place = ReserveRetrySlot(cell.retries, now,
                                          ServedPerWindow(cell), cell.queued);
      return refused_request{request.ticket, code, std::max(*wait, place)};
    }
  }
  for (const std::string& key : {partner, request.limit_key}) {
    Charge(cell.request_limits, key, 1);
    Charge(cell.token_limits, key, request.tokens);
  }
  return std::nullopt;
}

// Whether the request cannot start in time behind the requests that are already
// queued.
bool MissesLatestStart(const cell_admission& cell,
                       const waiting_request& request,
                       base::time_point now) {
  if (now >= request.latest_start)
    return true;
  if (cell.mean_service_time.count() == 0 || cell.queued == 0)
    return false;
  // The requests ahead of it are served at its own partner's share of the rate.
  double weights = 0;
  for (const auto& [name, queue] : cell.partners) {
    if (queue.queued > 0 || name == request.partner)
      weights += queue.weight;
  }
  const auto own = cell.partners.find(request.partner);
  if (own == cell.partners.end())
    return false;
  std::int64_t before = 0;
  for (const auto& [priority, waiting] : own->second.waiting) {
    if (priority <= request.priority)
      before += static_cast<std::int64_t>(waiting.size());
  }
  const double rate = ServiceRate(cell) * own->second.weight / weights;
  const std::chrono::duration<double> wait(static_cast<double>(before) / rate);
  return now + std::chrono::duration_cast<std::chrono::microseconds>(wait) >
         request.latest_start;
}

// The first request of a partner, in order of priority, that a server can take
// now.
struct candidate {
  std::int64_t priority = 0;
  std::size_t position = 0;
  std::size_t server = 0;
};

std::optional<candidate> FindCandidate(const cell_admission& cell,
                                       const partner_queue& queue,
                                       std::mt19937_64& random) {
  for (const auto& [priority, waiting] : queue.waiting) {
    // If no server can take a request for a unit, none can take another one, so
    // each unit is tried once.
    std::vector<unit_hash> tried;
    for (std::size_t i = 0; i < waiting.size(); ++i) {
      const waiting_request& request = waiting[i];
      const bool seen = std::ranges::find(tried, request.unit) != tried.end();
      if (seen && request.avoid.empty())
        continue;
      const route_request route{request.unit, request.prefix_hash,
                                request.avoid};
      const auto server = ChooseServer(cell.servers, route, random);
      if (server)
        return candidate{priority, i, *server};
      tried.push_back(request.unit);
    }
  }
  return std::nullopt;
}

waiting_request RemoveWaiting(cell_admission& cell,
                              partner_queue& queue,
                              std::int64_t priority,
                              std::size_t position) {
  auto& waiting = queue.waiting.at(priority);
  waiting_request request = std::move(waiting[position]);
  waiting.erase(waiting.begin() + static_cast<long>(position));
  if (waiting.empty())
    queue.waiting.erase(priority);
  --queue.queued;
  --cell.queued;
  return request;
}

// Advances the virtual time of an idle partner to that of the cell, so that it
// does not accumulate unused share.
void SyncVirtualTime(cell_admission& cell, partner_queue& queue) {
  if (queue.queued == 0)
    queue.virtual_time = std::max(queue.virtual_time, cell.virtual_now);
}

void RefuseExpired(cell_admission& cell,
                   base::time_point now,
                   dispatch_result& out) {
  for (auto& [name, queue] : cell.partners) {
    std::vector<std::pair<std::int64_t, std::size_t>> late;
    for (const auto& [priority, waiting] : queue.waiting) {
      for (std::size_t i = waiting.size(); i > 0; --i) {
        if (now >= waiting[i - 1].latest_start)
          late.emplace_back(priority, i - 1);
      }
    }
    for (const auto& [priority, position] : late) {
      const waiting_request gone =
          RemoveWaiting(cell, queue, priority, position);
      out.refused.push_back(
          Refuse(cell, gone.ticket, result_code::kDeadlineUnreachable, now));
    }
  }
}

// Refuses queued requests whose last ready server is gone.
void RefuseUnservable(cell_admission& cell,
                      base::time_point now,
                      dispatch_result& out) {
  for (auto& [name, queue] : cell.partners) {
    std::vector<std::pair<std::int64_t, std::size_t>> lost;
    for (const auto& [priority, waiting] : queue.waiting) {
      for (std::size_t i = waiting.size(); i > 0; --i) {
        if (!AnyReady(cell.servers, waiting[i - 1].unit))
          lost.emplace_back(priority, i - 1);
      }
    }
    for (const auto& [priority, position] : lost) {
      const waiting_request gone =
          RemoveWaiting(cell, queue, priority, position);
      out.refused.push_back(
          Refuse(cell, gone.ticket, result_code::kNoBackendServer, now));
    }
  }
}

void SetBucket(std::map<std::string, token_bucket>& limits,
               const std::string& key,
               std::int64_t rate,
               double share,
               const admission_settings& settings,
               base::time_point now) {
  if (rate == 0) {
    limits.erase(key);
    return;
  }
  const std::chrono::duration<double> burst = settings.limit_burst;
  const auto [found, fresh] = limits.try_emplace(key);
  token_bucket& bucket = found->second;
  Refill(bucket, now);
  bucket.rate = static_cast<double>(rate) * share;
  bucket.burst = std::max(1.0, bucket.rate * burst.count());
  bucket.level = fresh ? bucket.burst : std::min(bucket.level, bucket.burst);
  bucket.last_refill = now;
}

}  // namespace

void SetWeight(cell_admission& cell,
               const std::string& partner,
               double weight) {
  cell.partners[partner].weight = weight;
}

void SetLimits(cell_admission& cell,
               const std::string& key,
               std::int64_t requests,
               std::int64_t tokens,
               double share,
               base::time_point now) {
  SetBucket(cell.request_limits, key, requests, share, cell.settings, now);
  SetBucket(cell.token_limits, key, tokens, share, cell.settings, now);
}

std::optional<refused_request> Enqueue(cell_admission& cell,
                                       waiting_request request,
                                       base::time_point now) {
  if (!AnyReady(cell.servers, request.unit))
    return Refuse(cell, request.ticket, result_code::kNoBackendServer, now);
  if (cell.queued >= cell.settings.queue_limit)
    return Refuse(cell, request.ticket, result_code::kOverloaded, now);
  if (MissesLatestStart(cell, request, now)) {
    return Refuse(cell, request.ticket, result_code::kDeadlineUnreachable, now);
  }
  auto over = CheckLimits(cell, request, now);
  if (over)
    return over;
  partner_queue& queue = cell.partners[request.partner];
  SyncVirtualTime(cell, queue);
  ++queue.queued;
  ++cell.queued;
  const std::int64_t priority = request.priority;
  queue.waiting[priority].push_back(std::move(request));
  return std::nullopt;
}

dispatch_result Dispatch(cell_admission& cell,
                         base::time_point now,
                         std::mt19937_64& random) {
  dispatch_result out;
  RefuseExpired(cell, now, out);
  RefuseUnservable(cell, now, out);
  std::vector<partner_queue*> order;
  for (auto& [name, queue] : cell.partners) {
    if (queue.queued > 0)
      order.push_back(&queue);
  }
  while (!order.empty()) {
    const auto least =
        std::ranges::min_element(order, {}, &partner_queue::virtual_time);
    partner_queue& queue = **least;
    const auto found = FindCandidate(cell, queue, random);
    if (!found) {
      order.erase(least);
      continue;
    }
    waiting_request request =
        RemoveWaiting(cell, queue, found->priority, found->position);
    cell.virtual_now = std::max(cell.virtual_now, queue.virtual_time);
    queue.virtual_time += request.tokens / queue.weight;
    server_view& server = cell.servers[found->server];
    ++server.in_flight;
    RecordPrefix(server.prefixes, request.prefix_hash, now);
    out.admitted.push_back({std::move(request), found->server});
    if (queue.queued == 0)
      std::erase(order, &queue);
  }
  return out;
}

bool Withdraw(cell_admission& cell, std::int64_t ticket) {
  for (auto& [name, queue] : cell.partners) {
    for (auto& [priority, waiting] : queue.waiting) {
      const auto found =
          std::ranges::find(waiting, ticket, &waiting_request::ticket);
      if (found == waiting.end())
        continue;
      const auto position = static_cast<std::size_t>(found - waiting.begin());
      RemoveWaiting(cell, queue, priority, position);
      return true;
    }
  }
  return false;
}

void EndAttempt(cell_admission& cell, const ended_attempt& ended) {
  const auto found =
      std::ranges::find(cell.servers, ended.server, &server_view::name);
  if (found != cell.servers.end() && found->in_flight > 0)
    --found->in_flight;
  partner_queue& queue = cell.partners[ended.partner];
  queue.virtual_time += (ended.tokens - ended.expected) / queue.weight;
  queue.tokens_served += ended.tokens;
  if (ended.took.count() == 0)
    return;
  const std::chrono::duration<double> took = ended.took;
  if (cell.mean_service_time.count() == 0)
    cell.mean_service_time = took;
  else
    cell.mean_service_time +=
        kServiceSmoothing * (took - cell.mean_service_time);
}

}  // namespace valeledge::decisions
