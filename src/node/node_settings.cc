// SPDX-License-Identifier: MIT
#include "node/node_settings.h"

namespace valeledge::node {

void Describe(node_settings& settings, settings::schema_builder& schema) {
  using std::chrono::hours;
  using std::chrono::milliseconds;
  using std::chrono::minutes;
  using std::chrono::seconds;
  schema.Section("node")
      .Text("id", &settings.id,
            "Name of this process, unique; made at random if empty.")
      .RequiredText("zone", &settings.zone,
                    "Availability zone that this process runs in.")
      .RequiredEndpoint("peer_listen", &settings.peer_listen,
                        "Address for other processes of the system, TCP and "
                        "UDP on the same port.")
      .RequiredEndpoint("admin_listen", &settings.admin_listen,
                        "Address for /healthz, /readyz, /metrics, /status.")
      .EndpointList("seeds", &settings.seeds,
                    "Peer addresses to ask for the other members.");
  schema.Section("gossip")
      .Duration("probe_interval", &settings.gossip.probe_interval,
                milliseconds(20), seconds(60), "One member is probed so often.")
      .Duration("probe_timeout", &settings.gossip.probe_timeout,
                milliseconds(5), seconds(10),
                "Without an answer for this long, others are asked to probe.")
      .Duration("suspect_timeout", &settings.gossip.suspect_timeout,
                milliseconds(50), minutes(5),
                "A suspect that says nothing for this long is dead.")
      .Duration("dead_retention", &settings.gossip.dead_retention, seconds(1),
                hours(24), "A dead member is forgotten after this long.")
      .Integer("fanout", &settings.gossip.fanout, 1, 16,
               "Members that are sent urgent news at once.")
      .Integer("news_bytes", &settings.gossip.news_bytes, 200, 60'000,
               "Bytes of news in one datagram.");
  schema.Section("platform")
      .RequiredEndpoint("key_value", &settings.key_value,
                        "The platform's key-value service (etcd v3 JSON).")
      .Endpoint("host_list", &settings.host_list,
                "The platform's host list; port 0 for none.")
      .Duration("timeout", &settings.platform_timeout, milliseconds(50),
                minutes(1), "Longest wait for one answer of the platform.")
      .Duration("host_list_interval", &settings.host_list_interval,
                milliseconds(100), minutes(10),
                "The host list is read so often.")
      .Integer("watchers_per_zone", &settings.watchers_per_zone, 1, 8,
               "Processes of one availability zone that watch the table.");
  schema.Section("log")
      .Choice("format", &settings.log_format, {"text", "json"},
              "Lines of text or JSON objects.")
      .Choice("level", &settings.log_level,
              {"debug", "info", "warning", "error"}, "Lowest level written.");
  schema.Section("stop")
      .Duration("deadline", &settings.stop_deadline, seconds(1), hours(1),
                "A graceful shutdown that takes longer is cut short.")
      .Duration("leave_notice", &settings.leave_notice, milliseconds(0),
                minutes(5),
                "New work is still taken for this long after leaving was "
                "announced.");
}

}  // namespace valeledge::node
