// SPDX-License-Identifier: MIT
// A host process: serves callers and takes part in the placement of models.
#ifndef VALELEDGE_HOST_PROCESS_HOST_H_
#define VALELEDGE_HOST_PROCESS_HOST_H_

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "base/error.h"
#include "host/external_protocol.h"
#include "host/host_settings.h"
#include "host/process/settings_reloader.h"
#include "store/kv_client.h"

namespace valeledge::host {

// Creates the store client on the host's event loop.
using store_factory = std::function<std::unique_ptr<store::kv_client>(
    boost::asio::io_context& context,
    const host_settings& settings)>;

// Serves until SIGTERM or SIGINT and then stops gracefully within the
// configured grace period: the load balancer is notified, requests in progress
// finish, and new requests are accepted for a few more seconds. SIGHUP reloads
// the settings: limits and seeds take effect at once, addresses at the next
// start. Returns an error if the host could not start.
base::result<void> RunHost(host_settings settings,
                           external_protocol protocol,
                           const store_factory& make_store,
                           settings_reader reload_settings);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_HOST_H_
