// SPDX-License-Identifier: MIT
#include "gateway/process/request_journal.h"

#include <array>
#include <chrono>
#include <ctime>
#include <utility>

namespace valeledge::gateway {

namespace {

std::string Now() {
  const std::time_t now =
      std::chrono::system_clock::to_time_t(std::chrono::system_clock::now());
  std::tm parts;
  gmtime_r(&now, &parts);
  std::array<char, 32> text;
  std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return text.data();
}

}  // namespace

void request_journal::Add(journal_entry entry) {
  entry.time = Now();
  const std::lock_guard lock(mutex_);
  entries_.push_back(std::move(entry));
  if (entries_.size() > kJournalEntries)
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
