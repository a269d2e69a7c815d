// SPDX-License-Identifier: MIT
#include "host/process/prompt_quarantine_coordinator.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <optional>
#include <utility>

#include "base/identifier.h"
#include "base/logging.h"
#include "decisions/prompt_judgement.h"
#include "host/constants.h"
#include "host/prompt_parts.h"
#include "store/constants.h"

namespace valeledge::host {

namespace {

using base::log_event;

constexpr std::string_view kCategory = "quarantine";

// Distinguishes keys of combinations from those of requests.
constexpr std::string_view kPartsKeyPart = "parts/";

// Time for which a host repeats its reports of crashes: datagrams get lost, and
// hosts may be disconnected, suspended or starting.
constexpr std::chrono::seconds kReportPeriod{10};

// Time for which a host repeats a quarantine that it has begun, and a trial
// that has failed.
constexpr std::chrono::seconds kQuarantineReportPeriod{2};

// Number of crashes of a suspect from which on its reports are repeated, and
// other hosts are asked for evidence.
constexpr std::size_t kCrashesToRepeat = 2;

// The other hosts are asked again for evidence about a suspect after this time,
// or earlier if it has been cleared and suspected again.
constexpr std::chrono::seconds kAskInterval{10};

// Interval at which a host asks for a trial of a combination for which it
// refuses requests.
constexpr std::chrono::milliseconds kTrialRequestInterval{250};

// A key that disappears this long before its lease ends was removed, by a host
// or an operator.
constexpr std::chrono::seconds kLeaseMargin{10};

// Time for which the hosts of a large fleet can clear a suspect.
constexpr std::chrono::milliseconds kEvidenceTime{1000};

std::string KeyOf(const decisions::prompt_parts& combination) {
  return std::string(store::kHeldPrefix) + std::string(kPartsKeyPart) +
         PromptPartsText(combination);
}

// Returns the combination in a quarantine key, or nothing for other keys.
std::optional<decisions::prompt_parts> ParseKey(std::string_view key) {
  const std::string prefix =
      std::string(store::kHeldPrefix) + std::string(kPartsKeyPart);
  if (!key.starts_with(prefix))
    return std::nullopt;
  std::string_view text = key.substr(prefix.size());
  decisions::prompt_parts combination;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find(','), text.size());
    std::uint64_t part = 0;
    const auto [stopped, failed] =
        std::from_chars(text.data(), text.data() + end, part, 16);
    if (failed != std::errc() || stopped != text.data() + end)
      return std::nullopt;
    combination.push_back(part);
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  std::ranges::sort(combination);
  return combination;
}

bool IsRepeated(const decisions::prompt_quarantine& state,
                const decisions::prompt_crash& crash) {
  return std::ranges::any_of(crash.parts, [&state](std::uint64_t part) {
    return decisions::CountCrashes(state, part) >= kCrashesToRepeat;
  });
}

}  // namespace

prompt_quarantine_coordinator::prompt_quarantine_coordinator(
    host_core& core,
    store::kv_client& store,
    prompt_quarantine_callbacks callbacks)
    : core_(core), keys_(core, store), callbacks_(std::move(callbacks)) {}

bool prompt_quarantine_coordinator::IsLargeFleet() const {
  return core_.hosts > static_cast<std::int64_t>(kMaxReportRecipients) + 1;
}

void prompt_quarantine_coordinator::Send(
    const decisions::prompt_observations& observations) {
  for (const auto& update : decisions::MakePromptUpdates(
           observations, std::chrono::steady_clock::now()))
    callbacks_.send(update);
}

void prompt_quarantine_coordinator::Broadcast(
    const decisions::prompt_observations& observations) {
  for (const auto& update : decisions::MakePromptUpdates(
           observations, std::chrono::steady_clock::now()))
    callbacks_.broadcast(update);
}

void prompt_quarantine_coordinator::OnServerCrash(
    const decisions::prompt_crash& crash) {
  reported_.push_back(crash);
  if (reported_.size() > decisions::kMaxKeptPromptCrashes)
    reported_.pop_front();
  Send({.crashes = {crash}});
  const auto again = decisions::RecordPromptCrash(
      core_.prompts, crash, std::chrono::steady_clock::now());
  if (again)
    Begin(*again, "ends");
}

void prompt_quarantine_coordinator::OnServed(
    const decisions::prompt_parts& parts) {
  const auto now = std::chrono::steady_clock::now();
  const auto refuted = decisions::QuarantinedWithin(core_.prompts, parts, now);
  for (const auto& combination : refuted) {
    decisions::LiftQuarantine(core_.prompts, combination, now);
    End(combination, "run");
    DeleteKey(combination);
    Broadcast({.lifted = {combination}});
  }
  auto cleared = decisions::ClearParts(core_.prompts, parts, now);
  if (!cleared.empty())
    Send({.cleared = std::move(cleared)});
}

