// SPDX-License-Identifier: MIT
#include "host/process/load_reports.h"

#include <chrono>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <utility>

#include "base/logging.h"
#include "host/constants.h"
#include "host/load_features.h"
#include "host/process/separation_reports.h"
#include "host/process/waiting_demand.h"
#include "wire/codec.h"

namespace valeledge::host {

namespace {

using std::chrono::milliseconds;

// Key of the record with a host's load at all servers.
constexpr std::string_view kLoadRecord = "load";
// Key of the record that is sent immediately, with the changed servers only.
constexpr std::string_view kUsageRecord = "use";
// Key of the record for the lease holder, which adds the demand of callers.
constexpr std::string_view kDemandRecord = "demand";

// Recipients of reports of a host without load: these contain only the age of
// its store mirror, which others report as well.
constexpr std::size_t kIdleRecipients = 4;
// Maximum number of recipients of one report of the engines that have a queue.
// In a larger fleet the recipients change with each report, so that all hosts
// receive it within some seconds.
constexpr std::size_t kMaxQueueRecipients = 128;
constexpr std::size_t kAllHosts = std::numeric_limits<std::size_t>::max();

constexpr std::chrono::seconds kSeparatedLogInterval{10};

// Age on the wire if it is not known.
constexpr std::int32_t kUnknownAge = -1;

// The newest store response that a host has reported.
decisions::reported_response ReportedResponseOf(const wire::host_load& load) {
  decisions::reported_response reported;
  reported.stamp = {load.answered_process, load.answer_count,
                    load.answered_chosen};
  reported.age = milliseconds(load.store_age_ms);
  return reported;
}

void SetStoreAge(const std::optional<decisions::reported_response>& reported,
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

// Idle hosts still report the age of their store mirror. Hosts that follow the
// store report it to their whole availability zone, so that the number of hops
// does not grow with the number of hosts. Only the lease holder gets the
// demand, since only it plans, and a new one announces itself to all hosts
// immediately.
void load_reports::Report(bool follows_store) {
  wire::host_load load;
  load.servers = core_.servers.OwnLoads();
  SetStoreAge(mirror_.NewestResponse(), load);
  const auto holder = placement_.holder();
  const bool has_usage = !load.servers.empty();
  const bool reported_usage = std::exchange(reported_any_usage_, has_usage);
  if (holder) {
    const std::string value = wire::Encode(load);
    peers_.Send(
        std::string(kLoadRecord), value,
        {has_usage || reported_usage ? kMaxReportRecipients : kIdleRecipients});
    if (follows_store && mirror_.IsCurrent()) {
      peers_.Send(std::string(kLoadRecord), value,
                  {kAllHosts, {}, std::nullopt, core_.settings.zone});
    }
  }
  LogSeparated(std::chrono::steady_clock::now());
  load.models = core_.demand.Loads();
  peers_.Send(std::string(kDemandRecord), wire::Encode(load),
              {holder ? 0 : kMaxReportRecipients, {}, holder});
}

void load_reports::LogSeparated(base::time_point now) {
  const bool any = core_.separated_prompts + core_.separated_streams > 0;
  if (!any || now - separated_logged_at_ < kSeparatedLogInterval)
    return;
  separated_logged_at_ = now;
  base::Log("load_reports", base::log_event::kStreamsSeparated,
            {{"long_prompts", std::exchange(core_.separated_prompts, 0)},
             {"long_streams", std::exchange(core_.separated_streams, 0)}});
}

void load_reports::ReportUsage(const known_server& server) {
  // Plain services are balanced well enough by the periodic reports.
  if (server.entry.models.empty())
    return;
  wire::host_load load;
  load.servers.push_back(OwnLoad(server));
  const auto owner =
      core_.queue_owner ? core_.queue_owner(server) : std::nullopt;
  peers_.Send(std::string(kUsageRecord), wire::Encode(load),
              {CountDirectRecipients(server), server.entry.instance, owner});
}

void load_reports::ReportToQueueOwner(const known_server& server) {
  const auto owner =
      core_.queue_owner ? core_.queue_owner(server) : std::nullopt;
  if (!owner)
    return;
  wire::host_load load;
  load.servers.push_back(OwnLoad(server));
  peers_.Send(std::string(kUsageRecord), wire::Encode(load), {0, {}, owner});
}

void load_reports::ReportQueues(
    const std::vector<std::shared_ptr<known_server>>& servers) {
  wire::host_load load;
  for (const auto& server : servers) {
    load.servers.push_back(OwnLoad(*server));
    const bool is_last = server == servers.back();
    if (load.servers.size() < kMaxEnginesPerUpdate && !is_last)
      continue;
    peers_.Send(std::string(kUsageRecord), wire::Encode(load),
                {kMaxQueueRecipients});
    load.servers.clear();
  }
}

// The owner of a queue also receives a report at the end of a request. Two
// recipients fewer keep the number of datagrams no higher than without a queue.
std::size_t load_reports::CountDirectRecipients(
    const known_server& server) const {
  const catalog::service* service =
      core_.configuration
          ? core_.configuration->FindService(server.entry.service)
          : nullptr;
  const bool has_queue =
      service != nullptr && service->HasModels() &&
      IsEnabled(core_.settings.features.engine_queues, *service);
  return has_queue ? kMaxReportRecipients - 2 : kMaxReportRecipients;
}

bool load_reports::HandleRecord(const membership::direct_record& record) {
  const bool with_demand = record.key == kDemandRecord;
  const bool is_usage = record.key == kUsageRecord;
  if (record.key != kLoadRecord && !with_demand && !is_usage)
    return false;
  auto load = wire::DecodeHostLoad(record.value);
  if (!load)
    return true;
  const std::int64_t invalid = CountInvalidSeparation(load->servers);
  if (invalid > 0)
    core_.metrics.Counter("valeledge_invalid_separation_total").Add(invalid);
  if (is_usage) {
    core_.servers.UpdateLoads(record.sender, load->servers);
    return true;
  }
  if (load->store_age_ms >= 0)
    mirror_.RecordReportedResponse(ReportedResponseOf(*load));
  core_.servers.ReplaceLoads(record.sender, load->servers);
  if (with_demand) {
    const std::int64_t dropped = DropInvalidWaiting(load->models);
    if (dropped > 0)
      core_.metrics.Counter("valeledge_invalid_waiting_total").Add(dropped);
    placement_.UpdateDemand(record.sender, load->models);
  }
  return true;
}

}  // namespace valeledge::host
