// SPDX-License-Identifier: MIT
// Takes in what operators and backend servers keep in the store: the
// configuration, zones that are evacuated, and entries of backend servers.
#ifndef VALELEDGE_HOST_PROCESS_STORE_UPDATE_HANDLER_H_
#define VALELEDGE_HOST_PROCESS_STORE_UPDATE_HANDLER_H_

#include <functional>
#include <string>

#include "base/endpoint.h"
#include "catalog/configuration.h"
#include "host/process/host_core.h"

namespace valeledge::host {

// Whom the feed tells; runs on the host's thread.
struct store_update_callbacks {
  // A newer configuration is in force.
  std::function<void(const catalog::configuration& newer)>
      configuration_changed;
  // The store names the holder of the lease.
  std::function<void(const base::endpoint& holder)> lease_holder_changed;
  // Whether a key is one of requests that are held back, and has been taken in.
  std::function<bool(const std::string& key)> quarantine_key_put;
  std::function<bool(const std::string& key, bool lapsed)>
      quarantine_key_removed;
};

class store_update_handler {
 public:
  store_update_handler(host_core& core, store_update_callbacks callbacks);

  void Put(const std::string& key, const std::string& value);
  // `lapsed`: the owner of the key may live.
  void Remove(const std::string& key, bool lapsed);

 private:
  void ApplyConfiguration(catalog::configuration newer);
  void PutServer(const std::string& key, const std::string& value);

  host_core& core_;
  store_update_callbacks callbacks_;
  const store_keys& keys_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_STORE_UPDATE_HANDLER_H_
