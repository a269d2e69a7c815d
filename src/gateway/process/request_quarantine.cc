// SPDX-License-Identifier: MIT
#include "gateway/process/request_quarantine.h"

#include "base/identifier.h"
#include "base/logging.h"
#include "wire/codec.h"

namespace valeledge::gateway {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::string_view kCategory = "quarantine";
constexpr std::string_view kEndsPrefix = "ends/";

void LogQuarantined(std::uint64_t digest) {
  base::Log(kCategory, base::log_event::kRequestHeld,
            {{"digest", base::HexText(digest)}});
}

}  // namespace

std::optional<milliseconds> request_quarantine::RemainingQuarantine(
    std::uint64_t digest) {
  const auto now = std::chrono::steady_clock::now();
  Refresh(now);
  return decisions::RemainingQuarantine(known_, digest, now);
}

void request_quarantine::RecordCrash(std::uint64_t digest,
                                     std::string_view server,
                                     microseconds elapsed) {
  const auto now = std::chrono::steady_clock::now();
  const auto hash = static_cast<std::int32_t>(base::StableHash(server));
  const decisions::server_crash end{hash, now - elapsed, now};
  Publish({digest, end, now});
  if (decisions::RecordCrash(known_, digest, end, now))
    LogQuarantined(digest);
}

void request_quarantine::RecordCompletion(std::uint64_t digest) {
  if (!decisions::RecordCompleteResponse(known_, digest))
    return;
  Publish({digest, std::nullopt, std::chrono::steady_clock::now()});
}

void request_quarantine::Publish(
    const decisions::quarantine_observation& fact) {
  decisions::AddObservation(observed_, fact);
  node_.AnnounceRecord(std::string(kEndsPrefix) + node_.id(),
                       wire::Encode(decisions::MakeUpdate(observed_, fact.at)));
}

void request_quarantine::Refresh(base::time_point now) {
  decisions::Sweep(known_, now);
  const auto view = node_.View();
  const std::string own = std::string(kEndsPrefix) + node_.id();
  for (auto at = view->records.lower_bound(kEndsPrefix);
       at != view->records.end() && at->first.starts_with(kEndsPrefix); ++at) {
    std::int64_t& applied_stamp = applied_stamps_[at->first];
    if (at->first == own || at->second.stamp <= applied_stamp)
      continue;
    applied_stamp = at->second.stamp;
    const auto update = wire::DecodeEndNews(at->second.value);
    if (!update)
      continue;
    decisions::DropCleared(observed_, *update);
    for (const std::uint64_t digest :
         decisions::ApplyUpdate(known_, *update, now))
      LogQuarantined(digest);
  }
}

}  // namespace valeledge::gateway
