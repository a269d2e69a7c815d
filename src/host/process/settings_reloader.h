// SPDX-License-Identifier: MIT
// Reading the settings again when SIGHUP says that they have changed.
#ifndef VALELEDGE_HOST_PROCESS_SETTINGS_RELOADER_H_
#define VALELEDGE_HOST_PROCESS_SETTINGS_RELOADER_H_

#include <functional>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/signal_set.hpp>

#include "host/process/host_core.h"

namespace valeledge::host {

// Reads the settings again.
using settings_reader = std::function<base::result<host_settings>()>;

// Holds SIGHUP back, which would end the process, until a settings_reloader
// waits for it. To be called before the settings are read for the first time,
// and before other threads start.
void BlockReloadSignal();

class settings_reloader {
 public:
  // `changed` runs after newer settings are in force.
  settings_reloader(host_core& core,
                    settings_reader read,
                    std::function<void()> on_reloaded);

  void Start();

 private:
  boost::asio::awaitable<void> Loop();
  void Reload();

  host_core& core_;
  settings_reader read_;
  std::function<void()> on_reloaded_;
  boost::asio::signal_set signals_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_SETTINGS_RELOADER_H_
