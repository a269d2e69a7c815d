// SPDX-License-Identifier: MIT
#include "host/request/response_forwarding.h"

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <utility>

#include "decisions/response_status.h"
#include "decisions/run_evidence.h"
#include "host/request/attempt_timeouts.h"
#include "host/request/event_splitter.h"
#include "host/request/http_forwarding.h"
#include "host/request/peer_relay.h"
#include "host/request/stream_continuation.h"
#include "net/field_memory.h"
#include "net/retry_after.h"

namespace valeledge::host {

namespace {

namespace asio = boost::asio;
using base::result_code;
using catalog::route_kind;

// Events are held as they were read, as they are passed on, and as a chunk.
constexpr std::int64_t kCopiesOfEvents = 3;

// A stream of which parts have been read.
struct forwarded_stream {
  event_splitter events;
  // The id of the next event does not follow that of the last one.
  bool is_event_missing = false;
};

// The header as it is passed on to the caller or to the relaying host.
net::http_response_header PassedHeader(
    const request_state& state,
    const net::http_response_header& header) {
  auto passed = ForwardableHeader(header);
  if (state.routed.is_relayed)
    WriteRelayFields(passed,
                     {.server = state.instance, .software = state.software});
  return passed;
}

asio::awaitable<bool> StartResponse(request_state& state,
                                    const net::http_response_header& header) {
  state.trace.response_started = true;
  const bool sent = co_await state.responder.Start(PassedHeader(state, header));
  co_return sent;
}

// Returns the next part of the response body, empty at the end. An error ends
// the attempt; a failed read counts as a failure of the server unless the
// caller has disconnected.
asio::awaitable<tl::expected<std::string_view, attempt_outcome>> ReadPiece(
    request_state& state,
    net::http_exchange& exchange,
    server_attempt* attempt) {
  const auto left = RemainingTime(state.routed);
  if (left.count() <= 0)
    co_return tl::make_unexpected(attempt_outcome::kUnknown);
  auto piece = co_await exchange.ReadSome(left);
  if (state.responder.caller_gone()) {
    exchange.Abandon();
    co_return tl::make_unexpected(attempt_outcome::kDone);
  }
  // A part that was in the buffer already is read from a closed connection.
  if (piece && state.watch != nullptr && state.watch->has_abandoned())
    piece = base::Unknown(result_code::kAnswerBroken, "not read to its end");
  if (!piece) {
    state.last_error = piece.error();
    ExplainAbandoned(state);
    if (attempt != nullptr) {
      attempt->OnConnectionError(state.last_error);
      attempt->OnFailed(false);
    }
    co_return tl::make_unexpected(attempt_outcome::kUnknown);
  }
  if (attempt != nullptr)
    attempt->OnData();
  if (!piece->empty() && !state.progress.first_body_at)
    state.progress.first_body_at = std::chrono::steady_clock::now();
  // A relayed response is evidence at the host that reaches the server.
  if (attempt != nullptr)
    state.crash_monitor.OnData(state.progress);
  co_return *piece;
}

// Ends an attempt whose response cannot be used. The server may be sending it
// without an end.
void EndUnusableResponse(request_state& state,
                         net::http_exchange& exchange,
                         server_attempt* attempt,
                         std::string reason) {
  state.last_error = base::MakeError(
      result_code::kAnswerBroken, base::outcome::kUnknown, std::move(reason));
  exchange.Abandon();
  if (attempt != nullptr)
    attempt->OnFailed(false);
}

// Sends a response whose bytes the exchange holds: the caller may take them
// slowly.
asio::awaitable<void> SendHeld(request_state& state,
                               net::http_exchange& exchange,
                               net::http_response whole) {
  exchange.OnGiveWay([&state] { state.responder.Break(); });
  co_await state.responder.Send(std::move(whole));
}

// Keeps an error response in case no further attempt follows, if there is
// memory for it.
void KeepErrorResponse(request_state& state, net::http_response whole) {
  state.server_error_response.reset();
  state.server_error_share = std::make_unique<base::memory_share>(
      state.core.response_memory,
      [&state] { state.server_error_response.reset(); });
  const auto body = static_cast<std::int64_t>(whole.body().capacity());
  if (state.server_error_share->Resize(net::MemoryOf(whole) + body))
    state.server_error_response = std::move(whole);
}

// A whole response that is not a server error has arrived from a server.
void OnWholeResponse(request_state& state,
                     const net::http_exchange& exchange,
                     server_attempt& attempt) {
  attempt.OnCompleted();
  state.crash_monitor.OnWholeResponse(
      attempt.server(), state.progress,
      static_cast<int>(exchange.header().result_int()),
      !exchange.EndsWithConnection());
}

asio::awaitable<tl::expected<net::http_response, attempt_outcome>>
ReadWholeResponse(request_state& state,
                  net::http_exchange& exchange,
                  server_attempt* attempt) {
  net::http_response whole(PassedHeader(state, exchange.header()));
  while (true) {
    const auto piece = co_await ReadPiece(state, exchange, attempt);
    if (!piece)
      co_return tl::make_unexpected(piece.error());
    if (piece->empty())
      co_return whole;
    if (!exchange.Append(whole.body(), *piece, net::kMaxAnswerBytes)) {
      EndUnusableResponse(state, exchange, attempt,
                          "the response exceeds the maximum size");
      co_return tl::make_unexpected(attempt_outcome::kUnknown);
    }
  }
}

// Ends an attempt with a response by which the server failed the request. A
// status that would promise that the request has not run is not passed on: the
// server does not state that.
asio::awaitable<attempt_outcome> EndFailedAttempt(request_state& state,
                                                  net::http_exchange& exchange,
                                                  net::http_response whole,
                                                  server_attempt* attempt) {
  LogServerFailure(state.core, state.routed, state.trace, state.instance);
  if (attempt != nullptr)
    attempt->OnFailed(false);
  const int status = state.trace.server_status;
  const bool is_promise = decisions::PromisesNotRun(status);
  const bool may_repeat = state.routed.route->MayRepeat();
  if (!is_promise && !may_repeat) {
    co_await SendHeld(state, exchange, std::move(whole));
    co_return attempt_outcome::kDone;
  }
  state.last_error = base::MakeError(
      result_code::kOutcomeUnknown, base::outcome::kUnknown,
      "the backend server responded with status " + std::to_string(status));
  if (may_repeat) {
    state.last_error.retry_after =
        net::ReadRetryAfter(whole, std::chrono::system_clock::now()).delay;
  }
  if (!is_promise)
    KeepErrorResponse(state, std::move(whole));
  else if (attempt == nullptr)
    state.peer_error = state.last_error;
  co_return attempt_outcome::kUnknown;
}

asio::awaitable<attempt_outcome> ForwardWholeResponse(
    request_state& state,
    net::http_exchange& exchange,
    server_attempt* attempt) {
  auto whole = co_await ReadWholeResponse(state, exchange, attempt);
  if (!whole)
    co_return whole.error();
  if (attempt != nullptr)
    attempt->OnFirstByte();
  const int status = state.trace.server_status;
  if (state.trace.response_started) {
    // The server did not resume the stream but sent another response.
    state.last_error = base::MakeError(
        result_code::kAnswerBroken, base::outcome::kUnknown,
        "cannot resume the stream: the backend server responded with status " +
            std::to_string(status));
    if (attempt != nullptr)
      attempt->OnFailed(false);
    co_return attempt_outcome::kUnknown;
  }
  if (decisions::IsServerFailure(status)) {
    const attempt_outcome outcome =
        co_await EndFailedAttempt(state, exchange, std::move(*whole), attempt);
    co_return outcome;
  }
  if (attempt != nullptr)
    OnWholeResponse(state, exchange, *attempt);
  co_await SendHeld(state, exchange, std::move(*whole));
  co_return attempt_outcome::kDone;
}

// Forwards all complete events up to a gap in their ids; returns false if the
// caller has disconnected.
asio::awaitable<bool> ForwardEvents(request_state& state,
                                    forwarded_stream& stream,
                                    const net::http_response_header& header,
                                    server_attempt* attempt) {
  std::string batch;
  while (!stream.is_event_missing) {
    const auto event = stream.events.Next();
    if (!event)
      break;
    const auto id = state.core.protocol.read_event_id(*event);
    if (id && !state.trace.last_event_id.empty()) {
      const std::int64_t last = std::atoll(state.trace.last_event_id.c_str());
      // A server that resumes a stream may repeat events that the caller
      // already has, but must not skip any.
      if (*id <= last)
        continue;
      stream.is_event_missing = *id != last + 1;
    }
    if (stream.is_event_missing)
      break;
    if (id)
      state.trace.last_event_id = std::to_string(*id);
    batch.append(*event);
    ++state.trace.events;
  }
  if (batch.empty())
    co_return true;
  if (attempt != nullptr) {
    attempt->OnFirstByte();
    attempt->OnEvents(state.trace.events);
  }
  if (state.watch != nullptr)
    state.watch->OnStarted();
  RecordEventGap(state.routed, state.trace);
  state.routed.waiting_since = state.trace.last_event_at;
  if (!state.trace.response_started) {
    RecordStreamBegun(state.core, state.routed, state.software);
    const bool begun = co_await StartResponse(state, header);
    if (!begun)
      co_return false;
  }
  const bool sent = co_await state.responder.Write(batch);
  co_return sent;
}

// Records the length of a whole stream. The rest of a stream that its caller
// resumes is not one.
void RecordLength(request_state& state) {
  if (state.routed.metadata.resume_after.empty())
    decisions::RecordStreamLength(
        state.core.stream_lengths[state.routed.route->name],
        state.trace.events);
}

asio::awaitable<attempt_outcome> ForwardStream(request_state& state,
                                               net::http_exchange& exchange,
                                               server_attempt* attempt) {
  forwarded_stream stream;
  exchange.OnGiveWay([&state, &exchange] {
    exchange.Abandon();
    // The caller may be slow to take the last events.
    if (state.trace.response_started)
      state.responder.Break();
  });
  while (true) {
    const auto piece = co_await ReadPiece(state, exchange, attempt);
    if (!piece)
      co_return piece.error();
    if (piece->empty())
      break;
    stream.events.Append(*piece);
    if (!exchange.Hold(kCopiesOfEvents * stream.events.HeldBytes())) {
      EndUnusableResponse(state, exchange, attempt,
                          "no memory is left for the event");
      co_return attempt_outcome::kUnknown;
    }
    const bool passed =
        co_await ForwardEvents(state, stream, exchange.header(), attempt);
    if (!passed) {
      exchange.Abandon();
      co_return attempt_outcome::kDone;
    }
    if (stream.is_event_missing || stream.events.IsOverlong()) {
      EndUnusableResponse(state, exchange, attempt,
                          stream.is_event_missing
                              ? "the stream skipped an event"
                              : "an event exceeds the maximum size");
      co_return attempt_outcome::kUnknown;
    }
  }
  if (!stream.events.Remainder().empty()) {
    EndUnusableResponse(state, exchange, attempt,
                        "the stream ended in the middle of an event");
    co_return attempt_outcome::kUnknown;
  }
  if (attempt != nullptr)
    OnWholeResponse(state, exchange, *attempt);
  RecordLength(state);
  if (!state.trace.response_started)
    co_await StartResponse(state, exchange.header());
  co_await state.responder.Finish();
  co_return attempt_outcome::kDone;
}

}  // namespace

bool StatesNotRun(const request_state& state,
                  const response_metadata& metadata) {
  decisions::response_statement statement;
  statement.names_request = metadata.request_id == state.routed.metadata.id;
  statement.not_run = metadata.not_run;
  statement.misdirected = metadata.misdirected;
  statement.is_signed = metadata.is_signed;
  statement.is_of_other_instance = !state.instance.empty() &&
                                   !metadata.instance.empty() &&
                                   metadata.instance != state.instance;
  return decisions::ShowsNotRun(statement);
}

bool IsServerResponse(request_state& state, const response_metadata& metadata) {
  const bool names_request = metadata.request_id == state.routed.metadata.id;
  const bool is_foreign = !names_request && !metadata.request_id.empty();
  // A refusal of an earlier request on the connection may come late.
  const bool needs_name = metadata.not_run || metadata.misdirected;
  const bool is_result =
      metadata.is_signed && !is_foreign && (names_request || !needs_name);
  const bool is_trusted = is_result || StatesNotRun(state, metadata);
  if (is_trusted && !metadata.is_encoded)
    return true;
  state.last_error = base::MakeError(
      result_code::kAnswerBroken, base::outcome::kUnknown,
      "the response is unsigned, encoded, or not certainly to this request");
  return false;
}

asio::awaitable<attempt_outcome> ForwardResponse(request_state& state,
                                                 net::http_exchange& exchange,
                                                 server_attempt* attempt) {
  state.trace.wait = request_wait::kResponseBody;
  state.trace.server_status = static_cast<int>(exchange.header().result_int());
  const bool streams = state.routed.route->kind == route_kind::kStream &&
                       exchange.header().result_int() == 200;
  if (streams) {
    const attempt_outcome outcome =
        co_await ForwardStream(state, exchange, attempt);
    co_return outcome;
  }
  const attempt_outcome outcome =
      co_await ForwardWholeResponse(state, exchange, attempt);
  co_return outcome;
}

}  // namespace valeledge::host
