// SPDX-License-Identifier: MIT
#include "host/process/response_updates.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "base/logging.h"
#include "decisions/brittle_server.h"
#include "decisions/server_notices.h"
#include "host/process/limit_updates.h"

namespace valeledge::host {

namespace {

using base::log_event;

constexpr std::string_view kCategory = "notices";
constexpr std::string_view kCounter = "valeledge_server_notices_total";

// The address of a server may belong to another instance by now.
bool IsOfInstance(const response_metadata& response,
                  const known_server& server) {
  if (response.instance.empty())
    return !response.misdirected;
  return response.instance == server.entry.instance;
}

void RecordUnreadable(host_core& core, known_server& server) {
  core.metrics.Counter(kCounter, "unreadable").Add();
  if (!server.backoff_unreadable) {
    base::Log(kCategory, log_event::kServerBackoffUnreadable,
              {{"server", server.entry.instance}});
  }
  server.backoff_unreadable = true;
}

void ApplyNotices(host_core& core,
                  known_server& server,
                  const response_metadata& response) {
  if (!IsOfInstance(response, server))
    return;
  if (response.backoff_unreadable)
    RecordUnreadable(core, server);
  const decisions::response_notice notice{response.is_leaving, response.backoff,
                                          std::chrono::steady_clock::now()};
  const auto changes = decisions::Observe(server.notices, notice);
  if (response.backoff)
    core.metrics.Counter(kCounter, "backoff").Add();
  if (changes.started_leaving) {
    core.metrics.Counter(kCounter, "leaving").Add();
    base::Log(kCategory, log_event::kServerLeaving,
              {{"server", server.entry.instance}, {"source", "response"}});
  }
  if (changes.started_backoff) {
    base::Log(kCategory, log_event::kServerBackoffStarted,
              {{"server", server.entry.instance},
               {"service", server.entry.service},
               {"for_ms", std::int64_t{response.backoff->count()}}});
  }
}

// Sends nothing to a server that tolerates few rejections for a while.
void PauseFullServer(host_core& core, known_server& server) {
  std::uniform_real_distribution<double> jitter(0, 1);
  const auto pause = decisions::BrittlePause(*server.rejections_tolerated,
                                             core.hosts, jitter(core.random));
  decisions::Observe(server.notices,
                     {false, pause, std::chrono::steady_clock::now()});
  core.metrics.Counter(kCounter, "full").Add();
}

void ApplyRejections(host_core& core,
                     known_server& server,
                     const response_metadata& response) {
  const bool is_servers = response.is_signed || !response.request_id.empty();
  if (!is_servers || !IsOfInstance(response, server))
    return;
  server.rejections_tolerated = response.rejections_tolerated;
  const bool rejected = response.not_run && !response.misdirected;
  if (!rejected || !server.rejections_tolerated)
    return;
  PauseFullServer(core, server);
  if (core.server_full)
    core.server_full(server);
}

}  // namespace

void ApplyFullServer(host_core& core, const wire::full_server& news) {
  const auto server = core.servers.Find(news.server);
  if (server == nullptr)
    return;
  server->rejections_tolerated = news.rejections_per_second;
  PauseFullServer(core, *server);
}

void ApplyRequestResponse(host_core& core,
                          known_server& server,
                          const response_metadata& response,
                          base::time_point sent) {
  ApplyResponseLimit(core, server, response, sent);
  ApplyRejections(core, server, response);
  response_metadata statements = response;
  // A refusal may lack the stamp. Without the request's id as well, nothing
  // shows that the server has written it, and leaving cannot be taken back.
  if (!response.is_signed && response.request_id.empty())
    statements.is_leaving = false;
  ApplyNotices(core, server, statements);
}

void ApplyControlResponse(host_core& core,
                          known_server& server,
                          const net::http_response_header& header,
                          base::time_point sent) {
  const response_metadata response = core.protocol.read_response(header);
  if (response.limit)
    ApplyResponseLimit(core, server, response, sent);
  ApplyNotices(core, server, response);
}

void ConfirmByHeartbeat(host_core& core,
                        known_server& server,
                        std::int64_t heartbeats,
                        base::time_point now) {
  std::vector<unconfirmed_response> confirmed;
  std::erase_if(server.unconfirmed, [&](unconfirmed_response& each) {
    if (!HasOutlived(heartbeats, each.heartbeats, each.ended_at, now))
      return false;
    confirmed.push_back(std::move(each));
    return true;
  });
  for (const unconfirmed_response& each : confirmed) {
    if (!core.quarantine.suspects.empty())
      core.suspect_completed(each.digest);
    if (!each.parts.empty())
      core.prompt_served(each.parts);
  }
}

}  // namespace valeledge::host
