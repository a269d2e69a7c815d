// SPDX-License-Identifier: MIT
// This host's copy of what operators and backend servers keep in the store.
#ifndef VALELEDGE_HOST_PROCESS_STORE_MIRROR_H_
#define VALELEDGE_HOST_PROCESS_STORE_MIRROR_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "base/boot_clock.h"
#include "base/duration.h"
#include "decisions/answer_age.h"
#include "store/kv_client.h"
#include "wire/generated/messages_types.h"

namespace valeledge::host {

struct mirrored_value {
  std::string value;
  std::int64_t revision = 0;
  // `value` as it is given to other hosts: once it was packed or came so.
  // Nothing if it has not been asked for, or is not worth packing.
  std::optional<std::string> compressed;
  bool compression_tried = false;
};

// What the owner of a mirror is told and asked; runs on the host's thread.
struct mirror_events {
  // Whether this host is one of those that follow the store for all.
  std::function<bool()> follows;
  std::function<void(const std::string& key, const std::string& value)> put;
  // `lapsed`: the store has been in trouble, and the key's owner may live.
  std::function<void(const std::string& key, bool lapsed)> removed;
  // All that the store held when it was asked at this time is here.
  std::function<void(base::boot_clock::time_point requested_at)> complete;
  // The mirror has a newer revision than before.
  std::function<void(std::int64_t revision)> advanced;
  // Whether this host knows of others. Unset: it never does.
  std::function<bool()> knows_others = {};
};

// A key that was deleted lately.
struct mirrored_deletion {
  std::int64_t revision = 0;
  bool lapsed = false;
};

// All keys under a prefix. A few hosts read them and follow their changes; the
// others take in copies of theirs, and read for themselves as soon as the
// store has answered none of those they hear of for a while.
class store_mirror {
 public:
  store_mirror(boost::asio::io_context& context,
               store::kv_client& store,
               std::string prefix,
               mirror_events events);

  void Start();

  // Whether this host follows the store and the newest call went well.
  bool IsCurrent() const { return current_; }
  // Whether a newer copy should be asked of another host: the store's own
  // answer, if one is due here, is late.
  bool NeedsSnapshot() const;
  // How long ago the store last answered any host that is known of; nothing
  // if it never did.
  std::optional<std::chrono::milliseconds> Age() const;
  // Another host knows of an answer of the store.
  void RecordReportedResponse(const decisions::told_answer& report);
  // The newest answer that is known of, for other hosts; nothing if the store
  // never answered. An answer to this host of which parts come in counts.
  std::optional<decisions::told_answer> NewestResponse();
  // Whether a call failed within `span` before now.
  bool FailedWithin(std::chrono::milliseconds span) const;
  std::int64_t revision() const { return revision_; }
  // What the store holds under a key; nothing if it has no such key.
  std::optional<std::string> Value(const std::string& key) const;

  // What another host asks for.
  wire::mirror_copy SnapshotFor(const wire::mirror_request& request);
  // What another host lacks that has everything up to a revision, large values
  // packed unless it takes none.
  wire::mirror_copy SnapshotSince(std::int64_t revision,
                                  bool compressed = true);
  // Takes in another host's copy, if it is newer and can be read; whether it
  // could.
  bool Apply(const wire::mirror_copy& received);

 private:
  boost::asio::awaitable<void> AwaitInitialSnapshot(std::mt19937_64& random);
  boost::asio::awaitable<void> Loop();
  boost::asio::awaitable<bool> ReadAll();
  boost::asio::awaitable<bool> Follow();
  void Replace(std::map<std::string, mirrored_value> values,
               std::int64_t revision);
  // `response_revision` is the revision of the answer that holds the value.
  void Put(const std::string& key,
           mirrored_value value,
           std::int64_t response_revision);
  void Remove(const std::string& key, std::int64_t revision, bool lapsed);
  bool OthersFollow() const;
  bool MayStopFollowing() const;
  void Advance(std::int64_t revision);
  void RecordCallResult(bool succeeded);

  boost::asio::io_context& context_;
  store::kv_client& store_;
  std::string prefix_;
  mirror_events events_;
  std::map<std::string, mirrored_value> values_;
  std::map<std::string, mirrored_deletion> deletions_;
  // Deletions up to here are forgotten.
  std::int64_t discarded_up_to_ = 0;
  std::int64_t revision_ = 0;
  // When the store answered this host, and others.
  decisions::answer_ages responses_;
  // When the last whole answer came.
  std::optional<base::time_point> last_response_at_;
  bool current_ = false;
  bool was_down_ = false;
  // The store no longer has the changes since this host's revision.
  bool history_gone_ = false;
  base::time_point failed_at_;
  bool failed_once_ = false;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_STORE_MIRROR_H_