std::int64_t prompt_quarantine_coordinator::HostKey() const {
  return static_cast<std::int64_t>(base::StableHash(core_.settings.name));
}

trial_reply prompt_quarantine_coordinator::BeginTrial(
    const decisions::prompt_parts& combination) {
  if (UseGrant(combination))
    return trial_reply::kBegun;
  const auto now = std::chrono::steady_clock::now();
  base::time_point& asked_at = trials_asked_[combination];
  if (now - asked_at < kTrialRequestInterval)
    return trial_reply::kRefused;
  asked_at = now;
  const std::vector<decisions::prompt_trial> wanted{{combination, HostKey()}};
  if (callbacks_.is_first()) {
    GrantTrials(wanted);
    return UseGrant(combination) ? trial_reply::kBegun : trial_reply::kAsked;
  }
  // The first host may have started after these trials.
  Send({.failed_trials = decisions::FailedTrials(trials_, combination)});
  wire::prompt_quarantine_update update;
  update.__set_trials_wanted(decisions::TrialsToWire(wanted));
  callbacks_.send(update);
  return trial_reply::kAsked;
}

bool prompt_quarantine_coordinator::UseGrant(
    const decisions::prompt_parts& combination) {
  const auto granted = granted_.find(combination);
  if (granted == granted_.end())
    return false;
  const bool is_valid = std::chrono::steady_clock::now() < granted->second;
  granted_.erase(granted);
  if (!is_valid)
    return false;
  base::Log(kCategory, log_event::kQuarantineTrialBegun,
            {{"parts", PromptPartsText(combination)}});
  core_.metrics.Counter("valeledge_quarantine_trials_total", "begun").Add();
  return true;
}

void prompt_quarantine_coordinator::GrantTrials(
    const std::vector<decisions::prompt_trial>& wanted) {
  const auto now = std::chrono::steady_clock::now();
  std::vector<decisions::prompt_trial> granted;
  for (const decisions::prompt_trial& each : wanted) {
    const auto since =
        decisions::QuarantinedSince(core_.prompts, each.combination, now);
    if (since &&
        decisions::TryGrantTrial(trials_, each.combination, *since, now))
      granted.push_back(each);
  }
  if (granted.empty())
    return;
  RecordGrants(granted);
  wire::prompt_quarantine_update update;
  update.__set_trials_granted(decisions::TrialsToWire(granted));
  callbacks_.broadcast(update);
}

void prompt_quarantine_coordinator::RecordGrants(
    const std::vector<decisions::prompt_trial>& granted) {
  for (const decisions::prompt_trial& each : granted) {
    if (each.host == HostKey()) {
      granted_[each.combination] =
          std::chrono::steady_clock::now() + decisions::kTrialValidity;
    }
  }
}

void prompt_quarantine_coordinator::OnTrialInterrupted(
    const decisions::server_trial& trial) {
  const auto server = core_.servers.FindKey(trial.server);
  if (server == nullptr) {
    FailTrial(trial);
    return;
  }
  interrupted_.push_back(
      {trial, std::chrono::steady_clock::now(), server->entry});
}

// Connections also break without a crash.
void prompt_quarantine_coordinator::JudgeTrials(base::time_point now) {
  std::erase_if(interrupted_, [this, now](const interrupted_trial& each) {
    const auto server = core_.servers.FindKey(each.trial.server);
    const bool is_same_run =
        server != nullptr && server->entry.started_at == each.entry.started_at;
    if (is_same_run && HasOutlived(server->entry.heartbeats,
                                   each.entry.heartbeats, each.at, now)) {
      core_.metrics.Counter("valeledge_quarantine_trials_total", "inconclusive")
          .Add();
      return true;
    }
    if (is_same_run && now - each.at < decisions::kTrialJudgementTime)
      return false;
    FailTrial(each.trial);
    return true;
  });
}

void prompt_quarantine_coordinator::FailTrial(
    const decisions::server_trial& failed) {
  const auto now = std::chrono::steady_clock::now();
  decisions::RecordFailedTrial(trials_, failed, now);
  base::Log(kCategory, log_event::kQuarantineTrialFailed,
            {{"parts", PromptPartsText(failed.combination)}});
  core_.metrics.Counter("valeledge_quarantine_trials_total", "failed").Add();
  own_failed_trials_.push_back({failed, now});
  Broadcast({.failed_trials = {failed}});
}

