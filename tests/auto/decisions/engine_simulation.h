// SPDX-License-Identifier: MIT
// Engines in virtual time that serve one model and read one prompt at a time.
#ifndef VALELEDGE_TESTS_AUTO_DECISIONS_ENGINE_SIMULATION_H_
#define VALELEDGE_TESTS_AUTO_DECISIONS_ENGINE_SIMULATION_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "decisions/engine_admission.h"
#include "queue_requests.h"

namespace valeledge::test {

struct simulated_engine {
  // Prompts that are being read, and tokens left of the first one.
  std::deque<queued_request> prompts;
  double left = 0;
  std::int64_t sent = 0;
  double speed = 1;
  // Requests whose prompts have been read, and when their first events come.
  std::deque<std::pair<base::time_point, queued_request>> read;
};

using simulated_engines = std::vector<simulated_engine>;

inline std::string EngineName(std::size_t index) {
  return "e" + std::to_string(index);
}

inline std::size_t EngineIndex(const std::string& name) {
  return std::stoul(name.substr(1));
}

inline void AddHolders(engine_queue& queue, std::size_t count) {
  std::vector<std::string> names;
  for (std::size_t i = 0; i < count; ++i)
    names.push_back(EngineName(i));
  decisions::SetHolders(queue, "m", names);
}

// Requests per second that the engines can read.
inline double Capacity(const simulated_engines& engines) {
  return static_cast<double>(engines.size()) * kTokensPerMs * 1000 / kPrompt;
}

// Prompts count as unread until their first event.
inline queue_engine StateOf(const simulated_engine& of) {
  queue_engine state = Engine(0, of.sent);
  state.load.running =
      static_cast<std::int64_t>(of.prompts.size() + of.read.size());
  state.load.unread_tokens = state.load.running * kPrompt;
  return state;
}

inline void SetStates(engine_queue& queue,
                      const simulated_engines& engines,
                      base::time_point now) {
  for (std::size_t i = 0; i < engines.size(); ++i)
    decisions::SetEngine(queue, EngineName(i), StateOf(engines[i]), now);
}

// Reads for a millisecond; `record` is called with each request whose first
// event has come.
template <typename callback>
void Read(simulated_engines& engines,
          base::time_point now,
          const callback& record) {
  for (simulated_engine& each : engines) {
    while (!each.read.empty() && each.read.front().first <= now) {
      record(each.read.front().second);
      each.read.pop_front();
    }
    if (each.prompts.empty())
      continue;
    each.left -= kTokensPerMs * each.speed;
    if (each.left > 0)
      continue;
    each.read.emplace_back(now + kFirstEventDelay, each.prompts.front());
    each.prompts.pop_front();
    each.left = each.prompts.empty() ? 0 : kPrompt;
  }
}

inline void Send(simulated_engine& to, const queued_request& request) {
  if (to.prompts.empty())
    to.left = kPrompt;
  to.prompts.push_back(request);
  ++to.sent;
}

inline simulated_engine& LeastLoaded(simulated_engines& engines) {
  return *std::ranges::min_element(engines, {},
                                   [](const simulated_engine& each) {
                                     return StateOf(each).load.unread_tokens;
                                   });
}

// Whether a host that decides by itself sends its request to the engine.
inline decisions::admission_decision DecideOnHost(
    const simulated_engine& engine,
    const queued_request& request,
    base::time_point::duration objective,
    bool refusable,
    base::time_point now) {
  const decisions::server_candidate load = StateOf(engine).load;
  decisions::engine_candidate turn;
  turn.waited = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - request.arrived);
  turn.objective =
      std::chrono::duration_cast<std::chrono::milliseconds>(objective);
  turn.response_in = decisions::ExpectedWait(load, request.weight);
  turn.prompt_backlog = kTokenTime * static_cast<double>(load.unread_tokens);
  turn.max_event_gap = request.max_event_gap;
  turn.recheck_interval = 15ms;
  turn.refusable = refusable;
  return decisions::DecideAdmission(turn);
}

}  // namespace valeledge::test

#endif  // VALELEDGE_TESTS_AUTO_DECISIONS_ENGINE_SIMULATION_H_
