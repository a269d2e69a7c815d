// SPDX-License-Identifier: MIT
#include "gateway/process/request_journal.h"

#include <utility>

#include "base/duration.h"

namespace valeledge::gateway {

void request_journal::Add(journal_entry entry) {
  entry.time = base::FormatNow();
  const std::lock_guard lock(mutex_);
  entries_.push_back(std::move(entry));
  if (entries_.size() > kMaxJournalEntries)
    entries_.pop_front();
}

boost::json::array request_journal::Render() const {
  const std::lock_guard lock(mutex_);
  boost::json::array out;
  for (const journal_entry& each : entries_) {
    boost::json::object entry;
    entry["time"] = each.time;
    entry["request"] = each.request;
    entry["partner"] = each.partner;
    entry["model"] = each.model;
    entry["event"] = each.event;
    entry["server"] = each.server;
    entry["code"] = std::to_string(each.code);
    entry["detail"] = each.detail;
    out.push_back(std::move(entry));
  }
  return out;
}

}  // namespace valeledge::gateway