void prompt_quarantine_coordinator::DeleteKey(
    const decisions::prompt_parts& combination) {
  keys_.Remove(KeyOf(combination), [this, combination] {
    return !decisions::QuarantinedSince(core_.prompts, combination,
                                        std::chrono::steady_clock::now());
  });
}

void prompt_quarantine_coordinator::End(
    const decisions::prompt_parts& combination,
    std::string_view by) {
  base::Log(kCategory, log_event::kPromptPartsReleased,
            {{"parts", PromptPartsText(combination)}, {"by", std::string(by)}});
  core_.metrics.Counter("valeledge_quarantines_ended_total", by).Add();
  decisions::EndTrials(trials_, combination);
  granted_.erase(combination);
  trials_asked_.erase(combination);
  from_store_.erase(combination);
  std::erase_if(own_, [&combination](const own_quarantine& each) {
    return each.combination == combination;
  });
  const auto is_of_combination = [&combination](const auto& each) {
    return each.trial.combination == combination;
  };
  std::erase_if(interrupted_, is_of_combination);
  std::erase_if(own_failed_trials_, is_of_combination);
}

void prompt_quarantine_coordinator::HandleUpdate(
    const wire::prompt_quarantine_update& update) {
  // In a large fleet, this host is asked for evidence. In a small one it has
  // reported it already.
  if (IsLargeFleet())
    Refute(update);
  const auto now = std::chrono::steady_clock::now();
  const auto applied = decisions::ApplyPromptUpdate(core_.prompts, update, now);
  for (const auto& combination : applied.lifted)
    End(combination, "told");
  for (const auto& combination : applied.quarantined)
    Begin(combination, "told");
  for (const auto& failed : decisions::ReportedFailedTrials(update))
    decisions::RecordFailedTrial(trials_, failed, now);
  RecordGrants(decisions::TrialsFromWire(update.trials_granted));
  if (callbacks_.is_first())
    GrantTrials(decisions::TrialsFromWire(update.trials_wanted));
}

// In a small fleet each host evaluates the crashes itself and sends the result
// to the others, which may have received fewer reports. In a large one the
// first of the evaluating hosts sends it to all others.
void prompt_quarantine_coordinator::Begin(
    const decisions::prompt_parts& combination,
    std::string_view by) {
  const auto evidence = decisions::EvidenceOf(core_.prompts, combination);
  base::Log(kCategory, log_event::kPromptPartsQuarantined,
            {{"parts", PromptPartsText(combination)},
             {"by", std::string(by)},
             {"crashes", static_cast<std::int64_t>(evidence.crashes)},
             {"engines", static_cast<std::int64_t>(evidence.engines)}});
  if (by == "store")
    return;
  const std::string value =
      core_.settings.name + " crashes=" + std::to_string(evidence.crashes) +
      " engines=" + std::to_string(evidence.engines) + " since=" +
      std::to_string(std::chrono::duration_cast<std::chrono::seconds>(
                         std::chrono::system_clock::now().time_since_epoch())
                         .count());
  const std::string key = KeyOf(combination);
  keys_.Write(key, value, callbacks_.is_first(), [this, combination] {
    return decisions::FindQuarantine(core_.prompts, combination,
                                     std::chrono::steady_clock::now())
        .has_value();
  });
  if (by != "ends" || (IsLargeFleet() && !callbacks_.is_first()))
    return;
  own_.push_back({combination, std::chrono::steady_clock::now()});
  Broadcast({.quarantined = {combination}});
}

void prompt_quarantine_coordinator::Refute(
    const wire::prompt_quarantine_update& update) {
  decisions::prompt_parts refuted;
  for (const auto& crash :
       decisions::ReportedCrashes(update, std::chrono::steady_clock::now())) {
    const auto parts = decisions::RefutedParts(core_.prompts, crash);
    refuted.insert(refuted.end(), parts.begin(), parts.end());
  }
  std::ranges::sort(refuted);
  const auto repeated = std::ranges::unique(refuted);
  refuted.erase(repeated.begin(), repeated.end());
  if (!refuted.empty())
    Send({.cleared = std::move(refuted)});
}

void prompt_quarantine_coordinator::Tick() {
  const auto now = std::chrono::steady_clock::now();
  decisions::Sweep(core_.prompts, now);
  RemoveEnded(now);
  JudgeTrials(now);
  const decisions::judged_fleet fleet{
      core_.servers.servers().size(),
      IsLargeFleet() ? kEvidenceTime : std::chrono::milliseconds(0)};
  for (const auto& combination :
       decisions::JudgeSuspects(core_.prompts, fleet, now))
    Begin(combination, "ends");
  RepeatReports(now);
  RepeatQuarantines(now);
  if (IsLargeFleet() && callbacks_.is_first())
    AskForEvidence(now);
}

