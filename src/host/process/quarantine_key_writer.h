// SPDX-License-Identifier: MIT
// Keys in the key-value service that stand for quarantines, for hosts that
// receive no reports or start later.
#ifndef VALELEDGE_HOST_PROCESS_QUARANTINE_KEY_WRITER_H_
#define VALELEDGE_HOST_PROCESS_QUARANTINE_KEY_WRITER_H_

#include <functional>
#include <set>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "host/process/host_core.h"
#include "store/kv_client.h"

namespace valeledge::host {

class quarantine_key_writer {
 public:
  // Both must outlive the writer.
  quarantine_key_writer(host_core& core, store::kv_client& store)
      : core_(core), store_(store) {}

  // Writes a key with a value that tells operators why, under a lease as long
  // as a quarantine, unless another host has done so. Repeats failed calls
  // while `is_needed`. Of all hosts that write the key, `is_first` is set at
  // one; the others wait for it.
  void Write(std::string key,
             std::string value,
             bool is_first,
             std::function<bool()> is_needed);

  // Removes a key from the store, since its quarantine has ended. Repeats
  // failed calls while `is_needed`, until the lease of the key would have
  // ended.
  void Remove(std::string key, std::function<bool()> is_needed);

  // The store contains the key, or does no more.
  void OnPut(const std::string& key) { stored_.insert(key); }
  void OnRemoved(const std::string& key) { stored_.erase(key); }

 private:
  boost::asio::awaitable<void> WriteUntilStored(
      std::string key,
      std::string value,
      bool is_first,
      std::function<bool()> is_needed);
  boost::asio::awaitable<bool> WriteOnce(std::string key, std::string value);
  boost::asio::awaitable<void> RemoveUntilDone(std::string key,
                                               std::function<bool()> is_needed);

  host_core& core_;
  store::kv_client& store_;
  // Keys that the store contains.
  std::set<std::string> stored_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_QUARANTINE_KEY_WRITER_H_
