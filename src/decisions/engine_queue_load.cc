// SPDX-License-Identifier: MIT
#include "decisions/engine_queue_load.h"

#include <algorithm>
#include <cstdint>

#include "decisions/engine_queue_order.h"

namespace valeledge::decisions::detail {

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;
using std::chrono::duration_cast;

// Whether the request can run there without being queued or preempted. A stream
// that is resumed may be queued.
bool HasRoom(const server_candidate& load,
             const queued_request& request,
             std::int64_t capacity) {
  const std::int64_t places =
      request.resumes ? std::max(load.slots, capacity) : load.slots;
  const auto held =
      static_cast<double>(load.held_tokens + request.weight.held_tokens);
  const auto memory = static_cast<double>(load.token_memory);
  // An idle engine never gets more room.
  const bool fits =
      memory <= 0 || load.running == 0 || held <= kMaxTokenMemoryUse * memory;
  return load.running < places && fits;
}

}  // namespace

server_candidate LoadOf(const known_engine& engine) {
  server_candidate load = engine.state.load;
  for (const unreported_grant& each : engine.grants) {
    ++load.running;
    load.unread_tokens += each.tokens_to_read;
    load.held_tokens += each.tokens_to_hold;
  }
  return load;
}

void AdvanceReading(known_engine& engine, base::time_point now) {
  reading_progress& reading = engine.reading;
  const milliseconds unread =
      reading.token_time * static_cast<double>(engine.state.load.unread_tokens);
  reading.spent =
      std::min(milliseconds(reading.spent + (now - reading.at)), unread);
  reading.at = now;
}

server_candidate LoadFor(const known_engine& engine,
                         const queued_request& request,
                         base::time_point now) {
  server_candidate load = LoadOf(engine);
  const milliseconds spent = engine.reading.spent + (now - engine.reading.at);
  const bool has_read = engine.state.load.unread_tokens > 0 &&
                        engine.reading.token_time.count() > 0 &&
                        spent >= ReadTime(request) * load.slowdown;
  if (has_read)
    load.unread_tokens = std::max<std::int64_t>(
        load.unread_tokens - request.weight.prompt_tokens, 0);
  return load;
}

admission_decision DecideAt(const known_engine& engine,
                            const queued_request& request,
                            base::time_point now) {
  const server_candidate load = LoadFor(engine, request, now);
  engine_candidate turn;
  turn.waited = duration_cast<std::chrono::milliseconds>(now - request.arrived);
  turn.objective = duration_cast<std::chrono::milliseconds>(request.deadline -
                                                            request.arrived);
  turn.response_in = ExpectedWait(load, request.weight);
  turn.prompt_backlog =
      request.weight.time_per_token * static_cast<double>(load.unread_tokens);
  turn.max_event_gap = request.max_event_gap;
  turn.recheck_interval = kAdmissionRecheckInterval;
  turn.refusable = !request.resumes;
  const auto decided = DecideAdmission(turn);
  const bool has_room = HasRoom(load, request, engine.state.capacity);
  if (request.resumes) {
    if (now >= request.deadline)
      return admission_decision::kRefuse;
    // A rejection would probably end the stream.
    return has_room ? decided : admission_decision::kWait;
  }
  const bool must_wait =
      decided == admission_decision::kSend && !has_room &&
      turn.waited + turn.response_in + kAdmissionRecheckInterval <=
          turn.objective;
  return must_wait ? admission_decision::kWait : decided;
}

void RecordReport(known_engine& engine,
                  const queue_engine& state,
                  base::time_point now) {
  AdvanceReading(engine, now);
  const std::int64_t sent = std::clamp<std::int64_t>(
      state.requests_sent - engine.state.requests_sent, 0,
      static_cast<std::int64_t>(engine.grants.size()));
  engine.grants.erase(engine.grants.begin(), engine.grants.begin() + sent);
  const server_candidate& before = engine.state.load;
  const server_candidate& load = state.load;
  engine.changed = engine.changed || sent > 0 ||
                   load.running != before.running ||
                   load.unread_tokens != before.unread_tokens ||
                   load.held_tokens != before.held_tokens;
  const std::int64_t read = before.unread_tokens - load.unread_tokens;
  engine.state = state;
  // A prompt that has had its first event was read before, and the next one was
  // not begun earlier. Without this bound differences between the expected and
  // the actual time of each prompt add up.
  if (read <= 0)
    return;
  const milliseconds left =
      engine.reading.spent -
      engine.reading.token_time * static_cast<double>(read);
  engine.reading.spent =
      std::clamp<milliseconds>(left, milliseconds(0), kFirstEventOverhead);
}

}  // namespace valeledge::decisions::detail
