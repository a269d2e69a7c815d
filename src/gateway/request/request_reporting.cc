// SPDX-License-Identifier: MIT
#include "gateway/request/request_reporting.h"

#include "base/logging.h"

namespace valeledge::gateway {

namespace {

using base::log_event;

journal_entry MakeEntry(const request_common& common, std::string event) {
  journal_entry entry;
  entry.request = common.id;
  entry.partner = common.partner;
  entry.model = common.model;
  entry.event = std::move(event);
  return entry;
}

}  // namespace

void ReportAttemptFailed(caller_frontend& frontend,
                         std::string_view category,
                         const request_common& common,
                         const grant& issued,
                         const base::error& failed) {
  base::Log(category, log_event::kAttemptFailed,
            {{"request", common.id},
             {"attempt", issued.attempt_id},
             {"partner", common.partner},
             {"model", common.model},
             {"server", issued.server},
             {"code", static_cast<int>(failed.code)},
             {"reason", failed.message}});
  journal_entry entry = MakeEntry(common, "attempt failed");
  entry.server = issued.server;
  entry.code = static_cast<int>(failed.code);
  entry.detail = failed.message;
  frontend.shared().journal.Add(std::move(entry));
}

void ReportRefused(caller_frontend& frontend,
                   std::string_view category,
                   const request_common& common,
                   const base::error& failed) {
  frontend.metrics().CountRefusal(failed.code);
  base::Log(category, log_event::kRequestRefused,
            {{"request", common.id},
             {"partner", common.partner},
             {"model", common.model},
             {"code", static_cast<int>(failed.code)},
             {"outcome", std::string(base::ToString(failed.what_ran))},
             {"reason", failed.message}});
  journal_entry entry = MakeEntry(common, "refused");
  entry.code = static_cast<int>(failed.code);
  entry.detail =
      std::string(base::ToString(failed.what_ran)) + ": " + failed.message;
  frontend.shared().journal.Add(std::move(entry));
}

void ReportCompleted(caller_frontend& frontend,
                     const request_common& common,
                     const std::string& event,
                     const std::string& server) {
  frontend.metrics().Counter("valeledge_requests_total", event).Add();
  base::Log("request", log_event::kRequestEnded,
            {{"request", common.id},
             {"partner", common.partner},
             {"model", common.model},
             {"server", server}});
  journal_entry entry = MakeEntry(common, event);
  entry.server = server;
  frontend.shared().journal.Add(std::move(entry));
}

}  // namespace valeledge::gateway
