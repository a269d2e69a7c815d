// SPDX-License-Identifier: MIT
// What this host believes of every backend server, and the choice among them.
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
#include <vector>

#include "base/duration.h"
#include "catalog/backend_server.h"
#include "catalog/configuration.h"
#include "decisions/advertised_limit.h"
#include "decisions/cold_start.h"
#include "decisions/reading_pace.h"
#include "decisions/server_cost.h"
#include "host/dialect.h"
#include "host/process/slot_handle.h"
#include "wire/generated/messages_types.h"

namespace valeledge::host {

// A model, or "MODEL/ADAPTER", as a short number between hosts.
using unit_key = std::int32_t;

unit_key KeyOf(std::string_view name);

// The name of an adapter among units.
std::string AdapterUnit(std::string_view model, std::string_view adapter);

// Requests of one or more hosts at one backend server.
struct server_usage {
  std::int64_t running = 0;
  std::int64_t unread_tokens = 0;
  std::int64_t held_tokens = 0;
};

// Whether a server holds a unit, as somebody other than its entry says.
struct residency_override {
  bool holds = false;
  base::time_point updated_at;
};

// Prompts that a server has read lately, each named by a hash of the model
// and all parts up to one of its parts.
struct prompt_history {
  std::map<std::uint64_t, base::time_point> last_seen;
};

// One instance of a backend server.
struct known_server {
  catalog::backend_server entry;
  unit_key key = 0;
  // Its entry is gone, or says that it is leaving: no new requests.
  bool leaving = false;
  // Operators are emptying its availability zone: no new requests either, but
  // it may be used again.
  bool evacuated = false;
  // When its zone was last taken back: it may have become cold meanwhile, and
  // has not written its entry since.
  std::optional<base::time_point> reinstated_at;
  decisions::cold_server cold;
  // The region of its availability zone; empty if that is not known.
  std::string region;
  // Its entry went while the store was in trouble: it is used until here.
  std::optional<base::time_point> expires_at;
  server_usage own;
  server_usage others;
  decisions::server_trust trust;
  // Prompts of all hosts, and what the last one sent from here took a token.
  decisions::reading_pace pace;
  std::chrono::duration<double, std::milli> per_token{0};
  std::map<unit_key, residency_override> residency_overrides;
  // Models that it is loading, and when each is there.
  std::map<unit_key, base::time_point> loads_due;
  prompt_history prompts;
  // The rate limit that it advertises, if it does.
  decisions::limit_view advertised;
  // It has advertised something that is no rate.
  bool limit_unreadable = false;
  // No permit for it was to be had; until then it is not asked for again.
  base::time_point permit_retry_at;
  // This host waits for a permit for it.
  bool permit_pending = false;
  // Until when the holder of the lease takes the limit for lower than what is
  // asked for.
  base::time_point limit_binds_until;

  bool IsLimited() const { return advertised.limit.has_value(); }
  // Whether a permit for it may be asked for, or none is needed.
  bool IsPermitted(base::time_point now) const {
    return !IsLimited() || (!permit_pending && now >= permit_retry_at);
  }
  bool TakesRequests() const { return !leaving && !evacuated; }
  // Whether it tolerates only a few requests now.
  bool IsCold(const catalog::service& service, base::time_point now) const;

  // Whether the unit is there, by the newest that is known.
  bool Holds(std::string_view model,
             std::string_view adapter,
             base::time_point now) const;
};

// What a request needs of a server.
struct server_query {
  std::string_view service;
  std::string_view model;
  std::string_view adapter;
  const request_head* head = nullptr;
  decisions::request_weight weight;
  // Instances that have failed this request.
  const std::vector<std::string>* avoid = nullptr;
  // Regions to which the request's route and its workspace bind it; null or
  // empty: to none.
  const std::vector<std::string>* route_regions = nullptr;
  const std::vector<std::string>* workspace_regions = nullptr;
};

// Whether a request may be served in a region.
bool IsInAllowedRegion(const server_query& query, const std::string& region);

struct server_choice {
  std::shared_ptr<known_server> server;
  std::chrono::duration<double, std::milli> expected{0};
  // How long the server reads prompts that came before.
  std::chrono::duration<double, std::milli> prefill_ahead{0};
  std::int64_t cached_tokens = 0;
  // Where places are dealt out; null if this host has chosen by itself.
  std::shared_ptr<slot_handle> slot;
};

// All known instances. Lives on the host's thread.
class server_registry {
 public:
  // `regions`: the region of each availability zone.
  explicit server_registry(std::string zone,
                           std::map<std::string, std::string> regions = {})
      : zone_(std::move(zone)), regions_(std::move(regions)) {}

