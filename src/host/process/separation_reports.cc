// SPDX-License-Identifier: MIT
#include "host/process/separation_reports.h"

#include <algorithm>

namespace valeledge::host {

namespace {

bool IsWithin(std::int64_t value, std::int64_t highest) {
  return value >= 0 && value <= highest;
}

}  // namespace

std::string_view NameOf(decisions::separated_kind kind) {
  switch (kind) {
    case decisions::separated_kind::kLongPrompt:
      return "long_prompt";
    case decisions::separated_kind::kLongStream:
      return "long_stream";
    case decisions::separated_kind::kNone:
      break;
  }
  return "none";
}

reported_separation ReadSeparation(const wire::server_load& load) {
  reported_separation out;
  if (load.__isset.long_streams) {
    if (IsWithin(load.long_streams, decisions::kMaxLongStreams))
      out.long_streams = load.long_streams;
    else
      ++out.invalid;
  }
  if (load.__isset.long_prefill_ms) {
    if (IsWithin(load.long_prefill_ms, decisions::kMaxLongPrefill.count()))
      out.long_prefill = std::chrono::milliseconds(load.long_prefill_ms);
    else
      ++out.invalid;
  }
  return out;
}

std::int64_t CountInvalidSeparation(
    const std::vector<wire::server_load>& loads) {
  std::int64_t count = 0;
  for (const wire::server_load& each : loads)
    count += ReadSeparation(each).invalid;
  return count;
}

void SetSeparation(const server_usage& own,
                   base::time_point now,
                   wire::server_load& load) {
  if (own.long_streams > 0)
    load.__set_long_streams(static_cast<std::int32_t>(
        std::min(own.long_streams, decisions::kMaxLongStreams)));
  const auto level =
      std::min(std::chrono::round<std::chrono::milliseconds>(
                   decisions::PrefillLevel(own.long_prompts, now)),
               decisions::kMaxLongPrefill);
  if (level.count() > 0)
    load.__set_long_prefill_ms(static_cast<std::int32_t>(level.count()));
}

}  // namespace valeledge::host
