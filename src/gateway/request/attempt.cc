// SPDX-License-Identifier: MIT
#include "gateway/request/attempt.h"

#include <algorithm>
#include <utility>

#include <boost/beast/http.hpp>

#include "base/json.h"
#include "base/logging.h"
#include "gateway/constants.h"
#include "gateway/request/event_reader.h"

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
  return "a broken chunk";
}

net::http_request BuildRequest(const chat_request& request,
                               const grant& given,
                               const answer_so_far& answer) {
  json::object body = request.body;
  body["stream"] = true;
  body["request_id"] = given.attempt_id;
  body["priority"] = request.frame.priority;
  if (answer.tokens > 0) {
    body["resume_from"] = answer.tokens;
    body["resume_text"] = answer.text;
  }
  auto out = net::MakeRequest(http::verb::post, "/v1/chat/completions",
                              json::serialize(body));
  out.set(kAttemptField, given.attempt_id);
  return out;
}

// The state of reading one attempt's answer.
struct answer_reading {
  decisions::response_progress progress;
  event_reader events;
  bool end_seen = false;
  bool caller_gone = false;
};

base::result<decisions::response_chunk> CheckEvent(answer_reading& reading,
                                                   const std::string& data) {
  auto chunk = ParseChunk(data);
  if (!chunk) {
    return base::Unknown(result_code::kAnswerBroken,
                         "the backend server sent what is not a chunk");
  }
  const auto fault = decisions::AcceptChunk(reading.progress, *chunk);
  if (fault) {
    return base::Unknown(
        result_code::kAnswerBroken,
        "the backend server sent " + std::string(ToText(*fault)));
  }
  return std::move(*chunk);
}

// Passes on every whole event that has come; an error ends the attempt.
asio::awaitable<base::result<void>> PassOn(answer_reading& reading,
                                           answer_so_far& answer,
                                           const chunk_sink& sink) {
  while (auto data = reading.events.Next()) {
    if (*data == kEndMarker) {
      reading.end_seen = true;
      co_return base::result<void>();
    }
    const auto chunk = CheckEvent(reading, *data);
    if (!chunk)
      co_return tl::make_unexpected(chunk.error());
    answer.tokens = reading.progress.next_offset;
    answer.text.append(chunk->text);
    answer.finish_reason = chunk->finish_reason;
    const bool taken = co_await sink(*chunk);
    if (!taken) {
      reading.caller_gone = true;
      co_return base::Unknown(result_code::kCallerGone, "the caller is gone");
    }
  }
  if (reading.events.IsOverlong()) {
    co_return base::Unknown(result_code::kAnswerBroken,
                            "the backend server sent an overlong event");
  }
  co_return base::result<void>();
}

asio::awaitable<base::result<void>> ReadAnswer(const chat_request& request,
                                               const attempt_frame& frame,
                                               answer_so_far& answer,
                                               const chunk_sink& sink) {
  answer_reading reading;
  reading.progress.attempt = frame.given.attempt_id;
  reading.progress.next_offset = answer.tokens;
  while (!reading.end_seen) {
    const auto patience =
        std::min(Remaining(request.frame), frame.settings.stall_timeout);
    const auto piece = co_await frame.open->ReadSome(patience);
    if (!piece)
      co_return tl::make_unexpected(piece.error());
    if (piece->empty())
      break;
    reading.events.Append(*piece);
    const auto passed = co_await PassOn(reading, answer, sink);
    if (!passed)
      co_return passed;
  }
  if (!reading.end_seen || !reading.progress.finished) {
    co_return base::Unknown(result_code::kAnswerBroken,
                            "the answer ended without its end marker");
  }
  // The transport's own end follows, so that the connection can be kept.
  const auto rest = co_await frame.open->ReadSome(frame.settings.stall_timeout);
  if (rest && !rest->empty())
    frame.open->Abandon();
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

asio::awaitable<attempt_end> RunChatAttempt(const chat_request& request,
                                            attempt_frame frame,
                                            answer_so_far& answer,
                                            const chunk_sink& sink) {
  attempt_end out;
  const auto started = std::chrono::steady_clock::now();
  const std::int64_t tokens_before = answer.tokens;
  const auto patience =
      std::min(Remaining(request.frame), frame.settings.stall_timeout);
  auto opened = co_await frame.http.Open(
      frame.given.address, BuildRequest(request, frame.given, answer),
      std::min(patience, frame.settings.connect_timeout), patience);
  if (!opened) {
    out.told.what_ran = opened.error().what_ran;
    out.told.unreachable = true;
    out.told.server_ended =
        decisions::MayHaveCrashedServer({opened.error().connection_lost, {}});
    out.ended = tl::make_unexpected(opened.error());
    co_return out;
  }
  frame.open = *opened;
  const unsigned status =
      static_cast<unsigned>((*opened)->header().result_int());
  if (status != 200) {
    const bool refused = IsRefusal(status);
    out.told.draining = IsDraining((*opened)->header());
    out.told.what_ran =
        refused ? base::outcome::kNotRun : base::outcome::kUnknown;
    out.ended = tl::make_unexpected(base::error{
        refused ? result_code::kBackendRefused : result_code::kOutcomeUnknown,
        out.told.what_ran,
        "the backend server answered " + std::to_string(status), std::nullopt});
    (*opened)->Abandon();
    frame.open.reset();
    co_return out;
  }
  const chunk_sink noting =
      [&](const decisions::response_chunk& chunk) -> asio::awaitable<bool> {
    if (out.told.first_token.count() == 0) {
      out.told.first_token =
          std::chrono::duration_cast<std::chrono::microseconds>(
              std::chrono::steady_clock::now() - started);
    }
    return sink(chunk);
  };
  out.ended = co_await ReadAnswer(request, frame, answer, noting);
  if (!out.ended) {
    (*opened)->Abandon();
    out.told.server_ended = decisions::MayHaveCrashedServer(
        BrokenAttemptOf(out.ended.error(), started, out.told.first_token));
  }
  frame.open.reset();
  out.told.tokens = static_cast<std::int32_t>(answer.tokens - tokens_before);
  out.told.answered_well = out.ended.has_value();
  out.told.what_ran =
      out.ended ? base::outcome::kCompleted : base::outcome::kUnknown;
  co_return out;
}

}  // namespace valeledge::gateway
