// SPDX-License-Identifier: MIT
// Age of the key-value service's last response to any host, which hosts report
// to each other several times a second. A few hosts follow the service on
// behalf of all; when it responds to none of them, others must take over within
// about a second.
//
// A forwarded age loses the transit time at each hop. Among 295 hosts that each
// report to 16 others every 250 ms, some host forwards it every few
// milliseconds, so that the age would hardly grow at all. Each response
// therefore has a stamp, and a response that is already known is ignored.
//
// The responses also show when the service was unavailable: the owners of keys
// that expired then may still be running. That calls of one host have failed
// does not show it, since the service may refuse some hosts and serve others.
#ifndef VALELEDGE_DECISIONS_RESPONSE_AGE_H_
#define VALELEDGE_DECISIONS_RESPONSE_AGE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

#include "base/duration.h"

namespace valeledge::decisions {

// Identifies one response of the service.
struct response_stamp {
  // Process that received the response: a random number drawn at its start.
  std::int64_t origin = 0;
  // Number of responses to that process so far.
  std::int64_t count = 0;
  // Whether that process is one of those chosen to follow the service.
  bool chosen = false;
};

// A response as reported by one host to another.
struct reported_response {
  response_stamp stamp;
  std::chrono::milliseconds age{0};
};

// A period without responses is an outage only from this duration on: if the
// hosts that follow the service are refused, it takes more than a second until
// others read it.
inline constexpr std::chrono::milliseconds kMinOutage{1800};

// The owner of a key that expired during an outage is used for this time after
// its end: if it is running, it registers again within about two seconds, and
// the hosts learn of it within another 0.3 s.
inline constexpr std::chrono::milliseconds kLapseGrace{2300};

// A period in which no known process received a response.
struct service_outage {
  base::time_point began_at;
  base::time_point ended_at;
};

// The responses known to one host. Modified only by the functions below.
struct response_ages {
  struct received_response {
    response_stamp stamp;
    base::time_point at;
  };

  // Counts the responses to this process.
  response_stamp own;
  std::optional<base::time_point> own_at;
  // The newest response to each other process, by origin.
  std::map<std::int64_t, received_response> received;
  // When the newest response to any process was received.
  std::optional<base::time_point> newest_at;
  // The last outage that has ended.
  std::optional<service_outage> last_outage;
};

// Records a response to this process. `chosen`: whether it is chosen to follow
// the service.
void RecordOwnResponse(response_ages& ages, bool chosen, base::time_point now);

// Records a response reported by another host. A response that is already
// known, or that this process received itself, is ignored.
void RecordReportedResponse(response_ages& ages,
                            const reported_response& reported,
                            base::time_point now);

// Returns the time of the newest known response to any process.
std::optional<base::time_point> NewestResponseTime(const response_ages& ages);

// Returns the newest response as reported to other hosts; empty if there is
// none.
std::optional<reported_response> ReportNewest(const response_ages& ages,
                                              base::time_point now);

// Returns whether the service has responded to any other process within `span`.
bool OthersRespondedWithin(const response_ages& ages,
                           std::chrono::milliseconds span,
                           base::time_point now);

// Returns until when the owner of a key may still be running that has just been
// found to be missing; nothing if the key was deleted while the service was
// available.
std::optional<base::time_point> LapsedUntil(const response_ages& ages,
                                            base::time_point now);

// Returns whether a fallback reader, which follows the service without being
// chosen to, may stop: a chosen process received a response within `span`, or a
// fallback reader with a smaller origin did. Without this order all fallback
// readers would stop at the same time.
bool MayStopFallbackRead(const response_ages& ages,
                         std::chrono::milliseconds span,
                         base::time_point now);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_RESPONSE_AGE_H_
