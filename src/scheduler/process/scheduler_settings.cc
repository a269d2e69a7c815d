// SPDX-License-Identifier: MIT
#include "scheduler/process/scheduler_settings.h"

namespace valeledge::scheduler {

settings::schema_builder Describe(scheduler_settings& settings) {
  using std::chrono::hours;
  using std::chrono::milliseconds;
  using std::chrono::minutes;
  using std::chrono::seconds;
  settings::schema_builder schema;
  node::Describe(settings.shared, schema);
  schema.Section("backends")
      .Duration("poll_interval", &settings.poll_interval, milliseconds(20),
                minutes(1),
                "Each backend server is asked for its load so often.")
      .Duration("poll_timeout", &settings.poll_timeout, milliseconds(10),
                minutes(1), "Longest wait for that answer.")
      .Integer("polls_to_down", &settings.polls_to_down, 1, 100,
               "Polls without an answer until a backend server counts as down.")
      .Duration("report_interval", &settings.report_interval, milliseconds(50),
                minutes(1), "The controller is told of changes so often.");
  schema.Section("queue")
      .Integer("limit", &settings.queue_limit, 1, 1'000'000,
               "Requests that may wait in one cell.")
      .Number("patience", &settings.queue_wait_fraction, 0.01, 10,
              "Part of its first-token target that a request may wait.")
      .Duration("attempt_expiry", &settings.attempt_expiry, seconds(3),
                hours(1), "An attempt that its gateway no longer names ends.");
  schema.Section("claims")
      .Duration("interval", &settings.claim_interval, milliseconds(1),
                seconds(1), "Least time between two writes of claims.")
      .Integer("per_write", &settings.claims_per_write, 1, 60,
               "Claims in one write.")
      .Duration("retention", &settings.claim_retention, minutes(1),
                hours(24 * 30), "Claims are kept at least this long.")
      .Integer("kept_answer_bytes", &settings.kept_answer_bytes, 0, 900'000,
               "Largest answer that is kept with its claim.");
  return schema;
}

}  // namespace valeledge::scheduler
