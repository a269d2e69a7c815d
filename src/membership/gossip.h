// SPDX-License-Identifier: MIT
// Membership by gossip, as decisions without I/O: probes with indirect
// probes, suspicion, refutation, leaving, soft records and the newest table
// revision. Datagrams to send are returned; time and random numbers come in.
#ifndef VALELEDGE_MEMBERSHIP_GOSSIP_H_
#define VALELEDGE_MEMBERSHIP_GOSSIP_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/duration.h"
#include "base/endpoint.h"
#include "membership/selection_cache.h"
#include "membership/member.h"
#include "membership/soft_state.h"
#include "wire/generated/messages_types.h"

namespace valeledge::membership {

using random_source = std::mt19937_64;

// How often and how long.
struct gossip_settings {
  // One member is probed in each interval.
  std::chrono::microseconds probe_interval = std::chrono::seconds(1);
  // Without an answer for this long, others are asked to probe.
  std::chrono::microseconds probe_timeout = std::chrono::milliseconds(300);
  // A suspect that says nothing for this long is dead.
  std::chrono::microseconds suspect_timeout = std::chrono::seconds(4);
  // A dead member is forgotten after this long.
  std::chrono::microseconds dead_retention = std::chrono::minutes(2);
  // Members that are sent news at once.
  std::int64_t fanout = 3;
  // Bytes of news in one datagram.
  std::int64_t news_bytes = 900;
};

// Kinds of datagrams.
enum class gossip_kind : std::int32_t {
  kPing = 1,
  kAck = 2,
  // Asks the receiver to ping `target`.
  kPingRequest = 3,
  // Carries news only.
  kUpdates = 4,
  // Part of everything the sender knows.
  kSync = 5,
  // Facts of the sender for the receiver alone; they do not travel on.
  kDirect = 6,
};

// A datagram to send; the same one to each address.
struct outgoing_datagram {
  std::vector<base::endpoint> to;
  wire::gossip_message message;
};

// A fact that another member told this one directly.
struct direct_record {
  std::string sender;
  base::endpoint sender_address;
  std::string key;
  std::string value;
};

// Something the owner of the state should know.
struct gossip_events {
  std::vector<outgoing_datagram> datagrams;
  // Members whose record changed.
  std::vector<std::string> changed;
  // Keys of soft records that changed.
  std::vector<std::string> records;
  // In the order in which they came; a later one replaces an earlier one of
  // the same sender and key.
  std::vector<direct_record> direct;
  // A peer with a newer table revision than this process, and its availability
  // zone.
  std::optional<base::endpoint> newer_table_at;
  std::string newer_table_zone;
  bool refuted = false;
};

namespace detail {

// One other process.
struct known_member {
  member record;
  base::endpoint address;
  // When its present health was learned.
  base::time_point health_since;
};

struct probe {
  std::string target;
  std::int64_t sequence = 0;
  base::time_point sent;
  bool indirect = false;
};

// News still to be repeated.
struct rumor {
  std::string key;
  bool is_member = false;
  std::int64_t times_sent = 0;
};

// A ping sent on behalf of another member.
struct relayed_ping {
  base::endpoint requester;
  std::int64_t requester_sequence = 0;
  base::time_point sent;
};

}  // namespace detail

// All that one process knows of the others. Made by gossip_builder; changed
// only by the functions below.
struct gossip_state {
  gossip_settings settings;
  member self;
  std::vector<base::endpoint> seeds;
  std::int64_t table_revision = 0;
  std::map<std::string, detail::known_member> others;
  selection_cache selections;
  soft_state soft;
  std::vector<detail::rumor> rumors;
  std::vector<std::string> probe_order;
  std::optional<detail::probe> current_probe;
  std::map<std::int64_t, detail::relayed_ping> relayed;
  std::int64_t next_sequence = 1;
  base::time_point next_probe;
  base::time_point next_sync;
  // When this process next asks to be told everything, the pause before it, and
  // the members that were known when it last asked.
  base::time_point next_sync_request;
  std::chrono::microseconds sync_request_interval{0};
  std::size_t known_at_sync_request = 0;
  base::time_point next_expiry_check;
  std::uint64_t digest = 0;
};

// Makes the state of a process that knows only its settings.
class gossip_builder {
 public:
  gossip_builder& Settings(gossip_settings settings);
  gossip_builder& Self(std::string id,
                       base::endpoint address,
                       std::string zone,
                       std::int32_t roles);
  // Higher than that of any earlier run of the same process.
  gossip_builder& Incarnation(std::chrono::system_clock::time_point started);
  gossip_builder& Seeds(std::vector<base::endpoint> seeds);
  gossip_state Build() const;

 private:
  gossip_state state_;
};

// Call often, at least four times in a probe timeout.
gossip_events Tick(gossip_state& state,
                   base::time_point now,
                   random_source& random);

// Call for each datagram received.
gossip_events Receive(gossip_state& state,
                      const wire::gossip_message& message,
                      const base::endpoint& from,
                      base::time_point now,
                      random_source& random);

// The process at this address did not answer a call: it is the next to be
// probed.
void ProbeNext(gossip_state& state, const base::endpoint& address);

// This process takes no new work from now on; cannot be unsaid.
gossip_events AnnounceLeaving(gossip_state& state, random_source& random);

// A newer table is in force here.
gossip_events AnnounceTable(gossip_state& state,
                            std::int64_t revision,
                            random_source& random);

// Sets a soft record that this process owns.
gossip_events AnnounceRecord(gossip_state& state,
                             const std::string& key,
                             std::string value,
                             std::chrono::system_clock::time_point now);

// Whom a fact is told directly.
struct direct_recipients {
  // At most so many members.
  std::size_t max_count = 0;
  // Chosen by rendezvous for this subject, the same for everyone who tells;
  // empty: others each time.
  std::string subject;
  // This one in any case; empty for none.
  std::optional<base::endpoint> always_included;
  // Only members of this availability zone; empty: of any.
  std::string zone = {};
};

// Tells a fact to members that are not dead, each directly: for what is
// outdated before it would have travelled on.
gossip_events SendDirectly(gossip_state& state,
                           const std::string& key,
                           std::string value,
                           const direct_recipients& recipients,
                           random_source& random);

// Every known member, this process included.
std::vector<member> Members(const gossip_state& state);

}  // namespace valeledge::membership

#endif  // VALELEDGE_MEMBERSHIP_GOSSIP_H_
