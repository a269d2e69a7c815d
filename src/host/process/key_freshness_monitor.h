// SPDX-License-Identifier: MIT
// Keeps a host certain of which keys are good: it has the store read, several
// times a second, by one host for all of them.
//
// A host asks a reader by a datagram with its own time; the reader reads one
// small key some time later, for all who have asked by then, and tells each its
// own time back with the store's revision. A datagram that is lost, late or
// repeated makes nothing younger than it is. Without answers a host turns to
// the next reader, and in the end reads for itself.
#ifndef VALELEDGE_HOST_PROCESS_KEY_FRESHNESS_MONITOR_H_
#define VALELEDGE_HOST_PROCESS_KEY_FRESHNESS_MONITOR_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "base/endpoint.h"
#include "decisions/key_certainty.h"
#include "host/process/host_core.h"
#include "store/kv_client.h"
#include "wire/generated/messages_types.h"

namespace valeledge::host {

// Keys of the records in which a host asks for a reading, and in which it is
// told of one.
inline constexpr std::string_view kReadRequestRecord = "reading_wanted";
inline constexpr std::string_view kReadResponseRecord = "reading";

// What the duty needs of the others; runs on the host's thread.
struct key_freshness_callbacks {
  // Tells one host a fact.
  std::function<void(const base::endpoint& to,
                     std::string_view record,
                     std::string value)>
      send;
  // Hosts that read for others, in the order in which they are asked; this one
  // may be among them.
  std::function<std::vector<base::endpoint>()> readers;
  // The store's revision up to which everything is here.
  std::function<std::int64_t()> revision;
};

class key_freshness_monitor {
 public:
  key_freshness_monitor(host_core& core,
                        store::kv_client& store,
                        key_freshness_callbacks callbacks);

  void Start();

  // Another host asks for a reading, or tells of one.
  void HandleReadRequest(const base::endpoint& requester,
                         const wire::store_reading& request);
  void HandleReadResponse(const wire::store_reading& response);
  // More of the store is here than before.
  void OnRevisionAdvanced();
  // All that the store held when this host asked for it is here.
  void OnMirrorComplete(decisions::boot_time requested_at);

  // Whether keys are needed and this host cannot tell which are good.
  bool IsStale() const;

 private:
  struct read_request {
    // Nothing: this host itself.
    std::optional<base::endpoint> requester;
    wire::store_reading request;
  };

  bool RequiresKeys() const;
  boost::asio::awaitable<void> Loop();
  // Asks the readers whose turn it is.
  void RequestRead();
  wire::store_reading MakeReadRequest() const;
  void QueueRead(read_request request);
  // Answers all questions that have come by the time it reads.
  boost::asio::awaitable<void> ReadStore();
  void Respond(const std::vector<read_request>& requests,
               std::int64_t revision);
  void LogFreshnessChange();

  host_core& core_;
  store::kv_client& store_;
  key_freshness_callbacks callbacks_;
  // Tells this process from others at the same address.
  std::int64_t process_id_ = 0;
  // Among the readers, the one that answered last.
  std::size_t reader_index_ = 0;
  decisions::boot_time last_response_at_;
  std::vector<read_request> pending_;
  bool is_batching_ = false;
  bool has_requested_ = false;
  std::optional<decisions::boot_time> read_failed_at_;
  bool was_stale_ = false;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_KEY_FRESHNESS_MONITOR_H_
