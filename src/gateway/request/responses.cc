// SPDX-License-Identifier: MIT
#include "gateway/request/responses.h"

#include <boost/beast/http.hpp>

#include "base/duration.h"
#include "base/json.h"
#include "gateway/constants.h"
#include "net/http_server.h"

namespace valeledge::gateway {

namespace {

namespace json = boost::json;

std::string CompletionId(std::string_view request_id) {
  return "chatcmpl-" + std::string(request_id);
}

json::value FinishReason(std::string_view reason) {
  if (reason.empty())
    return nullptr;
  return json::value(reason);
}

}  // namespace

std::string RenderError(const base::error& failed,
                        std::string_view request_id) {
  const base::result_code_entry& entry = base::Describe(failed.code);
  json::object error;
  error["code"] = static_cast<int>(failed.code);
  error["name"] = entry.name;
  error["message"] = failed.message;
  error["advice"] = entry.advice;
  error["outcome"] = base::ToString(failed.what_ran);
  error["request"] = request_id;
  if (failed.retry_after)
    error["retry_after_ms"] = failed.retry_after->count();
  return json::serialize(json::object{{"error", std::move(error)}});
}

net::http_response ErrorResponse(const base::error& failed,
                                 std::string_view request_id) {
  auto response = net::MakeJsonResponse(base::Describe(failed.code).http_status,
                                        RenderError(failed, request_id));
  response.set(kOutcomeField, base::ToString(failed.what_ran));
  response.set(kReasonField, std::to_string(static_cast<int>(failed.code)));
  response.set(kRequestField, request_id);
  if (failed.retry_after) {
    const auto seconds = base::RoundUpToSeconds(*failed.retry_after);
    response.set(boost::beast::http::field::retry_after,
                 std::to_string(seconds.count()));
  }
  return response;
}

std::string FormatEvent(std::string_view data) {
  std::string out = "data: ";
  out.append(data).append("\n\n");
  return out;
}

std::string RenderChunk(std::string_view request_id,
                        std::string_view model,
                        std::string_view text,
                        std::string_view finish_reason) {
  json::object choice;
  choice["index"] = 0;
  choice["delta"] = {{"content", text}};
  choice["finish_reason"] = FinishReason(finish_reason);
  json::object chunk;
  chunk["id"] = CompletionId(request_id);
  chunk["object"] = "chat.completion.chunk";
  chunk["model"] = model;
  chunk["choices"] = json::array{std::move(choice)};
  return json::serialize(chunk);
}

std::string RenderCompletion(std::string_view request_id,
                             std::string_view model,
                             std::string_view text,
                             std::string_view finish_reason,
                             std::int64_t tokens) {
  json::object choice;
  choice["index"] = 0;
  choice["message"] = {{"role", "assistant"}, {"content", text}};
  choice["finish_reason"] = FinishReason(finish_reason);
  json::object completion;
  completion["id"] = CompletionId(request_id);
  completion["object"] = "chat.completion";
  completion["model"] = model;
  completion["choices"] = json::array{std::move(choice)};
  completion["usage"] = {{"completion_tokens", tokens}};
  return json::serialize(completion);
}

}  // namespace valeledge::gateway
