// SPDX-License-Identifier: MIT
// Simulates the retry budgets of many hosts: callers send requests, attempts
// fail, and hosts restart or become unavailable.
#ifndef VALELEDGE_TESTS_AUTO_DECISIONS_RETRY_SIMULATION_H_
#define VALELEDGE_TESTS_AUTO_DECISIONS_RETRY_SIMULATION_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <random>
#include <vector>

#include "decisions/shared_retry_budget.h"

namespace valeledge::test {

// One process of a host. Its budget is lost when the host restarts.
struct retry_process {
  decisions::shared_retry_budget budget;
};

// A simulation of `seconds` in steps of 10 ms.
struct retry_scenario {
  int hosts = 7;
  double slack = 54;
  double seconds = 40;
  // Requests per second of all callers together.
  std::function<double(double now)> rate = [](double) { return 104.0; };
  // Whether a host accepts requests; otherwise its callers use other hosts.
  std::function<bool(int host, double now)> is_up = [](int, double) {
    return true;
  };
  // Times at which hosts are killed; they restart immediately.
  std::vector<std::pair<double, int>> kills;
  // Fraction of attempts that fail.
  std::function<double(double now)> failure_ratio = [](double) { return 1.0; };
  std::uint64_t seed = 40001;
};

struct retry_outcome {
  // Maximum retries in 10 s in excess of the allowance for all hosts; negative
  // while below it.
  double worst_excess = -1e9;
  double requests = 0;
  double wanted = 0;
  double granted = 0;
};

namespace detail {

inline constexpr double kStep = 0.01;
inline constexpr std::size_t kWindowSteps = 1000;
inline constexpr double kRatio = 0.2;
// Maximum number of attempts for one request.
inline constexpr int kAttemptLimit = 4;

inline base::time_point At(double seconds) {
  return base::time_point() +
         std::chrono::duration_cast<base::time_point::duration>(
             std::chrono::duration<double>(3600 + seconds));
}

inline const decisions::retry_policy kPolicy{kRatio, std::chrono::seconds(10)};

inline retry_process StartedAt(double seconds) {
  retry_process process;
  process.budget.started = At(seconds);
  return process;
}

// Compares the retries of each 10 s window with the requests of that window, of
// the previous one, or of the one half a window earlier, whichever has the most
// requests.
inline double WorstExcess(const std::vector<double>& requests,
                          const std::vector<double>& retries,
                          double slack) {
  std::vector<double> request_sums(requests.size() + 1);
  std::vector<double> retry_sums(retries.size() + 1);
  for (std::size_t i = 0; i < requests.size(); ++i) {
    request_sums[i + 1] = request_sums[i] + requests[i];
    retry_sums[i + 1] = retry_sums[i] + retries[i];
  }
  const auto in_window = [](const std::vector<double>& sums,
                            std::size_t begin) {
    const std::size_t end = std::min(begin + kWindowSteps, sums.size() - 1);
    return sums[end] - sums[begin];
  };
  double worst = -1e9;
  for (std::size_t begin = 0; begin < requests.size(); ++begin) {
    double max_requests = in_window(request_sums, begin);
    for (const std::size_t before : {kWindowSteps / 2, kWindowSteps}) {
      if (begin >= before)
        max_requests =
            std::max(max_requests, in_window(request_sums, begin - before));
    }
    worst = std::max(
        worst, in_window(retry_sums, begin) - kRatio * max_requests - slack);
  }
  return worst;
}

}  // namespace detail

inline retry_outcome SimulateRetries(const retry_scenario& scenario) {
  std::mt19937_64 random(scenario.seed);
  std::uniform_real_distribution<double> uniform(0, 1);
  std::vector<retry_process> processes(
      static_cast<std::size_t>(scenario.hosts));
  std::vector<double> requests;
  std::vector<double> retries;
  retry_outcome out;
  auto kills = scenario.kills;
  std::ranges::sort(kills);
  std::size_t next_kill = 0;
  for (double now = 0; now < scenario.seconds; now += detail::kStep) {
    while (next_kill < kills.size() && kills[next_kill].first <= now) {
      const auto host = static_cast<std::size_t>(kills[next_kill].second);
      processes[host] = detail::StartedAt(now);
      ++next_kill;
    }
    std::vector<int> up;
    for (int host = 0; host < scenario.hosts; ++host) {
      if (scenario.is_up(host, now))
        up.push_back(host);
    }
    requests.push_back(0);
    retries.push_back(0);
    std::poisson_distribution<int> arrivals(scenario.rate(now) * detail::kStep);
    for (int left = arrivals(random); left > 0; --left) {
      requests.back() += 1;
      if (up.empty())
        continue;
      const int host = up[random() % up.size()];
      auto& process = processes[static_cast<std::size_t>(host)];
      decisions::NoteRequest(process.budget, detail::kPolicy, detail::At(now));
      for (int attempt = 1; attempt < detail::kAttemptLimit; ++attempt) {
        if (uniform(random) >= scenario.failure_ratio(now))
          break;
        out.wanted += 1;
        if (!decisions::TryAcquireRetry(process.budget, detail::kPolicy,
                                        detail::At(now)))
          break;
        retries.back() += 1;
      }
    }
    out.requests += requests.back();
    out.granted += retries.back();
  }
  out.worst_excess = detail::WorstExcess(requests, retries, scenario.slack);
  return out;
}

}  // namespace valeledge::test

#endif  // VALELEDGE_TESTS_AUTO_DECISIONS_RETRY_SIMULATION_H_
