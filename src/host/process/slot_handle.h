// SPDX-License-Identifier: MIT
// A slot at a server of a plain service, allocated to one request.
#ifndef VALELEDGE_HOST_PROCESS_SLOT_HANDLE_H_
#define VALELEDGE_HOST_PROCESS_SLOT_HANDLE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace valeledge::host {

// Request for a slot.
struct slot_request {
  std::string service;
  // 0 is the most urgent.
  std::int64_t priority = 0;
  // Time left until the request's objective is missed.
  std::chrono::milliseconds left{0};
  // Servers to exclude.
  std::vector<std::string> avoid;
};

// How the request that had the slot ended.
enum class slot_outcome : std::int32_t {
  kUnused = 0,
  kResponded = 1,
  kFailed = 2,
  // The server refused the request because it was full.
  kFull = 3,
  // The server is known to take no requests now.
  kUnusable = 4,
};

// Releases the slot on destruction.
class slot_handle {
 public:
  using release_function =
      std::function<void(slot_outcome outcome, std::chrono::microseconds took)>;

  slot_handle(std::string server, release_function release)
      : server_(std::move(server)), release_(std::move(release)) {}
  ~slot_handle() {
    const auto took = sent_at_ ? std::chrono::steady_clock::now() - *sent_at_
                               : std::chrono::steady_clock::duration(0);
    release_(outcome_,
             std::chrono::duration_cast<std::chrono::microseconds>(took));
  }
  slot_handle(const slot_handle&) = delete;
  slot_handle& operator=(const slot_handle&) = delete;

  const std::string& server() const { return server_; }
  void NoteSent() { sent_at_ = std::chrono::steady_clock::now(); }
  void SetOutcome(slot_outcome outcome) { outcome_ = outcome; }

 private:
  std::string server_;
  release_function release_;
  std::optional<std::chrono::steady_clock::time_point> sent_at_;
  slot_outcome outcome_ = slot_outcome::kUnused;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_SLOT_HANDLE_H_
