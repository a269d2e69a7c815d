// SPDX-License-Identifier: MIT
// Shares between hosts under which prompt parts backend servers crash, and
// stores in the key-value store which combinations of parts are quarantined.
//
// In a fleet of up to 17 hosts every host receives every report and judges by
// itself. In a larger fleet the reports go to the same 16 hosts. They ask the
// others for evidence before they quarantine parts, and send them the result.
#ifndef VALELEDGE_HOST_PROCESS_PROMPT_QUARANTINE_COORDINATOR_H_
#define VALELEDGE_HOST_PROCESS_PROMPT_QUARANTINE_COORDINATOR_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/duration.h"
#include "catalog/backend_server.h"
#include "decisions/prompt_quarantine_update.h"
#include "decisions/quarantine_trial.h"
#include "host/process/host_core.h"
#include "host/process/quarantine_key_writer.h"
#include "store/kv_client.h"
#include "wire/generated/messages_types.h"

namespace valeledge::host {

// Key of the record in which hosts report crashes under prompt parts.
inline constexpr std::string_view kPromptCrashesRecord = "prompt_crashes";
// Subject by which the hosts that evaluate crashes are selected in a large
// fleet.
inline constexpr std::string_view kPromptCrashesSubject = "prompt_crashes";

// Dependencies on other components; called on the host's thread.
struct prompt_quarantine_callbacks {
  // Sends an update to the hosts that evaluate crashes.
  std::function<void(const wire::prompt_quarantine_update& update)> send;
  // Sends an update to all other hosts.
  std::function<void(const wire::prompt_quarantine_update& update)> broadcast;
  // Whether this host is the first one selected to evaluate crashes.
  std::function<bool()> is_first;
};

class prompt_quarantine_coordinator {
 public:
  prompt_quarantine_coordinator(host_core& core,
                                store::kv_client& store,
                                prompt_quarantine_callbacks callbacks);

  // A server crashed while a request of this host was in progress there.
  void OnServerCrash(const decisions::prompt_crash& crash);
  // A server has run a request of this host with these parts.
  void OnServed(const decisions::prompt_parts& parts);

  // Whether a request of this host with the quarantined combination may be sent
  // as a trial. If not, the host asks for a trial, unless it has just done so.
  trial_reply BeginTrial(const decisions::prompt_parts& combination);
  // The server has closed the connection of a trial that this host has sent.
  // The trial has failed unless the server's entry shows that it has not
  // crashed.
  void OnTrialInterrupted(const decisions::server_trial& trial);

  // Applies an update of another host.
  void HandleUpdate(const wire::prompt_quarantine_update& update);
  // Handle a key that was put into or removed from the store. Return whether it
  // is the key of a quarantined combination. `lapsed`: the store has been
  // unavailable, so the quarantine continues.
  bool PutKey(std::string_view key);
  bool RemoveKey(std::string_view key, bool lapsed);

  // Judges the crashes so far, and repeats recent reports. Must be called every
  // quarter of a second.
  void Tick();

 private:
  // A quarantine that this host has begun.
  struct own_quarantine {
    decisions::prompt_parts combination;
    base::time_point at;
  };
  // A trial of this host that has failed if its server has crashed.
  struct interrupted_trial {
    decisions::server_trial trial;
    base::time_point at;
    // The server's entry at that time.
    catalog::backend_server entry;
  };
  // A failed trial that this host has sent.
  struct own_failed_trial {
    decisions::server_trial trial;
    base::time_point at;
  };

  bool IsLargeFleet() const;
  // Identifies this host in messages about trials.
  std::int64_t HostKey() const;
  // Ends the quarantine of a combination at this host.
  void End(const decisions::prompt_parts& combination, std::string_view by);
  // Removes the store's key of a quarantine that has ended.
  void DeleteKey(const decisions::prompt_parts& combination);
  void RemoveEnded(base::time_point now);
  // Grants trials that hosts ask for, if this host is the first one selected.
  void GrantTrials(const std::vector<decisions::prompt_trial>& wanted);
  // Uses up a trial that was granted to this host; false if there is none.
  bool UseGrant(const decisions::prompt_parts& combination);
  // Records the grants that are for this host.
  void RecordGrants(const std::vector<decisions::prompt_trial>& granted);
  // Ends interrupted trials whose servers have crashed or have shown that they
  // have not.
  void JudgeTrials(base::time_point now);
  void FailTrial(const decisions::server_trial& failed);
  void Begin(const decisions::prompt_parts& combination, std::string_view by);
  // Reports which of the suspects in the update servers have run since.
  void Refute(const wire::prompt_quarantine_update& update);
  void Send(const decisions::prompt_observations& observations);
  void Broadcast(const decisions::prompt_observations& observations);
  void RepeatReports(base::time_point now);
  void RepeatQuarantines(base::time_point now);
  void AskForEvidence(base::time_point now);

  host_core& core_;
  quarantine_key_writer keys_;
  prompt_quarantine_callbacks callbacks_;
  // Recent crashes reported by this host.
  std::deque<decisions::prompt_crash> reported_;
  std::vector<own_quarantine> own_;
  std::vector<interrupted_trial> interrupted_;
  std::vector<own_failed_trial> own_failed_trials_;
  decisions::trial_schedule trials_;
  // Trials granted to this host, and until when each may begin.
  std::map<decisions::prompt_parts, base::time_point> granted_;
  // Quarantines that this host knows from the store.
  std::set<decisions::prompt_parts> from_store_;
  // When this host last asked for a trial.
  std::map<decisions::prompt_parts, base::time_point> trials_asked_;
  // Suspects for which the other hosts were asked for evidence, and when.
  std::map<std::uint64_t, base::time_point> asked_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_PROMPT_QUARANTINE_COORDINATOR_H_
