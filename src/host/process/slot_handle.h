// SPDX-License-Identifier: MIT
// A place at a server of a plain service that was dealt out to one request.
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

// What a request wants of those who deal out places.
struct place_request {
  std::string service;
  // 0 is the most urgent.
  std::int64_t priority = 0;
  // What is left of the time within which it is answered on time.
  std::chrono::milliseconds left{0};
  // Servers that it should not get.
  std::vector<std::string> avoid;
};

// How a request ended that had a place.
enum class place_end_kind : std::int32_t {
  kUnused = 0,
  kAnswered = 1,
  kFailed = 2,
  // The server was full all the same.
  kFull = 3,
  // The server certainly takes no requests now.
  kUnusable = 4,
};

// Gives the place back at its end.
class dealt_place {
 public:
  using give_back =
      std::function<void(place_end_kind how, std::chrono::microseconds took)>;

  dealt_place(std::string server, give_back give)
      : server_(std::move(server)), give_(std::move(give)) {}
  ~dealt_place() {
    const auto took = sent_at_ ? std::chrono::steady_clock::now() - *sent_at_
                               : std::chrono::steady_clock::duration(0);
    give_(how_, std::chrono::duration_cast<std::chrono::microseconds>(took));
  }
  dealt_place(const dealt_place&) = delete;
  dealt_place& operator=(const dealt_place&) = delete;

  const std::string& server() const { return server_; }
  void NoteSent() { sent_at_ = std::chrono::steady_clock::now(); }
  void NoteEnd(place_end_kind how) { how_ = how; }

 private:
  std::string server_;
  give_back give_;
  std::optional<std::chrono::steady_clock::time_point> sent_at_;
  place_end_kind how_ = place_end_kind::kUnused;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_SLOT_HANDLE_H_
