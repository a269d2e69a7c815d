// SPDX-License-Identifier: MIT
// Ends an attempt that waits too long for the first event of its response, once
// the retry budget has granted another one.
#ifndef VALELEDGE_HOST_REQUEST_ATTEMPT_WATCH_H_
#define VALELEDGE_HOST_REQUEST_ATTEMPT_WATCH_H_

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "base/endpoint.h"
#include "decisions/attempt_timeout.h"
#include "host/request/retry_permit.h"
#include "host/request/routed_request.h"

namespace valeledge::host {

// Returns how long an attempt waits for the header if other attempts may
// follow it, without regard to the engine's expected time.
std::chrono::milliseconds FixedHeaderTimeout(const routed_request& routed);

// Whether attempts at the request are ended by an attempt_watch rather than by
// a fixed time-out.
bool HasAdaptiveTimeout(const host_core& core, const routed_request& routed);

// An attempt to be watched.
struct watched_attempt {
  // The engine; null if the request was sent through another host.
  std::shared_ptr<known_server> server;
  // The other host.
  base::endpoint peer;
  // Expected time to the first event, with the engine's slowdown factor.
  std::chrono::milliseconds expected{0};
  // The same without the factor, as shared estimates require it.
  std::chrono::duration<double, std::milli> unscaled{0};
};

// Time by which 99 in 100 responses of the attempt's engine have started.
std::chrono::milliseconds FirstEventLimit(const host_core& core,
                                          const catalog::service& service,
                                          const watched_attempt& attempt,
                                          base::time_point now);

// Includes load of other hosts that was not known when the request was sent,
// `elapsed` ago.
void IncludeLaterLoad(const host_core& core,
                      const routed_request& routed,
                      std::chrono::milliseconds elapsed,
                      base::time_point now,
                      watched_attempt& attempt);

// Returns an attempt through another host. That host selects the engine, so the
// time is that of the best engine that this host knows, or, if it has none,
// derived from the objective.
watched_attempt AttemptThroughHost(host_core& core,
                                   const routed_request& routed,
                                   const base::endpoint& peer);

class attempt_watch : public std::enable_shared_from_this<attempt_watch> {
 public:
  // `may_send_again`: whether the request may be sent to any server now. All
  // references must outlive the watch.
  attempt_watch(host_core& core,
                const routed_request& routed,
                retry_permit& permit,
                watched_attempt attempt,
                std::function<bool()> may_send_again);

  // The request is about to be written to its connection. `abandon` ends the
  // attempt, which then fails.
  void Start(std::function<void()> abandon);

  // Replaces what ends the attempt: its response header has arrived.
  void SetAbandon(std::function<void()> abandon) {
    abandon_ = std::move(abandon);
  }

  // Whether the watch has ended the attempt.
  bool has_abandoned() const { return has_abandoned_; }

  // The first event, or the header of a whole response, has arrived.
  void OnStarted();

 private:
  void ScheduleNext(std::chrono::milliseconds delay);
  void Ask();
  void Abandon(const decisions::attempt_wait& wait,
               decisions::attempt_reason reason);
  // Counts an attempt that is kept although it has exceeded the spread; only
  // the first time.
  void RecordKept(const decisions::attempt_wait& wait, std::string_view reason);
  decisions::attempt_wait MakeWait(base::time_point now);
  // Sets the other engine, or the other way to reach engines.
  void FindOther(decisions::attempt_wait& wait);
  void FindOtherPeer(decisions::attempt_wait& wait);
  // Includes load of other hosts that was not known when the request was sent.
  void UpdateExpected(base::time_point now);
  void Count(std::string_view what);

  host_core& core_;
  const routed_request& routed_;
  retry_permit& permit_;
  watched_attempt attempt_;
  std::function<bool()> may_send_again_;
  std::function<void()> abandon_;
  boost::asio::steady_timer timer_;
  base::time_point sent_at_;
  bool has_updated_expected_ = false;
  bool was_kept_ = false;
  bool has_abandoned_ = false;
  // The engine or host to which the request can be sent, for log lines.
  std::string other_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_REQUEST_ATTEMPT_WATCH_H_
