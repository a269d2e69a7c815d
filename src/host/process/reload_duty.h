// SPDX-License-Identifier: MIT
// Reading the settings again when SIGHUP says that they have changed.
#ifndef VALELEDGE_HOST_PROCESS_RELOAD_DUTY_H_
#define VALELEDGE_HOST_PROCESS_RELOAD_DUTY_H_

#include <functional>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/signal_set.hpp>

#include "host/process/host_core.h"

namespace valeledge::host {

// Reads the settings again.
using settings_reader = std::function<base::result<host_settings>()>;

// Holds SIGHUP back, which would end the process, until a reload_duty waits for
// it. To be called before the settings are read for the first time, and before
// other threads start.
void HoldReloadSignal();

class reload_duty {
 public:
  // `changed` runs after newer settings are in force.
  reload_duty(host_core& core,
              settings_reader read,
              std::function<void()> changed);

  void Start();

 private:
  boost::asio::awaitable<void> Loop();
  void Reload();

  host_core& core_;
  settings_reader read_;
  std::function<void()> changed_;
  boost::asio::signal_set signals_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_RELOAD_DUTY_H_
