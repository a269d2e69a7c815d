// SPDX-License-Identifier: MIT
// Test fixture for requests that are charged to the limit of a workspace.
#ifndef VALELEDGE_TESTS_AUTO_HOST_CHARGED_WORLD_H_
#define VALELEDGE_TESTS_AUTO_HOST_CHARGED_WORLD_H_

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "relay_world.h"

namespace valeledge::test {

// What is charged to the limit of a workspace and refunded.
struct charge_log {
  // Called while a request waits for tokens.
  std::function<void()> while_waiting;
  bool has_capacity = true;
  std::vector<double> acquired;
  std::vector<std::optional<host::limit_wait>> waits;
  std::vector<double> released;

  // Whether the only request was charged, and the charge refunded.
  bool IsRefunded() const {
    return acquired.size() == 1 && released == acquired;
  }
};

// Adds a workspace with a limit, to which the requests of the host are charged.
inline void AddChargedWorkspace(relay_world& world, charge_log& log) {
  world.configuration.needs_keys = true;
  catalog::workspace choir;
  choir.name = "choir";
  choir.keys = {"key"};
  choir.limit = {catalog::limit_unit::kTokens, 1000, 1000, 200};
  world.configuration.workspaces.push_back(choir);
  world.configuration.keys = catalog::key_index(world.configuration.workspaces);
  world.core->freshness.complete_as_of = base::boot_clock::now();
  world.core->acquire_limit = [&log](std::string, double count,
                                     std::optional<host::limit_wait> wait)
      -> boost::asio::awaitable<base::result<void>> {
    log.acquired.push_back(count);
    log.waits.push_back(std::move(wait));
    if (log.while_waiting)
      log.while_waiting();
    if (log.has_capacity)
      co_return base::result<void>();
    auto refused = base::MakeError(base::result_code::kWorkspaceLimit,
                                   base::outcome::kNotRun, "full");
    refused.retry_after = std::chrono::milliseconds(700);
    co_return tl::make_unexpected(refused);
  };
  world.core->release_limit = [&log](const std::string&, double count) {
    log.released.push_back(count);
  };
  world.added_fields = {{"Api-Key", "key"}};
}

// A host whose workspace has a limit, and one server.
struct charged_world : relay_world, charge_log {
  charged_world() {
    AddChargedWorkspace(*this, *this);
    AddServer("i-1", first.address());
  }
};

}  // namespace valeledge::test

#endif  // VALELEDGE_TESTS_AUTO_HOST_CHARGED_WORLD_H_
