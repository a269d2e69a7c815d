// SPDX-License-Identifier: MIT
#include "gateway/process/gateway_settings.h"

namespace valeledge::gateway {

settings::schema_builder Describe(gateway_settings& settings) {
  using std::chrono::hours;
  using std::chrono::milliseconds;
  using std::chrono::minutes;
  using std::chrono::seconds;
  settings::schema_builder schema;
  node::Describe(settings.shared, schema);
  net::http_limits& limits = settings.limits;
  schema.Section("callers")
      .RequiredEndpoint("caller_listen", &settings.caller_listen,
                        "Address on which callers are served, HTTP/1.1.")
      .Integer("threads", &settings.caller_threads, 1, 64,
               "Threads that serve callers.")
      .Integer("connections", &limits.connections, 1, 1'000'000,
               "Maximum number of open connections per thread.")
      .Integer("header_bytes", &limits.header_bytes, 1024, 1024 * 1024,
               "Maximum size of a request header.")
      .Integer("body_bytes", &limits.body_bytes, 1024, 1024 * 1024 * 1024,
               "Maximum size of a request body.")
      .Duration("idle_timeout", &limits.idle_timeout, milliseconds(100),
                hours(24), "Idle connections are closed after this time.")
      .Duration("receive_timeout", &limits.receive_timeout, milliseconds(50),
                hours(1), "A request must arrive within this time.")
      .Duration("write_timeout", &limits.write_timeout, milliseconds(50),
                hours(1), "Timeout of each write to a caller.")
      .Duration("deadline", &settings.deadline, milliseconds(10), hours(1),
                "Deadline of requests without Valeledge-Deadline.")
      .Duration("longest_deadline", &settings.longest_deadline,
                milliseconds(10), hours(24),
                "Maximum deadline that a caller can request.");
  schema.Section("backends")
      .Duration("connect_timeout", &settings.connect_timeout, milliseconds(5),
                minutes(1), "Timeout for connecting to a backend server.")
      .Duration("stall_timeout", &settings.stall_timeout, milliseconds(20),
                minutes(10),
                "A backend server that sends no data for this time has failed.")
      .Choice(
          "routing", &settings.routing,
          {"scheduler", "random", "round_robin", "two_choices"},
          "Selection of the backend server; all but scheduler are baselines "
          "for benchmarks.");
  return schema;
}

}  // namespace valeledge::gateway
