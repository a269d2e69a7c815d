// SPDX-License-Identifier: MIT
// Applies what operators and backend servers write to the store: the
// configuration, evacuations of availability zones, and entries of backend
// servers.
#ifndef VALELEDGE_HOST_PROCESS_STORE_UPDATE_HANDLER_H_
#define VALELEDGE_HOST_PROCESS_STORE_UPDATE_HANDLER_H_

#include <functional>
#include <optional>
#include <string>

#include "base/duration.h"
#include "base/endpoint.h"
#include "catalog/configuration.h"
#include "host/process/host_core.h"

namespace valeledge::host {

// Callbacks for other components; called on the host's thread.
struct store_update_callbacks {
  // A newer configuration is about to take effect.
  std::function<void(const catalog::configuration& newer)>
      configuration_changed;
  // The store contains the lease holder's address.
  std::function<void(const base::endpoint& holder)> lease_holder_changed;
  // Return whether the key belongs to a quarantined request, in which case the
  // change has been handled.
  std::function<bool(const std::string& key)> quarantine_key_put;
  std::function<bool(const std::string& key, bool lapsed)>
      quarantine_key_removed;
};

class store_update_handler {
 public:
  store_update_handler(host_core& core, store_update_callbacks callbacks);

  void Put(const std::string& key, const std::string& value);
  // `lapsed_until`: the owner of the key may still be running, and is used
  // until then.
  void Remove(const std::string& key,
              std::optional<base::time_point> lapsed_until);

 private:
  void ApplyConfiguration(catalog::configuration newer);
  void PutServer(const std::string& key, const std::string& value);

  host_core& core_;
  store_update_callbacks callbacks_;
  const store_keys& keys_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_STORE_UPDATE_HANDLER_H_
