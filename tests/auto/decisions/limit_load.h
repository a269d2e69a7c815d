// SPDX-License-Identifier: MIT
// Plays the requests of one workspace to the owner of its limit in virtual
// time, with the queue of the limit or without it.
#ifndef VALELEDGE_TESTS_AUTO_DECISIONS_LIMIT_LOAD_H_
#define VALELEDGE_TESTS_AUTO_DECISIONS_LIMIT_LOAD_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <queue>
#include <random>
#include <vector>

#include "decisions/limit_queue.h"

namespace valeledge::test {

// Requests of one route.
struct limit_load_route {
  std::int64_t priority = 0;
  std::chrono::milliseconds objective{0};
  std::chrono::milliseconds deadline{0};
  double cost = 0;
  double tokens_per_second = 0;
};

// What the callers of one route got.
struct limit_load_result {
  std::int64_t asked = 0;
  std::int64_t granted = 0;
  std::int64_t refused_at_once = 0;
  // Refused after they had waited, and for how long they had.
  std::int64_t refused_later = 0;
  std::chrono::duration<double> waited_in_vain{0};
  // Granted after the time that a request may wait.
  std::int64_t granted_late = 0;

  double GrantedShare() const {
    return static_cast<double>(granted) /
           static_cast<double>(std::max<std::int64_t>(asked, 1));
  }
};

struct limit_load {
  std::vector<limit_load_route> routes;
  double rate_before = 548'813;
  double rate_after = 152'449;
  double burst = 90'000;
  std::chrono::seconds lowered_at{20};
  std::chrono::seconds length{60};
  bool has_queue = true;
  std::uint64_t seed = 30501;
};

struct limit_load_outcome {
  // By route, for requests that arrived after the limit was lowered.
  std::vector<limit_load_result> routes;
  // Tokens granted after the limit was lowered, as a fraction of the limit.
  double used = 0;
  // Maximum tokens in any 8 s, as a fraction of what operators allow.
  double worst_window = 0;
  // Longest queue.
  std::size_t longest_queue = 0;
};

namespace detail {

class limit_load_player {
 public:
  explicit limit_load_player(const limit_load& load)
      : load_(load), random_(load.seed) {
    out_.routes.resize(load.routes.size());
    limit_.unit = catalog::limit_unit::kTokens;
    limit_.rate = load.rate_before;
    limit_.burst = load.burst;
    limiter_ = decisions::MakeLimiter(limit_, true, At({}));
  }

  limit_load_outcome Play() {
    for (std::chrono::milliseconds now{0}; now < load_.length;
         now += std::chrono::milliseconds(1)) {
      now_ = now;
      if (now >= load_.lowered_at)
        limit_.rate = load_.rate_after;
      for (std::size_t route = 0; route < load_.routes.size(); ++route) {
        const auto& from = load_.routes[route];
        std::poisson_distribution<int> arrivals(from.tokens_per_second /
                                                from.cost / 1000);
        for (int left = arrivals(random_); left > 0; --left)
          Ask({route, now, now, false});
      }
      while (!retries_.empty() && retries_.begin()->first <= now) {
        Ask(retries_.begin()->second);
        retries_.erase(retries_.begin());
      }
      Serve();
    }
    const std::chrono::duration<double> lowered =
        load_.length - load_.lowered_at;
    out_.used = granted_after_ / (load_.rate_after * lowered.count());
    return out_;
  }

 private:
  struct request {
    std::size_t route = 0;
    std::chrono::milliseconds arrived{0};
    std::chrono::milliseconds asked{0};
    bool is_retry = false;
  };

  static base::time_point At(std::chrono::milliseconds time) {
    return base::time_point() + std::chrono::hours(1) + time;
  }

  limit_load_result& ResultOf(const request& from) {
    static limit_load_result ignored;
    const bool counts =
        from.arrived >= load_.lowered_at + std::chrono::seconds(2);
    return counts ? out_.routes[from.route] : ignored;
  }

  void Ask(request from) {
    from.asked = now_;
    const limit_load_route& route = load_.routes[from.route];
    if (!from.is_retry)
      ++ResultOf(from).asked;
    const decisions::limit_request wanted{"h", route.cost, 0};
    if (!load_.has_queue) {
      Decide(from, decisions::TryAcquire(limiter_, limit_, kMembers, wanted,
                                         At(now_)));
      return;
    }
    const auto left =
        std::min(route.objective, route.deadline) - (now_ - from.arrived);
    const auto number = decisions::Enqueue(
        queue_, limiter_, limit_, kMembers, wanted,
        {route.priority, decisions::MaxTokenWait(left)}, At(now_));
    if (number)
      waiting_[*number] = from;
    else
      Decide(from, number.error());
    Serve();
    out_.longest_queue = std::max(out_.longest_queue, queue_.waiting.size());
  }

  void Serve() {
    if (!load_.has_queue)
      return;
    for (const auto& [number, decision] :
         decisions::ServeQueue(queue_, limiter_, limit_, kMembers, At(now_))) {
      const auto from = waiting_.extract(number).mapped();
      Decide(from, decision);
    }
  }

  void Decide(const request& from, const decisions::limit_decision& decision) {
    const limit_load_route& route = load_.routes[from.route];
    limit_load_result& result = ResultOf(from);
    const auto waited = now_ - from.asked;
    if (decision.verdict == decisions::limit_verdict::kGranted) {
      ++result.granted;
      result.granted_late += now_ - from.arrived > route.objective ? 1 : 0;
      NoteGranted(route.cost);
      return;
    }
    if (waited.count() > 0) {
      ++result.refused_later;
      result.waited_in_vain += waited;
    } else {
      ++result.refused_at_once;
    }
    // Callers honour delays of up to a third of their remaining time.
    const auto left = from.arrived + route.deadline - now_;
    if (!from.is_retry && decision.retry_after <= left / 3)
      retries_.emplace(now_ + decision.retry_after,
                       request{from.route, from.arrived, now_, true});
  }

  void NoteGranted(double cost) {
    if (now_ >= load_.lowered_at)
      granted_after_ += cost;
    granted_.emplace_back(now_, cost);
    in_window_ += cost;
    while (granted_.front().first < now_ - std::chrono::seconds(8)) {
      in_window_ -= granted_.front().second;
      granted_.pop_front();
    }
    const double rate = now_ >= load_.lowered_at + std::chrono::seconds(8)
                            ? load_.rate_after
                            : load_.rate_before;
    const double allowed = rate * 8 * 1.1 + 110'000;
    out_.worst_window = std::max(out_.worst_window, in_window_ / allowed);
  }

  static constexpr decisions::limit_members kMembers{1, 1, true, true};

  const limit_load& load_;
  std::mt19937_64 random_;
  catalog::workspace_limit limit_;
  decisions::limiter_state limiter_;
  decisions::limit_queue queue_;
  std::map<std::int64_t, request> waiting_;
  std::multimap<std::chrono::milliseconds, request> retries_;
  std::chrono::milliseconds now_{0};
  limit_load_outcome out_;
  double granted_after_ = 0;
  std::deque<std::pair<std::chrono::milliseconds, double>> granted_;
  double in_window_ = 0;
};

}  // namespace detail

inline limit_load_outcome PlayLimitLoad(const limit_load& load) {
  return detail::limit_load_player(load).Play();
}

}  // namespace valeledge::test

#endif  // VALELEDGE_TESTS_AUTO_DECISIONS_LIMIT_LOAD_H_
