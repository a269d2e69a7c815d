// SPDX-License-Identifier: MIT
#include "host/request/limit_charge.h"

#include <algorithm>
#include <utility>

#include "decisions/limit_queue.h"
#include "decisions/workspace_limit.h"
#include "host/constants.h"
#include "host/load_features.h"

namespace valeledge::host {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

limit_charge::limit_charge(host_core& core, const routed_request& routed)
    : core_(core), routed_(routed) {}

limit_charge::~limit_charge() {
  if (count_ > 0)
    core_.release_limit(routed_.workspace->name, count_);
}

std::optional<limit_wait> limit_charge::WaitWith(
    std::function<std::optional<base::error>()> check) const {
  const milliseconds objective = routed_.route->objective;
  const bool may_wait =
      objective.count() > 0 &&
      IsEnabled(core_.settings.features.limit_priority, *routed_.service);
  if (!may_wait)
    return std::nullopt;
  const auto now = std::chrono::steady_clock::now();
  auto patience = decisions::MaxTokenWait(
      duration_cast<milliseconds>(DueOf(routed_) - now));
  // The caller of a stream that is resumed has received events already.
  if (!routed_.metadata.resume_after.empty())
    patience = std::min(patience, MaxResumeWait(routed_) / 2);
  limit_wait wait;
  // The priority of the workspace is the same for all requests of the limit.
  wait.priority = routed_.route->priority;
  wait.until = now + patience;
  wait.check = std::move(check);
  return wait;
}

boost::asio::awaitable<base::result<void>> limit_charge::Acquire(
    std::function<std::optional<base::error>()> check) {
  const catalog::workspace* workspace = routed_.workspace;
  if (workspace == nullptr || !workspace->limit.IsSet())
    co_return base::result<void>();
  const double count = decisions::RequestCost(workspace->limit,
                                              routed_.metadata.declared_tokens);
  auto wait = WaitWith(std::move(check));
  const bool may_wait = wait.has_value();
  const auto begun = std::chrono::steady_clock::now();
  auto taken =
      co_await core_.acquire_limit(workspace->name, count, std::move(wait));
  if (taken)
    count_ = count;
  if (may_wait)
    waited_ =
        duration_cast<milliseconds>(std::chrono::steady_clock::now() - begun);
  co_return taken;
}

}  // namespace valeledge::host
