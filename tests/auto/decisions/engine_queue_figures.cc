// SPDX-License-Identifier: MIT
// Processor time of an owner of a queue, for docs/design/ENGINE-QUEUES.md: one
// group of 125 engines with three models each, up to 2.6 times what they serve.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <random>
#include <string>
#include <vector>

#include "decisions/engine_queue.h"

namespace {

using namespace valeledge;
using namespace std::chrono_literals;

constexpr int kEngines = 125;
constexpr int kModels = 336;
constexpr int kReplicas = kEngines * 3 / kModels;
constexpr int kWorkspaces = 16;
constexpr int kPasses = 2000;

std::string EngineName(int index) {
  return "engine-" + std::to_string(index);
}

decisions::queued_request Request(std::int64_t number,
                                  base::time_point now,
                                  std::mt19937_64& random) {
  decisions::queued_request request;
  request.number = number;
  request.unit = "model-" + std::to_string(random() % kModels);
  request.priority = static_cast<std::int64_t>(random() % 3);
  request.workspace = "workspace-" + std::to_string(random() % kWorkspaces);
  request.arrived = now;
  request.deadline = now + (random() % 4 == 0 ? 8000ms : 800ms);
  request.weight = {
      2890, 2940, std::chrono::duration<double, std::milli>(0.026), {}};
  request.max_event_gap = 400ms;
  request.caller_deadline =
      now + (request.deadline - now > 1s ? 15000ms : 6000ms);
  return request;
}

// Refused callers do not return; their reservations lapse.
void Measure(int requests_per_pass, bool reserves) {
  std::mt19937_64 random(1);
  decisions::engine_queue queue;
  queue.reserves_returns = reserves;
  for (int model = 0; model < kModels; ++model) {
    std::vector<std::string> holders;
    for (int i = 0; i < std::max(kReplicas, 2); ++i)
      holders.push_back(EngineName(static_cast<int>(random() % kEngines)));
    std::ranges::sort(holders);
    holders.erase(std::unique(holders.begin(), holders.end()), holders.end());
    decisions::SetHolders(queue, "model-" + std::to_string(model), holders);
  }
  // Each engine needs 110 ms for a prompt, from the grant to the first event.
  std::vector<decisions::queue_engine> engines(kEngines);
  std::vector<std::vector<base::time_point>> ends(kEngines);
  base::time_point now = base::time_point() + 1h;
  std::int64_t number = 0;
  std::size_t granted = 0;
  std::size_t refused = 0;
  std::int64_t longest = 0;
  std::chrono::duration<double, std::milli> spent{0};
  for (int pass = 0; pass < kPasses; ++pass, now += 2ms) {
    const auto began = std::chrono::steady_clock::now();
    for (int i = 0; i < kEngines; ++i) {
      auto& running = ends[static_cast<std::size_t>(i)];
      std::erase_if(running, [&](const auto& each) { return each <= now; });
      auto& state = engines[static_cast<std::size_t>(i)];
      state.load.slots = 32;
      state.load.running = static_cast<std::int64_t>(running.size());
      state.load.unread_tokens = state.load.running * 2890;
      state.load.token_memory = 167'040;
      if (queue.engines.contains(EngineName(i)))
        decisions::SetEngine(queue, EngineName(i), state, now);
    }
    for (int i = 0; i < requests_per_pass; ++i) {
      if (decisions::Enqueue(queue, Request(++number, now, random), now))
        ++refused;
    }
    const auto decided = decisions::Decide(queue, now);
    for (const auto& each : decided.grants) {
      const auto index =
          static_cast<std::size_t>(std::stoi(each.engine.substr(7)));
      ends[index].push_back(now + 110ms);
      ++engines[index].requests_sent;
    }
    spent += std::chrono::steady_clock::now() - began;
    granted += decided.grants.size();
    refused += decided.refusals.size();
    longest = std::max(longest, decisions::CountWaiting(queue));
  }
  std::printf(
      "%d requests/s: %.0f us for each pass of 2 ms; granted %zu, refused %zu, "
      "longest queue %lld, reservations made %lld\n",
      requests_per_pass * 500, spent.count() * 1000 / kPasses, granted, refused,
      static_cast<long long>(longest),
      static_cast<long long>(queue.returns.made));
}

}  // namespace

int main() {
  for (const int requests : {1, 2, 3, 4, 6})
    Measure(requests, false);
  for (const int requests : {1, 2, 3, 4, 6})
    Measure(requests, true);
  return 0;
}
