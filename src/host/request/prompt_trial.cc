// SPDX-License-Identifier: MIT
#include "host/request/prompt_trial.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/endpoint.h"
#include "decisions/quarantine_trial.h"

namespace valeledge::host {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// Maximum wait for the reply to a request for a trial, a few round trips to the
// host that grants it. Only one request of a host waits at a time.
constexpr milliseconds kMaxTrialWait{150};
constexpr milliseconds kTrialRecheckInterval{10};

bool HoldsModel(const known_server& server,
                const routed_request& routed,
                base::time_point now) {
  const request_metadata& metadata = routed.metadata;
  return metadata.model.empty() ||
         server.Holds(metadata.model, metadata.adapter, now);
}

// Returns the instances that a trial must not use, or nothing if no other one
// holds the model.
std::optional<std::vector<std::string>> FindExcluded(
    const host_core& core,
    const routed_request& routed,
    base::time_point now) {
  const auto crashed = decisions::CrashedEngines(
      core.prompts, decisions::kTrialCrashPeriod, now);
  std::vector<std::string> excluded;
  bool any_left = false;
  for (const auto& [instance, server] : core.servers.servers()) {
    const unit_key engine = KeyOf(base::ToString(server->entry.address));
    const bool has_crashed =
        std::ranges::find(crashed, engine) != crashed.end();
    if (has_crashed)
      excluded.push_back(instance);
    else if (server->TakesRequests() && HoldsModel(*server, routed, now))
      any_left = true;
  }
  if (!any_left)
    return std::nullopt;
  return excluded;
}

trial_reply TryBegin(host_core& core, routed_request& routed) {
  const auto now = std::chrono::steady_clock::now();
  // A request with several combinations would not tell which one is sound.
  const auto quarantined =
      decisions::QuarantinedWithin(core.prompts, routed.shared_parts, now);
  if (quarantined.size() != 1)
    return trial_reply::kRefused;
  auto excluded = FindExcluded(core, routed, now);
  if (!excluded)
    return trial_reply::kRefused;
  const trial_reply reply = core.begin_prompt_trial(quarantined.front());
  if (reply != trial_reply::kBegun)
    return reply;
  routed.trial = quarantined.front();
  routed.not_for_trial = std::move(*excluded);
  return reply;
}

}  // namespace

asio::awaitable<void> BeginTrialIfGranted(
    host_core& core,
    routed_request& routed,
    const net::http_responder& responder) {
  if (routed.is_relayed || !core.begin_prompt_trial)
    co_return;
  trial_reply reply = TryBegin(core, routed);
  if (reply != trial_reply::kAsked)
    co_return;
  asio::steady_timer timer(core.context);
  const auto until = std::chrono::steady_clock::now() + kMaxTrialWait;
  while (reply != trial_reply::kBegun && !responder.caller_gone() &&
         std::chrono::steady_clock::now() < until) {
    timer.expires_after(kTrialRecheckInterval);
    co_await timer.async_wait(kAwait);
    reply = TryBegin(core, routed);
  }
}

}  // namespace valeledge::host
