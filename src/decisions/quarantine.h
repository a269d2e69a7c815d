// SPDX-License-Identifier: MIT
// Quarantine of requests that crash backend servers (queries of death).
//
// A client retries a request that crashes its server under another id, at any
// host, and so crashes the next server. With 18 engines, such requests caused
// 46 crashes in 75 s as engines restarted, and 53 requests per second were
// served instead of 91. A crash is only visible as closed connections,
// including those of unrelated requests. Requests are therefore identified by
// digest, all hosts count the crashes of each request together, and only a
// request that was in flight at several crashes is quarantined.
#ifndef VALELEDGE_DECISIONS_QUARANTINE_H_
#define VALELEDGE_DECISIONS_QUARANTINE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/duration.h"

namespace valeledge::decisions {

// Number of server crashes after which a request is quarantined. A single crash
// can involve up to 17 unrelated requests without any response data, and a
// request that is resumed elsewhere can see a second crash. A third crash
// without a complete response in between is either a coincidence or caused by
// the request.
inline constexpr std::size_t kCrashesToQuarantine = 3;

// Reports about one server within this time refer to the same crash: several
// hosts report it, and the same request may be in flight there twice. A server
// takes seconds to restart.
inline constexpr std::chrono::milliseconds kSameCrashWindow{2000};

// A connection loss makes a request suspect only before its response or within
// this time after the start of the response, since such a request crashes its
// server when processing begins. Of 14 requests that had crashed their servers
// none had received any response data, whereas the streams interrupted by those
// crashes take two to four seconds.
inline constexpr std::chrono::milliseconds kEarlyResponseWindow{500};

// Retention time of crashes and duration of a quarantine: the maximum time for
// which the key-value service keeps a key of a host that may be gone (ten
// minutes). After that one server is exposed to the request again, which
// succeeds if the fault has been fixed.
inline constexpr std::chrono::minutes kQuarantineDuration{10};

// Maximum number of suspects, about 150 bytes each: all suspects of the last
// 200 crashes, at the highest number seen for one crash.
inline constexpr std::size_t kMaxSuspects = 4096;

// A failed attempt as seen by its host.
struct interrupted_attempt {
  // The server closed the connection; false after a timeout.
  bool connection_lost = false;
  // Time since the first part of the response; empty if none was received.
  std::optional<std::chrono::milliseconds> response_duration;
};

// Returns whether the server may have crashed while it processed the request.
bool MayHaveCrashedServer(const interrupted_attempt& attempt);

// A crash of one server, identified by a hash, with a request in flight.
//
// Two crashes are counted separately only if the second attempt was sent after
// the first crash. When a zone or a rack is lost, many servers fail at once,
// and a path requested by many callers is in flight at all of them. A request
// that crashes servers does so again on the next attempt.
struct server_crash {
  std::int32_t server = 0;
  // Times at which the attempt was sent and at which it failed.
  base::time_point sent;
  base::time_point at;
};

namespace detail {

// A request that was in flight when servers crashed.
struct suspect {
  std::vector<server_crash> crashes;
  std::optional<base::time_point> quarantined_since;
  // Set after an earlier quarantine: a single later crash quarantines the
  // request again.
  std::optional<base::time_point> released_at;
  base::time_point last_event_at;
};

}  // namespace detail

// Suspects known to this host, by request digest.
struct quarantine {
  std::map<std::uint64_t, detail::suspect> suspects;
};

// Records a server crash with the request in flight, seen by this or another
// host. Returns true if this quarantines the request.
bool RecordCrash(quarantine& state,
                 std::uint64_t digest,
                 const server_crash& crash,
                 base::time_point now);

// Records that all hosts quarantine the request. Returns true if it was not
// quarantined before.
bool RecordQuarantine(quarantine& state,
                      std::uint64_t digest,
                      base::time_point now);

// Records a complete, successful response, which shows that the request did not
// cause earlier crashes. Returns true if the request was a suspect; a
// quarantined request stays quarantined.
bool RecordCompleteResponse(quarantine& state, std::uint64_t digest);

// Ends the quarantine of the request. A single later crash quarantines it
// again.
void Release(quarantine& state, std::uint64_t digest, base::time_point now);

// Returns the remaining quarantine time of the request; empty if it is not
// quarantined.
std::optional<std::chrono::milliseconds> RemainingQuarantine(
    const quarantine& state,
    std::uint64_t digest,
    base::time_point now);

// Returns whether the request is quarantined or was in flight at more than one
// crash. Most requests in flight at a single crash did not cause it.
bool IsSuspected(const quarantine& state, std::uint64_t digest);

// Returns the number of quarantined requests.
std::size_t CountQuarantined(const quarantine& state, base::time_point now);

// Removes expired crashes, quarantines and suspects.
void Sweep(quarantine& state, base::time_point now);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_QUARANTINE_H_
