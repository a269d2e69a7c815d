// SPDX-License-Identifier: MIT
// Reads the keys with a prefix from the key-value service.
#ifndef VALELEDGE_TOOLS_CTL_READ_KEYS_H_
#define VALELEDGE_TOOLS_CTL_READ_KEYS_H_

#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "base/error.h"
#include "store/kv_client.h"

namespace valeledge::ctl {

// Returns the keys with their values and revisions, or the service's error.
boost::asio::awaitable<base::result<std::vector<store::kv_pair>>> ReadKeys(
    store::kv_client& service,
    std::string prefix);

}  // namespace valeledge::ctl

#endif  // VALELEDGE_TOOLS_CTL_READ_KEYS_H_
