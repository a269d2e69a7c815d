// SPDX-License-Identifier: MIT
// This host's copy of what operators and backend servers keep in the store.
#ifndef VALELEDGE_HOST_PROCESS_STORE_MIRROR_H_
#define VALELEDGE_HOST_PROCESS_STORE_MIRROR_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "base/duration.h"
#include "store/kv_client.h"
#include "wire/generated/messages_types.h"

namespace valeledge::host {

struct mirrored_value {
  std::string value;
  std::int64_t revision = 0;
};

// What changed; functions run on the host's thread.
struct mirror_events {
  std::function<void(const std::string& key, const std::string& value)> put;
  // `lapsed`: the store has been in trouble, and the key's owner may live.
  std::function<void(const std::string& key, bool lapsed)> removed;
  // The mirror has a newer revision than before.
  std::function<void(std::int64_t revision)> advanced;
};

// Reads all keys under a prefix, then follows their changes. While the store
// does not answer, copies of other hosts may be taken in instead.
class store_mirror {
 public:
  store_mirror(boost::asio::io_context& context,
               store::kv_client& store,
               std::string prefix,
               mirror_events events);

  void Start();

  // Whether the newest call to the store went well.
  bool IsCurrent() const { return current_; }
  // Whether a call failed within `span` before now.
  bool FailedWithin(std::chrono::milliseconds span) const;
  std::int64_t revision() const { return revision_; }
  bool HasKey(const std::string& key) const { return values_.contains(key); }

  // The whole mirror, for another host.
  wire::mirror_copy Copy() const;
  // Takes in another host's copy, if it is newer.
  void Take(const wire::mirror_copy& copy);

 private:
  boost::asio::awaitable<void> Loop();
  boost::asio::awaitable<bool> ReadAll();
  boost::asio::awaitable<bool> Follow();
  void Replace(std::map<std::string, mirrored_value> values,
               std::int64_t revision);
  void Put(const std::string& key, mirrored_value value);
  void Remove(const std::string& key, bool lapsed);
  void Advance(std::int64_t revision);
  void NoteAnswered(bool answered);

  boost::asio::io_context& context_;
  store::kv_client& store_;
  std::string prefix_;
  mirror_events events_;
  std::map<std::string, mirrored_value> values_;
  std::int64_t revision_ = 0;
  bool current_ = false;
  bool was_down_ = false;
  base::time_point failed_at_;
  bool failed_once_ = false;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_STORE_MIRROR_H_
