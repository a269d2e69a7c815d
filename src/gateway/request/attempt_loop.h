// SPDX-License-Identifier: MIT
// Attempts at one request, one after the other, until one ends well or no
// other may follow.
#ifndef VALELEDGE_GATEWAY_REQUEST_ATTEMPT_LOOP_H_
#define VALELEDGE_GATEWAY_REQUEST_ATTEMPT_LOOP_H_

#include <cstdint>
#include <functional>

#include <boost/asio/awaitable.hpp>

#include "base/error.h"
#include "gateway/process/caller_front.h"
#include "gateway/request/chat_request.h"

namespace valeledge::gateway {

// Decides after a failed attempt, counts the decision, and pauses before
// another attempt.
boost::asio::awaitable<bool> MayTryAgain(caller_front& front,
                                         const request_frame& frame,
                                         base::error failed,
                                         bool idempotent,
                                         std::int64_t attempts_made);

// Runs `attempt` until it gives a value or `again` says no. The error's
// outcome is unknown as soon as one attempt's was.
template <typename value_type>
boost::asio::awaitable<base::result<value_type>> RepeatAttempts(
    std::function<boost::asio::awaitable<base::result<value_type>>()> attempt,
    std::function<boost::asio::awaitable<bool>(const base::error&,
                                               std::int64_t attempts_made)>
        again) {
  bool unknown_before = false;
  for (std::int64_t made = 1;; ++made) {
    auto ended = co_await attempt();
    if (ended)
      co_return ended;
    base::error failed = ended.error();
    const bool more = co_await again(failed, made);
    if (!more) {
      if (unknown_before)
        failed.what_ran = base::outcome::kUnknown;
      co_return tl::make_unexpected(std::move(failed));
    }
    unknown_before |= failed.what_ran == base::outcome::kUnknown;
  }
}

}  // namespace valeledge::gateway

#endif  // VALELEDGE_GATEWAY_REQUEST_ATTEMPT_LOOP_H_
