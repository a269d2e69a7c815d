// SPDX-License-Identifier: MIT
#include "host/process/request_log.h"

#include "base/identifier.h"

namespace valeledge::host {

namespace {

constexpr std::string_view kCategory = "request";

}  // namespace

void request_log::Write(base::log_weight weight,
                        base::log_event event,
                        std::string_view request,
                        std::initializer_list<base::log_field> fields) {
  const bool written =
      base::TakeLine(budget_, weight, base::StableHash(request),
                     std::chrono::steady_clock::now());
  if (written)
    base::Log(kCategory, event, fields);
}

void request_log::LogOmittedLines() {
  const std::int64_t lines = base::TakeLeftOut(budget_);
  if (lines == 0)
    return;
  metrics_.Counter("valeledge_log_lines_left_out_total").Add(lines);
  base::Log(kCategory, base::log_event::kLinesLeftOut, {{"lines", lines}});
}

}  // namespace valeledge::host
