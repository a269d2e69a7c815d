// SPDX-License-Identifier: MIT
// What one backend server says of itself.
#ifndef VALELEDGE_CATALOG_BACKEND_SERVER_H_
#define VALELEDGE_CATALOG_BACKEND_SERVER_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/endpoint.h"

namespace valeledge::catalog {

// A model that a server holds, with the adapters it holds of it.
struct held_model {
  std::string name;
  std::int64_t version = 0;
  std::vector<std::string> adapters;
};

// The entry of a backend server in the list of servers.
struct backend_server {
  std::string instance;
  // Start of the server's run by its own clock; a server may start again as the
  // same instance. Not set if not stated.
  std::optional<std::chrono::sys_time<std::chrono::milliseconds>> started_at;
  std::string service;
  base::endpoint address;
  std::string zone;
  // Version of its software, not of the weights that it holds; versions have no
  // order. Empty if not stated.
  std::string software;
  // Number of times that its run has written its entry; 0 if not stated.
  std::int64_t heartbeats = 0;
  std::int64_t slots = 1;
  bool draining = false;
  // How long it stays cold after it has written this; 0 if it is warm.
  std::chrono::milliseconds cold_for{0};
  std::vector<held_model> models;
  // Models whose weights are kept on the server though it does not hold them.
  std::vector<std::string> in_memory;
  std::vector<std::string> on_disk;
};

// What an engine answers when it is asked for its state; some hundred
// milliseconds old.
struct engine_state {
  // Orders that this instance has accepted.
  std::int64_t orders_accepted = 0;
  // An order is being carried out.
  bool busy = false;
  std::int64_t running = 0;
  std::int64_t waiting = 0;
  // Tokens of memory that cannot be given up, and all there are.
  std::int64_t tokens_used = 0;
  std::int64_t tokens_total = 0;
  std::vector<held_model> models;
  std::vector<std::string> in_memory;
  std::vector<std::string> on_disk;
};

}  // namespace valeledge::catalog

#endif  // VALELEDGE_CATALOG_BACKEND_SERVER_H_
