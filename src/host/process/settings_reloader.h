// SPDX-License-Identifier: MIT
// Reloads the settings on SIGHUP.
#ifndef VALELEDGE_HOST_PROCESS_SETTINGS_RELOADER_H_
#define VALELEDGE_HOST_PROCESS_SETTINGS_RELOADER_H_

#include <functional>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/signal_set.hpp>

#include "host/process/host_core.h"

namespace valeledge::host {

using settings_reader = std::function<base::result<host_settings>()>;

// Blocks SIGHUP, which would terminate the process, until a settings_reloader
// waits for it. Must be called before the settings are read for the first time,
// and before other threads start.
void BlockReloadSignal();

class settings_reloader {
 public:
  // `on_reloaded` is called after newer settings have taken effect.
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
