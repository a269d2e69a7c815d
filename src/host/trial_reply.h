// SPDX-License-Identifier: MIT
// Whether a request may be sent as a trial.
#ifndef VALELEDGE_HOST_TRIAL_REPLY_H_
#define VALELEDGE_HOST_TRIAL_REPLY_H_

namespace valeledge::host {

// What becomes of a request of a host whose prompt parts are quarantined.
enum class trial_reply {
  // It is refused.
  kRefused,
  // It is refused unless the trial that has just been asked for is granted.
  kAsked,
  // It is sent as a trial.
  kBegun,
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_TRIAL_REPLY_H_
