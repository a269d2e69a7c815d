// SPDX-License-Identifier: MIT
#include "gateway/request/attempt.h"

#include <algorithm>
#include <utility>

#include <boost/beast/http.hpp>

#include "base/json.h"
#include "base/logging.h"
#include "gateway/constants.h"
#include "gateway/request/event_reader.h"
#include "net/attempt_field.h"

namespace valeledge::gateway {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using base::result_code;

constexpr std::string_view kEndMarker = "[DONE]";

std::string_view ToText(decisions::chunk_fault fault) {
  switch (fault) {
    case decisions::chunk_fault::kWrongAttempt:
      return "a chunk of another attempt";
    case decisions::chunk_fault::kGap:
      return "a missing chunk";
    case decisions::chunk_fault::kRepeat:
      return "a repeated chunk";
    case decisions::chunk_fault::kAfterEnd:
      return "a chunk after the end";
  }
  return "an invalid chunk";
}

net::http_request BuildRequest(const chat_request& request,
                               const grant& issued,
                               const partial_response& response) {
  json::object body = request.body;
  body["stream"] = true;
  body["request_id"] = issued.attempt_id;
  body["priority"] = request.common.priority;
  if (response.tokens > 0) {
    body["resume_from"] = response.tokens;
    body["resume_text"] = response.text;
  }
  auto out = net::MakeRequest(http::verb::post, "/v1/chat/completions",
                              json::serialize(body));
  out.set(net::kAttemptField, issued.attempt_id);
  return out;
}

// State while reading the response of an attempt.
struct response_reader {
  decisions::response_progress progress;
  event_reader events;
  bool end_seen = false;
  bool caller_gone = false;
};

base::result<decisions::response_chunk> CheckEvent(response_reader& reader,
                                                   const std::string& data) {
  auto chunk = ParseChunk(data);
  if (!chunk) {
    return base::Unknown(
        result_code::kAnswerBroken,
        "the backend server sent an event that is not a valid chunk");
  }
  const auto fault = decisions::AcceptChunk(reader.progress, *chunk);
  if (fault) {
    return base::Unknown(
        result_code::kAnswerBroken,
        "the backend server sent " + std::string(ToText(*fault)));
  }
  return std::move(*chunk);
}

// Forwards all complete events received so far; an error ends the attempt.
asio::awaitable<base::result<void>> ForwardEvents(response_reader& reader,
                                                  partial_response& response,
                                                  const chunk_sink& sink) {
  while (auto data = reader.events.Next()) {
    if (*data == kEndMarker) {
      reader.end_seen = true;
      co_return base::result<void>();
    }
    const auto chunk = CheckEvent(reader, *data);
    if (!chunk)
      co_return tl::make_unexpected(chunk.error());
    response.tokens = reader.progress.next_offset;
    response.text.append(chunk->text);
    response.finish_reason = chunk->finish_reason;
    const bool taken = co_await sink(*chunk);
    if (!taken) {
      reader.caller_gone = true;
      co_return base::Unknown(result_code::kCallerGone,
                              "the caller has disconnected");
    }
  }
  if (reader.events.IsOverlong()) {
    co_return base::Unknown(result_code::kAnswerBroken,
                            "the backend server sent an overlong event");
  }
  co_return base::result<void>();
}

asio::awaitable<base::result<void>> ReadResponse(const chat_request& request,
                                                 const attempt_context& context,
                                                 partial_response& response,
                                                 const chunk_sink& sink) {
  response_reader reader;
  reader.progress.attempt = context.issued.attempt_id;
  reader.progress.next_offset = response.tokens;
  while (!reader.end_seen) {
    const auto timeout =
        std::min(Remaining(request.common), context.settings.stall_timeout);
    const auto piece = co_await context.open->ReadSome(timeout);
    if (!piece)
      co_return tl::make_unexpected(piece.error());
    if (piece->empty())
      break;
    reader.events.Append(*piece);
    const auto forwarded = co_await ForwardEvents(reader, response, sink);
    if (!forwarded)
      co_return forwarded;
  }
  if (!reader.end_seen || !reader.progress.finished) {
    co_return base::Unknown(
        result_code::kAnswerBroken,
        "the response of the backend server ended without its end marker");
  }
  context.http.DiscardBody(context.open);
  co_return base::result<void>();
}

decisions::interrupted_attempt BrokenAttemptOf(
    const base::error& failed,
    base::time_point started,
    std::chrono::microseconds first_token) {
  decisions::interrupted_attempt out;
  out.connection_lost = failed.connection_lost;
  if (first_token.count() > 0) {
    out.response_duration =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::steady_clock::now() - started - first_token);
  }
  return out;
}

bool IsDraining(const net::http_response_header& header) {
  const auto field = header.find("Valeledge-Draining");
  return field != header.end();
}

}  // namespace

bool IsRefusal(unsigned status) {
  return status == 429 || status == 503;
}

asio::awaitable<attempt_outcome> RunChatAttempt(const chat_request& request,
                                                attempt_context context,
                                                partial_response& response,
                                                const chunk_sink& sink) {
  attempt_outcome out;
  const auto started = std::chrono::steady_clock::now();
  const std::int64_t tokens_before = response.tokens;
  const auto timeout =
      std::min(Remaining(request.common), context.settings.stall_timeout);
  auto opened = co_await context.http.Open(
      context.issued.address, BuildRequest(request, context.issued, response),
      net::open_limit{std::min(timeout, context.settings.connect_timeout),
                      timeout, request.common.deadline});
  if (!opened) {
    out.report.what_ran = opened.error().what_ran;
    out.report.unreachable = true;
    out.report.server_crashed =
        decisions::MayHaveCrashedServer({opened.error().connection_lost, {}});
    out.result = tl::make_unexpected(opened.error());
    co_return out;
  }
  context.open = *opened;
  const unsigned status =
      static_cast<unsigned>((*opened)->header().result_int());
  if (status != 200) {
    const bool refused = IsRefusal(status);
    out.report.draining = IsDraining((*opened)->header());
    out.report.what_ran =
        refused ? base::outcome::kNotRun : base::outcome::kUnknown;
    out.result = tl::make_unexpected(base::error{
        refused ? result_code::kBackendRefused : result_code::kOutcomeUnknown,
        out.report.what_ran,
        "the backend server responded with status " + std::to_string(status),
        std::nullopt});
    (*opened)->Abandon();
    context.open.reset();
    co_return out;
  }
  const chunk_sink timed_sink =
      [&](const decisions::response_chunk& chunk) -> asio::awaitable<bool> {
    if (out.report.first_token.count() == 0) {
      out.report.first_token =
          std::chrono::duration_cast<std::chrono::microseconds>(
              std::chrono::steady_clock::now() - started);
    }
    return sink(chunk);
  };
  out.result = co_await ReadResponse(request, context, response, timed_sink);
  if (!out.result) {
    (*opened)->Abandon();
    out.report.server_crashed = decisions::MayHaveCrashedServer(
        BrokenAttemptOf(out.result.error(), started, out.report.first_token));
  }
  context.open.reset();
  out.report.tokens =
      static_cast<std::int32_t>(response.tokens - tokens_before);
  out.report.succeeded = out.result.has_value();
  out.report.what_ran =
      out.result ? base::outcome::kCompleted : base::outcome::kUnknown;
  co_return out;
}

}  // namespace valeledge::gateway
