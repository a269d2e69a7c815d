// SPDX-License-Identifier: MIT
// The platform's list of live and leaving hosts: a hint that lags.
#ifndef VALELEDGE_STORE_HOST_LIST_H_
#define VALELEDGE_STORE_HOST_LIST_H_

#include <set>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "base/endpoint.h"
#include "base/error.h"
#include "net/http_client.h"

namespace valeledge::store {

// What the list says; addresses are IP numbers without ports.
struct host_list {
  std::set<std::string> live;
  std::set<std::string> leaving;
};

// Reads GET /hosts: {"hosts":[{"address":IP,"state":"live"|"leaving"}]}.
boost::asio::awaitable<base::result<host_list>> ReadHostList(
    net::http_client& http,
    base::endpoint where,
    std::chrono::microseconds timeout);

}  // namespace valeledge::store

#endif  // VALELEDGE_STORE_HOST_LIST_H_
