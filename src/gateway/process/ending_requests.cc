// SPDX-License-Identifier: MIT
#include "gateway/process/ending_requests.h"

#include "base/identifier.h"
#include "base/logging.h"
#include "wire/codec.h"

namespace valeledge::gateway {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::string_view kCategory = "quarantine";
constexpr std::string_view kEndsPrefix = "ends/";

void LogHeld(std::uint64_t digest) {
  base::Log(kCategory, base::log_event::kRequestHeld,
            {{"digest", base::HexText(digest)}});
}

}  // namespace

std::optional<milliseconds> ending_requests::HeldFor(std::uint64_t digest) {
  const auto now = std::chrono::steady_clock::now();
  Refresh(now);
  return decisions::RemainingQuarantine(known_, digest, now);
}

void ending_requests::NoteEnd(std::uint64_t digest,
                              std::string_view server,
                              microseconds took) {
  const auto now = std::chrono::steady_clock::now();
  const auto hash = static_cast<std::int32_t>(base::StableHash(server));
  const decisions::server_crash end{hash, now - took, now};
  Tell({digest, end, now});
  if (decisions::RecordCrash(known_, digest, end, now))
    LogHeld(digest);
}

void ending_requests::NoteWhole(std::uint64_t digest) {
  if (!decisions::RecordCompleteResponse(known_, digest))
    return;
  Tell({digest, std::nullopt, std::chrono::steady_clock::now()});
}

void ending_requests::Tell(const decisions::quarantine_observation& fact) {
  decisions::AddObservation(told_, fact);
  node_.AnnounceRecord(std::string(kEndsPrefix) + node_.id(),
                       wire::Encode(decisions::MakeUpdate(told_, fact.at)));
}

void ending_requests::Refresh(base::time_point now) {
  decisions::Sweep(known_, now);
  const auto view = node_.View();
  const std::string own = std::string(kEndsPrefix) + node_.id();
  for (auto at = view->records.lower_bound(kEndsPrefix);
       at != view->records.end() && at->first.starts_with(kEndsPrefix); ++at) {
    std::int64_t& taken = taken_[at->first];
    if (at->first == own || at->second.stamp <= taken)
      continue;
    taken = at->second.stamp;
    const auto news = wire::DecodeEndNews(at->second.value);
    if (!news)
      continue;
    decisions::DropCleared(told_, *news);
    for (const std::uint64_t digest :
         decisions::ApplyUpdate(known_, *news, now))
      LogHeld(digest);
  }
}

}  // namespace valeledge::gateway