  // Whether this host hears at once of what others send to an instance; asked
  // only of instances that a request may go to, since members of a large fleet
  // change all the time. Unset: it always does.
  void SetReceivesDirectly(
      std::function<bool(const std::string& instance)> receives_directly) {
    receives_directly_ = std::move(receives_directly);
  }

  // What this host may send to cold servers, but for the rate, which differs
  // with the service. Unset: as if there were no other host.
  void SetColdShare(std::function<decisions::cold_share()> share) {
    cold_share_ = std::move(share);
  }

  // Takes in an entry; true if it changed what may be sent there.
  bool Put(catalog::backend_server entry, base::time_point now);
  // The entry is gone. If `lapsed`, the server may still live: it is used for
  // another `grace`.
  void Remove(const std::string& instance,
              bool expired,
              std::chrono::milliseconds grace,
              base::time_point now);
  // Ends what has lapsed.
  void RemoveExpired(base::time_point now);

  // Operators empty an availability zone, or take it back.
  void Evacuate(const std::string& zone);
  void EndEvacuation(const std::string& zone, base::time_point now);

  // The best server for a request; nothing if none may be used. A cold server
  // is used only where there is no other, and for a few requests.
  std::optional<server_choice> Choose(const server_query& query,
                                      const catalog::service& service,
                                      base::time_point now,
                                      std::mt19937_64& random);
  // Whether any server holds the unit and takes requests.
  bool AnyHolds(const server_query& query, base::time_point now) const;

  // When a permit for a server of the request may be asked for again; nothing
  // if it could go to a server without.
  std::optional<base::time_point> EarliestPermit(const server_query& query,
                                                 base::time_point now) const;

  // When the first replica of a model that is being loaded is there.
  std::optional<base::time_point> EarliestLoadDue(const server_query& query,
                                                  base::time_point now) const;
  // The fastest load of a model from a copy that a server has.
  std::optional<std::chrono::milliseconds> FastestLocalLoad(
      const server_query& query,
      const catalog::service& service) const;

  // Notes that a server has read a request's prompt.
  static void RecordPrompt(known_server& server,
                           const request_head& head,
                           base::time_point now);

  // Takes in all that another host has under way, instead of what it said
  // before; or what it has at some servers, beside what it said of others.
  void ReplaceLoads(const std::string& host,
                    const std::vector<wire::server_load>& loads);
  void UpdateLoads(const std::string& host,
                   const std::vector<wire::server_load>& loads);
  void ForgetHost(const std::string& host);

  // What this host has under way, for the others.
  std::vector<wire::server_load> OwnLoads() const;
  static wire::server_load OwnLoad(const known_server& server);

  std::shared_ptr<known_server> Find(std::string_view instance) const;
  std::shared_ptr<known_server> FindKey(unit_key key) const;
  const std::map<std::string, std::shared_ptr<known_server>, std::less<>>&
  servers() const {
    return servers_;
  }

 private:
  // Whether a server takes requests of this kind at all, busy or not.
  bool AcceptsRequest(const known_server& server,
                      const server_query& query) const;
  // Adds what another host has at a server to that server's sums, or takes it
  // away.
  void AddUsage(unit_key key,
                const server_usage& use,
                std::int64_t times) const;
  // Whether a server may take a request, if there is a permit for it.
  bool IsUsable(const known_server& server,
                const server_query& query,
                base::time_point now) const;
  // Whether a server may take a request at all.
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
  // The server as the request sees it.
  decisions::server_offer OfferOf(const known_server& server,
                                  const server_query& query,
                                  const catalog::service& service,
                                  base::time_point now) const;

  std::string zone_;
  std::map<std::string, std::string> regions_;
  std::function<bool(const std::string& instance)> receives_directly_;
  std::function<decisions::cold_share()> cold_share_;
  std::map<std::string, std::shared_ptr<known_server>, std::less<>> servers_;
  std::map<unit_key, std::weak_ptr<known_server>> by_key_;
  std::map<std::string, std::map<unit_key, server_usage>> loads_;
  std::set<std::string> evacuated_zones_;
  // Some entry may have lapsed.
  bool any_expiring_ = false;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_SERVER_REGISTRY_H_
