// SPDX-License-Identifier: MIT
// Claims of non-repeatable calls, written in batches.
#ifndef VALELEDGE_SCHEDULER_PROCESS_CLAIM_BATCHER_H_
#define VALELEDGE_SCHEDULER_PROCESS_CLAIM_BATCHER_H_

#include <chrono>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "base/error.h"
#include "base/metrics.h"
#include "scheduler/process/scheduler_settings.h"
#include "store/kv_client.h"
#include "wire/generated/messages_types.h"

namespace valeledge::scheduler {

// A request to run a call at most once under an idempotency key.
struct claim_request {
  std::string service;
  std::string partner;
  std::string idempotency_key;
  // Id of the claiming request. A retry with the same id gets the same claim.
  std::string claim_id;
  std::string digest;
};

// A created claim, or the recorded response of an earlier submission.
struct claim_result {
  std::int64_t revision = 0;
  bool recorded = false;
  std::int32_t status = 0;
  std::string body;
  std::string content_type;
};

// Runs on the platform thread.
class claim_batcher {
 public:
  claim_batcher(boost::asio::io_context& context,
                store::kv_client& service,
                const scheduler_settings& settings,
                base::metrics& metrics);
  ~claim_batcher();

  // Creates the claim. Errors: kClaimInProgress (another request holds it),
  // kKeyReused (the key belongs to another request), kAnswerNotKept,
  // kClaimUnavailable (not written; the call must not be sent).
  boost::asio::awaitable<base::result<claim_result>> Claim(
      claim_request request);

  // Records the response of a claimed call, or releases the claim if the call
  // did not run.
  boost::asio::awaitable<base::result<void>> Update(wire::claim_update update);

 private:
  struct pending;

  boost::asio::awaitable<base::result<store::kv_operation_result>> Write(
      std::string key,
      store::kv_transaction transaction);
  boost::asio::awaitable<void> WriteLoop();
  std::vector<std::shared_ptr<pending>> TakeBatch();
  boost::asio::awaitable<bool> EnsureLease();
  boost::asio::awaitable<base::result<claim_result>> ReadBack(
      claim_request request);

  boost::asio::io_context& context_;
  store::kv_client& service_;
  const scheduler_settings& settings_;
  base::metrics& metrics_;
  std::deque<std::shared_ptr<pending>> waiting_;
  bool writing_ = false;
  bool granting_lease_ = false;
  std::int64_t lease_ = 0;
  std::chrono::steady_clock::time_point lease_until_;
};

}  // namespace valeledge::scheduler

#endif  // VALELEDGE_SCHEDULER_PROCESS_CLAIM_BATCHER_H_
