// SPDX-License-Identifier: MIT
// Requests grants from schedulers and reports the results of attempts to them.
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
#include "gateway/process/fallback_router.h"
#include "gateway/process/request_quarantine.h"
#include "node/node.h"
#include "wire/generated/messages_types.h"

namespace valeledge::gateway {

// Request for a grant to send one attempt.
struct scheduling_request {
  std::string request_id;
  std::string attempt_id;
  // See request_common.
  std::uint64_t digest = 0;
  std::string partner;
  // "model/NAME", "adapter/NAME" or "service/NAME".
  std::string unit;
  // Name of the model or service whose limits apply.
  std::string limited;
  std::int64_t prefix_hash = 0;
  std::int32_t tokens = 1;
  std::int32_t priority = 5;
  // Maximum wait for a grant, after which it is of no use.
  std::chrono::microseconds grant_timeout{0};
  std::vector<std::string> avoid;
  // Set for calls that must not be repeated.
  std::string idempotency_key;
  std::string request_digest;
};

// Permission to send one attempt to one backend server.
struct grant {
  std::string attempt_id;
  // See request_common.
  std::uint64_t digest = 0;
  std::string partner;
  std::string server;
  base::endpoint address;
  std::string cell;
  // The scheduler that issued the grant; none if the gateway selected the
  // server itself.
  std::optional<base::endpoint> scheduler;
  std::int64_t claim_revision = 0;
  // Recorded response of an earlier request with the same idempotency key.
  std::optional<std::string> recorded_answer;
  std::int32_t recorded_status = 0;
  std::string recorded_type;
};

// Result of an attempt.
struct attempt_result {
  base::outcome what_ran = base::outcome::kUnknown;
  bool unreachable = false;
  // The server is suspected to have crashed: it closed the connection before
  // its response or at the beginning of it.
  bool server_crashed = false;
  // The response is complete and does not report a server failure.
  bool succeeded = false;
  // Time from the grant to the end of the attempt.
  std::chrono::microseconds elapsed{0};
  bool draining = false;
  std::int32_t tokens = 0;
  std::chrono::microseconds first_token{0};
};

// All functions run on the node's peer thread.
class grant_client {
 public:
  grant_client(node::node& node, std::string routing);

  // Starts to report attempts in flight periodically to the owners of their
  // cells.
  void Start();

  // Returns a grant, or the final refusal with its retry-after delay if one is
  // known.
  boost::asio::awaitable<base::result<grant>> RequestGrant(
      scheduling_request request);

  // Reports the end of an attempt to the scheduler that issued the grant.
  void EndAttempt(const grant& issued, const attempt_result& result);

  // Records a response in a claim or releases the claim. On failure, the
  // outcome of the update is unknown.
  boost::asio::awaitable<base::result<void>> UpdateClaim(
      wire::claim_update update,
      std::optional<base::endpoint> scheduler);

 private:
  std::vector<decisions::cell_view> CandidateCells(
      const table::snapshot& table,
      const node::member_view& view,
      decisions::unit_hash unit);
  // A scheduler that owns a cell, and its known incarnation.
  struct cell_owner {
    base::endpoint address;
    std::int64_t incarnation = 0;
  };

  // The incarnation of a scheduler to avoid, and until when.
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
  // Unreachable schedulers.
  std::map<base::endpoint, avoided_run> avoided_;
  // Load that a cell's scheduler reported in its last reply, and when.
  struct reported_load {
    wire::cell_load load;
    base::time_point at;
  };
  std::map<std::string, reported_load> reported_loads_;
  std::map<std::string, grant> in_flight_;
};

}  // namespace valeledge::gateway

#endif  // VALELEDGE_GATEWAY_PROCESS_GRANT_CLIENT_H_
