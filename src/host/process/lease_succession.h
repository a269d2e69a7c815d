// SPDX-License-Identifier: MIT
// Beats of the lease holder, and the votes of its witnesses.
#ifndef VALELEDGE_HOST_PROCESS_LEASE_SUCCESSION_H_
#define VALELEDGE_HOST_PROCESS_LEASE_SUCCESSION_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "decisions/lease_succession.h"
#include "host/process/host_core.h"
#include "membership/gossip.h"

namespace valeledge::host {

// Dependencies of lease_succession, called on the host's thread.
struct lease_succession_callbacks {
  // The term in which this host certainly holds the lease; 0 if it does not.
  std::function<std::int64_t()> term;
  // Hosts selected as witnesses by membership, best first; may include this
  // host and the holder.
  std::function<std::vector<base::endpoint>()> selected;
  // The lease holder according to the store; nothing if there is none.
  std::function<std::optional<base::endpoint>()> holder;
  std::function<
      void(const base::endpoint& to, std::string_view record, std::string)>
      send;
};

// Whether another host may take over the lease before it lapses.
bool MayHolderBeSucceeded(const host_core& core);

class lease_succession {
 public:
  lease_succession(host_core& core, lease_succession_callbacks callbacks)
      : core_(core), callbacks_(std::move(callbacks)) {}

  void Start();

  // Handles a record of another host; returns false if it is of another kind.
  bool HandleRecord(const membership::direct_record& record);

  // Whether this host, if it holds the lease, may send orders and grant
  // permits.
  bool MaySendOrders();

  // Whether this host holds the lease and most of its witnesses have not
  // replied for so long. Another host can use the lease better.
  bool IsUnconfirmedFor(std::chrono::milliseconds time) const;

  // Whether this host may take over the lease of a holder that is lost.
  bool IsHolderLost();
  // The same for the holder of this term.
  bool IsHolderLost(std::int64_t term);

  // Sends the beat or vote that is due. Called several times per interval of
  // beats.
  void Tick(base::time_point now);

  // The present time; includes times in which the machine was suspended.
  static base::time_point Now();

 private:
  boost::asio::awaitable<void> TickLoop();
  // The witnesses of the holder at this address.
  std::vector<base::endpoint> WitnessesOf(const base::endpoint& holder) const;
  void Vote(base::time_point now);

  host_core& core_;
  lease_succession_callbacks callbacks_;
  decisions::holder_confirmations confirmations_;
  decisions::holder_watch watch_;
  // Since when orders have been withheld in the present term.
  std::optional<base::time_point> withheld_since_;
  // Term of the last vote that was logged.
  std::int64_t logged_vote_term_ = 0;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_LEASE_SUCCESSION_H_
