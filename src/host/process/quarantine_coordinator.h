// SPDX-License-Identifier: MIT
// Shares between hosts under which requests backend servers crash, and stores
// in the key-value store which requests are quarantined.
//
// Hosts publish each crash at once, and repeat it for some seconds once a
// second server has crashed under the same request. In a fleet of up to 17
// hosts every host receives every report. In a larger fleet the reports about
// one request go to the same 16 hosts; the other hosts, and hosts that start
// later, learn of a quarantine through a key in the store. While the store is
// unavailable, the hosts that received the reports apply the quarantine without
// it.
#ifndef VALELEDGE_HOST_PROCESS_QUARANTINE_COORDINATOR_H_
#define VALELEDGE_HOST_PROCESS_QUARANTINE_COORDINATOR_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "decisions/quarantine_update.h"
#include "host/process/host_core.h"
#include "host/process/quarantine_key_writer.h"
#include "membership/gossip.h"
#include "store/kv_client.h"
#include "wire/generated/messages_types.h"

namespace valeledge::host {

// Key of the record in which a host reports crashes.
inline constexpr std::string_view kCrashesRecord = "ends";

// Dependencies on other components; called on the host's thread.
struct quarantine_callbacks {
  // Sends an update directly to other hosts.
  std::function<void(const std::string& value,
                     const membership::direct_recipients& recipients)>
      send;
  // Whether this host is the first one chosen for a subject.
  std::function<bool(const std::string& subject)> is_first;
};

class quarantine_coordinator {
 public:
  quarantine_coordinator(host_core& core,
                         store::kv_client& store,
                         quarantine_callbacks callbacks);

  // A server crashed while a request of this host was in progress there.
  void OnServerCrash(std::uint64_t digest, const decisions::server_crash& end);
  // A server has responded completely to a request of this host.
  void OnCompletedResponse(std::uint64_t digest);

  // Applies an update of another host.
  void HandleUpdate(const wire::end_news& update);
  // Handle a key that was put into or removed from the store. Return whether it
  // is the key of a quarantined request. `lapsed`: the store has been
  // unavailable, so the quarantine continues.
  bool PutKey(std::string_view key);
  bool RemoveKey(std::string_view key, bool lapsed);

  // Repeats recent updates about requests under which more than one server has
  // crashed. Must be called every quarter of a second.
  void Republish();

 private:
  void Publish(const decisions::quarantine_observation& fact);
  void BeginQuarantine(std::uint64_t digest, std::string_view by);

  host_core& core_;
  quarantine_key_writer keys_;
  quarantine_callbacks callbacks_;
  // Recent observations of this host.
  decisions::quarantine_observations published_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_QUARANTINE_COORDINATOR_H_
