// SPDX-License-Identifier: MIT
// Sending a request to backend servers through another host.
//
// The host that received the request from its caller decides whether it is
// admitted, and owns its limits, deadline and retries. The other host selects
// servers. Requests are relayed on a listener that callers cannot reach, and a
// relayed request is not relayed again.
#ifndef VALELEDGE_HOST_REQUEST_PEER_RELAY_H_
#define VALELEDGE_HOST_REQUEST_PEER_RELAY_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "base/result_code.h"
#include "host/request/request_state.h"
#include "net/http_client.h"

namespace valeledge::host {

// What the receiving host states about a relayed request.
struct relayed_request {
  // Version of its configuration. Hosts must not mix versions in one request.
  std::int64_t version = 0;
  // Attempts that may have run the request already.
  std::int64_t possible_executions = 0;
  // The service that the receiving host has selected.
  std::string service;
  // The software version that began the stream, if it is continued.
  std::optional<std::string> software;
  // The authenticated caller's workspace; empty if the route requires none.
  std::string workspace;
  // Servers whose responses to the receiving host state that they are leaving.
  std::vector<std::string> leaving;
  // Servers that failed the request when it was relayed before.
  std::vector<std::string> failed;
};

// What the other host states about its response.
struct relayed_response {
  // Its own error; kOk for a response of a backend server.
  base::result_code code = base::result_code::kOk;
  // Whether the request has run, if the response is its own error. What is not
  // stated is not known.
  base::outcome what_ran = base::outcome::kUnknown;
  // The backend server that responded or was the last to be tried; empty if
  // there is none.
  std::string server;
  // Its software version.
  std::string software;
};

// ForwardableRequest() and ForwardableHeader() erase these fields, so that
// neither callers nor backend servers can set them.
void WriteRelayFields(net::http_request& request,
                      const relayed_request& relayed);
relayed_request ReadRelayFields(const net::http_request& request);

void WriteRelayFields(net::http_response_header& response,
                      const relayed_response& relayed);
relayed_response ReadRelayFields(const net::http_response_header& response);

// Returns the request as it is sent to another host.
net::http_request MakeRelayedRequest(const request_state& state);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_REQUEST_PEER_RELAY_H_
