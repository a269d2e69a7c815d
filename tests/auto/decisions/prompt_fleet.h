// SPDX-License-Identifier: MIT
// Fleets of hosts and engines in virtual time, whose engines crash under
// requests or for other reasons.
#ifndef VALELEDGE_TESTS_AUTO_DECISIONS_PROMPT_FLEET_H_
#define VALELEDGE_TESTS_AUTO_DECISIONS_PROMPT_FLEET_H_

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "decisions/prompt_quarantine.h"
#include "decisions/quarantine_trial.h"

namespace valeledge::test {

using namespace std::chrono_literals;
using decisions::prompt_parts;
using std::chrono::milliseconds;

inline constexpr base::time_point kStart{1000s};
inline constexpr milliseconds kStep{10};
inline constexpr milliseconds kJudgeInterval{250};
inline constexpr milliseconds kReportDelay{110};
inline constexpr milliseconds kMessageDelay{10};
inline constexpr milliseconds kCrashDelay{100};
inline constexpr milliseconds kRestart{3000};
inline constexpr milliseconds kEvidenceTime{1000};
inline constexpr milliseconds kConfirmationTime{2000};
inline constexpr milliseconds kTrialRequestInterval{250};
inline constexpr std::size_t kJudges = 16;
inline constexpr std::uint64_t kRouteParts = 3;
inline constexpr std::uint64_t kDocuments = 60;
inline constexpr std::uint64_t kFirstCause = 5000;

// What the platform's rules allow: requests that reach servers later than this
// after the fifth crash.
inline constexpr milliseconds kContact{3000};
inline constexpr int kLateAllowed = 3;

struct fleet_size {
  std::size_t hosts;
  std::size_t engines;
  double requests_per_second;
};

// Crashes and lost answers that no request causes.
struct troubles {
  // Share of the engines that end and start again by turns, each for 0.5 to 3
  // s.
  double flapping = 0;
  // Events per second: an engine resets its connections, a zone's engines
  // crash, engines crash one after the other, half of the hosts are killed.
  double resets = 0;
  double lost_zones = 0;
  double crash_series = 0;
  double killed_hosts = 0;
  // Shares of unframed answers, which show only later that their engine has not
  // crashed, of garbled ones, which show nothing, and of callers that leave
  // before the end of their answer.
  double unframed_answers = 0;
  double garbled_answers = 0;
  double leaving_callers = 0;
};

struct plan {
  fleet_size size;
  // Requests a second with each part that crashes engines.
  double causes_per_second = 0;
  std::uint64_t causes = 1;
  // A document that all these requests share with sound ones.
  bool shares_document = false;
  // Crashes for other reasons: how many engines at once, and how often.
  std::size_t crash_count = 0;
  milliseconds crash_interval{0};
  int crash_waves = 1000;
  milliseconds length{20'000};
  // Prompts of three routes, whose heads a sixth to all of their requests
  // share. Each model is loaded on one or two engines.
  bool shares_heads = false;
  troubles other = {};
};

// A route whose prompts begin with one of a few heads, followed by one of
// several documents.
struct head_route {
  double share;
  std::uint64_t heads;
  std::uint64_t documents;
  std::uint64_t models;
};

inline constexpr std::array kHeadRoutes{head_route{0.5, 3, 24, 116},
                                        head_route{0.1, 1, 2, 126},
                                        head_route{0.4, 3, 30, 116}};

struct request {
  std::size_t host = 0;
  std::size_t engine = 0;
  prompt_parts parts;
  std::uint64_t cause = 0;
  base::time_point begins_at;
  base::time_point ends_at;
  bool is_cleared = false;
  // Its answer shows neither that it has run nor that it has not.
  bool is_unclear = false;
  bool is_unframed = false;
  // Its engine is given by its model.
  bool has_engine = false;
  // Its host has asked for a trial, for whose grant it waits.
  bool has_asked = false;
  // The combination of which it is a trial; empty if it is none.
  prompt_parts trial;
};

class fleet {
 public:
  fleet(const plan& what, std::uint64_t seed)
      : plan_(what),
        random_(seed),
        judges_(
            std::min(what.size.hosts,
                     what.size.hosts <= kJudges + 1 ? kJudges + 1 : kJudges)),
        down_until_(what.size.engines),
        crashed_at_(what.size.engines) {}

