// SPDX-License-Identifier: MIT
// This host's mirror of the keys that operators and backend servers write to
// the store.
#ifndef VALELEDGE_HOST_PROCESS_STORE_MIRROR_H_
#define VALELEDGE_HOST_PROCESS_STORE_MIRROR_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "base/boot_clock.h"
#include "base/duration.h"
#include "decisions/response_age.h"
#include "host/process/mirrored_keys.h"
#include "store/kv_client.h"
#include "wire/generated/messages_types.h"

namespace valeledge::host {

// Event handlers and queries of the mirror's owner; called on the host's
// thread.
struct mirror_events {
  // Whether this host is one of those chosen to follow the store.
  std::function<bool()> follows;
  std::function<void(const std::string& key, const std::string& value)> put;
  // `lapsed_until`: the store has been unavailable, and the key's owner may
  // still be running; it is to be treated as gone from this time on.
  std::function<void(const std::string& key,
                     std::optional<base::time_point> lapsed_until)>
      removed;
  // The mirror contains everything that the store contained at `requested_at`.
  std::function<void(base::boot_clock::time_point requested_at)> complete;
  // The mirror has reached a newer revision.
  std::function<void(std::int64_t revision)> advanced;
  // Whether this host knows other hosts. If unset, it never does.
  std::function<bool()> knows_others = {};
};

// Mirrors all keys under a prefix. A few hosts read them from the store and
// follow its changes. The others apply snapshots of these hosts, and become
// fallback readers as soon as they know of no host that the store has responded
// to for a while.
class store_mirror {
 public:
  store_mirror(boost::asio::io_context& context,
               store::kv_client& store,
               std::string prefix,
               mirror_events events);

  void Start();

  // Whether this host follows the store and the last call succeeded.
  bool IsCurrent() const { return current_; }
  // Whether to request a newer snapshot from another host: this host does not
  // follow the store, or the response of the store is late.
  bool NeedsSnapshot() const;
  // Time since the store last responded to any known host. Empty if it never
  // did.
  std::optional<std::chrono::milliseconds> Age() const;
  // Records a store response to another host, as reported by a peer.
  void RecordReportedResponse(const decisions::reported_response& report);
  // The newest known response of the store, to be reported to other hosts.
  // Empty if there was none. A response to this host counts as soon as parts of
  // it are received.
  std::optional<decisions::reported_response> NewestResponse();
  std::int64_t revision() const { return keys_.revision(); }
  // The value of a key; empty if it does not exist.
  std::optional<std::string> Value(const std::string& key) const {
    return keys_.Value(key);
  }

  // Returns the snapshot that another host requested.
  wire::mirror_copy SnapshotFor(const wire::mirror_request& request) {
    return keys_.SnapshotFor(request);
  }
  // Returns the changes since a revision, with large values compressed if the
  // receiver supports it.
  wire::mirror_copy SnapshotSince(std::int64_t revision,
                                  bool compressed = true) {
    return keys_.SnapshotSince(revision, compressed);
  }
  // Applies another host's snapshot if it is newer. Returns false if it cannot
  // be decoded.
  bool Apply(const wire::mirror_copy& received) {
    return keys_.Apply(received);
  }

 private:
  boost::asio::awaitable<void> AwaitInitialSnapshot(std::mt19937_64& random);
  boost::asio::awaitable<void> Loop();
  boost::asio::awaitable<bool> ReadAll();
  boost::asio::awaitable<bool> Follow();
  // Whether a call to the store failed within the last `span`.
  bool FailedWithin(std::chrono::milliseconds span) const;
  bool OthersFollow() const;
  bool MayStopFollowing() const;
  void RecordCallResult(bool succeeded);
  // Logs an outage of the store that a response has just ended.
  void LogOutage();

  boost::asio::io_context& context_;
  store::kv_client& store_;
  std::string prefix_;
  mirror_events events_;
  mirrored_keys keys_;
  // Responses of the store to this host and to others.
  decisions::response_ages responses_;
  base::time_point logged_outage_end_;
  // When the last complete response was received.
  std::optional<base::time_point> last_response_at_;
  bool current_ = false;
  bool was_down_ = false;
  // The store has discarded the changes since this host's revision.
  bool history_gone_ = false;
  base::time_point failed_at_;
  bool failed_once_ = false;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_STORE_MIRROR_H_
