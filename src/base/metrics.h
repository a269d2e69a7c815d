// SPDX-License-Identifier: MIT
// Counters, gauges and distributions of one process, read at /metrics.
#ifndef VALELEDGE_BASE_METRICS_H_
#define VALELEDGE_BASE_METRICS_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include "base/result_code.h"

namespace valeledge::base {

// A count that only grows, or a gauge that is set; safe from any thread.
struct counter {
  std::atomic<std::int64_t> value = 0;

  void Add(std::int64_t amount = 1) {
    value.fetch_add(amount, std::memory_order_relaxed);
  }
  void Set(std::int64_t amount) {
    value.store(amount, std::memory_order_relaxed);
  }
};

// Durations with their percentiles; safe from any thread.
class distribution {
 public:
  distribution();
  ~distribution();

  void Record(std::chrono::nanoseconds value);

  // The value below which `share` of those recorded lie, for the shares
  // 0.5, 0.9, 0.95 and 0.99; zero when nothing was recorded.
  std::chrono::nanoseconds Quantile(double share) const;
  std::int64_t Count() const;
  std::chrono::nanoseconds Sum() const;

 private:
  struct state;
  mutable std::mutex mutex_;
  std::unique_ptr<state> state_;
};

// All metrics of a process. References stay valid as long as the registry.
class metrics {
 public:
  // The counter `name` with the label reason="`label`" (none if empty).
  counter& Counter(std::string_view name, std::string_view label = {});
  counter& Gauge(std::string_view name, std::string_view label = {});
  distribution& Distribution(std::string_view name);

  // Counts one refusal or retry for its numbered reason.
  void CountRefusal(result_code code);
  void CountRetry(result_code code);

  // Everything in the Prometheus text format.
  std::string Render() const;

 private:
  using series = std::map<std::string, std::unique_ptr<counter>, std::less<>>;

  counter& Find(std::map<std::string, series, std::less<>>& families,
                std::string_view name,
                std::string_view label);

  mutable std::mutex mutex_;
  std::map<std::string, series, std::less<>> counters_;
  std::map<std::string, series, std::less<>> gauges_;
  std::map<std::string, std::unique_ptr<distribution>, std::less<>>
      distributions_;
};

}  // namespace valeledge::base

#endif  // VALELEDGE_BASE_METRICS_H_
