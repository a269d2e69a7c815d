// SPDX-License-Identifier: MIT
// What this host knows about one run of a backend server.
#ifndef VALELEDGE_HOST_PROCESS_KNOWN_SERVER_H_
#define VALELEDGE_HOST_PROCESS_KNOWN_SERVER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/duration.h"
#include "catalog/backend_server.h"
#include "catalog/configuration.h"
#include "decisions/prompt_quarantine.h"
#include "decisions/advertised_limit.h"
#include "decisions/cold_start.h"
#include "decisions/engine_estimate.h"
#include "decisions/engine_estimate_update.h"
#include "decisions/read_pacing.h"
#include "decisions/server_cost.h"
#include "decisions/server_notices.h"
#include "decisions/server_room.h"
#include "decisions/stream_separation.h"

namespace valeledge::host {

// Hash of a unit's name: a model, or an adapter as "MODEL/ADAPTER". Hosts send
// it to each other in place of the name.
using unit_key = std::int32_t;

unit_key KeyOf(std::string_view name);

// Name of an adapter's unit; that of the model if `adapter` is empty.
std::string AdapterUnit(std::string_view model, std::string_view adapter);

// Load that one or more hosts put on one backend server.
struct server_usage {
  std::int64_t running = 0;
  std::int64_t unread_tokens = 0;
  std::int64_t held_tokens = 0;
  // Prompt tokens that are queued for it and have not been sent; not contained
  // in unread_tokens.
  std::int64_t queued_tokens = 0;
  // Streams with many events to come, and the prefill of long prompts that were
  // sent recently.
  std::int64_t long_streams = 0;
  decisions::long_prefill long_prompts;
};

// Whether a server holds a unit, according to a source other than its entry:
// the lease holder or the server's response to a request.
struct residency_override {
  bool holds = false;
  base::time_point updated_at;
};

// Prompt prefixes that a server has processed recently, each identified by a
// hash of the model and of all parts up to the last one of the prefix.
struct prompt_history {
  std::map<std::uint64_t, base::time_point> last_seen;
};

// A response that looked whole but ended with its connection, as it also does
// if the server crashes.
struct unconfirmed_response {
  std::uint64_t digest = 0;
  decisions::prompt_parts parts;
  base::time_point ended_at;
  // Heartbeats in the server's entry when it ended.
  std::int64_t heartbeats = 0;
};

// Whether a run of a server that has written its entry `heartbeats` times by
// `now` had not crashed at `at`, when the number was `heartbeats_then`.
bool HasOutlived(std::int64_t heartbeats,
                 std::int64_t heartbeats_then,
                 base::time_point at,
                 base::time_point now);

// Why a server must get no requests from this host now.
enum class send_block { kNone, kLeaving, kEvacuated, kBackoff };

// One run of a backend server.
struct known_server {
  catalog::backend_server entry;
  unit_key key = 0;
  // Its entry was removed, or says that the server is draining: it gets no new
  // requests. What its responses say is in `notices`.
  bool leaving = false;
  // Its availability zone is evacuated: it gets no new requests until the
  // evacuation ends.
  bool evacuated = false;
  // When the evacuation of its zone ended, if it has not updated its entry
  // since: it may have become cold during the evacuation.
  std::optional<base::time_point> reinstated_at;
  decisions::cold_server cold;
  // Region of its availability zone; empty if unknown.
  std::string region;
  // Set if the entry's lease expired, which store trouble may cause as well as
  // a crash: the server is used until this time.
  std::optional<base::time_point> expires_at;
  server_usage own;
  server_usage others;
  // Requests that this host has sent and others have reported to have sent.
  std::int64_t requests_sent = 0;
  decisions::server_health trust;
  decisions::server_room room;
  // How much later than expected its responses start, if estimates are shared
  // for its service.
  decisions::engine_estimate estimate;
  // What this host has to report and publish of that estimate.
  decisions::estimate_exchange exchange;
  // Prefill work that all hosts have sent to it, and the time per prompt token
  // of the last request sent by this host.
  decisions::read_pacing pace;
  std::chrono::duration<double, std::milli> per_token{0};
  std::map<unit_key, residency_override> residency_overrides;
  // Models that it is loading, with the time at which each should be ready.
  std::map<unit_key, base::time_point> loads_due;
  // The same for models whose load is planned and has not started.
  std::map<unit_key, base::time_point> planned_loads_due;
  prompt_history prompts;
  // Rate limit that it advertises, if any.
  decisions::limit_view advertised;
  // It has advertised a limit that cannot be parsed.
  bool limit_unreadable = false;
  // Its statements in responses to this host.
  decisions::server_notices notices;
  // It fails if it has to reject more requests per second; not set if it states
  // no bound.
  std::optional<double> rejections_tolerated;
  // It has asked for a backoff with a time that cannot be parsed.
  bool backoff_unreadable = false;
  // No permit was available for it; none is requested before this time.
  base::time_point permit_retry_at;
  // This host is waiting for a permit for it.
  bool permit_pending = false;
  // The newest responses that a later one of the same run will confirm.
  std::vector<unconfirmed_response> unconfirmed;
  // Until when the lease holder assumes that demand exceeds the limit.
  base::time_point limit_binds_until;

  bool IsLimited() const { return advertised.limit.has_value(); }
  // Whether a permit for it may be requested, or none is needed.
  bool IsPermitted(base::time_point now) const {
    return !IsLimited() || (!permit_pending && now >= permit_retry_at);
  }
  // Requests that this host and others have running there.
  std::int64_t Running() const { return own.running + others.running; }
  // Whether it would probably reject another request.
  bool IsFull() const {
    return decisions::IsFull(room, entry.slots, Running());
  }
  // Whether requests are queued for it.
  bool HasQueue() const { return own.queued_tokens + others.queued_tokens > 0; }
  // Whether one of its responses has stated that it is leaving.
  bool SaysLeaving() const { return notices.leaving_since.has_value(); }
  // Whether it has asked this host to send nothing now.
  bool IsBackingOff() const {
    return decisions::IsBackingOff(notices, std::chrono::steady_clock::now());
  }
  // Whether its entry expired and it has not registered again in time.
  bool IsExpired(base::time_point now) const {
    return expires_at && now >= *expires_at;
  }
  // Whether it takes part in serving its models or its service, apart from
  // pauses that end by themselves.
  bool TakesRequests() const {
    return !leaving && !evacuated && !decisions::HasLeft(notices);
  }
  // The check that every request must pass right before it is sent, in
  // addition to a permit or a slot if the server requires one.
  send_block SendBlock(base::time_point now) const;
  // Whether the server is warming up and can take only a few requests.
  bool IsCold(const catalog::service& service, base::time_point now) const;

  // Whether the server holds the unit. Recent overrides take precedence over
  // the entry.
  bool Holds(std::string_view model,
             std::string_view adapter,
             base::time_point now) const;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_KNOWN_SERVER_H_
