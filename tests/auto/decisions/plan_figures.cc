// SPDX-License-Identifier: MIT
// Prints the time of one plan with 290 models for several numbers of engines,
// with demand for a twelfth of the models and for all of them. Not a test.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <random>

#include "decisions/model_plan.h"

namespace {

using namespace valeledge::decisions;

constexpr std::size_t kModels = 290;
constexpr int kPlans = 20;
constexpr double kReferenceEngines = 860;

void Measure(std::size_t engine_count,
             const char* what,
             std::size_t models_in_demand) {
  std::mt19937_64 random{11};
  const auto any = [&](std::int64_t from, std::int64_t to) {
    return std::uniform_int_distribution<std::int64_t>(from, to)(random);
  };
  std::vector<plan_model> models(kModels);
  for (std::size_t i = 0; i < kModels; ++i) {
    plan_model& model = models[i];
    model.weights_mb = any(65'000, 73'000);
    model.load_from_memory = std::chrono::milliseconds(600);
    model.load_from_disk = std::chrono::milliseconds(1300);
    model.load_from_store = std::chrono::milliseconds(6000);
    if (i >= models_in_demand)
      continue;
    // The demand per engine is the same for any number of engines.
    model.arrival_rate = static_cast<double>(any(1, 120)) *
                         static_cast<double>(engine_count) / kReferenceEngines;
    model.work = model.arrival_rate * 20;
    model.running = any(0, 300);
  }
  std::vector<plan_engine> engines(engine_count);
  for (plan_engine& engine : engines) {
    engine.zone = std::string(1, static_cast<char>('a' + any(0, 2)));
    engine.accepts_orders = any(0, 3) > 0;
    engine.free_mb = 230'000;
    engine.running = any(0, 48);
    for (int i = 0; i < 6; ++i) {
      const auto model = static_cast<std::size_t>(any(0, kModels - 1));
      const bool has =
          std::ranges::find(engine.on_disk, model) != engine.on_disk.end();
      if (has)
        continue;
      engine.on_disk.push_back(model);
      if (engine.free_mb < models[model].weights_mb)
        continue;
      engine.loaded.push_back(model);
      engine.free_mb -= models[model].weights_mb;
    }
  }
  plan_limits limits;
  limits.slots = 48;
  limits.store_loads = 60;
  std::size_t steps = 0;
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kPlans; ++i)
    steps = PlanModels(models, engines, limits).size();
  const std::chrono::duration<double, std::milli> took =
      std::chrono::steady_clock::now() - start;
  std::printf("%zu engines, %s: %.1f ms a plan, %zu orders\n", engine_count,
              what, took.count() / kPlans, steps);
}

}  // namespace

int main() {
  for (const std::size_t engines : {300, 860, 1000, 2000, 3920, 7840}) {
    Measure(engines, "demand for a twelfth of the models", kModels / 12);
    Measure(engines, "demand for all models", kModels);
  }
  return 0;
}
