// SPDX-License-Identifier: MIT
// One host: serves callers, and takes part in placing models.
#ifndef VALELEDGE_HOST_PROCESS_HOST_H_
#define VALELEDGE_HOST_PROCESS_HOST_H_

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "base/error.h"
#include "host/dialect.h"
#include "host/host_settings.h"
#include "host/process/settings_reloader.h"
#include "store/kv_client.h"

namespace valeledge::host {

// Makes the client of the store on the host's event loop.
using store_factory = std::function<std::unique_ptr<store::kv_client>(
    boost::asio::io_context& context,
    const host_settings& settings)>;

// Serves until SIGTERM or SIGINT, then stops gracefully within the settings'
// grace: the balancer is told, what is under way ends, new requests are
// answered for a few seconds more. SIGHUP has the settings read again: limits
// and seeds are in force at once, addresses from the next start on. Returns an
// error if it could not start.
base::result<void> RunHost(host_settings settings,
                           dialect protocol,
                           const store_factory& make_store,
                           settings_reader reload_settings);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_HOST_H_
