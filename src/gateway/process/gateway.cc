// SPDX-License-Identifier: MIT
#include "gateway/process/gateway.h"

#include <algorithm>
#include <utility>

#include "membership/member.h"

namespace valeledge::gateway {

gateway::gateway(gateway_settings settings)
    : shared_(std::move(settings), membership::role::kGateway) {}

base::result<void> gateway::Start() {
  shared_.node.AddStatusSource([this](boost::json::object& status) {
    status["recent_requests"] = shared_.journal.Render();
  });
  const auto started = shared_.node.Start();
  if (!started)
    return started;
  shared_.grants.Start();
  for (int i = 0; i < shared_.settings.caller_threads; ++i) {
    frontends_.push_back(std::make_unique<caller_frontend>(shared_, i));
    const auto listening = frontends_.back()->Start();
    if (!listening)
      return listening;
  }
  shared_.node.Run();
  return {};
}

void gateway::Leave() {
  shared_.node.AnnounceLeaving();
}

void gateway::RefuseNewWork() {
  shared_.refuses_requests = true;
  for (const auto& frontend : frontends_)
    frontend->Drain();
}

void gateway::RespondToAll() {
  for (const auto& frontend : frontends_)
    frontend->RespondToAll();
}

bool gateway::IsIdle() const {
  return std::ranges::all_of(
      frontends_, [](const auto& frontend) { return frontend->active() == 0; });
}

void gateway::Stop() {
  for (const auto& frontend : frontends_)
    frontend->Stop();
  shared_.node.Stop();
}

}  // namespace valeledge::gateway
