// SPDX-License-Identifier: MIT
#include "host/process/quarantine_coordinator.h"

#include <charconv>
#include <chrono>
#include <optional>
#include <utility>

#include "base/identifier.h"
#include "base/logging.h"
#include "host/constants.h"
#include "store/constants.h"
#include "wire/codec.h"

namespace valeledge::host {

namespace {

using base::log_event;

constexpr std::string_view kCategory = "quarantine";

// Time for which a host repeats its observations about requests under which
// more than one server has crashed: datagrams get lost, and hosts may be
// disconnected, suspended or starting. Repeating those of all requests that
// were in progress at a crash would take up to 40 KB a second from each host.
constexpr std::chrono::seconds kRepublishPeriod{10};
// Number of subjects by which the recipients of crash reports are chosen: large
// enough that no host receives most reports, and small enough to cache.
constexpr std::uint64_t kSubjectCount = 64;

std::string SubjectOf(std::uint64_t digest) {
  return "ends/" + std::to_string(digest % kSubjectCount);
}

std::string QuarantineKey(std::uint64_t digest) {
  return std::string(store::kHeldPrefix) + base::HexText(digest);
}

// Returns the digest in a quarantine key, or nothing for other keys.
std::optional<std::uint64_t> ParseDigest(std::string_view key) {
  if (!key.starts_with(store::kHeldPrefix))
    return std::nullopt;
  const std::string_view text = key.substr(store::kHeldPrefix.size());
  std::uint64_t digest = 0;
  const char* const end = text.data() + text.size();
  const auto [stopped, failed] = std::from_chars(text.data(), end, digest, 16);
  if (failed != std::errc() || stopped != end)
    return std::nullopt;
  return digest;
}

}  // namespace

quarantine_coordinator::quarantine_coordinator(host_core& core,
                                               store::kv_client& store,
                                               quarantine_callbacks callbacks)
    : core_(core), keys_(core, store), callbacks_(std::move(callbacks)) {}

void quarantine_coordinator::OnServerCrash(std::uint64_t digest,
                                           const decisions::server_crash& end) {
  const auto now = std::chrono::steady_clock::now();
  Publish({digest, end, now});
  if (decisions::RecordCrash(core_.quarantine, digest, end, now))
    BeginQuarantine(digest, "ends");
}

void quarantine_coordinator::OnCompletedResponse(std::uint64_t digest) {
  if (decisions::RecordCompleteResponse(core_.quarantine, digest))
    Publish({digest, std::nullopt, std::chrono::steady_clock::now()});
}

void quarantine_coordinator::Publish(
    const decisions::quarantine_observation& fact) {
  decisions::AddObservation(published_, fact);
  const auto update = decisions::MakeUpdate({fact}, fact.at);
  callbacks_.send(wire::Encode(update),
                  {kMaxReportRecipients, SubjectOf(fact.digest), {}});
}

void quarantine_coordinator::Republish() {
  const auto now = std::chrono::steady_clock::now();
  decisions::Sweep(core_.quarantine, now);
  while (!published_.empty() && now - published_.front().at >= kRepublishPeriod)
    published_.pop_front();
  decisions::quarantine_observations repeated;
  for (const decisions::quarantine_observation& each : published_) {
    if (!each.crash || decisions::IsSuspected(core_.quarantine, each.digest))
      repeated.push_back(each);
  }
  if (repeated.empty())
    return;
  const auto update = decisions::MakeUpdate(repeated, now);
  callbacks_.send(wire::Encode(update), {kMaxReportRecipients, {}, {}});
}

void quarantine_coordinator::HandleUpdate(const wire::end_news& update) {
  decisions::DropCleared(published_, update);
  const auto now = std::chrono::steady_clock::now();
  for (const std::uint64_t digest :
       decisions::ApplyUpdate(core_.quarantine, update, now))
    BeginQuarantine(digest, "told");
}

void quarantine_coordinator::BeginQuarantine(std::uint64_t digest,
                                             std::string_view by) {
  base::Log(kCategory, log_event::kRequestHeld,
            {{"digest", base::HexText(digest)}, {"by", std::string(by)}});
  if (by == "store")
    return;
  keys_.Write(QuarantineKey(digest), core_.settings.name,
              callbacks_.is_first(SubjectOf(digest)), [this, digest] {
                return decisions::RemainingQuarantine(
                           core_.quarantine, digest,
                           std::chrono::steady_clock::now())
                    .has_value();
              });
}

bool quarantine_coordinator::PutKey(std::string_view key) {
  const auto digest = ParseDigest(key);
  if (!digest)
    return false;
  keys_.OnPut(std::string(key));
  const auto now = std::chrono::steady_clock::now();
  if (decisions::RecordQuarantine(core_.quarantine, *digest, now))
    BeginQuarantine(*digest, "store");
  return true;
}

bool quarantine_coordinator::RemoveKey(std::string_view key, bool lapsed) {
  const auto digest = ParseDigest(key);
  if (!digest)
    return false;
  keys_.OnRemoved(std::string(key));
  if (lapsed)
    return true;
  decisions::Release(core_.quarantine, *digest,
                     std::chrono::steady_clock::now());
  base::Log(kCategory, log_event::kRequestReleased,
            {{"digest", base::HexText(*digest)}});
  return true;
}

}  // namespace valeledge::host
