// SPDX-License-Identifier: MIT
// The reservations as the key-value service has them, written by
// compare-and-swap under the present lease.
#ifndef VALELEDGE_CONTROLLER_PROCESS_RESERVATION_STORE_H_
#define VALELEDGE_CONTROLLER_PROCESS_RESERVATION_STORE_H_

#include <cstdint>
#include <map>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "base/duty.h"
#include "base/error.h"
#include "decisions/reservation.h"
#include "store/kv_client.h"

namespace valeledge::controller {

// A record with the revision that a write compares.
struct stored_reservation {
  decisions::server_reservation record;
  // 0: not in the service yet.
  std::int64_t mod_revision = 0;
};

// Lives on the planning thread; calls the service on the platform's thread.
class reservation_store {
 public:
  reservation_store(base::duty& platform, store::kv_client& service);

  // Reads all records for a term that has begun.
  boost::asio::awaitable<base::result<void>> Read(std::int64_t term);

  // Replaces a record. Errors: kLeaseLost (another controller is in charge),
  // kRevisionConflict (read again), or the platform's. After any error the
  // record here is as it was.
  boost::asio::awaitable<base::result<void>> Write(
      decisions::server_reservation record);

  const std::map<std::string, stored_reservation>& records() const {
    return records_;
  }
  std::int64_t term() const { return term_; }

 private:
  boost::asio::awaitable<base::result<store::kv_transaction_result>> Run(
      store::kv_transaction transaction);

  base::duty& platform_;
  store::kv_client& service_;
  std::int64_t term_ = 0;
  std::map<std::string, stored_reservation> records_;
};

}  // namespace valeledge::controller

#endif  // VALELEDGE_CONTROLLER_PROCESS_RESERVATION_STORE_H_
