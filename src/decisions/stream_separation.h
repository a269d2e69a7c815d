// SPDX-License-Identifier: MIT
// Keeps long streams and long prompts of a model on different engines.
//
// An engine processes prompts between the steps of its running streams. A
// stream of many events meets several long prompts there, and one gap that is
// too long makes it late. Handles two engines or more of one model that serve
// both kinds of requests: without a cost for the other kind, each engine gets
// the same mix of them.
#ifndef VALELEDGE_DECISIONS_STREAM_SEPARATION_H_
#define VALELEDGE_DECISIONS_STREAM_SEPARATION_H_

#include <chrono>
#include <cstdint>

#include "base/duration.h"

namespace valeledge::decisions {

// Decay time of recorded prefill: about the duration of a long stream.
inline constexpr std::chrono::milliseconds kPrefillDecay{2000};

// A stream that is expected to have more events is long.
inline constexpr double kLongStreamEvents = 20;

// A stream with at most as many events to come is not counted as long any more:
// a tenth of a long one.
inline constexpr std::int64_t kFewEvents = 6;

// Bounds of valid reported values. An engine runs at most some hundred streams,
// and 30 times the decay time is far above what it can prefill.
inline constexpr std::int64_t kMaxLongStreams = 10'000;
inline constexpr std::chrono::milliseconds kMaxLongPrefill{60'000};

// Prefill time of the long prompts sent to an engine, with exponential decay.
struct long_prefill {
  std::chrono::duration<double, std::milli> level{0};
  base::time_point at;
};

std::chrono::duration<double, std::milli> PrefillLevel(
    const long_prefill& prefill,
    base::time_point now);

// Records prompts with a total prefill time; a negative time removes what was
// recorded before.
void AddLongPrefill(long_prefill& prefill,
                    std::chrono::duration<double, std::milli> time,
                    base::time_point now);

// Prefill time of long prompts at an engine of the usual speed, as a decayed
// mean.
struct typical_prompt {
  std::chrono::duration<double, std::milli> prefill{200};
};

void RecordLongPrompt(typical_prompt& typical,
                      std::chrono::duration<double, std::milli> prefill);

// Number of events of a route's responses, as a decayed mean; 0: none yet.
struct stream_length {
  double events = 0;
};

void RecordStreamLength(stream_length& length, std::int64_t events);

// An engine as a candidate. Values that cannot be valid count as absent.
struct separated_engine {
  // Running streams with many events to come.
  double long_streams = 0;
  // Present level of its long_prefill.
  std::chrono::duration<double, std::milli> prefill_level{0};
  // Response time relative to the usual one.
  double slowdown = 1;
  // Prefill time at an engine of the usual speed of the prompts that it has not
  // processed yet.
  std::chrono::duration<double, std::milli> backlog{0};
  // Expected time until the response of the request starts there.
  std::chrono::duration<double, std::milli> expected_wait{0};
};

// A request for which an engine is selected.
struct separated_request {
  // Prefill time of its prompt at an engine of the usual speed.
  std::chrono::duration<double, std::milli> prefill{0};
  // Prefill time of other long prompts there.
  std::chrono::duration<double, std::milli> typical_prefill{0};
  // 0: unknown, or not a stream.
  double expected_events = 0;
  // Maximum gap between events that the streams accept.
  std::chrono::milliseconds max_event_gap{0};
  // Time until its response has to start.
  std::chrono::duration<double, std::milli> time_left{0};
};

// Whether the prefill takes more than a fifth of the accepted gap at an engine
// of this slowdown.
bool IsLongPrompt(std::chrono::duration<double, std::milli> prefill,
                  double slowdown,
                  std::chrono::milliseconds max_event_gap);

bool IsLongStream(double expected_events);

// What another engine was selected for because of SeparationCost.
enum class separated_kind { kNone, kLongPrompt, kLongStream };

// Share of its time that an engine spends on prefill of long prompts.
double ReadingShare(const separated_engine& engine);

// Time to add to the expected wait of a request at this engine. It is bounded
// so that another engine is preferred only if the response is expected in time
// there.
std::chrono::duration<double, std::milli> SeparationCost(
    const separated_engine& engine,
    const separated_request& request);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_STREAM_SEPARATION_H_
