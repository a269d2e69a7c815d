// SPDX-License-Identifier: MIT
// Whether a request goes to an engine now, waits for its turn there, or is
// refused because it would come too late. Answers bursts and rises of demand
// for a model beyond what its replicas can read.
#ifndef VALELEDGE_DECISIONS_ENGINE_ADMISSION_H_
#define VALELEDGE_DECISIONS_ENGINE_ADMISSION_H_

#include <chrono>

namespace valeledge::decisions {

// The best engine for a request, as the request sees it.
struct engine_candidate {
  // Since the request arrived, and when its answer should have begun.
  std::chrono::milliseconds waited{0};
  std::chrono::milliseconds objective{0};
  // From now until its answer would begin.
  std::chrono::duration<double, std::milli> response_in{0};
  // How long the engine reads prompts that came before.
  std::chrono::duration<double, std::milli> prompt_backlog{0};
  // The longest pause that streams of such requests accept.
  std::chrono::milliseconds max_event_gap{0};
  // A request that waits is looked at again after so long.
  std::chrono::milliseconds recheck_interval{0};
  // It may be refused: it has not run, and was not refused before.
  bool refusable = true;
};

enum class admission_decision { kSend, kWait, kRefuse };

admission_decision DecideAdmission(const engine_candidate& engine);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_ENGINE_ADMISSION_H_
