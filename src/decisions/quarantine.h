// SPDX-License-Identifier: MIT
// Which requests are held back, since backend servers end under them (queries
// of death).
//
// A request that makes its server end comes again under another id, at any
// host, and takes the next server with it: of 18 engines, 46 ended in 75 s as
// they came back, and 53 requests a second were answered in place of 91. All
// that is seen of an end is that connections close, those of everybody whom the
// server was working for. So a request is told by its digest, ends are counted
// for each request by all hosts together, and only what has been there at
// several ends is held back.
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

// A request is held back once so many servers have ended under it. At one end
// up to 17 other requests were seen that had no part of an answer yet; one that
// is resumed elsewhere may be at a second end. A third without a whole answer
// in between is left to chance alone, or to the request.
inline constexpr std::size_t kCrashesToQuarantine = 3;

// What is told of one server within this time is one end: several hosts see it,
// and the same request may be there twice. A server takes seconds to come back.
inline constexpr std::chrono::milliseconds kSameCrashWindow{2000};

// A server ends while it begins to run such a request. One whose answer has
// been coming for longer than this has been running well: of 14 requests that
// had ended their servers, none had been given a part of an answer, and the
// streams that were cut there take two to four seconds.
inline constexpr std::chrono::milliseconds kEarlyResponseWindow{500};

// Ends are remembered for so long, and a request is held back for as long: the
// longest that the key-value service keeps a key for a host that may have gone
// (ten minutes). After that one server is risked: a repaired one runs it.
inline constexpr std::chrono::minutes kQuarantineDuration{10};

// Requests that are remembered, each in some 150 bytes: those at the last 200
// ends, by the most that were suspected at one.
inline constexpr std::size_t kMaxSuspects = 4096;

// An attempt that came to nothing, as its host saw it.
struct interrupted_attempt {
  // The server closed the connection; no time ran out.
  bool connection_lost = false;
  // How long the answer had been coming; nothing if no part of it had.
  std::optional<std::chrono::milliseconds> response_duration;
};

// Whether the server may have ended since it ran this request.
bool MayHaveCrashedServer(const interrupted_attempt& attempt);

// The end of one server, named by a hash, while a request was there.
//
// Two ends count as two only if the second attempt was sent after the first
// end: when a zone or a rack is lost, many servers end at once, and a path that
// many callers ask for is at all of them. What ends its server comes again.
struct server_crash {
  std::int32_t server = 0;
  // When the attempt was sent to the server, and when that ended.
  base::time_point sent;
  base::time_point at;
};

namespace detail {

// One request at which servers have ended.
struct suspect {
  std::vector<server_crash> crashes;
  std::optional<base::time_point> quarantined_since;
  // It was held back before: one end more is enough, if it comes after this.
  std::optional<base::time_point> released_at;
  base::time_point last_event_at;
};

}  // namespace detail

// All that one host knows, by the digests of requests.
struct quarantine {
  std::map<std::uint64_t, detail::suspect> suspects;
};

// A server has ended under a request, here or at another host. True if the
// request is held back from now on, and was not before.
bool RecordCrash(quarantine& state,
                 std::uint64_t digest,
                 const server_crash& crash,
                 base::time_point now);

// The request is held back by all hosts. True if it was not before.
bool RecordQuarantine(quarantine& state,
                      std::uint64_t digest,
                      base::time_point now);

// A server has answered the request whole and well: what ended others was not
// this.
// True if it was suspected until now; what is held back stays so.
bool RecordCompleteResponse(quarantine& state, std::uint64_t digest);

// The request is no longer held back; one end more from now on and it is again.
void Release(quarantine& state, std::uint64_t digest, base::time_point now);

// For how much longer a request is held back; nothing if it is not.
std::optional<std::chrono::milliseconds> RemainingQuarantine(
    const quarantine& state,
    std::uint64_t digest,
    base::time_point now);

// Whether more than one server has ended under a request, or it is held back:
// of those that were at a single end most have only been there.
bool IsSuspected(const quarantine& state, std::uint64_t digest);

// How many requests are held back.
std::size_t CountQuarantined(const quarantine& state, base::time_point now);

// Forgets what is too old to count.
void Sweep(quarantine& state, base::time_point now);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_QUARANTINE_H_
