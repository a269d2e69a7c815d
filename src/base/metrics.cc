// SPDX-License-Identifier: MIT
#include "base/metrics.h"

#include <array>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace valeledge::base {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 4> kQuantiles = {0.5, 0.9, 0.95, 0.99};

using accumulator =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count,
                                    acc::tag::sum,
                                    acc::tag::extended_p_square_quantile>>;

void RenderFamily(std::string& out,
                  std::string_view name,
                  std::string_view type,
                  const auto& series) {
  out.append("# TYPE ").append(name).append(" ").append(type).append("\n");
  for (const auto& [label, value] : series) {
    out.append(name);
    if (!label.empty())
      out.append("{reason=\"").append(label).append("\"}");
    out.append(" ").append(std::to_string(value->value.load())).append("\n");
  }
}

void RenderDistribution(std::string& out,
                        std::string_view name,
                        const distribution& values) {
  out.append("# TYPE ").append(name).append(" summary\n");
  for (const double share : kQuantiles) {
    const std::chrono::duration<double> seconds = values.Quantile(share);
    out.append(name).append("{quantile=\"");
    out.append(std::to_string(share).substr(0, 4)).append("\"} ");
    out.append(std::to_string(seconds.count())).append("\n");
  }
  const std::chrono::duration<double> sum = values.Sum();
  out.append(name).append("_sum ").append(std::to_string(sum.count()));
  out.append("\n").append(name).append("_count ");
  out.append(std::to_string(values.Count())).append("\n");
}

}  // namespace

struct distribution::state {
  accumulator values{acc::extended_p_square_probabilities = kQuantiles};
};

distribution::distribution() : state_(std::make_unique<state>()) {}

distribution::~distribution() = default;

void distribution::Record(std::chrono::nanoseconds value) {
  const std::lock_guard lock(mutex_);
  state_->values(static_cast<double>(value.count()));
}

std::chrono::nanoseconds distribution::Quantile(double share) const {
  const std::lock_guard lock(mutex_);
  if (acc::count(state_->values) == 0)
    return std::chrono::nanoseconds(0);
  const double value =
      acc::quantile(state_->values, acc::quantile_probability = share);
  return std::chrono::nanoseconds(static_cast<std::int64_t>(value));
}

std::int64_t distribution::Count() const {
  const std::lock_guard lock(mutex_);
  return static_cast<std::int64_t>(acc::count(state_->values));
}

std::chrono::nanoseconds distribution::Sum() const {
  const std::lock_guard lock(mutex_);
  return std::chrono::nanoseconds(
      static_cast<std::int64_t>(acc::sum(state_->values)));
}

counter& metrics::Find(std::map<std::string, series, std::less<>>& families,
                       std::string_view name,
                       std::string_view label) {
  const std::lock_guard lock(mutex_);
  auto family = families.find(name);
  if (family == families.end())
    family = families.emplace(std::string(name), series()).first;
  auto found = family->second.find(label);
  if (found == family->second.end()) {
    found =
        family->second.emplace(std::string(label), std::make_unique<counter>())
            .first;
  }
  return *found->second;
}

counter& metrics::Counter(std::string_view name, std::string_view label) {
  return Find(counters_, name, label);
}

counter& metrics::Gauge(std::string_view name, std::string_view label) {
  return Find(gauges_, name, label);
}

distribution& metrics::Distribution(std::string_view name) {
  const std::lock_guard lock(mutex_);
  auto found = distributions_.find(name);
  if (found == distributions_.end()) {
    found = distributions_
                .emplace(std::string(name), std::make_unique<distribution>())
                .first;
  }
  return *found->second;
}

void metrics::CountRefusal(result_code code) {
  Counter("valeledge_refusals_total", Describe(code).name).Add();
}

void metrics::CountRetry(result_code code) {
  Counter("valeledge_retries_total", Describe(code).name).Add();
}

std::string metrics::Render() const {
  const std::lock_guard lock(mutex_);
  std::string out;
  for (const auto& [name, series] : counters_)
    RenderFamily(out, name, "counter", series);
  for (const auto& [name, series] : gauges_)
    RenderFamily(out, name, "gauge", series);
  for (const auto& [name, values] : distributions_)
    RenderDistribution(out, name, *values);
  return out;
}

}  // namespace valeledge::base
