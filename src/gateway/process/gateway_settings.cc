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
                        "Address for callers, HTTP/1.1.")
      .Integer("threads", &settings.caller_threads, 1, 64,
               "Threads that serve callers.")
      .Integer("connections", &limits.connections, 1, 1'000'000,
               "Connections accepted at once by each thread.")
      .Integer("header_bytes", &limits.header_bytes, 1024, 1024 * 1024,
               "Largest header of a request.")
      .Integer("body_bytes", &limits.body_bytes, 1024, 1024 * 1024 * 1024,
               "Largest body of a request.")
      .Duration("idle_timeout", &limits.idle_timeout, milliseconds(100),
                hours(24), "Connections without a request are closed after it.")
      .Duration("receive_timeout", &limits.receive_timeout, milliseconds(50),
                hours(1), "A request must arrive within this time.")
      .Duration("write_timeout", &limits.write_timeout, milliseconds(50),
                hours(1), "A caller must take a piece of its answer in it.")
      .Duration("deadline", &settings.deadline, milliseconds(10), hours(1),
                "Time for a request that sets no Valeledge-Deadline.")
      .Duration("longest_deadline", &settings.longest_deadline,
                milliseconds(10), hours(24), "Longest deadline that counts.");
  schema.Section("backends")
      .Duration("connect_timeout", &settings.connect_timeout, milliseconds(5),
                minutes(1), "Time to connect to a backend server.")
      .Duration("stall_timeout", &settings.stall_timeout, milliseconds(20),
                minutes(10),
                "A backend server that sends nothing for it has failed.")
      .Choice("routing", &settings.routing,
              {"scheduler", "random", "round_robin", "two_choices"},
              "Who chooses the backend server; the others are to measure "
              "against.");
  return schema;
}

}  // namespace valeledge::gateway
