// SPDX-License-Identifier: MIT
// Interface between the host and the formats used by callers, backend servers
// and operators: one struct of functions per external protocol.
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

// A segment of a prompt that other requests may share.
struct prompt_part {
  std::uint64_t id = 0;
  std::int64_t tokens = 0;
};

// Metadata of a caller's request besides method, path and body.
struct request_metadata {
  std::string id;
  // How long the caller waits; not set if unspecified.
  std::optional<std::chrono::milliseconds> deadline;
  // Both are empty for plain services; `adapter` is also empty for requests to
  // the base model.
  std::string model;
  std::string adapter;
  std::int64_t prompt_tokens = 0;
  // Expected and maximum number of output tokens.
  std::int64_t expected_tokens = 0;
  std::int64_t max_output_tokens = 0;
  // Segments in prompt order.
  std::vector<prompt_part> prompt;
  // Id of the last event that the caller received, if it resumes a stream.
  std::string resume_after;
  // Id of the attempt that brought the caller the first event of the stream
  // that it resumes; empty if it names none or more than one.
  std::string resumed_attempt;
  // The secret API key that identifies the caller's workspace. Must not be sent
  // to servers or written to logs or metrics. Empty if the request has none or
  // more than one.
  std::string key;
  // Total of prompt and output tokens as declared by the caller; not set if
  // undeclared.
  std::optional<std::int64_t> declared_tokens;
};

// Metadata that an attempt at a backend server adds to the caller's request.
struct attempt_metadata {
  std::chrono::milliseconds deadline{0};
  // The intended instance; any other instance refuses the request.
  std::string instance;
  std::int64_t priority = 0;
  // Id of the event after which a stream is resumed; empty if not resumed.
  std::string resume_after;
  // The caller's workspace; empty if the route does not require one.
  std::string workspace;
};

// Metadata of a backend server's response.
struct response_metadata {
  std::string request_id;
  // The response carries the stamp of a backend server, so it does not come
  // from an intermediary.
  bool is_signed = false;
  // The body is encoded, which callers do not request: it is not the server's.
  bool is_encoded = false;
  // The request did not run and never will.
  bool not_run = false;
  // The server does not hold the requested model, or is another instance.
  bool misdirected = false;
  // The responding instance; empty if not stated.
  std::string instance;
  // Requests per second that the server accepts from all hosts together; not
  // set if it advertises no limit.
  std::optional<double> limit;
  // The advertised limit is not a valid rate.
  bool limit_unreadable = false;
  // The server states that it is leaving.
  bool is_leaving = false;
  // Time for which the server wants no requests from this host; not set if it
  // does not state one.
  std::optional<std::chrono::milliseconds> backoff;
  // The server fails if it has to reject more requests per second than this;
  // not set if it states no bound.
  std::optional<double> rejections_tolerated;
  // The stated time cannot be parsed.
  bool backoff_unreadable = false;
};

enum class order_verb { kLoad, kUnload };

// An order to an engine. It takes effect only at the named instance, only if
// that instance has accepted `expected` orders before, and only if it has seen
// no higher term.
struct engine_order {
  order_verb verb = order_verb::kLoad;
  std::string instance;
  std::string model;
  // Empty for the base model.
  std::string adapter;
  std::int64_t expected = 0;
  std::string holder;
  std::int64_t term = 0;
};

// Reply of an engine to an order.
enum class order_reply {
  // The engine is executing the order.
  kAccepted,
  // The engine is already in the requested state.
  kAlreadyInEffect,
  // Another order is in progress, or the number of accepted orders differs.
  kConflict,
  // The engine has seen a higher term.
  kFenced,
  // Another instance received the order; the named one no longer exists.
  kWrongInstance,
  // Any other or no reply; the order may still be executed.
  kUnknown,
};

// Keys of the store that operators and backend servers write.
struct store_keys {
  std::string configuration;
  std::string server_prefix;
  // Followed by the name of an availability zone. While the key exists, the
  // zone's backend servers receive no new requests.
  std::string evacuation_prefix;
  // Common prefix of all keys above.
  std::string watched_prefix;
};

// Functions of one external protocol.
struct external_protocol {
  // Header field with the id of a request, which its response repeats.
  std::string_view request_id_field;
  request_metadata (*read_request)(const net::http_request& request);
  // Header fields that are forwarded on every hop of a request, even if the
  // Connection field lists them.
  std::span<const std::string_view> end_to_end_fields;
  // Replaces all header fields that only this system may set.
  void (*write_attempt)(net::http_request& request,
                        const attempt_metadata& head);
  response_metadata (*read_response)(const net::http_response_header& answer);
  // Returns the id of a stream event, or nothing if it has none.
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
