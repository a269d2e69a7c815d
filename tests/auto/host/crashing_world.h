// SPDX-License-Identifier: MIT
// Test fixture with backend servers that crash under requests.
#ifndef VALELEDGE_TESTS_AUTO_HOST_CRASHING_WORLD_H_
#define VALELEDGE_TESTS_AUTO_HOST_CRASHING_WORLD_H_

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "relay_world.h"

namespace valeledge::test {

// Servers that crash as soon as they begin to run a request, and restart with
// another instance name.
struct crashing_world : relay_world {
  explicit crashing_world(int count) {
    for (int i = 0; i < count; ++i) {
      backend_stand_in& server = servers.emplace_back(context);
      server.script = {
          {kStreamHeader, scripted_response::connection_action::kReset}};
      names.push_back("i-" + std::to_string(i));
      AddServer(names.back(), server.address());
    }
  }

  received_response SendRequestOnce(const std::string& path) {
    received_response seen = SendRequest(path);
    for (std::size_t i = 0; i < servers.size(); ++i)
      ReplaceIfCrashed(i);
    return seen;
  }

  // Replaces the server's instance if the server has received requests since
  // the last replacement.
  void ReplaceIfCrashed(std::size_t i) {
    if (servers[i].requests.size() == requests_at_replacement[i])
      return;
    requests_at_replacement[i] = servers[i].requests.size();
    core->servers.Remove(names[i], false, std::chrono::milliseconds(0),
                         std::chrono::steady_clock::now());
    names[i] += "'";
    AddServer(names[i], servers[i].address());
  }

  std::size_t SendCount() const {
    std::size_t sends = 0;
    for (const backend_stand_in& each : servers)
      sends += each.requests.size();
    return sends;
  }

  std::deque<backend_stand_in> servers;
  std::vector<std::string> names;
  // Requests that each server had received when it was last replaced.
  std::map<std::size_t, std::size_t> requests_at_replacement;
};

}  // namespace valeledge::test

#endif  // VALELEDGE_TESTS_AUTO_HOST_CRASHING_WORLD_H_
