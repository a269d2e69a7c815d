// SPDX-License-Identifier: MIT
#include "base/duration.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <ctime>

namespace valeledge::base {

namespace {

struct unit {
  std::string_view name;
  std::int64_t microseconds;
};

// Largest first, as FormatDuration wants them.
constexpr auto kUnits = std::to_array<unit>({
    {"d", 86'400'000'000},
    {"h", 3'600'000'000},
    {"m", 60'000'000},
    {"s", 1'000'000},
    {"ms", 1'000},
    {"us", 1},
});

// A century: longer durations are typing mistakes and would overflow.
constexpr double kLongestMicroseconds = 100.0 * 365 * 86'400'000'000.0;

}  // namespace

std::optional<std::chrono::microseconds> ParseDuration(std::string_view text) {
  double number = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, status] = std::from_chars(text.data(), end, number);
  if (status != std::errc() || !std::isfinite(number) || number < 0)
    return std::nullopt;
  const std::string_view name(rest, static_cast<std::size_t>(end - rest));
  const auto found = std::ranges::find(kUnits, name, &unit::name);
  if (found == kUnits.end())
    return std::nullopt;
  const double microseconds = number * static_cast<double>(found->microseconds);
  if (microseconds > kLongestMicroseconds)
    return std::nullopt;
  return std::chrono::microseconds(std::llround(microseconds));
}

std::string FormatDuration(std::chrono::microseconds value) {
  const std::int64_t count = value.count();
  if (count == 0)
    return "0s";
  for (const unit& each : kUnits) {
    if (count % each.microseconds == 0)
      return std::to_string(count / each.microseconds) + std::string(each.name);
  }
  return std::to_string(count) + "us";
}

std::chrono::seconds RoundUpToSeconds(std::chrono::milliseconds value) {
  const auto rounded = std::chrono::ceil<std::chrono::seconds>(value);
  return std::max(rounded, std::chrono::seconds(1));
}

std::string FormatNow() {
  const std::time_t now =
      std::chrono::system_clock::to_time_t(std::chrono::system_clock::now());
  std::tm parts;
  gmtime_r(&now, &parts);
  std::array<char, 32> text;
  std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return text.data();
}

}  // namespace valeledge::base
