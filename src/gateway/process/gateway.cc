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
    fronts_.push_back(std::make_unique<caller_front>(shared_, i));
    const auto listening = fronts_.back()->Start();
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
  shared_.refusing = true;
  for (const auto& front : fronts_)
    front->Drain();
}

bool gateway::IsIdle() const {
  return std::ranges::all_of(
      fronts_, [](const auto& front) { return front->active() == 0; });
}

void gateway::Stop() {
  for (const auto& front : fronts_)
    front->Stop();
  shared_.node.Stop();
}

}  // namespace valeledge::gateway
