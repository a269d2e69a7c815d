// SPDX-License-Identifier: MIT
#include "prompt_fleet.h"

#include <algorithm>

#include "decisions/prompt_judgement.h"

namespace valeledge::test {

void fleet::Play() {
  for (now_ = kStart; now_ < kStart + plan_.length; now_ += kStep) {
    Deliver();
    Disturb();
    if (plan_.crash_count > 0 &&
        (now_ - kStart) % plan_.crash_interval == 0ms && now_ > kStart + 2s &&
        waves_++ < plan_.crash_waves)
      CrashSeveral();
    Send();
    Advance();
    Judge();
  }
}

milliseconds fleet::LongestRefusal() const {
  milliseconds longest{0};
  for (const auto& [parts, refusal] : refusals_)
    longest = std::max(longest, refusal.longest);
  return longest;
}

void fleet::Deliver() {
  while (!pending_.empty() && pending_.begin()->first <= now_) {
    const auto action = std::move(pending_.begin()->second);
    pending_.erase(pending_.begin());
    action();
  }
}

void fleet::Send() {
  double expected = plan_.size.requests_per_second *
                    std::chrono::duration<double>(kStep).count();
  for (; expected >= 1; expected -= 1)
    SendSound();
  if (std::uniform_real_distribution<double>(0, 1)(random_) < expected)
    SendSound();
  for (std::uint64_t cause = 0; cause < plan_.causes; ++cause) {
    if (now_ >= kStart + 2s && Happens(plan_.causes_per_second))
      SendCause(kFirstCause + cause);
  }
}

void fleet::SendSound() {
  request one;
  if (plan_.shares_heads)
    DrawPrompt(one);
  else
    one.parts = {Draw(kRouteParts), DrawDocument()};
  ++sound;
  one.host = Draw(plan_.size.hosts);
  const bool is_sent = Place(one);
  if (is_sent || !one.has_asked)
    RecordPlacement(one, is_sent);
  else
    After(3 * kMessageDelay,
          [this, one]() mutable { RecordPlacement(one, Place(one)); });
}

void fleet::RecordPlacement(const request& one, bool is_sent) {
  if (is_sent) {
    refusals_[one.parts].since.reset();
    return;
  }
  ++sound_refused;
  RecordRefusal(one.parts);
}

void fleet::RecordRefusal(const prompt_parts& parts) {
  refusal& of = refusals_[parts];
  if (!of.since)
    of.since = now_;
  of.longest = std::max(
      of.longest, std::chrono::duration_cast<milliseconds>(now_ - *of.since));
}

void fleet::DrawPrompt(request& one) {
  double at = DrawShare();
  std::size_t route = 0;
  while (route + 1 < kHeadRoutes.size() && at >= kHeadRoutes[route].share)
    at -= kHeadRoutes[route++].share;
  const head_route& drawn = kHeadRoutes[route];
  const std::uint64_t first = 1000 * (route + 1);
  one.parts = {first + Draw(drawn.heads), first + 100 + Draw(drawn.documents)};
  const std::uint64_t model = first + Draw(drawn.models);
  // The second replica of an odd model is on the engine after the first.
  one.engine =
      (model * 2'654'435'761U / 7 + Draw(1 + model % 2)) % plan_.size.engines;
  one.has_engine = true;
}

void fleet::SendCause(std::uint64_t cause) {
  request one;
  one.parts = {Draw(kRouteParts), plan_.shares_document ? 100 : DrawDocument(),
               cause};
  one.cause = cause;
  one.host = Draw(plan_.size.hosts);
  if (!Place(one))
    return;
  const auto found = crashes_.find(cause);
  if (found != crashes_.end() && found->second.size() >= 5 &&
      now_ > found->second[4] + kContact)
    ++late[cause];
}

bool fleet::Place(request& one) {
  std::ranges::sort(one.parts);
  if (one.host < judges_.size())
    decisions::RecordPrompt(judges_[one.host], one.parts);
  const auto verdict =
      decisions::FindQuarantine(StateOf(one.host), one.parts, now_);
  if (verdict && !MayTry(one, verdict->combination))
    return false;
  for (int tries = 0; !one.has_engine && tries < 20; ++tries) {
    one.engine = Draw(plan_.size.engines);
    if (down_until_[one.engine] <= now_)
      break;
  }
  if (down_until_[one.engine] > now_)
    return true;
  one.begins_at = now_ + milliseconds(50 + Draw(150));
  one.ends_at = one.begins_at + milliseconds(300 + Draw(1500));
  if (IsDrawn(plan_.other.leaving_callers))
    one.ends_at = now_ + milliseconds(Draw(400));
  one.is_unclear =
      IsDrawn(plan_.other.garbled_answers) || one.ends_at < one.begins_at;
  one.is_unframed = IsDrawn(plan_.other.unframed_answers);
  active_.push_back(one);
  return true;
}

bool fleet::IsFitForTrial(const request& one) {
  const auto crashed = decisions::CrashedEngines(
      StateOf(one.host), decisions::kTrialCrashPeriod, now_);
  const auto engine = static_cast<std::int32_t>(one.engine) + 1;
  return down_until_[one.engine] <= now_ &&
         std::ranges::find(crashed, engine) == crashed.end();
}

bool fleet::MayTry(request& one, const prompt_parts& combination) {
  if (!IsFitForTrial(one))
    return false;
  const auto granted = granted_.find(combination);
  if (granted != granted_.end() && granted->second.host == one.host &&
      now_ < granted->second.until) {
    granted_.erase(granted);
    one.trial = combination;
    return true;
  }
  // A host asks at most every 250 ms.
  base::time_point& asked_at = asked_at_[{one.host, combination}];
  if (now_ - asked_at < kTrialRequestInterval)
    return false;
  asked_at = now_;
  one.has_asked = true;
  const std::size_t host = one.host;
  After(kMessageDelay, [this, combination, host] {
    const auto since =
        decisions::QuarantinedSince(judges_[0], combination, now_);
    if (!since || !decisions::TryGrantTrial(trials_, combination, *since, now_))
      return;
    After(kMessageDelay, [this, combination, host] {
      granted_[combination] = {host, now_ + decisions::kTrialValidity};
    });
  });
  return false;
}

void fleet::LiftRefuted(const request& one) {
  for (const prompt_parts& combination :
       decisions::QuarantinedWithin(StateOf(one.host), one.parts, now_)) {
    After(kMessageDelay, [this, combination] {
      for (auto& judge : judges_)
        decisions::LiftQuarantine(judge, combination, now_);
      decisions::LiftQuarantine(others_, combination, now_);
      decisions::EndTrials(trials_, combination);
      stored_.erase(combination);
    });
  }
}

void fleet::Advance() {
  std::vector<std::size_t> crashed;
  for (request& each : active_) {
    if (each.cause != 0) {
      if (now_ >= each.begins_at + kCrashDelay &&
          down_until_[each.engine] <= now_) {
        crashes_[each.cause].push_back(now_);
        crashed.push_back(each.engine);
      }
      continue;
    }
    const bool outlasted =
        now_ >= each.begins_at + decisions::kEarlyResponseWindow;
    if (!each.is_cleared && !each.is_unclear &&
        (outlasted || now_ >= each.ends_at)) {
      each.is_cleared = true;
      if (each.is_unframed && !outlasted)
        ServeLater(each);
      else
        Serve(each);
    }
  }
  for (const std::size_t engine : crashed)
    Crash(engine);
  std::erase_if(active_,
                [this](const request& each) { return now_ >= each.ends_at; });
}

void fleet::ServeLater(const request& one) {
  const base::time_point ended_at = now_;
  After(kConfirmationTime + milliseconds(Draw(1200)), [this, one, ended_at] {
    if (crashed_at_[one.engine] < ended_at)
      Serve(one);
  });
}

void fleet::Serve(const request& one) {
  if (one.host < judges_.size())
    decisions::RecordOutcome(judges_[one.host], one.parts, std::nullopt, now_);
  LiftRefuted(one);
  const auto cleared =
      decisions::ClearParts(StateOf(one.host), one.parts, now_);
  if (cleared.empty())
    return;
  After(kMessageDelay, [this, cleared] {
    for (auto& judge : judges_)
      decisions::ClearParts(judge, cleared, now_);
  });
}

void fleet::BreakOff(std::size_t engine, bool is_crash) {
  if (down_until_[engine] > now_)
    return;
  down_until_[engine] = now_ + kRestart;
  crashed_at_[engine] = now_;
  ++runs_;
  for (const request& each : active_) {
    if (each.engine != engine ||
        now_ - each.begins_at >= decisions::kEarlyResponseWindow)
      continue;
    const decisions::prompt_crash crash{runs_, now_, each.parts,
                                        static_cast<std::int32_t>(engine) + 1};
    if (!each.trial.empty() && is_crash) {
      After(decisions::kTrialJudgementTime,
            [this, trial = each.trial, run = runs_] {
              decisions::RecordFailedTrial(trials_, {trial, run}, now_);
            });
    }
    if (each.host < judges_.size())
      decisions::RecordOutcome(judges_[each.host], each.parts, runs_, now_);
    After(kReportDelay, [this, crash] {
      for (auto& judge : judges_)
        decisions::RecordPromptCrash(judge, crash, now_);
    });
  }
  std::erase_if(
      active_, [engine](const request& each) { return each.engine == engine; });
}

void fleet::KillHosts() {
  for (std::size_t host = Draw(2); host < judges_.size(); host += 2) {
    judges_[host] = {};
    for (const prompt_parts& each : stored_)
      decisions::RecordCombination(judges_[host], each, now_);
    std::erase_if(active_,
                  [host](const request& each) { return each.host == host; });
  }
}

void fleet::Disturb() {
  const troubles& other = plan_.other;
  const auto flapping = static_cast<std::size_t>(
      other.flapping * static_cast<double>(plan_.size.engines));
  flaps_at_.resize(flapping, kStart + 2s);
  for (std::size_t engine = 0; engine < flapping; ++engine) {
    if (now_ < flaps_at_[engine])
      continue;
    Crash(engine);
    down_until_[engine] = now_ + milliseconds(500 + Draw(2500));
    flaps_at_[engine] = down_until_[engine] + milliseconds(500 + Draw(2500));
  }
  if (now_ < kStart + 2s)
    return;
  const double step = std::chrono::duration<double>(kStep).count();
  if (IsDrawn(other.resets * step))
    ResetConnections(Draw(plan_.size.engines));
  if (IsDrawn(other.killed_hosts * step))
    KillHosts();
  if (IsDrawn(other.lost_zones * step)) {
    for (std::size_t engine = Draw(4); engine < plan_.size.engines; engine += 4)
      Crash(engine);
  }
  if (IsDrawn(other.crash_series * step)) {
    for (int i = 0; i < 6; ++i) {
      const std::size_t engine = Draw(plan_.size.engines);
      After(milliseconds(200 * i), [this, engine] { Crash(engine); });
    }
  }
}

void fleet::Judge() {
  for (std::size_t host = 0; host < judges_.size(); ++host) {
    const auto phase = milliseconds(10 * (host % 25));
    if ((now_ - kStart + phase) % kJudgeInterval != 0ms)
      continue;
    const bool is_large = plan_.size.hosts > judges_.size();
    const decisions::judged_fleet judged{plan_.size.engines,
                                         is_large ? kEvidenceTime : 0ms};
    for (const prompt_parts& each :
         decisions::JudgeSuspects(judges_[host], judged, now_)) {
      quarantined.insert(each);
      stored_.insert(each);
      After(kMessageDelay, [this, each] {
        for (auto& judge : judges_)
          decisions::RecordCombination(judge, each, now_);
        decisions::RecordCombination(others_, each, now_);
      });
    }
    if (host == 0 && plan_.size.hosts > judges_.size())
      AskForEvidence();
  }
}

void fleet::AskForEvidence() {
  for (const auto& [part, suspect] : judges_[0].suspects) {
    if (decisions::CountCrashes(judges_[0], part) < 2)
      continue;
    for (const auto& each : suspect.crashes) {
      const decisions::prompt_crash crash{each.server, each.at,
                                          suspect.companions, each.engine};
      const auto refuted = decisions::RefutedParts(others_, crash);
      decisions::RecordPromptCrash(others_, crash, now_);
      After(kMessageDelay, [this, refuted] {
        for (auto& judge : judges_)
          decisions::ClearParts(judge, refuted, now_);
      });
    }
  }
}

}  // namespace valeledge::test
