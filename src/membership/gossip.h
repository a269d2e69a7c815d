// SPDX-License-Identifier: MIT
// Gossip membership protocol without I/O: direct and indirect probes,
// suspicion, refutation, leaving, soft-state records and the newest table
// revision. The functions return the datagrams to send; the caller passes in
// the time and the random number generator.
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
#include "membership/member.h"
#include "membership/selection_cache.h"
#include "membership/soft_state.h"
#include "wire/generated/messages_types.h"

namespace valeledge::membership {

using random_source = std::mt19937_64;

// Intervals and limits of the protocol.
struct gossip_settings {
  // One member is probed per interval.
  std::chrono::microseconds probe_interval = std::chrono::seconds(1);
  // Without an acknowledgement within this time, indirect probes are requested.
  std::chrono::microseconds probe_timeout = std::chrono::milliseconds(300);
  // A suspect that does not refute the suspicion within this time is declared
  // dead.
  std::chrono::microseconds suspect_timeout = std::chrono::seconds(4);
  // Records of dead members are removed after this time.
  std::chrono::microseconds dead_retention = std::chrono::minutes(2);
  // Number of members to which urgent updates are sent immediately.
  std::int64_t fanout = 3;
  // Maximum size of the updates in one datagram.
  std::int64_t news_bytes = 900;
};

enum class gossip_kind : std::int32_t {
  kPing = 1,
  kAck = 2,
  // Requests the receiver to ping `target`.
  kPingRequest = 3,
  // Carries updates only.
  kUpdates = 4,
  // Part of the sender's full state.
  kSync = 5,
  // Records for the receiver only; not disseminated further.
  kDirect = 6,
};

// A datagram to send to each of the addresses.
struct outgoing_datagram {
  std::vector<base::endpoint> to;
  wire::gossip_message message;
};

// A record that another member sent directly to this one.
struct direct_record {
  std::string sender;
  base::endpoint sender_address;
  std::string key;
  std::string value;
};

// Results of a protocol step for the owner of the state.
struct gossip_events {
  std::vector<outgoing_datagram> datagrams;
  // Ids of members whose record changed.
  std::vector<std::string> changed;
  // Keys of soft records that changed.
  std::vector<std::string> records;
  // In order of arrival; a later record replaces an earlier one with the same
  // sender and key.
  std::vector<direct_record> direct;
  // Address and availability zone of a peer that has a newer table revision
  // than this process.
  std::optional<base::endpoint> newer_table_at;
  std::string newer_table_zone;
  bool refuted = false;
};

namespace detail {

// Another process.
struct known_member {
  member record;
  base::endpoint address;
  // Time at which this process received the current health.
  base::time_point health_since;
};

struct probe {
  std::string target;
  std::int64_t sequence = 0;
  base::time_point sent;
  bool indirect = false;
};

// An update that is still being disseminated.
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

// One process's view of the membership. Created by gossip_builder; modified
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
  // Time of the next full sync request, the interval before it, and the number
  // of members known at the last one.
  base::time_point next_sync_request;
  std::chrono::microseconds sync_request_interval{0};
  std::size_t known_at_sync_request = 0;
  base::time_point next_expiry_check;
  std::uint64_t digest = 0;
};

// Builds the initial state of a process, which knows no other members.
class gossip_builder {
 public:
  gossip_builder& Settings(gossip_settings settings);
  gossip_builder& Self(std::string id,
                       base::endpoint address,
                       std::string zone,
                       std::int32_t roles);
  // Must be higher than that of any earlier run of the same process.
  gossip_builder& Incarnation(std::chrono::system_clock::time_point started);
  gossip_builder& Seeds(std::vector<base::endpoint> seeds);
  gossip_state Build() const;

 private:
  gossip_state state_;
};

// Runs the periodic work; must be called at least four times per probe timeout.
gossip_events Tick(gossip_state& state,
                   base::time_point now,
                   random_source& random);

// Processes a received datagram.
gossip_events Receive(gossip_state& state,
                      const wire::gossip_message& message,
                      const base::endpoint& from,
                      base::time_point now,
                      random_source& random);

// Schedules the process at this address as the next one to be probed, because
// it did not respond to a call.
void ProbeNext(gossip_state& state, const base::endpoint& address);

// Announces that this process accepts no new work; irrevocable within an
// incarnation.
gossip_events AnnounceLeaving(gossip_state& state, random_source& random);

// Announces that this process has applied a newer table.
gossip_events AnnounceTable(gossip_state& state,
                            std::int64_t revision,
                            random_source& random);

// Sets a soft-state record that this process owns.
gossip_events AnnounceRecord(gossip_state& state,
                             const std::string& key,
                             std::string value,
                             std::chrono::system_clock::time_point now);

// Selects the members to which a record is sent directly.
struct direct_recipients {
  // Maximum number of selected members; `always_included` is not counted.
  std::size_t max_count = 0;
  // Members are selected by rendezvous hashing for this subject, the same from
  // every sender; if empty, at random on each call.
  std::string subject;
  // An additional recipient.
  std::optional<base::endpoint> always_included;
  // Restricts the selection to an availability zone; empty for all.
  std::string zone = {};
};

// Sends a record directly to members that are not dead. For values that would
// be outdated before gossip had disseminated them.
gossip_events SendDirectly(gossip_state& state,
                           const std::string& key,
                           std::string value,
                           const direct_recipients& recipients,
                           random_source& random);

// Returns the records of all known members, including this process.
std::vector<member> Members(const gossip_state& state);

}  // namespace valeledge::membership

#endif  // VALELEDGE_MEMBERSHIP_GOSSIP_H_
