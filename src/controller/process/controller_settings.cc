// SPDX-License-Identifier: MIT
#include "controller/process/controller_settings.h"

namespace valeledge::controller {

settings::schema_builder Describe(controller_settings& settings) {
  using std::chrono::hours;
  using std::chrono::milliseconds;
  using std::chrono::minutes;
  using std::chrono::seconds;
  settings::schema_builder schema;
  node::Describe(settings.shared, schema);
  schema.Section("lease").Duration(
      "length", &settings.lease_duration, seconds(1), minutes(10),
      "A holder that does not renew its lease loses it after this time.");
  schema.Section("orders")
      .Duration("timeout", &settings.order_timeout, milliseconds(100), hours(2),
                "Maximum wait for the response to an order.")
      .Duration("inherited_load", &settings.inherited_load, milliseconds(0),
                hours(2),
                "Time a previous holder's unresolved load counts as running.")
      .Duration("report_expiry", &settings.report_expiry, seconds(5), hours(2),
                "A backend server without a report for this long is not used.");
  schema.Section("weight_store")
      .Number("loads_per_second", &settings.loads_per_second, 0.001, 10'000,
              "Maximum loads started per second.")
      .Integer("loads_at_once", &settings.loads_at_once, 1, 10'000,
               "Maximum loads running at the same time.");
  schema.Section("placement")
      .Duration("interval", &settings.plan_interval, milliseconds(10),
                minutes(10), "Interval between planning rounds.")
      .Duration("horizon", &settings.horizon, seconds(1), hours(24),
                "Period over which the gain of a move is counted.")
      .Number("high_mark", &settings.placement.high_mark, 0.01, 1,
              "Fraction of a backend server's capacity that demand may use.")
      .Number("low_mark", &settings.placement.low_mark, 0, 1,
              "A replica with demand below this fraction may be unloaded.");
  return schema;
}

}  // namespace valeledge::controller
