// SPDX-License-Identifier: MIT
#include "host/load_features.h"

#include <algorithm>
#include <array>
#include <optional>
#include <string>
#include <utility>

namespace valeledge::host {

namespace {

using mode_member = feature_mode load_features::*;

constexpr std::array kFeatures{
    std::pair<std::string_view, mode_member>{"adaptive-timeouts",
                                             &load_features::adaptive_timeouts},
    std::pair<std::string_view, mode_member>{"shared-estimates",
                                             &load_features::shared_estimates},
    std::pair<std::string_view, mode_member>{"engine-queues",
                                             &load_features::engine_queues},
    std::pair<std::string_view, mode_member>{"patient-loads",
                                             &load_features::patient_loads},
    std::pair<std::string_view, mode_member>{"limit-priority",
                                             &load_features::limit_priority},
    std::pair<std::string_view, mode_member>{"lease-succession",
                                             &load_features::lease_succession},
    std::pair<std::string_view, mode_member>{
        "return-reservations", &load_features::return_reservations},
    std::pair<std::string_view, mode_member>{"stream-separation",
                                             &load_features::stream_separation},
};

std::optional<feature_mode> ParseMode(std::string_view text) {
  if (text == "auto")
    return feature_mode::kAuto;
  if (text == "on")
    return feature_mode::kOn;
  if (text == "off")
    return feature_mode::kOff;
  return std::nullopt;
}

std::string UsageOf(std::string_view wrong) {
  std::string usage =
      "\"" + std::string(wrong) + "\" is not NAME=on|off|auto; names:";
  for (const auto& [name, member] : kFeatures)
    usage.append(" ").append(name);
  return usage;
}

}  // namespace

base::result<load_features> ParseLoadFeatures(std::string_view text) {
  load_features features;
  while (!text.empty()) {
    const std::string_view item = text.substr(0, text.find(','));
    text.remove_prefix(std::min(item.size() + 1, text.size()));
    const std::size_t equals = std::min(item.find('='), item.size());
    const std::string_view name = item.substr(0, equals);
    const auto found = std::ranges::find(
        kFeatures, name, &std::pair<std::string_view, mode_member>::first);
    const auto mode = ParseMode(item.substr(std::min(equals + 1, item.size())));
    if (found == kFeatures.end() || !mode)
      return base::NotRun(base::result_code::kTableInvalid, UsageOf(item));
    features.*found->second = *mode;
  }
  return features;
}

bool IsEnabled(feature_mode mode, const catalog::service& service) {
  return mode == feature_mode::kOn ||
         (mode == feature_mode::kAuto && service.mixed_urgency);
}

bool IsEnabled(feature_mode mode, const catalog::configuration& configuration) {
  return std::ranges::any_of(
      configuration.services,
      [mode](const catalog::service& each) { return IsEnabled(mode, each); });
}

}  // namespace valeledge::host
