// SPDX-License-Identifier: MIT
// Attempts at one request, one after the other, until one ends well or no
// other may follow.
#ifndef VALELEDGE_GATEWAY_REQUEST_ATTEMPT_LOOP_H_
#define VALELEDGE_GATEWAY_REQUEST_ATTEMPT_LOOP_H_

#include <cstdint>
#include <functional>

#include <boost/asio/awaitable.hpp>

#include "base/error.h"
#include "gateway/process/caller_frontend.h"
#include "gateway/request/chat_request.h"

namespace valeledge::gateway {

// Decides after a failed attempt, counts the decision, and pauses before
// another attempt.
boost::asio::awaitable<bool> MayRetry(caller_frontend& frontend,
                                      const request_common& common,
                                      base::error failed,
                                      bool idempotent,
                                      std::int64_t attempts_made);

// Runs `attempt` until it gives a value or `may_retry` says no. The error's
// outcome is unknown as soon as one attempt's was.
template <typename value_type>
boost::asio::awaitable<base::result<value_type>> RunAttempts(
    std::function<boost::asio::awaitable<base::result<value_type>>()> attempt,
    std::function<boost::asio::awaitable<bool>(const base::error&,
                                               std::int64_t attempts_made)>
        may_retry) {
  bool unknown_before = false;
  for (std::int64_t made = 1;; ++made) {
    auto result = co_await attempt();
    if (result)
      co_return result;
    base::error failed = result.error();
    const bool retry = co_await may_retry(failed, made);
    if (!retry) {
      if (unknown_before)
        failed.what_ran = base::outcome::kUnknown;
      co_return tl::make_unexpected(std::move(failed));
    }
    unknown_before |= failed.what_ran == base::outcome::kUnknown;
  }
}

}  // namespace valeledge::gateway

#endif  // VALELEDGE_GATEWAY_REQUEST_ATTEMPT_LOOP_H_
