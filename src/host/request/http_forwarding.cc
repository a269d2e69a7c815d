// SPDX-License-Identifier: MIT
#include "host/request/http_forwarding.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <string>
#include <vector>

#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include "base/result_code.h"
#include "decisions/response_status.h"
#include "host/constants.h"
#include "net/http_server.h"

namespace valeledge::host {

namespace {

namespace http = boost::beast::http;

// Hop-by-hop fields (RFC 9110, 7.6.1) and Content-Length, which is set again
// when the message is sent.
constexpr std::array kHopByHopFields = {
    http::field::connection,        http::field::keep_alive,
    http::field::proxy_connection,  http::field::te,
    http::field::trailer,           http::field::transfer_encoding,
    http::field::upgrade,           http::field::content_length,
    http::field::proxy_authenticate};

template <typename fields_type>
void EraseHopByHopFields(fields_type& fields) {
  for (const http::field each : kHopByHopFields)
    fields.erase(each);
}

bool EqualsIgnoringCase(std::string_view one, std::string_view other) {
  return boost::beast::iequals({one.data(), one.size()},
                               {other.data(), other.size()});
}

template <typename fields_type>
void EraseRelayFields(fields_type& fields) {
  const std::size_t length = kRelayFieldPrefix.size();
  std::vector<std::string> names;
  for (const auto& field : fields) {
    const auto name = field.name_string();
    if (EqualsIgnoringCase({name.data(), std::min(length, name.size())},
                           kRelayFieldPrefix))
      names.emplace_back(name.data(), name.size());
  }
  for (const std::string& each : names)
    fields.erase(each);
}

bool ContainsIgnoringCase(std::span<const std::string_view> names,
                          std::string_view name) {
  return std::ranges::any_of(names, [&](std::string_view each) {
    return EqualsIgnoringCase(each, name);
  });
}

// Names of the fields listed in the Connection field of the request.
std::vector<std::string> FieldsNamedInConnection(
    const net::http_request& request) {
  std::vector<std::string> names;
  const auto [begin, end] = request.equal_range(http::field::connection);
  for (auto field = begin; field != end; ++field) {
    for (const auto& name : http::token_list(field->value()))
      names.emplace_back(name.data(), name.size());
  }
  return names;
}

std::string FormatSeconds(std::chrono::milliseconds value) {
  std::array<char, 32> text;
  const int length =
      std::snprintf(text.data(), text.size(), "%.3f",
                    std::chrono::duration<double>(value).count());
  return std::string(text.data(), static_cast<std::size_t>(length));
}

// Returns the code of the response to a request that failed. One that may have
// run gets none of these statuses, whatever failed last.
const base::result_code_entry& DescribeResponse(const base::error& failed) {
  const base::result_code_entry& entry = base::Describe(failed.code);
  const bool is_contradiction = failed.what_ran != base::outcome::kNotRun &&
                                decisions::PromisesNotRun(entry.http_status);
  return is_contradiction ? base::Describe(base::result_code::kOutcomeUnknown)
                          : entry;
}

}  // namespace

net::http_response MakeErrorResponse(const base::error& failed) {
  const base::result_code_entry& entry = DescribeResponse(failed);
  boost::json::object body;
  body["code"] = static_cast<int>(entry.code);
  body["name"] = entry.name;
  body["outcome"] = base::ToString(failed.what_ran);
  body["message"] = failed.message;
  body["advice"] = entry.advice;
  boost::json::object wrapped;
  wrapped["error"] = std::move(body);
  auto response =
      net::MakeJsonResponse(entry.http_status, boost::json::serialize(wrapped));
  if (failed.retry_after)
    response.set(http::field::retry_after, FormatSeconds(*failed.retry_after));
  return response;
}

net::http_request ForwardableRequest(
    const net::http_request& request,
    std::span<const std::string_view> end_to_end) {
  net::http_request forwarded = request;
  for (const std::string& each : FieldsNamedInConnection(request)) {
    if (!ContainsIgnoringCase(end_to_end, each) &&
        !EqualsIgnoringCase(each, "Host"))
      forwarded.erase(each);
  }
  EraseHopByHopFields(forwarded);
  EraseRelayFields(forwarded);
  return forwarded;
}

net::http_response_header ForwardableHeader(net::http_response_header header) {
  EraseHopByHopFields(header);
  EraseRelayFields(header);
  return header;
}

}  // namespace valeledge::host
