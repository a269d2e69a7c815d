// SPDX-License-Identifier: MIT
// What this host knows about every backend server, and the selection of a
// server for a request.
#ifndef VALELEDGE_HOST_PROCESS_SERVER_REGISTRY_H_
#define VALELEDGE_HOST_PROCESS_SERVER_REGISTRY_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/duration.h"
#include "catalog/backend_server.h"
#include "catalog/configuration.h"
#include "decisions/cold_start.h"
#include "decisions/server_cost.h"
#include "decisions/stream_separation.h"
#include "host/external_protocol.h"
#include "host/load_features.h"
#include "host/process/known_server.h"
#include "host/process/reported_loads.h"
#include "host/process/slot_handle.h"
#include "wire/generated/messages_types.h"

namespace valeledge::host {

// Requirements that a request has on a server.
struct server_query {
  std::string_view service;
  std::string_view model;
  std::string_view adapter;
  // The software version that must run the request; null: any.
  const std::string* software = nullptr;
  const request_metadata* head = nullptr;
  decisions::request_weight weight;
  // Excludes servers that would probably reject the request.
  bool avoids_full = false;
  // Instances that have failed this request.
  const std::vector<std::string>* avoid = nullptr;
  // Regions to which the request's route and its workspace restrict it; null
  // or empty: no restriction.
  const std::vector<std::string>* route_regions = nullptr;
  const std::vector<std::string>* workspace_regions = nullptr;
  // For the separation of long streams from long prompts: maximum gap between
  // events, expected number of events (0: unknown), and the time by which the
  // response has to start.
  std::chrono::milliseconds max_event_gap{0};
  double expected_events = 0;
  base::time_point due;
};

// Whether both the request's route and its workspace allow a region.
bool IsInAllowedRegion(const server_query& query, const std::string& region);

// Whether a server is of the software version that must run the request.
bool HasRequiredSoftware(const server_query& query,
                         const catalog::backend_server& entry);

// What a request adds to the long streams and long prompts of a server.
struct separated_load {
  // Expected number of events if it is a long stream; 0: it is not.
  double stream_events = 0;
  // Prefill time at an engine of the usual speed if it is a long prompt; 0: it
  // is not.
  std::chrono::duration<double, std::milli> prefill{0};
  // Whether another server would have been selected without the separation.
  decisions::separated_kind changed = decisions::separated_kind::kNone;
};

struct server_choice {
  std::shared_ptr<known_server> server;
  std::chrono::duration<double, std::milli> expected{0};
  // The same without the slowdown factor of the server.
  std::chrono::duration<double, std::milli> unscaled{0};
  // The factor, if it is that of a shared estimate.
  std::optional<double> shared_factor;
  // Prefill time of the prompts that are queued before this one.
  std::chrono::duration<double, std::milli> prefill_ahead{0};
  std::int64_t cached_tokens = 0;
  // Set if long prompts and long streams are kept apart.
  std::optional<separated_load> separated;
  // The allocated slot; null if this host selected the server by itself.
  std::shared_ptr<slot_handle> slot;
};

// When and after which kind of pause a server may be used again.
struct server_release {
  base::time_point at;
  // It waits for a permit; otherwise for the end of a backoff.
  bool by_permit = false;
};

// All known instances. Not thread-safe: used only on the host's thread.
// server_registry.cc has the entries, server_availability.cc tells which
// servers may get a request, and server_selection.cc chooses one of them.
class server_registry {
 public:
  // `regions` maps availability zones to regions.
  explicit server_registry(std::string zone,
                           std::map<std::string, std::string> regions = {})
      : zone_(std::move(zone)), regions_(std::move(regions)) {}

  // Sets the predicate that tells whether other hosts send this host their
  // load changes at an instance directly. It is evaluated only for candidates
  // of a request, since membership of a large fleet changes all the time.
  // Unset: always true.
  void SetReceivesDirectly(
      std::function<bool(const std::string& instance)> receives_directly) {
    receives_directly_ = std::move(receives_directly);
  }

