// SPDX-License-Identifier: MIT
// Durations as people write them: "250ms", "1.5s", "2h".
#ifndef VALELEDGE_BASE_DURATION_H_
#define VALELEDGE_BASE_DURATION_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace valeledge::base {

// Time since an arbitrary start, for decisions: never goes back.
using time_point = std::chrono::steady_clock::time_point;

// Parses a number with one of the units us, ms, s, m, h, d; nothing if
// `text` is anything else or negative.
std::optional<std::chrono::microseconds> ParseDuration(std::string_view text);

// The shortest exact writing of a duration, as ParseDuration reads it.
std::string FormatDuration(std::chrono::microseconds value);

// Whole seconds for a Retry-After header, rounded up, at least one.
std::chrono::seconds RoundUpToSeconds(std::chrono::milliseconds value);

// The host's clock in UTC as "2026-01-31T12:00:00Z", for people.
std::string FormatNow();

}  // namespace valeledge::base

#endif  // VALELEDGE_BASE_DURATION_H_
