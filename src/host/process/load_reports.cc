// SPDX-License-Identifier: MIT
#include "host/process/load_reports.h"

#include <chrono>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <utility>

#include "host/constants.h"
#include "wire/codec.h"

namespace valeledge::host {

namespace {

using std::chrono::milliseconds;

// Key of the record in which a host tells what it has under way.
constexpr std::string_view kLoadRecord = "load";
// The same for the servers at which something has changed, told at once.
constexpr std::string_view kUsageRecord = "use";
// The same with what this host's callers ask for, for the holder of the lease.
constexpr std::string_view kDemandRecord = "demand";

// Hosts that are told by one that has nothing under way: only what it knows of
// the store, which others tell as well.
constexpr std::size_t kIdleRecipients = 4;
constexpr std::size_t kAllHosts = std::numeric_limits<std::size_t>::max();

// Stands for an age that is not known.
constexpr std::int32_t kUnknownAge = -1;

// What a host tells of the store's newest answer.
decisions::told_answer ReportedResponseOf(const wire::host_load& load) {
  decisions::told_answer reported;
  reported.stamp = {load.answered_process, load.answer_count,
                    load.answered_chosen};
  reported.age = milliseconds(load.store_age_ms);
  return reported;
}

void SetStoreAge(const std::optional<decisions::told_answer>& reported,
                 wire::host_load& load) {
  load.store_age_ms = kUnknownAge;
  if (!reported)
    return;
  load.store_age_ms = static_cast<std::int32_t>(reported->age.count());
  load.answered_process = reported->stamp.origin;
  load.answer_count = reported->stamp.count;
  load.answered_chosen = reported->stamp.chosen;
}

}  // namespace

// Idle hosts still say how old what they know of the store is; hosts that
// follow the store say it to all of their availability zone, so that its way
// there does not grow with hosts. Only the holder of the lease plans for what
// is asked for, and a new one makes itself known to all at once: without the
// demand a report of a host among 295 has 143 bytes in place of 364, and 16
// hosts get it four times a second.
void load_reports::Report(bool follows_store) {
  wire::host_load load;
  load.servers = core_.servers.OwnLoads();
  SetStoreAge(mirror_.NewestAnswer(), load);
  const auto holder = placement_.holder();
  const bool has_usage = !load.servers.empty();
  const bool reported_usage = std::exchange(reported_any_usage_, has_usage);
  if (holder) {
    const std::string value = wire::Encode(load);
    peers_.Tell(std::string(kLoadRecord), value,
                {has_usage || reported_usage ? kMostTold : kIdleRecipients});
    if (follows_store && mirror_.IsCurrent()) {
      peers_.Tell(std::string(kLoadRecord), value,
                  {kAllHosts, {}, std::nullopt, core_.settings.zone});
    }
  }
  load.models = core_.demand.Loads();
  peers_.Tell(std::string(kDemandRecord), wire::Encode(load),
              {holder ? 0 : kMostTold, {}, holder});
}

void load_reports::ReportUsage(const known_server& server) {
  // Plain services are balanced well enough by what each host knows.
  if (server.entry.models.empty())
    return;
  wire::host_load load;
  load.servers.push_back(server_registry::OwnLoad(server));
  peers_.Tell(std::string(kUsageRecord), wire::Encode(load),
              {kMostTold, server.entry.instance, std::nullopt});
}

bool load_reports::HandleRecord(const membership::direct_record& record) {
  const bool with_demand = record.key == kDemandRecord;
  const bool is_usage = record.key == kUsageRecord;
  if (record.key != kLoadRecord && !with_demand && !is_usage)
    return false;
  const auto load = wire::DecodeHostLoad(record.value);
  if (!load)
    return true;
  if (is_usage) {
    core_.servers.UpdateLoads(record.sender, load->servers);
    return true;
  }
  if (load->store_age_ms >= 0)
    mirror_.HearAnswer(ReportedResponseOf(*load));
  core_.servers.ReplaceLoads(record.sender, load->servers);
  if (with_demand)
    placement_.UpdateDemand(record.sender, load->models);
  return true;
}

}  // namespace valeledge::host
