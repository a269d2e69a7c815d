// SPDX-License-Identifier: MIT
// What a load run sends and when, read from a TOML file.
#ifndef VALELEDGE_TOOLS_LOAD_DEMAND_H_
#define VALELEDGE_TOOLS_LOAD_DEMAND_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/error.h"

namespace valeledge::load {

// How a demand's rate changes over the run.
enum class demand_shape {
  kSteady,
  // `factor` times the rate from `start` for `length`.
  kBurst,
  // `factor` times the rate from `start` on.
  kStep,
  // `factor` requests at once at `start`, and again after each `length`.
  kLesson,
};

// One kind of request.
struct demand {
  std::string name;
  std::string partner;
  // A model's name, in which "{}" stands for a number below `models`.
  std::string model;
  std::int64_t models = 1;
  // How unevenly the models are asked for: 0 evenly, 1 as 1, 1/2, 1/3 ...
  double skew = 0;
  // A service's name instead of a model's; calls carry a key of their own.
  std::string service;
  // Requests a second.
  double rate = 1;
  demand_shape shape = demand_shape::kSteady;
  double factor = 10;
  std::chrono::microseconds start{0};
  std::chrono::microseconds length{0};
  std::int64_t tokens = 32;
  std::int64_t prompt_chars = 400;
  // Different prefixes among the prompts, 0 for none in common.
  std::int64_t prefixes = 0;
  std::int64_t priority = 5;
};

// A whole run.
struct load_plan {
  std::chrono::microseconds duration = std::chrono::seconds(10);
  std::uint64_t seed = 1;
  std::vector<base::endpoint> gateways;
  // Admin addresses of controllers, whose moves are counted.
  std::vector<base::endpoint> controllers;
  std::int64_t accelerators = 1;
  // Targets that a request meets or misses.
  std::chrono::microseconds first_token = std::chrono::milliseconds(640);
  std::chrono::microseconds between_tokens = std::chrono::milliseconds(51);
  std::chrono::microseconds deadline = std::chrono::seconds(30);
  std::vector<demand> demands;
};

// One request to send.
struct arrival {
  std::chrono::microseconds at{0};
  std::size_t demand = 0;
  std::string model;
  std::string prompt;
  std::string key;
};

// Reads a plan; the error names the key that is wrong.
base::result<load_plan> ReadPlan(const std::string& file);

// Every request of the run in the order of time; the same for the same seed.
std::vector<arrival> PlanArrivals(const load_plan& plan);

}  // namespace valeledge::load

#endif  // VALELEDGE_TOOLS_LOAD_DEMAND_H_
