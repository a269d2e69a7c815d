// SPDX-License-Identifier: MIT
#include "base/duty.h"

#include <pthread.h>

namespace valeledge::base {

namespace {

// The kernel keeps 15 characters of a thread's name.
constexpr std::size_t kThreadNameLength = 15;

}  // namespace

duty::duty(std::string name, std::size_t ring_slots)
    : name_(std::move(name)),
      guard_(boost::asio::make_work_guard(context_)),
      ring_(ring_slots) {}

duty::~duty() {
  Stop();
  task* left = nullptr;
  while (ring_.pop(left))
    delete left;
}

void duty::Start() {
  thread_ = std::thread([this] { context_.run(); });
  pthread_setname_np(thread_.native_handle(),
                     name_.substr(0, kThreadNameLength).c_str());
}

void duty::Stop() {
  context_.stop();
  if (thread_.joinable())
    thread_.join();
}

bool duty::Submit(task work) {
  auto entry = std::make_unique<task>(std::move(work));
  if (!ring_.bounded_push(entry.get())) {
    refused_.fetch_add(1);
    return false;
  }
  entry.release();
  if (!wake_pending_.exchange(true))
    boost::asio::post(context_, [this] { Drain(); });
  return true;
}

void duty::Drain() {
  wake_pending_ = false;
  task* entry = nullptr;
  while (ring_.pop(entry)) {
    const std::unique_ptr<task> owned(entry);
    (*owned)();
  }
}

}  // namespace valeledge::base
