// SPDX-License-Identifier: MIT
#include "decisions/stream_origin.h"

namespace valeledge::decisions {

namespace {

// Outages of the store, during which no server can be listed, are mostly
// shorter. If only this host had the gap, others know what it has missed.
constexpr std::chrono::seconds kMaxViewGap{10};

// Large enough to spread the origins over a large fleet.
constexpr std::uint64_t kSubjectCount = 256;

// Drops records that have expired, and the oldest ones beyond the maximum.
void DropOldRecords(stream_origins& origins, base::time_point now) {
  while (!origins.records.empty()) {
    const auto [recorded_at, stream] = origins.records.front();
    const bool keep = now - recorded_at < kOriginLifetime &&
                      origins.by_stream.size() <= kMaxOrigins;
    if (keep)
      return;
    origins.records.pop_front();
    const auto known = origins.by_stream.find(stream);
    if (known != origins.by_stream.end() &&
        known->second.recorded_at == recorded_at)
      origins.by_stream.erase(known);
  }
}

}  // namespace

std::string OriginSubject(std::uint64_t stream) {
  return "origin/" + std::to_string(stream % kSubjectCount);
}

void RecordOrigin(stream_origins& origins,
                  std::uint64_t stream,
                  const stream_origin& origin,
                  base::time_point now) {
  DropOldRecords(origins, now);
  const auto [known, is_new] =
      origins.by_stream.try_emplace(stream, origin, now);
  if (!is_new && known->second.origin != origin)
    return;
  known->second.recorded_at = now;
  origins.records.emplace_back(now, stream);
}

std::optional<stream_origin> FindOrigin(const stream_origins& origins,
                                        std::uint64_t stream,
                                        base::time_point now) {
  const auto known = origins.by_stream.find(stream);
  if (known == origins.by_stream.end() ||
      now - known->second.recorded_at >= kOriginLifetime)
    return std::nullopt;
  return known->second.origin;
}

void ObserveServerView(server_view& view,
                       bool is_current,
                       bool is_first_start,
                       base::time_point now) {
  if (!is_current)
    return;
  const bool is_first = !view.last_current_at;
  const bool has_gap = !is_first && now - *view.last_current_at > kMaxViewGap;
  if (is_first && is_first_start)
    view.complete_since = now - kOriginLifetime;
  else if (is_first || has_gap)
    view.complete_since = now;
  view.last_current_at = now;
}

void RecordStatedVersions(server_view& view, base::time_point now) {
  view.complete_since = now - kOriginLifetime;
}

bool CoversAllStreams(const server_view& view,
                      bool is_current,
                      base::time_point now) {
  return is_current && view.complete_since &&
         now - *view.complete_since >= kOriginLifetime;
}

origin_evidence WithoutOwnCertainty(origin_evidence own) {
  own.is_complete = false;
  return own;
}

void AddReply(origin_evidence& evidence, const origin_evidence& reply) {
  if (!evidence.recorded)
    evidence.recorded = reply.recorded;
  evidence.software.insert(reply.software.begin(), reply.software.end());
  evidence.is_complete = evidence.is_complete || reply.is_complete;
}

std::optional<stream_origin> CertainOrigin(const origin_evidence& evidence,
                                           const std::string& service) {
  if (evidence.recorded)
    return evidence.recorded;
  if (evidence.is_complete && evidence.software.size() == 1)
    return stream_origin{service, *evidence.software.begin()};
  return std::nullopt;
}

}  // namespace valeledge::decisions
