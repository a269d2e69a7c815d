// SPDX-License-Identifier: MIT
// How callers, backend servers and operators write what the host works with.
// One struct of plain functions for each protocol that is spoken outside.
#ifndef VALELEDGE_HOST_EXTERNAL_PROTOCOL_H_
#define VALELEDGE_HOST_EXTERNAL_PROTOCOL_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "catalog/backend_server.h"
#include "catalog/configuration.h"
#include "net/http_client.h"

namespace valeledge::host {

// A part of a prompt that other requests may share.
struct prompt_part {
  std::uint64_t id = 0;
  std::int64_t tokens = 0;
};

// What a caller says about its request beside method, path and body.
struct request_metadata {
  std::string id;
  // How long the caller will wait; nothing if it does not say.
  std::optional<std::chrono::milliseconds> deadline;
  // Empty for plain services; the adapter also for the model itself.
  std::string model;
  std::string adapter;
  std::int64_t prompt_tokens = 0;
  // Output tokens that are probable, and the most there may be.
  std::int64_t expected_tokens = 0;
  std::int64_t max_output_tokens = 0;
  // In the order of the prompt.
  std::vector<prompt_part> prompt;
  // The id of the last event that the caller has, if it resumes a stream.
  std::string resume_after;
  // What the caller shows to belong to a workspace: a secret, so it goes to no
  // server, log or metric. Empty if there is none or more than one.
  std::string key;
  // All tokens of the request, prompt and answer, as it says; nothing if it
  // does not.
  std::optional<std::int64_t> declared_tokens;
};

// What an attempt at a backend server adds to the caller's request.
struct attempt_metadata {
  std::chrono::milliseconds deadline{0};
  // Any other instance refuses the request.
  std::string instance;
  std::int64_t priority = 0;
  // Set when a stream goes on after this event.
  std::string resume_after;
  // The workspace of the caller; empty if the route needs none.
  std::string workspace;
};

// What an answer says about itself.
struct response_metadata {
  std::string request_id;
  // A backend server signed it: it is no answer of anything in between.
  bool is_signed = false;
  // The request did not run and never will.
  bool not_run = false;
  // The server does not hold what was asked for, or is another instance.
  bool misdirected = false;
  // The instance that answered; empty if it does not say.
  std::string instance;
  // Requests a second that the server takes from all hosts together; nothing if
  // it advertises no limit.
  std::optional<double> limit;
  // It advertises a limit that is no rate.
  bool limit_unreadable = false;
};

enum class order_verb { kLoad, kUnload };

// An order to an engine. It takes effect only at the instance it names, only
// if that has accepted `expected` orders before, and only if no higher term
// was seen there.
struct engine_order {
  order_verb verb = order_verb::kLoad;
  std::string instance;
  std::string model;
  // Empty: the model itself.
  std::string adapter;
  std::int64_t expected = 0;
  std::string holder;
  std::int64_t term = 0;
};

// What an engine answered to an order.
enum class order_reply {
  // It is being carried out.
  kAccepted,
  // What was ordered holds already.
  kAlreadyInEffect,
  // Another order is under way, or the number of orders differs.
  kConflict,
  // A higher term was seen there.
  kFenced,
  // The instance is gone.
  kWrongInstance,
  // Anything else, also no answer: it may still be carried out.
  kUnknown,
};

// Where a store keeps what operators and backend servers write.
struct store_keys {
  std::string configuration;
  std::string server_prefix;
  // Followed by an availability zone: nothing new goes to its backend servers
  // while the key exists.
  std::string evacuation_prefix;
  // Covers all of them.
  std::string watched_prefix;
};

// The functions of one outside protocol.
struct external_protocol {
  request_metadata (*read_request)(const net::http_request& request);
  // Fields that pass through every connection on a request's way.
  std::span<const std::string_view> end_to_end_fields;
  // Erases what only this system may set, whoever set it, and sets it.
  void (*write_attempt)(net::http_request& request,
                        const attempt_metadata& head);
  response_metadata (*read_response)(const net::http_response_header& answer);
  // The id of an event of a stream; nothing if it has none.
  std::optional<std::int64_t> (*read_event_id)(std::string_view event);

  base::result<catalog::configuration> (*decode_configuration)(
      std::string_view text);
  base::result<catalog::backend_server> (
      *decode_server)(std::string_view instance, std::string_view text);

  net::http_request (*make_order)(const engine_order& order);
  order_reply (*read_order_reply)(int status);
  net::http_request (*make_state_request)(const std::string& instance);
  base::result<catalog::engine_state> (*decode_state)(std::string_view text);

  store_keys keys;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_EXTERNAL_PROTOCOL_H_
