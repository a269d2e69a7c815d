// SPDX-License-Identifier: MIT
// Which service and software version began a stream.
//
// The events of two software versions do not fit together, and backend servers
// do not check this. A stream therefore goes on only at the service and version
// that began it, within one response and over all attempts of its caller. What
// is not known for certain is not assumed.
#ifndef VALELEDGE_DECISIONS_STREAM_ORIGIN_H_
#define VALELEDGE_DECISIONS_STREAM_ORIGIN_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "base/duration.h"

namespace valeledge::decisions {

// An origin is kept for this time after its last attempt began: longer than an
// attempt lasts, and the pause until the caller's next one.
inline constexpr std::chrono::seconds kOriginLifetime{120};

// Maximum number of origins that a host keeps.
inline constexpr std::size_t kMaxOrigins = 65536;

// Number of hosts that keep the origin of a stream: half of the origins are
// still known if three of four hosts end at the same time.
inline constexpr std::size_t kOriginOwners = 5;

// Number of hosts that are asked for an origin. It is larger than the number of
// owners, since hosts that joined later may rank before the original owners.
inline constexpr std::size_t kAskedOwners = kOriginOwners + 2;

// Number of hosts that are asked for the versions if the caller does not name
// the stream.
inline constexpr std::size_t kAskedForVersions = 3;

// Intervals at which a host without complete knowledge of the versions asks
// others for it: during its first seconds, when others have it, and later.
inline constexpr std::chrono::milliseconds kFirstVersionQuestions{500};
inline constexpr std::chrono::milliseconds kLaterVersionQuestions{5000};
inline constexpr std::chrono::seconds kFirstQuestionsPeriod{10};

// Returns the rendezvous subject that selects the owners of a stream's origin.
// The number of distinct subjects is small enough to cache the selections.
std::string OriginSubject(std::uint64_t stream);

// The origin of a stream.
struct stream_origin {
  std::string service;
  // Empty if the server states no version, which is a version of its own.
  std::string software;

  bool operator==(const stream_origin&) const = default;
};

// Origins of recent streams, by the digest of the attempt that brought the
// first event. Modified only by the functions below.
struct stream_origins {
  struct known_origin {
    stream_origin origin;
    base::time_point recorded_at;
  };
  std::unordered_map<std::uint64_t, known_origin> by_stream;
  // All records, the oldest first; a stream may have several.
  std::deque<std::pair<base::time_point, std::uint64_t>> records;
};

// Records the origin of a stream, or extends the lifetime of the known one. The
// origin of a stream does not change: another one is ignored.
void RecordOrigin(stream_origins& origins,
                  std::uint64_t stream,
                  const stream_origin& origin,
                  base::time_point now);

// Returns the origin of a stream; nothing if it is not known.
std::optional<stream_origin> FindOrigin(const stream_origins& origins,
                                        std::uint64_t stream,
                                        base::time_point now);

// Since when a host knows all backend servers without a gap. Modified only by
// the functions below.
struct server_view {
  std::optional<base::time_point> complete_since;
  std::optional<base::time_point> last_current_at;
};

// Records whether the host's list of servers is current now. `is_first_start`:
// the fleet began no streams before this host had its first list of servers.
void ObserveServerView(server_view& view,
                       bool is_current,
                       bool is_first_start,
                       base::time_point now);

// Records that a host with complete knowledge has stated all versions of the
// last kOriginLifetime, while this host's list of servers is current.
void RecordStatedVersions(server_view& view, base::time_point now);

// Whether streams that can still be resumed have begun only at servers that
// were listed within the last kOriginLifetime.
bool CoversAllStreams(const server_view& view,
                      bool is_current,
                      base::time_point now);

// What one or several hosts know about the origin of a stream that a caller
// resumes.
struct origin_evidence {
  // As recorded when the stream began.
  std::optional<stream_origin> recorded;
  // Versions of the service at which streams that can still be resumed may have
  // begun, and whether there are certainly no others.
  std::set<std::string> software;
  bool is_complete = false;
};

// Starts the evidence of a host at which a stream is resumed. A host that was
// cut off or stood still does not know yet what it has missed, so only other
// hosts can state that there are no other versions.
origin_evidence WithoutOwnCertainty(origin_evidence own);

// Adds what another host has replied.
void AddReply(origin_evidence& evidence, const origin_evidence& reply);

// Returns the origin of a stream of the service; nothing if it is not certain.
std::optional<stream_origin> CertainOrigin(const origin_evidence& evidence,
                                           const std::string& service);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_STREAM_ORIGIN_H_
