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
                minutes(1), "Interval between load polls of a backend server.")
      .Duration("poll_timeout", &settings.poll_timeout, milliseconds(10),
                minutes(1), "Maximum wait for a poll response.")
      .Integer("polls_to_down", &settings.polls_to_down, 1, 100,
               "Missed polls until a backend server counts as down.")
      .Duration("report_interval", &settings.report_interval, milliseconds(50),
                minutes(1), "Interval between reports to the controller.");
  schema.Section("queue")
      .Integer("limit", &settings.queue_limit, 1, 1'000'000,
               "Maximum queued requests per cell.")
      .Number("patience", &settings.queue_wait_fraction, 0.01, 10,
              "Fraction of its first-token target that a request may wait.")
      .Duration("attempt_expiry", &settings.attempt_expiry, seconds(3),
                hours(1),
                "An attempt that its gateway no longer reports ends.");
  schema.Section("claims")
      .Duration("interval", &settings.claim_interval, milliseconds(1),
                seconds(1), "Minimum time between two claim writes.")
      .Integer("per_write", &settings.claims_per_write, 1, 60,
               "Maximum claims per write.")
      .Duration("retention", &settings.claim_retention, minutes(1),
                hours(24 * 30), "Minimum retention of claims.")
      .Integer("kept_answer_bytes", &settings.kept_answer_bytes, 0, 900'000,
               "Maximum size of a response stored with its claim.");
  return schema;
}

}  // namespace valeledge::scheduler
