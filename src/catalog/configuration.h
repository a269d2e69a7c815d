// SPDX-License-Identifier: MIT
// What operators have put in force: routes, services, models and the limits
// on what callers may send.
#ifndef VALELEDGE_CATALOG_CONFIGURATION_H_
#define VALELEDGE_CATALOG_CONFIGURATION_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "catalog/key_index.h"
#include "catalog/workspace.h"

namespace valeledge::catalog {

// What a request of a route allows.
enum class route_kind {
  // May run any number of times.
  kIdempotent,
  // Runs at most once.
  kOnce,
  // Answered by a series of events; runs at most once unless the route is
  // resumable.
  kStream,
};

// One of the services among which a route divides its requests.
struct weighted_service {
  std::string service;
  double weight = 1;
};

// Requests of one host name and path prefix.
struct route {
  std::string name;
  // The Host field of the requests.
  std::string authority;
  std::string path_prefix;
  route_kind kind = route_kind::kOnce;
  // Longest time a caller is kept waiting for the whole answer.
  std::chrono::milliseconds timeout{0};
  // Answered within this time (streams: first event), a request is on time.
  std::chrono::milliseconds objective{0};
  // Longest pause between events that is on time; 0 if not a stream.
  std::chrono::milliseconds event_gap{0};
  // 0 is the most urgent.
  std::int64_t priority = 0;
  // Backend servers that one request may run on.
  std::int64_t attempts = 1;
  // A broken stream may go on at another backend server.
  bool resumable = false;
  // Callers need no key.
  bool is_public = false;
  // Regions in which its requests may be served; empty: in any.
  std::vector<std::string> homes;
  std::vector<weighted_service> services;

  // Whether a request may run again after it may have run.
  bool MayRepeat() const {
    return kind == route_kind::kIdempotent ||
           (kind == route_kind::kStream && resumable);
  }
};

// A model that the engines of a service can hold.
struct model {
  std::string name;
  std::int64_t weights_mb = 0;
  // Adapters are named a1, a2 and so on.
  std::int64_t adapters = 0;
  std::int64_t adapter_mb = 0;
  // How long a load takes from the weight store, from the server's disk and
  // from its memory.
  std::chrono::milliseconds load_from_store{0};
  std::chrono::milliseconds load_from_disk{0};
  std::chrono::milliseconds load_from_memory{0};
};

// What every engine of one service is like.
struct engine {
  // Requests that one engine runs together.
  std::int64_t slots = 1;
  // Tokens of running requests and kept prompts that fit.
  std::int64_t token_memory = 0;
  // Memory for weights and adapters together.
  std::int64_t weights_mb = 0;
  std::int64_t adapter_slots = 0;
  // Loads from the weight store that may start in a second, over all engines.
  double loads_per_second = 0;
  std::vector<model> models;

  const model* Find(std::string_view name) const;
};

struct service {
  std::string name;
  // Connections that one backend server accepts from all hosts together.
  std::int64_t connections = 0;
  // How long a backend server is cold after its start, and the requests a
  // second that it tolerates meanwhile from all hosts together; 0 if there is
  // no such bound.
  std::chrono::milliseconds cold_time{0};
  double cold_rate = 0;
  // The objectives of its streaming routes differ by more than
  // kMixedUrgencyRatio, so that patient requests can wait for urgent ones. Set
  // by SetMixedUrgency.
  bool mixed_urgency = false;
  // No models: a plain service.
  engine engines;

  bool HasModels() const { return !engines.models.empty(); }
};

// What callers may send, and how long they may take.
struct caller_limits {
  std::int64_t header_bytes = 16 * 1024;
  std::int64_t body_bytes = 1024 * 1024;
  std::chrono::milliseconds header_timeout{5000};
  std::chrono::milliseconds idle_timeout{15000};
};

// Ratio of the longest to the shortest objective above which a service counts
// as one of mixed urgency: patient requests can then wait for several urgent
// ones to complete and still be on time.
inline constexpr int kMixedUrgencyRatio = 10;

// One version of the whole. Versions only rise.
struct configuration {
  std::int64_t version = 0;
  std::vector<route> routes;
  std::vector<service> services;
  caller_limits limits;
  // Whether callers need a key of a workspace, but for public routes.
  bool needs_keys = false;
  std::vector<workspace> workspaces;
  // Made of the workspaces.
  key_index keys;

  // The workspace that a key belongs to; null if none has it.
  const workspace* FindWorkspace(std::string_view key) const;
  // The route of the authority with the longest prefix that begins `path`;
  // null if there is none.
  const route* FindRoute(std::string_view authority,
                         std::string_view path) const;
  const service* FindService(std::string_view name) const;
};

// Sets `mixed_urgency` of all services from the objectives of the routes.
// Routes that are not streams, or that have no objective, do not count.
void SetMixedUrgency(configuration& configuration);

}  // namespace valeledge::catalog

#endif  // VALELEDGE_CATALOG_CONFIGURATION_H_
