// SPDX-License-Identifier: MIT
// Which optional features for high load are active.
#ifndef VALELEDGE_HOST_LOAD_FEATURES_H_
#define VALELEDGE_HOST_LOAD_FEATURES_H_

#include <string_view>

#include "base/error.h"
#include "catalog/configuration.h"

namespace valeledge::host {

// kAuto: active for services of mixed urgency.
enum class feature_mode { kAuto, kOn, kOff };

struct load_features {
  feature_mode adaptive_timeouts = feature_mode::kAuto;
  feature_mode shared_estimates = feature_mode::kAuto;
  feature_mode engine_queues = feature_mode::kAuto;
  feature_mode patient_loads = feature_mode::kAuto;
  feature_mode limit_priority = feature_mode::kAuto;
  feature_mode lease_succession = feature_mode::kAuto;
  feature_mode return_reservations = feature_mode::kAuto;
  // Off unless switched on: where engines differ in speed, more long prompts
  // fail with it (docs/design/STREAM-SEPARATION.md).
  feature_mode stream_separation = feature_mode::kOff;
};

// Parses a list such as "adaptive-timeouts=off,engine-queues=on". Features that
// are not named keep kAuto. Returns an error that names an unknown feature or
// mode.
base::result<load_features> ParseLoadFeatures(std::string_view text);

// Whether a feature is active for a service.
bool IsEnabled(feature_mode mode, const catalog::service& service);

// Whether a feature is active that concerns no single service: in kAuto, if it
// is for any service.
bool IsEnabled(feature_mode mode, const catalog::configuration& configuration);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_LOAD_FEATURES_H_
