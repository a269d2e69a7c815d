// SPDX-License-Identifier: MIT
// Sequential attempts at a request until one succeeds or no retry is allowed.
#ifndef VALELEDGE_GATEWAY_REQUEST_ATTEMPT_LOOP_H_
#define VALELEDGE_GATEWAY_REQUEST_ATTEMPT_LOOP_H_

#include <cstdint>
#include <functional>

#include <boost/asio/awaitable.hpp>

#include "base/error.h"
#include "gateway/process/caller_frontend.h"
#include "gateway/request/chat_request.h"

namespace valeledge::gateway {

// Decides whether a failed attempt is retried, records the decision in the
// metrics, and waits for the backoff delay before a retry.
boost::asio::awaitable<bool> MayRetry(caller_frontend& frontend,
                                      const request_common& common,
                                      base::error failed,
                                      bool idempotent,
                                      std::int64_t attempts_made);

// Runs `attempt` until it returns a value or `may_retry` returns false. If the
// outcome of any failed attempt is unknown, that of the returned error is.
template <typename value_type>
boost::asio::awaitable<base::result<value_type>> RunAttempts(
    std::function<boost::asio::awaitable<base::result<value_type>>()> attempt,
    std::function<boost::asio::awaitable<bool>(const base::error&,
                                               std::int64_t attempts_made)>
        may_retry) {
  bool unknown_before = false;
  for (std::int64_t attempt_number = 1;; ++attempt_number) {
    auto result = co_await attempt();
    if (result)
      co_return result;
    base::error failed = result.error();
    const bool retry = co_await may_retry(failed, attempt_number);
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
