// SPDX-License-Identifier: MIT
#include "decisions/engine_choice.h"

namespace valeledge::decisions::detail {

weight_source SourceAt(const plan_engine& engine, std::size_t model) {
  if (Contains(engine.in_memory, model))
    return weight_source::kMemory;
  if (Contains(engine.on_disk, model))
    return weight_source::kDisk;
  return weight_source::kStore;
}

std::chrono::milliseconds LoadTime(const plan_model& model,
                                   weight_source source) {
  switch (source) {
    case weight_source::kMemory:
      return model.load_from_memory;
    case weight_source::kDisk:
      return model.load_from_disk;
    case weight_source::kStore:
      break;
  }
  return model.load_from_store;
}

}  // namespace valeledge::decisions::detail
