// SPDX-License-Identifier: MIT
#include "host/process/demand_forecast.h"

#include <algorithm>
#include <cmath>

#include "decisions/replica_wait.h"
#include "host/constants.h"

namespace valeledge::host {

namespace {

// Window of the long-term rates: models that are requested every few seconds
// are not idle in between.
constexpr std::chrono::duration<double> kSteadyWindow{8};

// Time from the first request for a model to its first response, without the
// load: transfer of the request, the order and the update at its end, and
// unloading another model to make room.
constexpr std::chrono::milliseconds kSwapOverhead{1500};

// Hosts report four times a second. The waiting requests of a host that has
// missed several reports may have ended.
constexpr std::chrono::milliseconds kMaxWaitingAge{1000};

// Engine time in milliseconds per second that the prefill of `tokens` tokens
// per second takes, at the prefill time reported for `model`.
double PrefillWork(double tokens, const wire::model_load& model) {
  // Microseconds for a thousand tokens.
  const double reading = model.reading_us != 0
                             ? model.reading_us
                             : kInitialTokenCost.count() * 1e6;
  return tokens * reading / 1e6;
}

}  // namespace

void demand_forecast::Update(const std::string& host,
                             const std::vector<wire::model_load>& models) {
  demand_[host] = {models, std::chrono::steady_clock::now()};
}

void demand_forecast::Forget(const std::string& host) {
  demand_.erase(host);
}

demand_forecast::demand_table demand_forecast::SumDemand() const {
  demand_table sums;
  // Mean prefill time of all hosts, weighted by their token rates.
  std::map<unit_key, double> weighted;
  const auto add = [&](const std::vector<wire::model_load>& loads) {
    for (const wire::model_load& each : loads) {
      wire::model_load& sum = sums[each.model];
      sum.arrival_rate += each.arrival_rate;
      sum.token_rate += each.token_rate;
      sum.running += each.running;
      const bool first = sum.objective_ms == 0;
      sum.objective_ms = first ? each.objective_ms
                               : std::min(sum.objective_ms, each.objective_ms);
      weighted[each.model] +=
          static_cast<double>(each.reading_us) * each.token_rate;
    }
  };
  add(own_.Loads());
  for (const auto& [host, reported] : demand_)
    add(reported.models);
  for (auto& [model, sum] : sums) {
    if (sum.token_rate > 0)
      sum.reading_us =
          static_cast<std::int32_t>(weighted[model] / sum.token_rate);
  }
  return sums;
}

void demand_forecast::AccumulateDemand(const demand_table& sums) {
  const auto now = std::chrono::steady_clock::now();
  const std::chrono::duration<double> passed = now - steady_at_;
  steady_at_ = now;
  const double weight = 1 - std::exp(-passed / kSteadyWindow);
  for (auto& [model, rate] : steady_rates_)
    rate -= weight * rate;
  for (const auto& [model, sum] : sums) {
    steady_rates_[model] += weight * sum.arrival_rate / 1000.0;
    const std::chrono::milliseconds objective(sum.objective_ms);
    const auto known = objectives_.try_emplace(model, objective).first;
    known->second = std::min(known->second, objective);
  }
}

std::vector<decisions::waiting_model> demand_forecast::Waiting(
    const catalog::service& service,
    base::time_point now) const {
  using std::chrono::milliseconds;
  std::map<unit_key, decisions::waiting_model> sums;
  const auto add = [&](const std::vector<wire::model_load>& loads,
                       base::time_point received_at) {
    const auto age =
        std::chrono::duration_cast<milliseconds>(now - received_at);
    for (const wire::model_load& each : loads) {
      if (!each.__isset.waiting)
        continue;
      const milliseconds left = std::max(
          milliseconds(each.earliest_deadline_ms) - age, milliseconds(0));
      decisions::waiting_model& sum = sums[each.model];
      const bool first = sum.requests == 0;
      sum.requests += each.waiting;
      sum.time_left = first ? left : std::min(sum.time_left, left);
    }
  };
  add(own_.Loads(now), now);
  for (const auto& [host, reported] : demand_) {
    if (now - reported.received_at <= kMaxWaitingAge)
      add(reported.models, reported.received_at);
  }
  std::vector<decisions::waiting_model> out;
  for (std::size_t i = 0; i < service.engines.models.size() && !sums.empty();
       ++i) {
    const auto found = sums.find(KeyOf(service.engines.models[i].name));
    if (found == sums.end() || found->second.requests == 0)
      continue;
    out.push_back(found->second);
    out.back().model = i;
  }
  return out;
}

bool demand_forecast::ToleratesStoreLoad(const catalog::model& model) const {
  const auto found = objectives_.find(KeyOf(model.name));
  return found != objectives_.end() &&
         decisions::IsPatient(found->second, std::nullopt,
                              model.load_from_store);
}

bool demand_forecast::ToleratesDiskLoad(const catalog::model& model) const {
  const auto found = objectives_.find(KeyOf(model.name));
  return found != objectives_.end() &&
         found->second >= model.load_from_disk + kSwapOverhead;
}

decisions::plan_model demand_forecast::ModelOf(
    const catalog::model& model,
    const wire::model_load& demand) const {
  decisions::plan_model out;
  out.weights_mb = model.weights_mb;
  out.load_from_memory = model.load_from_memory;
  out.load_from_disk = model.load_from_disk;
  out.load_from_store = model.load_from_store;
  out.arrival_rate = demand.arrival_rate / 1000.0;
  out.running = demand.running;
  const auto steady = steady_rates_.find(KeyOf(model.name));
  out.steady_rate = steady == steady_rates_.end() ? 0 : steady->second;
  out.deferrable = ToleratesDiskLoad(model);
  out.work = PrefillWork(demand.token_rate, demand);
  return out;
}

std::vector<decisions::plan_model> demand_forecast::Models(
    const catalog::service& service) {
  std::vector<decisions::plan_model> out;
  demand_table sums = SumDemand();
  AccumulateDemand(sums);
  RecordFirstDemand(sums);
  for (const catalog::model& each : service.engines.models) {
    out.push_back(ModelOf(each, sums[KeyOf(each.name)]));
  }
  return out;
}

void demand_forecast::RecordFirstDemand(const demand_table& sums) {
  has_seen_demand_ |= std::ranges::any_of(
      sums, [](const auto& each) { return each.second.arrival_rate > 0; });
}

}  // namespace valeledge::host