  // Sets the source of this host's share of the requests to cold servers; the
  // rate comes from the service. Unset: as if there were no other host.
  void SetColdShare(std::function<decisions::cold_share()> share) {
    cold_share_ = std::move(share);
  }

  // Sets for which services the shared estimates of engines are used. Unset:
  // for none.
  void SetSharedEstimates(feature_mode mode) { shared_estimates_ = mode; }
  bool SharesEstimates(const catalog::service& service) const {
    return IsEnabled(shared_estimates_, service);
  }

  // Sets for which services long streams are kept apart from long prompts.
  // Unset: for none.
  void SetStreamSeparation(feature_mode mode) { stream_separation_ = mode; }
  bool SeparatesStreams(const catalog::service& service) const {
    return IsEnabled(stream_separation_, service);
  }
  // Long prompts that this host sends.
  decisions::typical_prompt& typical_prompt() { return typical_prompt_; }
  const decisions::typical_prompt& typical_prompt() const {
    return typical_prompt_;
  }

  // Adds or updates an entry. Returns true if the server is new, or if its
  // draining or expiry state has changed.
  bool Put(catalog::backend_server entry, base::time_point now);
  // Handles the removal of an entry. If its lease has merely `expired`, the
  // server may still be running: it is used for another `grace`.
  void Remove(const std::string& instance,
              bool expired,
              std::chrono::milliseconds grace,
              base::time_point now);
  // Removes servers whose grace period after the expiry has passed.
  void RemoveExpired(base::time_point now);

  // A service and the software version of some of its servers.
  using service_version = std::pair<std::string, std::string>;

  // Versions whose servers have been listed at any time since `since`.
  std::set<service_version> VersionsSince(base::time_point since) const;
  // Records a version that another host has listed.
  void RecordListedVersion(const service_version& version,
                           base::time_point now);

  // Software versions of the service's servers that have been listed at any
  // time since `since`.
  std::set<std::string> SoftwareSince(std::string_view service,
                                      base::time_point since) const;

  // Starts or ends the evacuation of an availability zone by operators.
  void Evacuate(const std::string& zone);
  void EndEvacuation(const std::string& zone, base::time_point now);

  // Returns the best server for a request, or nothing if none is usable. A cold
  // server is used only if there is no warm one, and only for a few requests.
  std::optional<server_choice> Choose(const server_query& query,
                                      const catalog::service& service,
                                      base::time_point now,
                                      std::mt19937_64& random);
  // Returns the best warm server for a request; reserves nothing.
  std::optional<server_choice> FindBest(const server_query& query,
                                        const catalog::service& service,
                                        base::time_point now,
                                        std::mt19937_64& random) const {
    return ChooseWarm(query, service, now, random);
  }
  // Returns this server as the choice for a request, or nothing if the request
  // may not be sent to it.
  std::optional<server_choice> ChoiceOf(const std::string& instance,
                                        const server_query& query,
                                        const catalog::service& service,
                                        base::time_point now) const;
  // The server's load, without requests that are queued.
  static decisions::server_candidate LoadOf(const known_server& server,
                                            const catalog::service& service);
  // Its long streams and long prompts, without the expected wait.
  static decisions::separated_engine SeparatedOf(const known_server& server,
                                                 base::time_point now);
  // Whether any server that accepts the request holds its unit.
  bool AnyHolds(const server_query& query, base::time_point now) const;

  // Whether the request may use any server once all pauses have ended.
  bool AnyEligible(const server_query& query, base::time_point now) const;

  // When the first server of the request may be used again, if all of them are
  // unavailable for a known time and at least one by its own statement; nothing
  // otherwise.
  std::optional<server_release> EarliestRelease(const server_query& query,
                                                base::time_point now) const;

  // When the first replica of the model that is being loaded should be ready;
  // nothing if none is being loaded.
  std::optional<base::time_point> EarliestLoadDue(const server_query& query,
                                                  base::time_point now) const;
  // The same for replicas whose load is planned and has not started.
  std::optional<base::time_point> EarliestPlannedLoad(
      const server_query& query,
      base::time_point now) const;
  // Shortest time to load the model from a weight copy in the memory or on the
  // disk of a server; nothing if no server has a copy.
  std::optional<std::chrono::milliseconds> FastestLocalLoad(
      const server_query& query,
      const catalog::service& service) const;

