// SPDX-License-Identifier: MIT
// The reservations in the key-value service, written by compare-and-swap under
// the current lease.
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

// A record with the revision that the next write compares against.
struct stored_reservation {
  decisions::server_reservation record;
  // 0 if the record is not in the service yet.
  std::int64_t mod_revision = 0;
};

// Runs on the planning thread; calls the service on the platform thread.
class reservation_store {
 public:
  reservation_store(base::duty& platform, store::kv_client& service);

  // Reads all records at the start of a term. Errors: kLeaseLost, the
  // service's, or those of decoding a record.
  boost::asio::awaitable<base::result<void>> Read(std::int64_t term);

  // Replaces a record. Errors: kLeaseLost (another controller holds the lease),
  // kRevisionConflict (the record was changed; the stored version replaces the
  // one here), or the service's, which leaves the record here unchanged.
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
