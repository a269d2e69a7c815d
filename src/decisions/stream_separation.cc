// SPDX-License-Identifier: MIT
#include "decisions/stream_separation.h"

#include <algorithm>
#include <cmath>

namespace valeledge::decisions {

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;

// Wait of another request that is accepted to keep one stream free of gaps. The
// longer prompts wait for that, the more of them are late under high load.
constexpr milliseconds kLateCost{100};

// Time of one event of a stream that is not delayed.
constexpr milliseconds kEventTime{35};

// Prompts of which one alone makes no stream late, and of which two in the
// steps of one event may.
constexpr double kLongPromptShare = 0.2;

// The cost may use this share of the time that the objective leaves. The rest
// covers responses that start later than expected: with all of the time, more
// prompts are late in virtual time than without the cost.
constexpr double kMaxLeftShare = 0.75;

// Weights of the latest sample in the decayed means.
constexpr double kPromptSmoothing = 0.05;
constexpr double kLengthSmoothing = 0.1;

// Values above this are not plausible; see kMaxSlowdown in server_cost.
constexpr double kMaxSlowdown = 20;

// Without any prompt time the number of prompts in a gap is unbounded.
constexpr milliseconds kMinPrefill{1};

// Returns a value that is not negative, not huge and a number, or 0.
double ValidOrZero(double value, double highest) {
  return value >= 0 && value <= highest ? value : 0;
}

double SpeedFactor(double slowdown) {
  return slowdown > 0 && slowdown <= kMaxSlowdown ? slowdown : 1;
}

// Gaps that are too long in a stream of this duration. A gap is too long if as
// many prompts as fill it follow one another, and each of them finds the engine
// busy with another one with the probability of its prefill share.
double ExpectedLongGaps(double share,
                        milliseconds prefill,
                        milliseconds gap,
                        milliseconds duration) {
  const double prompts_in_gap = std::max(gap / prefill, 1.0);
  return duration / prefill * std::pow(share, prompts_in_gap);
}

}  // namespace

std::chrono::duration<double, std::milli> PrefillLevel(
    const long_prefill& prefill,
    base::time_point now) {
  const milliseconds passed =
      std::max(milliseconds(now - prefill.at), milliseconds(0));
  return prefill.level * std::exp(-(passed / milliseconds(kPrefillDecay)));
}

void AddLongPrefill(long_prefill& prefill,
                    std::chrono::duration<double, std::milli> time,
                    base::time_point now) {
  if (!std::isfinite(time.count()))
    return;
  prefill.level = std::max(milliseconds(PrefillLevel(prefill, now) + time),
                           milliseconds(0));
  prefill.at = now;
}

void RecordLongPrompt(typical_prompt& typical,
                      std::chrono::duration<double, std::milli> prefill) {
  if (ValidOrZero(prefill.count(), kMaxLongPrefill.count()) > 0)
    typical.prefill += kPromptSmoothing * (prefill - typical.prefill);
}

void RecordStreamLength(stream_length& length, std::int64_t events) {
  if (events <= 0)
    return;
  const auto sample = static_cast<double>(events);
  if (length.events <= 0)
    length.events = sample;
  else
    length.events += kLengthSmoothing * (sample - length.events);
}

bool IsLongPrompt(std::chrono::duration<double, std::milli> prefill,
                  double slowdown,
                  std::chrono::milliseconds max_event_gap) {
  return max_event_gap.count() > 0 &&
         ValidOrZero(prefill.count(), kMaxLongPrefill.count()) *
                 SpeedFactor(slowdown) >
             kLongPromptShare * static_cast<double>(max_event_gap.count());
}

bool IsLongStream(double expected_events) {
  return expected_events > kLongStreamEvents;
}

double ReadingShare(const separated_engine& engine) {
  const milliseconds level(
      ValidOrZero(engine.prefill_level.count(), kMaxLongPrefill.count()));
  return std::min(
      level * SpeedFactor(engine.slowdown) / milliseconds(kPrefillDecay), 1.0);
}

std::chrono::duration<double, std::milli> SeparationCost(
    const separated_engine& engine,
    const separated_request& request) {
  const bool is_prompt =
      IsLongPrompt(request.prefill, engine.slowdown, request.max_event_gap);
  const bool is_stream = IsLongStream(request.expected_events);
  const double streams =
      ValidOrZero(engine.long_streams, static_cast<double>(kMaxLongStreams));
  const double share = ReadingShare(engine);
  const bool meets_others =
      (is_prompt && streams > 0) || (is_stream && share > 0);
  const milliseconds left = request.time_left - engine.expected_wait;
  if (!meets_others || request.max_event_gap.count() <= 0 ||
      !(left.count() > 0))
    return milliseconds(0);
  const double speed = SpeedFactor(engine.slowdown);
  const milliseconds gap(request.max_event_gap);
  const milliseconds typical =
      std::max(milliseconds(ValidOrZero(request.typical_prefill.count(),
                                        kMaxLongPrefill.count()) *
                            speed),
               kMinPrefill);
  double late = 0;
  if (is_stream) {
    late += ExpectedLongGaps(share, typical, gap,
                             kEventTime * request.expected_events);
  }
  if (is_prompt && streams > 0) {
    // The prompt makes those streams late that are not late already, if other
    // prompts fill the rest of the gap.
    const milliseconds backlog(
        ValidOrZero(engine.backlog.count(), kMaxLongPrefill.count()));
    const milliseconds rest =
        std::max(milliseconds(gap - (backlog + request.prefill) * speed),
                 milliseconds(0));
    const double on_time = std::exp(
        -ExpectedLongGaps(share, typical, gap, milliseconds(kPrefillDecay)));
    late += streams * on_time * std::pow(share, rest / typical);
  }
  return std::min(milliseconds(kLateCost * late),
                  milliseconds(left * kMaxLeftShare));
}

}  // namespace valeledge::decisions
