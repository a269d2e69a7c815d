// SPDX-License-Identifier: MIT
// Compares retry-after rules in simulated time: a cell that serves ten requests
// per second receives 300 at once, and refused callers retry after the delay
// they were given. Prints for each rule and seed how often callers were
// refused, the maximum number that arrived in one second after the first, and
// the time until all were served. Not a test; docs/design/COME-BACK.md uses the
// results.
#include <algorithm>
#include <cstdio>
#include <deque>
#include <functional>
#include <queue>
#include <random>

#include "decisions/retry_schedule.h"

namespace {

using namespace valeledge;
using namespace std::chrono_literals;

constexpr int kCallers = 300;
constexpr int kPerSecond = 10;
constexpr std::size_t kQueueLimit = 20;

using wait_rule =
    std::function<std::chrono::milliseconds(base::time_point now,
                                            std::int64_t backlog,
                                            std::mt19937_64& random)>;

struct result {
  int refusals = 0;
  int max_per_second = 0;
  double seconds_until_served = 0;
  // Seconds in which the server was idle before all were served.
  double idle = 0;
};

result Run(const wait_rule& rule, unsigned seed) {
  std::mt19937_64 random(seed);
  const base::time_point start(1000s);
  std::priority_queue<base::time_point, std::vector<base::time_point>,
                      std::greater<>>
      arrivals;
  for (int i = 0; i < kCallers; ++i)
    arrivals.push(start);
  std::deque<int> waiting;
  result out;
  int served = 0;
  int in_second = 0;
  base::time_point now = start;
  const auto step = 1000ms / kPerSecond;
  for (int tick = 0; served < kCallers; ++tick, now += step) {
    if (tick % kPerSecond == 0)
      in_second = 0;
    while (!arrivals.empty() && arrivals.top() <= now) {
      arrivals.pop();
      if (now - start >= 1s)
        out.max_per_second = std::max(out.max_per_second, ++in_second);
      if (waiting.size() < kQueueLimit) {
        waiting.push_back(0);
        continue;
      }
      ++out.refusals;
      arrivals.push(
          now + rule(now, static_cast<std::int64_t>(waiting.size()), random));
    }
    if (waiting.empty()) {
      out.idle += 1.0 / kPerSecond;
      continue;
    }
    waiting.pop_front();
    ++served;
  }
  out.seconds_until_served = std::chrono::duration<double>(now - start).count();
  return out;
}

void Print(const char* name, const std::function<wait_rule()>& make) {
  for (unsigned seed = 1; seed <= 3; ++seed) {
    const result run_result = Run(make(), seed);
    std::printf("%s,%u,%d,%d,%.1f,%.1f\n", name, seed, run_result.refusals,
                run_result.max_per_second, run_result.seconds_until_served,
                run_result.idle);
  }
}

}  // namespace

int main() {
  std::puts("way,seed,refusals,most_in_a_second,seconds_until_served,idle");
  Print("constant 2 s", [] {
    return [](base::time_point, std::int64_t, std::mt19937_64&) {
      return std::chrono::milliseconds(2000);
    };
  });
  Print("random up to 4 s", [] {
    return [](base::time_point, std::int64_t, std::mt19937_64& random) {
      return std::chrono::milliseconds(
          std::uniform_int_distribution<std::int64_t>(1, 4000)(random));
    };
  });
  Print("random up to 30 s", [] {
    return [](base::time_point, std::int64_t, std::mt19937_64& random) {
      return std::chrono::milliseconds(
          std::uniform_int_distribution<std::int64_t>(1, 30000)(random));
    };
  });
  Print("reserved slot", [] {
    return [schedule = decisions::retry_schedule()](base::time_point now,
                                                    std::int64_t backlog,
                                                    std::mt19937_64&) mutable {
      return decisions::ReserveRetrySlot(schedule, now, kPerSecond, backlog);
    };
  });
  return 0;
}
