// SPDX-License-Identifier: MIT
// How long ago the key-value service last answered any host, as hosts tell
// each other several times a second. A few hosts follow the service for all;
// once it answers none of them, others must take over within about a second.
//
// An age that is passed on grows younger with each hop by the time on the way.
// Among 295 hosts of which each tells 16 others in 250 ms some host passes it
// on every few milliseconds, so it would hardly grow at all. Each answer
// therefore carries a stamp, and an answer that is known is not heard again.
#ifndef VALELEDGE_DECISIONS_RESPONSE_AGE_H_
#define VALELEDGE_DECISIONS_RESPONSE_AGE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

#include "base/duration.h"

namespace valeledge::decisions {

// One answer of the service.
struct response_stamp {
  // The process that was answered: a number drawn at its start.
  std::int64_t origin = 0;
  // Answers to that process so far.
  std::int64_t count = 0;
  // Whether that process is one of those chosen to follow the service.
  bool chosen = false;
};

// An answer as one host tells another of it.
struct reported_response {
  response_stamp stamp;
  std::chrono::milliseconds age{0};
};

// What one host knows of the answers to all. Changed only by the functions
// below.
struct response_ages {
  struct received_response {
    response_stamp stamp;
    base::time_point at;
  };

  // Counts the answers to this process.
  response_stamp own;
  std::optional<base::time_point> own_at;
  // The newest answer to each other process, by origin.
  std::map<std::int64_t, received_response> received;
};

// The service has answered this process, which is chosen to follow it or not.
void RecordOwnResponse(response_ages& ages, bool chosen, base::time_point now);

// Another host tells of an answer. One that is known already, or that was
// given to this process, changes nothing.
void RecordReportedResponse(response_ages& ages,
                            const reported_response& reported,
                            base::time_point now);

// When the service last answered any process that is known of.
std::optional<base::time_point> NewestResponseTime(const response_ages& ages);

// The newest answer, for the others; nothing if there was none.
std::optional<reported_response> ReportNewest(const response_ages& ages,
                                              base::time_point now);

// Whether the service answered any other process within `span`.
bool OthersRespondedWithin(const response_ages& ages,
                           std::chrono::milliseconds span,
                           base::time_point now);

// Whether a process that follows the service though it is not chosen may
// leave that to others: one that is chosen was answered within `span`, or, of
// those that stand in like this one, one with a smaller origin. Without that
// order all who stand in would leave it to each other.
bool MayStopFallbackRead(const response_ages& ages,
                         std::chrono::milliseconds span,
                         base::time_point now);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_RESPONSE_AGE_H_
