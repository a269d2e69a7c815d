// SPDX-License-Identifier: MIT
#include "gateway/request/attempt_loop.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "decisions/retry.h"

namespace valeledge::gateway {

namespace asio = boost::asio;

asio::awaitable<bool> MayRetry(caller_frontend& frontend,
                               const request_common& common,
                               base::error failed,
                               bool idempotent,
                               std::int64_t attempts_made) {
  const decisions::failed_attempt failed_attempt{
      failed.what_ran, idempotent, attempts_made, Remaining(common)};
  const auto verdict = frontend.shared().budgets.Decide(
      common.partner, common.unit, failed_attempt);
  if (verdict == decisions::retry_verdict::kBudgetExhausted)
    frontend.metrics().CountRefusal(base::result_code::kRetryBudgetExhausted);
  if (verdict != decisions::retry_verdict::kRetry)
    co_return false;
  frontend.metrics().CountRetry(failed.code);
  asio::steady_timer pause(
      co_await asio::this_coro::executor,
      decisions::RetryBackoff(attempts_made, frontend.random()));
  co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
  co_return true;
}

}  // namespace valeledge::gateway
