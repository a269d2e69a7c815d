// SPDX-License-Identifier: MIT
// Engines whose speeds hosts estimate.
#ifndef VALELEDGE_TESTS_AUTO_HOST_ESTIMATE_ENGINES_H_
#define VALELEDGE_TESTS_AUTO_HOST_ESTIMATE_ENGINES_H_

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

#include "catalog/backend_server.h"
#include "catalog/configuration.h"

namespace valeledge::test {

using milliseconds = std::chrono::duration<double, std::milli>;

inline constexpr milliseconds kExpected{200};

// Engines of the second deployment, of which one in four is slow.
inline constexpr std::size_t kEngines = 140;
inline constexpr std::size_t kSlowEngines = 35;

// Their speeds, as factors of the time.
inline constexpr double kSlow = 1 / 0.55;
inline constexpr double kFast = 1 / 1.2;
inline constexpr double kNoise = 2.5;
inline constexpr double kNoiseShare = 0.15;

inline std::string InstanceName(int engine) {
  return "instance-" + std::to_string(engine);
}

inline catalog::backend_server EntryOf(int engine) {
  catalog::backend_server entry;
  entry.instance = InstanceName(engine);
  entry.service = "s";
  entry.slots = 32;
  entry.models.push_back({"m", 1, {}});
  return entry;
}

inline std::shared_ptr<const catalog::configuration> MakeConfiguration(
    bool mixed_urgency) {
  catalog::configuration out;
  catalog::service service;
  service.name = "s";
  service.mixed_urgency = mixed_urgency;
  catalog::model model;
  model.name = "m";
  service.engines.models.push_back(model);
  out.services.push_back(service);
  return std::make_shared<const catalog::configuration>(out);
}

}  // namespace valeledge::test

#endif  // VALELEDGE_TESTS_AUTO_HOST_ESTIMATE_ENGINES_H_
