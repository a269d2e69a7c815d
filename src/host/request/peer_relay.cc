// SPDX-License-Identifier: MIT
#include "host/request/peer_relay.h"

#include <algorithm>
#include <charconv>

#include "host/request/http_forwarding.h"

namespace valeledge::host {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view kVersionField = "Valeledge-Relay-Version";
constexpr std::string_view kExecutionsField = "Valeledge-Relay-Executions";
constexpr std::string_view kServiceField = "Valeledge-Relay-Service";
constexpr std::string_view kSoftwareField = "Valeledge-Relay-Software";
constexpr std::string_view kWorkspaceField = "Valeledge-Relay-Workspace";
constexpr std::string_view kLeavingField = "Valeledge-Relay-Leaving";
constexpr std::string_view kFailedField = "Valeledge-Relay-Failed";
constexpr std::string_view kCodeField = "Valeledge-Relay-Code";
constexpr std::string_view kOutcomeField = "Valeledge-Relay-Outcome";
constexpr std::string_view kServerField = "Valeledge-Relay-Server";

template <typename fields_type>
std::string_view Field(const fields_type& fields, std::string_view name) {
  const auto found = fields.find(name);
  if (found == fields.end())
    return {};
  return {found->value().data(), found->value().size()};
}

// A missing or malformed number counts as 0.
std::int64_t NumberOf(std::string_view text) {
  std::int64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

std::vector<std::string> SplitAtCommas(std::string_view text) {
  std::vector<std::string> out;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find(','), text.size());
    out.emplace_back(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return out;
}

std::string JoinWithCommas(const std::vector<std::string>& values) {
  std::string out;
  for (const std::string& each : values)
    out.append(out.empty() ? "" : ",").append(each);
  return out;
}

std::vector<std::string> LeavingServers(const host_core& core,
                                        std::string_view service) {
  std::vector<std::string> out;
  for (const auto& [instance, server] : core.servers.servers()) {
    if (server->entry.service == service && server->SaysLeaving())
      out.push_back(instance);
  }
  return out;
}

}  // namespace

void WriteRelayFields(net::http_request& request,
                      const relayed_request& relayed) {
  request.set(kVersionField, std::to_string(relayed.version));
  request.set(kExecutionsField, std::to_string(relayed.possible_executions));
  request.set(kServiceField, relayed.service);
  if (relayed.software)
    request.set(kSoftwareField, *relayed.software);
  if (!relayed.workspace.empty())
    request.set(kWorkspaceField, relayed.workspace);
  if (!relayed.leaving.empty())
    request.set(kLeavingField, JoinWithCommas(relayed.leaving));
  if (!relayed.failed.empty())
    request.set(kFailedField, JoinWithCommas(relayed.failed));
}

relayed_request ReadRelayFields(const net::http_request& request) {
  relayed_request out;
  out.version = NumberOf(Field(request, kVersionField));
  out.possible_executions = NumberOf(Field(request, kExecutionsField));
  out.service = Field(request, kServiceField);
  if (request.find(kSoftwareField) != request.end())
    out.software = Field(request, kSoftwareField);
  out.workspace = Field(request, kWorkspaceField);
  out.leaving = SplitAtCommas(Field(request, kLeavingField));
  out.failed = SplitAtCommas(Field(request, kFailedField));
  return out;
}

void WriteRelayFields(net::http_response_header& response,
                      const relayed_response& relayed) {
  if (relayed.code != base::result_code::kOk) {
    response.set(kCodeField, std::to_string(static_cast<int>(relayed.code)));
    response.set(kOutcomeField, base::ToString(relayed.what_ran));
  }
  if (!relayed.server.empty())
    response.set(kServerField, relayed.server);
  if (relayed.code == base::result_code::kOk)
    response.set(kSoftwareField, relayed.software);
}

relayed_response ReadRelayFields(const net::http_response_header& response) {
  relayed_response out;
  out.code =
      static_cast<base::result_code>(NumberOf(Field(response, kCodeField)));
  if (Field(response, kOutcomeField) == base::ToString(base::outcome::kNotRun))
    out.what_ran = base::outcome::kNotRun;
  out.server = Field(response, kServerField);
  out.software = Field(response, kSoftwareField);
  return out;
}

net::http_request MakeRelayedRequest(const request_state& state) {
  const host_core& core = state.core;
  const routed_request& routed = state.routed;
  auto out = ForwardableRequest(state.request, core.protocol.end_to_end_fields);
  attempt_metadata fields;
  fields.deadline = std::max(RemainingTime(routed), milliseconds(1));
  fields.resume_after = state.trace.last_event_id;
  core.protocol.write_attempt(out, fields);
  relayed_request relayed;
  relayed.version = routed.configuration->version;
  relayed.possible_executions = state.possible_executions;
  relayed.service = routed.service->name;
  if (routed.origin)
    relayed.software = routed.origin->software;
  relayed.workspace = WorkspaceName(routed);
  relayed.leaving = LeavingServers(core, routed.service->name);
  relayed.failed = state.failed_at_peers;
  WriteRelayFields(out, relayed);
  return out;
}

}  // namespace valeledge::host
