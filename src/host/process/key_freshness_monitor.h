// SPDX-License-Identifier: MIT
// Keeps this host's knowledge of the valid caller keys fresh. One host reads
// the store several times a second on behalf of all.
//
// A host sends a read request with its own timestamp to a reader by datagram.
// After a short time the reader reads one small key for all pending requests,
// and returns to each host its timestamp with the store's revision. A lost,
// late or duplicated datagram cannot make the knowledge appear more recent than
// it is. If a reader does not respond, the host tries the next one, and finally
// reads the store itself.
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
#include "decisions/key_freshness.h"
#include "host/process/host_core.h"
#include "store/kv_client.h"
#include "wire/generated/messages_types.h"

namespace valeledge::host {

// Record keys of read requests and of the responses to them.
inline constexpr std::string_view kReadRequestRecord = "reading_wanted";
inline constexpr std::string_view kReadResponseRecord = "reading";

// Dependencies on other components; called on the host's thread.
struct key_freshness_callbacks {
  // Sends a record to one host.
  std::function<void(const base::endpoint& to,
                     std::string_view record,
                     std::string value)>
      send;
  // Hosts that read on behalf of others, in the order of preference. May
  // include this host.
  std::function<std::vector<base::endpoint>()> readers;
  // The revision up to which this host's mirror is complete.
  std::function<std::int64_t()> revision;
};

class key_freshness_monitor {
 public:
  key_freshness_monitor(host_core& core,
                        store::kv_client& store,
                        key_freshness_callbacks callbacks);

  void Start();

  // Handle a read request of another host, and the response to one of this
  // host.
  void HandleReadRequest(const base::endpoint& requester,
                         const wire::store_reading& request);
  void HandleReadResponse(const wire::store_reading& response);
  // The mirror has reached a newer revision.
  void OnRevisionAdvanced();
  // The mirror contains everything that the store contained at `requested_at`.
  void OnMirrorComplete(decisions::boot_time requested_at);

  // Whether keys are required and this host cannot tell which ones are valid.
  bool IsStale() const;

 private:
  struct read_request {
    // Unset for a request of this host itself.
    std::optional<base::endpoint> requester;
    wire::store_reading request;
  };

  bool RequiresKeys() const;
  boost::asio::awaitable<void> Loop();
  // Sends a read request to the current reader, or to the next one if it did
  // not respond.
  void RequestRead();
  wire::store_reading MakeReadRequest() const;
  void QueueRead(read_request request);
  // Reads the store once for all requests that are pending by then.
  boost::asio::awaitable<void> ReadStore();
  void Respond(const std::vector<read_request>& requests,
               std::int64_t revision);
  void LogFreshnessChange();

  host_core& core_;
  store::kv_client& store_;
  key_freshness_callbacks callbacks_;
  // Distinguishes this process from other processes at the same address.
  std::int64_t process_id_ = 0;
  // Index of the current reader.
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
