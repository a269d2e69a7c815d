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

// Returns whether a fallback reader, which follows the service without being
// chosen to, may stop: a chosen process received a response within `span`, or a
// fallback reader with a smaller origin did. Without this order all fallback
// readers would stop at the same time.
bool MayStopFallbackRead(const response_ages& ages,
                         std::chrono::milliseconds span,
                         base::time_point now);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_RESPONSE_AGE_H_
