// SPDX-License-Identifier: MIT
#include "decisions/prompt_quarantine_update.h"

#include <algorithm>
#include <cstdint>

namespace valeledge::decisions {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;

std::vector<std::int64_t> ToWire(const prompt_parts& parts) {
  return {parts.begin(), parts.end()};
}

prompt_parts FromWire(const std::vector<std::int64_t>& parts) {
  prompt_parts out(parts.begin(), parts.end());
  std::ranges::sort(out);
  const auto repeated = std::ranges::unique(out);
  out.erase(repeated.begin(), repeated.end());
  return out;
}

// Distributes part ids over messages.
class message_builder {
 public:
  // Returns the message to which so many part ids are to be added.
  wire::prompt_quarantine_update& MessageFor(std::size_t parts) {
    if (messages_.empty() || count_ + parts > kMaxPartsPerMessage) {
      messages_.emplace_back();
      count_ = 0;
    }
    count_ += parts;
    return messages_.back();
  }

  std::vector<wire::prompt_quarantine_update> Take() {
    return std::move(messages_);
  }

 private:
  std::vector<wire::prompt_quarantine_update> messages_;
  std::size_t count_ = 0;
};

}  // namespace

std::vector<wire::prompt_quarantine_update> MakePromptUpdates(
    const prompt_observations& observations,
    base::time_point now) {
  message_builder messages;
  for (const prompt_parts& each : observations.quarantined)
    messages.MessageFor(each.size()).quarantined.push_back(ToWire(each));
  for (const prompt_parts& each : observations.lifted) {
    auto& message = messages.MessageFor(each.size());
    message.lifted.push_back(ToWire(each));
    message.__isset.lifted = true;
  }
  for (const server_trial& each : observations.failed_trials) {
    auto& message = messages.MessageFor(each.combination.size() + 1);
    message.trials_failed.push_back(ToWire(each.combination));
    message.trials_failed_servers.push_back(each.server);
    message.__isset.trials_failed = true;
    message.__isset.trials_failed_servers = true;
  }
  for (const std::uint64_t each : observations.cleared)
    messages.MessageFor(1).cleared.push_back(static_cast<std::int64_t>(each));
  for (const prompt_crash& each : observations.crashes) {
    wire::prompt_crash_report report;
    report.server = each.server;
    report.age_us = duration_cast<microseconds>(now - each.at).count();
    report.parts = ToWire(each.parts);
    report.__set_engine(each.engine);
    messages.MessageFor(each.parts.size() + 1).crashes.push_back(report);
  }
  return messages.Take();
}

std::vector<prompt_crash> ReportedCrashes(
    const wire::prompt_quarantine_update& update,
    base::time_point now) {
  std::vector<prompt_crash> crashes;
  for (const wire::prompt_crash_report& each : update.crashes) {
    crashes.push_back({each.server, now - microseconds(each.age_us),
                       FromWire(each.parts),
                       each.__isset.engine ? each.engine : 0});
  }
  return crashes;
}

std::vector<server_trial> ReportedFailedTrials(
    const wire::prompt_quarantine_update& update) {
  std::vector<server_trial> failed;
  for (std::size_t i = 0; i < update.trials_failed.size(); ++i) {
    const std::int32_t server = i < update.trials_failed_servers.size()
                                    ? update.trials_failed_servers[i]
                                    : 0;
    failed.push_back({FromWire(update.trials_failed[i]), server});
  }
  return failed;
}

applied_prompt_update ApplyPromptUpdate(
    prompt_quarantine& state,
    const wire::prompt_quarantine_update& update,
    base::time_point now) {
  applied_prompt_update applied;
  for (const auto& each : update.lifted) {
    prompt_parts combination = FromWire(each);
    if (LiftQuarantine(state, combination, now))
      applied.lifted.push_back(std::move(combination));
  }
  for (const auto& each : update.quarantined) {
    prompt_parts combination = FromWire(each);
    if (RecordCombination(state, combination, now))
      applied.quarantined.push_back(std::move(combination));
  }
  ClearParts(state, FromWire(update.cleared), now);
  for (const prompt_crash& crash : ReportedCrashes(update, now)) {
    if (auto again = RecordPromptCrash(state, crash, now))
      applied.quarantined.push_back(std::move(*again));
  }
  return applied;
}

std::vector<wire::quarantine_trial> TrialsToWire(
    const std::vector<prompt_trial>& trials) {
  std::vector<wire::quarantine_trial> out;
  for (const prompt_trial& each : trials) {
    wire::quarantine_trial& trial = out.emplace_back();
    trial.parts = ToWire(each.combination);
    trial.host = each.host;
  }
  return out;
}

std::vector<prompt_trial> TrialsFromWire(
    const std::vector<wire::quarantine_trial>& trials) {
  std::vector<prompt_trial> out;
  for (const wire::quarantine_trial& each : trials)
    out.push_back({FromWire(each.parts), each.host});
  return out;
}

}  // namespace valeledge::decisions