// A quarantine may also end by its duration.
void prompt_quarantine_coordinator::RemoveEnded(base::time_point now) {
  const auto has_ended = [this, now](const decisions::prompt_parts& parts) {
    return !decisions::QuarantinedSince(core_.prompts, parts, now);
  };
  std::erase_if(trials_.trials,
                [&](const auto& each) { return has_ended(each.first); });
  std::erase_if(trials_asked_,
                [&](const auto& each) { return has_ended(each.first); });
  std::erase_if(granted_,
                [&](const auto& each) { return has_ended(each.first); });
  std::erase_if(from_store_, has_ended);
  std::erase_if(interrupted_, [&](const interrupted_trial& each) {
    return has_ended(each.trial.combination);
  });
}

void prompt_quarantine_coordinator::RepeatReports(base::time_point now) {
  while (!reported_.empty() && now - reported_.front().at >= kReportPeriod)
    reported_.pop_front();
  decisions::prompt_observations repeated;
  for (const decisions::prompt_crash& crash : reported_) {
    if (IsRepeated(core_.prompts, crash))
      repeated.crashes.push_back(crash);
  }
  Send(repeated);
}

void prompt_quarantine_coordinator::RepeatQuarantines(base::time_point now) {
  std::erase_if(own_, [now](const own_quarantine& each) {
    return now - each.at >= kQuarantineReportPeriod;
  });
  std::erase_if(own_failed_trials_, [now](const own_failed_trial& each) {
    return now - each.at >= kQuarantineReportPeriod;
  });
  decisions::prompt_observations repeated;
  for (const own_quarantine& each : own_)
    repeated.quarantined.push_back(each.combination);
  for (const own_failed_trial& each : own_failed_trials_)
    repeated.failed_trials.push_back(each.trial);
  Broadcast(repeated);
}

// Hosts clear only parts that they know as suspects.
void prompt_quarantine_coordinator::AskForEvidence(base::time_point now) {
  std::erase_if(asked_, [now](const auto& each) {
    return now - each.second >= kAskInterval;
  });
  decisions::prompt_observations suspected;
  for (const auto& [part, suspect] : core_.prompts.suspects) {
    const auto asked = asked_.find(part);
    const bool is_asked =
        asked != asked_.end() &&
        (!suspect.repeated_since || asked->second >= *suspect.repeated_since);
    if (is_asked ||
        decisions::CountCrashes(core_.prompts, part) < kCrashesToRepeat)
      continue;
    asked_[part] = now;
    for (const auto& crash : suspect.crashes) {
      suspected.crashes.push_back(
          {crash.server, crash.at, suspect.companions, crash.engine});
    }
  }
  Broadcast(suspected);
}

bool prompt_quarantine_coordinator::PutKey(std::string_view key) {
  const auto combination = ParseKey(key);
  if (!combination)
    return false;
  keys_.OnPut(std::string(key));
  if (decisions::RecordCombination(core_.prompts, *combination,
                                   std::chrono::steady_clock::now())) {
    from_store_.insert(*combination);
    Begin(*combination, "store");
  } else if (callbacks_.is_first() &&
             !decisions::QuarantinedSince(core_.prompts, *combination,
                                          std::chrono::steady_clock::now())) {
    // A host wrote the key while another one ended the quarantine.
    DeleteKey(*combination);
  }
  return true;
}

bool prompt_quarantine_coordinator::RemoveKey(std::string_view key,
                                              bool lapsed) {
  const auto combination = ParseKey(key);
  if (!combination)
    return false;
  keys_.OnRemoved(std::string(key));
  if (lapsed)
    return true;
  // A run, or another host's report of one, may have ended it already.
  if (!core_.prompts.combinations.contains(*combination))
    return true;
  const auto now = std::chrono::steady_clock::now();
  const auto since =
      decisions::QuarantinedSince(core_.prompts, *combination, now);
  // A lease that ends leaves the combination under suspicion; a key that is
  // removed earlier lifts it. A host that knows the quarantine from the store
  // cannot tell when it began.
  const bool is_removed =
      since && !from_store_.contains(*combination) &&
      now - *since < decisions::kQuarantineDuration - kLeaseMargin;
  if (is_removed) {
    if (decisions::LiftQuarantine(core_.prompts, *combination, now))
      End(*combination, "store");
    return true;
  }
  decisions::ReleaseCombination(core_.prompts, *combination, now);
  End(*combination, "time");
  return true;
}

}  // namespace valeledge::host