  // ReplaceLoads replaces all loads reported by another host. UpdateLoads
  // changes only those at the given servers.
  void ReplaceLoads(const std::string& host,
                    const std::vector<wire::server_load>& loads) {
    loads_.Replace(by_key_, host, loads);
  }
  void UpdateLoads(const std::string& host,
                   const std::vector<wire::server_load>& loads) {
    loads_.Update(by_key_, host, loads);
  }
  void ForgetHost(const std::string& host) { loads_.Forget(by_key_, host); }

  // Loads of this host, as reported to the other hosts.
  std::vector<wire::server_load> OwnLoads() const;

  std::shared_ptr<known_server> Find(std::string_view instance) const;
  std::int64_t Count(bool (known_server::*matches)() const) const;
  std::shared_ptr<known_server> FindKey(unit_key key) const {
    return FindServer(by_key_, key);
  }
  const std::map<std::string, std::shared_ptr<known_server>, std::less<>>&
  servers() const {
    return servers_;
  }

 private:
  // Whether a server accepts requests of this service, software version and
  // region, regardless of its load.
  bool AcceptsRequest(const known_server& server,
                      const server_query& query) const;
  // Whether a server may get the request once all its pauses have ended.
  bool IsEligible(const known_server& server,
                  const server_query& query,
                  base::time_point now) const;
  // Whether a server may get the request now, provided that a permit is granted
  // if it needs one.
  bool IsCandidate(const known_server& server,
                   const server_query& query,
                   base::time_point now) const;
  std::optional<server_choice> ChooseWarm(const server_query& query,
                                          const catalog::service& service,
                                          base::time_point now,
                                          std::mt19937_64& random) const;
  std::optional<server_choice> ChooseCold(const server_query& query,
                                          const catalog::service& service,
                                          base::time_point now,
                                          std::mt19937_64& random) const;
  // Time to add to the expected wait at a server.
  std::chrono::duration<double, std::milli> CostOfSeparation(
      const known_server& server,
      const decisions::server_candidate& offer,
      std::chrono::duration<double, std::milli> expected,
      const server_query& query,
      base::time_point now) const;
  // Whether the server's shared estimate applies to a request.
  bool UsesSharedEstimate(const server_query& query,
                          const catalog::service& service) const;
  // The choice of a server with an offer for the request.
  server_choice ChoiceOf(const std::shared_ptr<known_server>& server,
                         const decisions::server_candidate& offer,
                         const server_query& query,
                         const catalog::service& service) const;
  // The server's load and cache state as input of the cost function.
  decisions::server_candidate OfferOf(const known_server& server,
                                      const server_query& query,
                                      const catalog::service& service,
                                      base::time_point now) const;

  // The earliest of the given loads of the model that is not overdue.
  std::optional<base::time_point> EarliestOf(
      std::map<unit_key, base::time_point> known_server::*loads,
      const server_query& query,
      base::time_point now) const;

  std::string zone_;
  std::map<std::string, std::string> regions_;
  std::function<bool(const std::string& instance)> receives_directly_;
  std::function<decisions::cold_share()> cold_share_;
  feature_mode shared_estimates_ = feature_mode::kOff;
  feature_mode stream_separation_ = feature_mode::kOff;
  decisions::typical_prompt typical_prompt_;
  std::map<std::string, std::shared_ptr<known_server>, std::less<>> servers_;
  servers_by_key by_key_;
  reported_loads loads_;
  std::set<std::string> evacuated_zones_;
  // When a server of a version was last known to be listed, for versions whose
  // servers have been removed; kept as long as origins of streams are.
  std::map<service_version, base::time_point> listed_versions_;
  // Whether any server may have `expires_at` set.
  bool any_expiring_ = false;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_SERVER_REGISTRY_H_