  void Play();

  std::size_t Crashes(std::uint64_t cause) const {
    const auto found = crashes_.find(cause);
    return found == crashes_.end() ? 0 : found->second.size();
  }

  // Sound requests sent, and those of them that were refused.
  int sound = 0;
  int sound_refused = 0;
  std::map<std::uint64_t, int> late;
  std::set<prompt_parts> quarantined;

  // Longest time over which requests with the same parts were refused, without
  // one that was sent.
  milliseconds LongestRefusal() const;

 private:
  std::uint64_t Draw(std::uint64_t count) {
    return std::uniform_int_distribution<std::uint64_t>(0, count - 1)(random_);
  }

  bool Happens(double per_second) {
    const double share =
        per_second * std::chrono::duration<double>(kStep).count();
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
  }

  // Documents differ in how often they are asked for.
  std::uint64_t DrawDocument() {
    const std::uint64_t least = std::min(Draw(kDocuments), Draw(kDocuments));
    return 100 + std::min(least, Draw(kDocuments));
  }

  decisions::prompt_quarantine& StateOf(std::size_t host) {
    return host < judges_.size() ? judges_[host] : others_;
  }

  void After(milliseconds delay, std::function<void()> action) {
    pending_.emplace(now_ + delay, std::move(action));
  }

  void Deliver();
  void Send();

  double DrawShare() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  // Draws nothing for a share of 0.
  bool IsDrawn(double share) { return share > 0 && DrawShare() < share; }

  void SendSound();
  void RecordPlacement(const request& one, bool is_sent);
  void RecordRefusal(const prompt_parts& parts);
  void DrawPrompt(request& one);
  void SendCause(std::uint64_t cause);

  // Sends a request to a running engine; false if its host refuses it.
  bool Place(request& one);

  // Whether the engine may be used for a trial.
  bool IsFitForTrial(const request& one);

  // Whether the request is the trial that its host may send. If not, the host
  // asks the first evaluating host for one.
  bool MayTry(request& one, const prompt_parts& combination);

  // Ends the quarantines that a served request refutes, at all hosts.
  void LiftRefuted(const request& one);
  void Advance();

  // An entry of the engine's run that is written later confirms the answer.
  void ServeLater(const request& one);
  void Serve(const request& one);
  void Crash(std::size_t engine) { BreakOff(engine, true); }

  // Reports the requests of an engine as those of a crash, without a crash: the
  // engine's entry shows later that trials have not failed.
  void ResetConnections(std::size_t engine) {
    BreakOff(engine, false);
    down_until_[engine] = now_;
  }

  void BreakOff(std::size_t engine, bool is_crash);

  void KillHosts();
  void Disturb();

  void CrashSeveral() {
    for (std::size_t i = 0; i < plan_.crash_count; ++i)
      Crash(Draw(plan_.size.engines));
  }

  void Judge();

  // The first evaluating host sends the suspects to all hosts, which clear
  // those that servers have run.
  void AskForEvidence();

  const plan plan_;
  std::mt19937_64 random_;
  std::vector<decisions::prompt_quarantine> judges_;
  // What all other hosts know.
  decisions::prompt_quarantine others_;
  std::vector<base::time_point> down_until_;
  std::vector<base::time_point> crashed_at_;
  std::vector<request> active_;
  std::multimap<base::time_point, std::function<void()>> pending_;
  std::map<std::uint64_t, std::vector<base::time_point>> crashes_;
  struct refusal {
    std::optional<base::time_point> since;
    milliseconds longest{0};
  };
  std::map<prompt_parts, refusal> refusals_;
  std::vector<base::time_point> flaps_at_;
  // Trials that the first evaluating host has granted, and to which host.
  struct granted_trial {
    std::size_t host = 0;
    base::time_point until;
  };
  decisions::trial_schedule trials_;
  std::map<prompt_parts, granted_trial> granted_;
  std::map<std::pair<std::size_t, prompt_parts>, base::time_point> asked_at_;
  // Combinations in the key-value store.
  std::set<prompt_parts> stored_;
  std::int32_t runs_ = 0;
  int waves_ = 0;
  base::time_point now_;
};

}  // namespace valeledge::test

#endif  // VALELEDGE_TESTS_AUTO_DECISIONS_PROMPT_FLEET_H_
