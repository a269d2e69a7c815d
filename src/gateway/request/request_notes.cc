// SPDX-License-Identifier: MIT
#include "gateway/request/request_notes.h"

#include "base/logging.h"

namespace valeledge::gateway {

namespace {

using base::log_event;

journal_entry MakeEntry(const request_frame& frame, std::string event) {
  journal_entry entry;
  entry.request = frame.id;
  entry.partner = frame.partner;
  entry.model = frame.model;
  entry.event = std::move(event);
  return entry;
}

}  // namespace

void NoteAttemptFailed(caller_front& front,
                       std::string_view category,
                       const request_frame& frame,
                       const grant& given,
                       const base::error& failed) {
  base::Log(category, log_event::kAttemptFailed,
            {{"request", frame.id},
             {"attempt", given.attempt_id},
             {"partner", frame.partner},
             {"model", frame.model},
             {"server", given.server},
             {"code", static_cast<int>(failed.code)},
             {"reason", failed.message}});
  journal_entry entry = MakeEntry(frame, "attempt failed");
  entry.server = given.server;
  entry.code = static_cast<int>(failed.code);
  entry.detail = failed.message;
  front.shared().journal.Add(std::move(entry));
}

void NoteRefused(caller_front& front,
                 std::string_view category,
                 const request_frame& frame,
                 const base::error& failed) {
  front.metrics().CountRefusal(failed.code);
  base::Log(category, log_event::kRequestRefused,
            {{"request", frame.id},
             {"partner", frame.partner},
             {"model", frame.model},
             {"code", static_cast<int>(failed.code)},
             {"outcome", std::string(base::ToString(failed.what_ran))},
             {"reason", failed.message}});
  journal_entry entry = MakeEntry(frame, "refused");
  entry.code = static_cast<int>(failed.code);
  entry.detail =
      std::string(base::ToString(failed.what_ran)) + ": " + failed.message;
  front.shared().journal.Add(std::move(entry));
}

void NoteAnswered(caller_front& front,
                  const request_frame& frame,
                  const std::string& event,
                  const std::string& server) {
  front.metrics().Counter("valeledge_requests_total", event).Add();
  base::Log("request", log_event::kRequestEnded,
            {{"request", frame.id},
             {"partner", frame.partner},
             {"model", frame.model},
             {"server", server}});
  journal_entry entry = MakeEntry(frame, event);
  entry.server = server;
  front.shared().journal.Add(std::move(entry));
}

}  // namespace valeledge::gateway
