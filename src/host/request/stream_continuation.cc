// SPDX-License-Identifier: MIT
#include "host/request/stream_continuation.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

#include "base/identifier.h"

namespace valeledge::host {

namespace {

using base::result_code;

// Returns the digest of an attempt. It covers the workspace and the model, so
// that a caller learns nothing about the streams of others.
std::uint64_t AttemptDigest(const routed_request& routed,
                            std::string_view attempt) {
  const request_metadata& metadata = routed.metadata;
  std::uint64_t digest = base::StableHash(WorkspaceName(routed));
  digest =
      base::StableHash(AdapterUnit(metadata.model, metadata.adapter), digest);
  return base::StableHash(attempt, digest);
}

// Returns the digest under which the stream is known; nothing if the caller
// does not name the attempt that began it.
std::optional<std::uint64_t> StreamDigest(const routed_request& routed) {
  const request_metadata& metadata = routed.metadata;
  const std::string& attempt =
      ResumesStream(routed) ? metadata.resumed_attempt : metadata.id;
  if (attempt.empty())
    return std::nullopt;
  return AttemptDigest(routed, attempt);
}

// The service at which a stream of the route must have begun; empty if it may
// be one of several.
std::string OnlyService(const catalog::route& route) {
  return route.services.size() == 1 ? route.services.front().service
                                    : std::string();
}

boost::asio::awaitable<std::optional<decisions::stream_origin>> FindOriginOf(
    host_core& core,
    const routed_request& routed) {
  const auto stream = StreamDigest(routed);
  const std::string service = OnlyService(*routed.route);
  decisions::origin_evidence evidence;
  if (core.find_origin) {
    evidence = co_await core.find_origin(stream, service);
  } else if (stream) {
    evidence.recorded = decisions::FindOrigin(core.origins, *stream,
                                              std::chrono::steady_clock::now());
  }
  auto origin = decisions::CertainOrigin(evidence, service);
  std::string_view source = "unknown";
  if (origin)
    source = evidence.recorded ? "recorded" : "sole_version";
  core.metrics.Counter("valeledge_stream_origins_total", source).Add();
  co_return origin;
}

}  // namespace

base::error NotResumableError(std::string reason) {
  auto error = base::MakeError(result_code::kStreamNotResumable,
                               base::outcome::kNotRun, std::move(reason));
  error.retry_after = std::chrono::milliseconds(0);
  return error;
}

bool ResumesStream(const routed_request& routed) {
  const std::string& last_event = routed.metadata.resume_after;
  return routed.route->kind == catalog::route_kind::kStream &&
         !last_event.empty() && last_event != "0";
}

boost::asio::awaitable<base::result<void>> ContinueStream(
    host_core& core,
    routed_request& routed) {
  if (!ResumesStream(routed))
    co_return base::result<void>();
  auto origin = co_await FindOriginOf(core, routed);
  if (!origin) {
    co_return tl::make_unexpected(NotResumableError(
        "it is not known which software version began the stream"));
  }
  const bool is_allowed =
      std::ranges::find(routed.route->services, origin->service,
                        &catalog::weighted_service::service) !=
      routed.route->services.end();
  const catalog::service* service =
      routed.configuration->FindService(origin->service);
  if (!is_allowed || service == nullptr) {
    co_return tl::make_unexpected(NotResumableError(
        "the route no longer leads to the service that began the stream"));
  }
  routed.service = service;
  routed.origin = std::move(origin);
  co_return base::result<void>();
}

void RecordStreamBegun(host_core& core,
                       routed_request& routed,
                       const std::string& software) {
  // Other streams are not resumed.
  if (!routed.route->MayRepeat())
    return;
  if (!routed.origin)
    routed.origin = {routed.service->name, software};
  // The host that received the request from its caller records it.
  const auto stream = StreamDigest(routed);
  if (routed.is_relayed || !stream)
    return;
  decisions::RecordOrigin(core.origins, *stream, *routed.origin,
                          std::chrono::steady_clock::now());
  if (core.publish_origin)
    core.publish_origin(*stream, *routed.origin);
}

}  // namespace valeledge::host
