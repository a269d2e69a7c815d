// SPDX-License-Identifier: MIT
#ifndef VALELEDGE_TESTS_AUTO_HOST_REGISTRY_FIXTURE_H_
#define VALELEDGE_TESTS_AUTO_HOST_REGISTRY_FIXTURE_H_

#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "host/process/server_registry.h"

namespace valeledge::test {

using namespace std::chrono_literals;

// Two engines of one service that hold model m, and a request for it.
struct registry_fixture {
  registry_fixture() {
    service.name = "s";
    service.engines.token_memory = 100'000;
    for (const std::string instance : {"i-1", "i-2"}) {
      catalog::backend_server entry;
      entry.instance = instance;
      entry.service = "s";
      entry.zone = "z";
      entry.slots = 8;
      entry.models.push_back({"m", 1, {"a1"}});
      registry.Put(entry, now);
    }
    head.model = "m";
    query.service = "s";
    query.model = head.model;
    query.head = &head;
    query.avoid = &avoid;
    query.weight.prompt_tokens = 1000;
    query.weight.time_per_token =
        std::chrono::duration<double, std::milli>(0.05);
  }

  std::string Choose() {
    const auto choice = registry.Choose(query, service, now, random);
    return choice ? choice->server->entry.instance : std::string("none");
  }

  host::server_registry registry{"z"};
  catalog::service service;
  host::request_metadata head;
  host::server_query query;
  std::vector<std::string> avoid;
  base::time_point now = std::chrono::steady_clock::now();
  std::mt19937_64 random{3};
};

inline wire::server_load Load(const std::string& instance,
                              std::int32_t unread) {
  wire::server_load load;
  load.server = host::KeyOf(instance);
  load.running = 1;
  load.unread_tokens = unread;
  return load;
}

}  // namespace valeledge::test

#endif  // VALELEDGE_TESTS_AUTO_HOST_REGISTRY_FIXTURE_H_
