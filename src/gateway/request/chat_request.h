// SPDX-License-Identifier: MIT
// Parsing and validation of callers' chat requests.
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

// Properties that chat and service requests have in common.
struct request_common {
  std::string id;
  std::string partner;
  // The requested unit: "model/NAME", "adapter/NAME" or "service/NAME".
  std::string unit;
  // Name of the model or service in logs and for limits.
  std::string model;
  // Hash of partner, target and body: equal for repeated submissions of the
  // same request.
  std::uint64_t digest = 0;
  std::int32_t priority = 5;
  std::chrono::steady_clock::time_point started;
  std::chrono::steady_clock::time_point deadline;
  // Maximum wait for a grant, after which it is of no use.
  std::chrono::microseconds grant_timeout{0};
};

// Returns the time until the deadline; negative after it.
std::chrono::microseconds Remaining(const request_common& common);

// Parses the header fields that both kinds of requests have in common.
base::result<request_common> ReadCommon(const net::http_request& request,
                                        const gateway_settings& settings,
                                        const table::row& row);

// A chat completion request.
struct chat_request {
  request_common common;
  bool stream = false;
  std::int32_t max_tokens = 0;
  std::int64_t prefix_hash = 0;
  // Body for the backend server, without the fields that an attempt adds.
  boost::json::object body;
};

// Validates a request against the table. The error for an unknown model lists
// models and adapters with similar names.
base::result<chat_request> ParseChatRequest(const net::http_request& request,
                                            const gateway_settings& settings,
                                            const table::snapshot& table);

}  // namespace valeledge::gateway

#endif  // VALELEDGE_GATEWAY_REQUEST_CHAT_REQUEST_H_
