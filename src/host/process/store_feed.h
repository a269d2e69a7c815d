// SPDX-License-Identifier: MIT
// Takes in what operators and backend servers keep in the store: the
// configuration, zones that are evacuated, and entries of backend servers.
#ifndef VALELEDGE_HOST_PROCESS_STORE_FEED_H_
#define VALELEDGE_HOST_PROCESS_STORE_FEED_H_

#include <functional>
#include <string>

#include "base/endpoint.h"
#include "catalog/configuration.h"
#include "host/process/host_core.h"

namespace valeledge::host {

// Whom the feed tells; runs on the host's thread.
struct store_feed_links {
  // A newer configuration is in force.
  std::function<void(const catalog::configuration& newer)> configured;
  // The store names the holder of the lease.
  std::function<void(const base::endpoint& holder)> holder_seen;
  // Whether a key is one of requests that are held back, and has been taken in.
  std::function<bool(const std::string& key)> held_put;
  std::function<bool(const std::string& key, bool lapsed)> held_removed;
};

class store_feed {
 public:
  store_feed(host_core& core, store_feed_links links);

  void Put(const std::string& key, const std::string& value);
  // `lapsed`: the owner of the key may live.
  void Remove(const std::string& key, bool lapsed);

 private:
  void Apply(catalog::configuration newer);
  void PutServer(const std::string& key, const std::string& value);

  host_core& core_;
  store_feed_links links_;
  const store_keys& keys_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_STORE_FEED_H_
