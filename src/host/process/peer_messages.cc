// SPDX-License-Identifier: MIT
#include "host/process/peer_messages.h"

#include <chrono>
#include <string>
#include <utility>

#include "host/process/response_updates.h"
#include "wire/codec.h"

namespace valeledge::host {

namespace {

namespace asio = boost::asio;

void HandlePromptUpdate(const peer_message_services& services,
                        const std::string& value) {
  auto update = wire::DecodePromptQuarantineUpdate(value);
  if (!update)
    return;
  services.prompt_quarantine.HandleUpdate(*update);
  if (std::exchange(update->hand_on, false)) {
    services.peers.BroadcastInZone(std::string(kPromptCrashesRecord),
                                   wire::Encode(*update));
  }
}

}  // namespace

void HandleRecord(const peer_message_services& services,
                  const membership::direct_record& record) {
  if (services.loads.HandleRecord(record) ||
      services.succession.HandleRecord(record))
    return;
  if (record.key == kCrashesRecord) {
    const auto update = wire::DecodeEndNews(record.value);
    if (update)
      services.quarantine.HandleUpdate(*update);
  } else if (record.key == kPromptCrashesRecord) {
    HandlePromptUpdate(services, record.value);
  } else if (record.key == kReadRequestRecord) {
    const auto request = wire::DecodeStoreReading(record.value);
    if (request)
      services.freshness.HandleReadRequest(record.sender_address, *request);
  } else if (record.key == kReadResponseRecord) {
    const auto response = wire::DecodeStoreReading(record.value);
    if (response)
      services.freshness.HandleReadResponse(*response);
  } else if (record.key == kPlacementRecord) {
    const auto update = wire::DecodePlacementNews(record.value);
    if (update)
      services.placement.ApplyUpdate(*update, record.sender_address);
  } else if (record.key == kFullRecord) {
    auto news = wire::DecodeFullServer(record.value);
    if (!news)
      return;
    ApplyFullServer(services.core, *news);
    if (std::exchange(news->hand_on, false))
      services.peers.BroadcastInZone(std::string(kFullRecord),
                                     wire::Encode(*news));
  } else if (record.key == kOriginRecord) {
    const auto origin = wire::DecodeStreamOrigin(record.value);
    if (origin)
      services.stream_origins.HandleRecord(*origin);
  } else if (record.key == kObservationsRecord) {
    const auto update = wire::DecodeEngineObservations(record.value);
    if (update)
      services.engine_estimates.HandleObservations(
          *update, std::chrono::steady_clock::now());
  } else if (record.key == kEstimatesRecord) {
    auto update = wire::DecodeEngineEstimates(record.value);
    if (update)
      services.engine_estimates.HandleEstimates(
          std::move(*update), std::chrono::steady_clock::now());
  } else if (record.key == kLimitsRecord) {
    auto update = wire::DecodeLimitNews(record.value);
    if (update)
      services.limits.HandleUpdate(std::move(*update));
  }
}

asio::awaitable<wire::envelope> HandleCall(
    const peer_message_services& services,
    wire::envelope call) {
  wire::envelope reply;
  if (call.__isset.mirror_wanted) {
    reply = services.snapshots.HandleRequest(call.mirror_wanted);
  } else if (owner_services::Handles(call)) {
    reply = co_await services.owned.HandleCall(std::move(call));
  } else if (call.__isset.path_wanted) {
    const bool accepts =
        !services.shutdown.stopping() && services.core.configuration != nullptr;
    const auto path = co_await services.paths.HandleRequest(
        std::move(call.path_wanted), accepts ? services.relay_port : 0);
    reply.__set_path(path);
  } else if (call.__isset.origin_wanted) {
    reply.__set_origin(
        services.stream_origins.HandleQuestion(call.origin_wanted));
  } else if (call.__isset.permit_wanted) {
    reply.__set_permit(services.limits.Grant(call.permit_wanted));
  } else if (call.__isset.limit_changed) {
    services.limits.HandleLimitChange(call.limit_changed);
    reply.__set_done({});
  } else if (call.__isset.adapter_wanted) {
    const auto adapter = co_await services.placement.HandleAdapterRequest(
        std::move(call.adapter_wanted));
    reply.__set_adapter(adapter);
  }
  co_return reply;
}

}  // namespace valeledge::host
