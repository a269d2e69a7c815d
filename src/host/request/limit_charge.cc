// SPDX-License-Identifier: MIT
#include "host/request/limit_charge.h"

#include "decisions/workspace_limit.h"

namespace valeledge::host {

limit_charge::limit_charge(host_core& core, const routed_request& routed)
    : core_(core), routed_(routed) {}

limit_charge::~limit_charge() {
  if (count_ > 0)
    core_.release_limit(routed_.workspace->name, count_);
}

boost::asio::awaitable<base::result<void>> limit_charge::Acquire() {
  const catalog::workspace* workspace = routed_.workspace;
  if (workspace == nullptr || !workspace->limit.IsSet())
    co_return base::result<void>();
  const double count = decisions::RequestCost(workspace->limit,
                                              routed_.metadata.declared_tokens);
  auto taken = co_await core_.acquire_limit(workspace->name, count);
  if (taken)
    count_ = count;
  co_return taken;
}

}  // namespace valeledge::host
