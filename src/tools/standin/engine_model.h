// SPDX-License-Identifier: MIT
// How long a stand-in engine takes and what it answers.
#ifndef VALELEDGE_TOOLS_STANDIN_ENGINE_MODEL_H_
#define VALELEDGE_TOOLS_STANDIN_ENGINE_MODEL_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace valeledge::standin {

// Continuous batching in its simplest form: a request's prefill takes time in
// proportion to the prompt beyond its cached prefix; each token takes a step,
// and steps grow with the number of requests in the batch.
struct engine_pace {
  std::chrono::microseconds token_step = std::chrono::milliseconds(20);
  // Added to a step for each other request, as a part of the step.
  double step_growth = 0.02;
  std::chrono::microseconds prefill_per_token = std::chrono::microseconds(100);
  std::int64_t slots = 8;
  std::int64_t cached_prefixes = 64;
};

// Time of one step when `active` requests share the batch.
std::chrono::microseconds StepTime(const engine_pace& pace,
                                   std::int64_t active);

// The prefixes that the engine holds, least recently used out first.
class prefix_cache {
 public:
  explicit prefix_cache(std::int64_t capacity) : capacity_(capacity) {}

  // Whether the prefix was there; it is afterwards.
  bool Use(std::string_view prefix);

 private:
  std::int64_t capacity_;
  std::deque<std::uint64_t> used_;
};

// Token `index` of the answer to a prompt: the same for every engine, so that
// a resumed answer can be compared byte for byte.
std::string TokenText(std::string_view prompt, std::int64_t index);

}  // namespace valeledge::standin

#endif  // VALELEDGE_TOOLS_STANDIN_ENGINE_MODEL_H_
