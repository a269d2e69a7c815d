// SPDX-License-Identifier: MIT
// Asks schedulers for grants and tells them how attempts ended.
#ifndef VALELEDGE_GATEWAY_PROCESS_GRANT_CLIENT_H_
#define VALELEDGE_GATEWAY_PROCESS_GRANT_CLIENT_H_

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "base/error.h"
#include "decisions/routing.h"
#include "gateway/process/request_quarantine.h"
#include "gateway/process/fallback_router.h"
#include "node/node.h"
#include "wire/generated/messages_types.h"

namespace valeledge::gateway {

// What a gateway wants to have served.
struct scheduling_request {
  std::string request_id;
  std::string attempt_id;
  // See request_common.
  std::uint64_t digest = 0;
  std::string partner;
  // "model/NAME", "adapter/NAME" or "service/NAME".
  std::string unit;
  // The row that limits count for: a model's or service's name.
  std::string limited;
  std::int64_t prefix_hash = 0;
  std::int32_t tokens = 1;
  std::int32_t priority = 5;
  // How long a grant may take and still be of use.
  std::chrono::microseconds grant_timeout{0};
  std::vector<std::string> avoid;
  // Set for calls that may not be repeated.
  std::string idempotency_key;
  std::string request_digest;
};

// Leave to send one attempt to one backend server.
struct grant {
  std::string attempt_id;
  // See request_common.
  std::uint64_t digest = 0;
  std::string partner;
  std::string server;
  base::endpoint address;
  std::string cell;
  // The scheduler that gave it; none if the gateway chose alone.
  std::optional<base::endpoint> scheduler;
  std::int64_t claim_revision = 0;
  // An earlier submission under the same key was answered with this.
  std::optional<std::string> recorded_answer;
  std::int32_t recorded_status = 0;
  std::string recorded_type;
};

// How an attempt ended.
struct attempt_result {
  base::outcome what_ran = base::outcome::kUnknown;
  bool unreachable = false;
  // The server closed the connection at the beginning of its answer or before.
  bool server_crashed = false;
  // The whole answer has come, and is no failure of the server.
  bool succeeded = false;
  // From the grant to the end.
  std::chrono::microseconds took{0};
  bool draining = false;
  std::int32_t tokens = 0;
  std::chrono::microseconds first_token{0};
};

// All functions run on the peers' thread of the node.
class grant_client {
 public:
  grant_client(node::node& node, std::string routing);

  // Starts to repeat the attempts in flight to the owners of their cells.
  void Start();

  // A grant, or the final refusal with its time to come back.
  boost::asio::awaitable<base::result<grant>> RequestGrant(
      scheduling_request request);

  // Tells the scheduler that an attempt has ended.
  void EndAttempt(const grant& issued, const attempt_result& result);

  // Records or releases a claim; the error leaves it as it is.
  boost::asio::awaitable<base::result<void>> UpdateClaim(
      wire::claim_update update,
      std::optional<base::endpoint> scheduler);

 private:
  std::vector<decisions::cell_view> CandidateCells(
      const table::snapshot& table,
      const node::member_view& view,
      decisions::unit_hash unit);
  // A scheduler to ask, and the run of it that is known.
  struct cell_owner {
    base::endpoint address;
    std::int64_t incarnation = 0;
  };

  // Until when a run of a scheduler is passed over.
  struct avoided_run {
    std::int64_t incarnation = 0;
    base::time_point until;
  };

  bool IsAvoided(const base::endpoint& address, std::int64_t incarnation) const;
  void Avoid(const cell_owner& owner);
  std::optional<cell_owner> FindOwner(const node::member_view& view,
                                      const std::string& cell,
                                      const std::string& zone);
  base::result<grant> ChooseWithoutScheduler(const scheduling_request& request,
                                             std::string_view strategy);
  boost::asio::awaitable<base::result<grant>> RequestFromScheduler(
      const scheduling_request& request,
      std::string cell,
      base::endpoint scheduler);
  boost::asio::awaitable<void> ReportInFlight();

  node::node& node_;
  std::string routing_;
  fallback_router router_;
  request_quarantine quarantine_;
  std::mt19937_64 random_{std::random_device{}()};
  // Schedulers that could not be reached.
  std::map<base::endpoint, avoided_run> avoided_;
  // Load of each cell from its newest answer, and when that came.
  struct reported_load {
    wire::cell_load load;
    base::time_point at;
  };
  std::map<std::string, reported_load> reported_loads_;
  std::map<std::string, grant> in_flight_;
};

}  // namespace valeledge::gateway

#endif  // VALELEDGE_GATEWAY_PROCESS_GRANT_CLIENT_H_
