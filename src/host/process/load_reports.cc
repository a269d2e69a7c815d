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
constexpr std::string_view kUseRecord = "use";
// The same with what this host's callers ask for, for the holder of the lease.
constexpr std::string_view kDemandRecord = "demand";

// Hosts that are told by one that has nothing under way: only what it knows of
// the store, which others tell as well.
constexpr std::size_t kToldByIdle = 4;
constexpr std::size_t kAllHosts = std::numeric_limits<std::size_t>::max();

// Stands for an age that is not known.
constexpr std::int32_t kUnknownAge = -1;

// What a host tells of the store's newest answer.
decisions::told_answer ToldAnswerOf(const wire::host_load& load) {
  decisions::told_answer told;
  told.stamp = {load.answered_process, load.answer_count, load.answered_chosen};
  told.age = milliseconds(load.store_age_ms);
  return told;
}

void PutAnswer(const std::optional<decisions::told_answer>& told,
               wire::host_load& load) {
  load.store_age_ms = kUnknownAge;
  if (!told)
    return;
  load.store_age_ms = static_cast<std::int32_t>(told->age.count());
  load.answered_process = told->stamp.origin;
  load.answer_count = told->stamp.count;
  load.answered_chosen = told->stamp.chosen;
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
  PutAnswer(mirror_.NewestResponse(), load);
  const auto holder = placement_.holder();
  const bool uses = !load.servers.empty();
  const bool used = std::exchange(told_any_use_, uses);
  if (holder) {
    const std::string value = wire::Encode(load);
    peers_.Send(std::string(kLoadRecord), value,
                {uses || used ? kMostTold : kToldByIdle});
    if (follows_store && mirror_.IsCurrent()) {
      peers_.Send(std::string(kLoadRecord), value,
                  {kAllHosts, {}, std::nullopt, core_.settings.zone});
    }
  }
  load.models = core_.demand.Loads();
  peers_.Send(std::string(kDemandRecord), wire::Encode(load),
              {holder ? 0 : kMostTold, {}, holder});
}

void load_reports::ReportUse(const known_server& server) {
  // Plain services are balanced well enough by what each host knows.
  if (server.entry.models.empty())
    return;
  wire::host_load load;
  load.servers.push_back(server_registry::OwnLoad(server));
  peers_.Send(std::string(kUseRecord), wire::Encode(load),
              {kMostTold, server.entry.instance, std::nullopt});
}

bool load_reports::Take(const membership::direct_record& record) {
  const bool with_demand = record.key == kDemandRecord;
  const bool is_use = record.key == kUseRecord;
  if (record.key != kLoadRecord && !with_demand && !is_use)
    return false;
  const auto load = wire::DecodeHostLoad(record.value);
  if (!load)
    return true;
  if (is_use) {
    core_.servers.TakeSomeLoads(record.sender, load->servers);
    return true;
  }
  if (load->store_age_ms >= 0)
    mirror_.RecordReportedResponse(ToldAnswerOf(*load));
  core_.servers.TakeLoads(record.sender, load->servers);
  if (with_demand)
    placement_.TakeDemand(record.sender, load->models);
  return true;
}

}  // namespace valeledge::host
