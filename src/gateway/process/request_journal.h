// SPDX-License-Identifier: MIT
// Recent events of requests, for `valeledgectl why`.
#ifndef VALELEDGE_GATEWAY_PROCESS_REQUEST_JOURNAL_H_
#define VALELEDGE_GATEWAY_PROCESS_REQUEST_JOURNAL_H_

#include <cstddef>
#include <deque>
#include <mutex>
#include <string>

#include <boost/json.hpp>

namespace valeledge::gateway {

// An event of a request.
struct journal_entry {
  std::string request;
  std::string partner;
  std::string model;
  // "granted", "attempt failed", "refused", "completed", "replayed".
  std::string event;
  std::string server;
  // Number of the result code; 0 for none.
  int code = 0;
  std::string detail;
  // Set by request_journal::Add.
  std::string time;
};

// Maximum number of entries per gateway.
inline constexpr std::size_t kMaxJournalEntries = 4096;

// Thread-safe.
class request_journal {
 public:
  void Add(journal_entry entry);

  // Returns all entries, oldest first.
  boost::json::array Render() const;

 private:
  mutable std::mutex mutex_;
  std::deque<journal_entry> entries_;
};

}  // namespace valeledge::gateway

#endif  // VALELEDGE_GATEWAY_PROCESS_REQUEST_JOURNAL_H_
