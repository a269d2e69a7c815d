// SPDX-License-Identifier: MIT
// A caller's chat request, checked.
#ifndef VALELEDGE_GATEWAY_REQUEST_CHAT_REQUEST_H_
#define VALELEDGE_GATEWAY_REQUEST_CHAT_REQUEST_H_

#include <chrono>
#include <cstdint>
#include <string>

#include <boost/json.hpp>

#include "base/error.h"
#include "gateway/process/gateway_settings.h"
#include "net/http_client.h"
#include "table/snapshot.h"

namespace valeledge::gateway {

// What both kinds of requests share.
struct request_common {
  std::string id;
  std::string partner;
  // What is to be served: "model/NAME", "adapter/NAME", "service/NAME".
  std::string unit;
  // The name that logs and limits use.
  std::string model;
  // The same each time the partner submits the same request.
  std::uint64_t digest = 0;
  std::int32_t priority = 5;
  std::chrono::steady_clock::time_point started;
  std::chrono::steady_clock::time_point deadline;
  // How long a grant may take and still be of use.
  std::chrono::microseconds grant_timeout{0};
};

// Time left until the deadline.
std::chrono::microseconds Remaining(const request_common& common);

// Reads the header fields that both kinds share.
base::result<request_common> ReadCommon(const net::http_request& request,
                                        const gateway_settings& settings,
                                        const table::row& row);

// A request for a completion.
struct chat_request {
  request_common common;
  bool stream = false;
  std::int32_t max_tokens = 0;
  std::int64_t prefix_hash = 0;
  // What goes on to the backend server, without what an attempt adds.
  boost::json::object body;
};

// Checks a request against the table; an unknown model's error names models
// with similar names.
base::result<chat_request> ParseChatRequest(const net::http_request& request,
                                            const gateway_settings& settings,
                                            const table::snapshot& table);

}  // namespace valeledge::gateway

#endif  // VALELEDGE_GATEWAY_REQUEST_CHAT_REQUEST_H_
