// SPDX-License-Identifier: MIT
// A thread with one duty, fed through a bounded ring.
#ifndef VALELEDGE_BASE_DUTY_H_
#define VALELEDGE_BASE_DUTY_H_

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/lockfree/queue.hpp>

namespace valeledge::base {

// Work that one duty hands to another.
using task = std::function<void()>;

// Slots of a duty's ring unless its owner says otherwise.
inline constexpr std::size_t kDefaultRingSlots = 8192;

// Runs an event loop on a thread of its own. Other threads reach it only
// through its ring; what does not fit is refused.
class duty {
 public:
  explicit duty(std::string name, std::size_t ring_slots = kDefaultRingSlots);
  ~duty();
  duty(const duty&) = delete;
  duty& operator=(const duty&) = delete;

  // Starts the thread. Call once.
  void Start();

  // Ends the loop and joins the thread; work still in the ring is dropped.
  void Stop();

  // Puts work into the ring from any thread; false when the ring is full.
  bool Submit(task work);

  // Between Start and Stop.
  bool IsRunning() const { return thread_.joinable(); }

  boost::asio::io_context& context() { return context_; }
  const std::string& name() const { return name_; }
  // Submissions refused because the ring was full.
  std::int64_t refused() const { return refused_.load(); }

 private:
  void Drain();

  std::string name_;
  boost::asio::io_context context_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      guard_;
  boost::lockfree::queue<task*> ring_;
  std::atomic<bool> wake_pending_ = false;
  std::atomic<std::int64_t> refused_ = 0;
  std::thread thread_;
};

namespace detail {

// One call from a coroutine of one duty into another duty.
template <typename value_type>
struct cross_call {
  explicit cross_call(const boost::asio::any_io_executor& executor)
      : done(executor, boost::asio::steady_timer::time_point::max()) {}

  boost::asio::steady_timer done;
  std::optional<value_type> value;
};

}  // namespace detail

// Runs `work` on `target` and resumes here with its value; nothing when the
// target's ring is full. Answers come back by a post, and are bounded by the
// calls that their askers have outstanding.
template <typename value_type, typename work_type>
boost::asio::awaitable<std::optional<value_type>> RunOn(duty& target,
                                                        work_type work) {
  using call_type = detail::cross_call<value_type>;
  const auto executor = co_await boost::asio::this_coro::executor;
  auto call = std::make_shared<call_type>(executor);
  auto start = [call, executor, work, &target] {
    auto run = [call, executor,
                work]() mutable -> boost::asio::awaitable<void> {
      auto value = std::make_shared<value_type>(co_await work());
      boost::asio::post(executor, [call, value] {
        call->value = std::move(*value);
        call->done.cancel();
      });
    };
    boost::asio::co_spawn(target.context(), std::move(run),
                          boost::asio::detached);
  };
  const bool accepted = target.Submit(std::move(start));
  if (!accepted)
    co_return std::nullopt;
  while (!call->value) {
    co_await call->done.async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
  }
  co_return std::move(call->value);
}

}  // namespace valeledge::base

#endif  // VALELEDGE_BASE_DUTY_H_
