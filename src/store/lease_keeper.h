// SPDX-License-Identifier: MIT
// Takes and keeps the controllers' lease.
#ifndef VALELEDGE_STORE_LEASE_KEEPER_H_
#define VALELEDGE_STORE_LEASE_KEEPER_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "base/boot_clock.h"
#include "store/kv_client.h"

namespace valeledge::store {

// Only a few controllers try to take it (`is_candidate`), so that calls do not
// grow with the fleet. Lives on the platform's thread. Whether this process
// holds the lease is only a hint; every write compares the term in the
// key-value service.
class lease_keeper {
 public:
  // `maybe_first`: nobody is known to have held the lease before.
  lease_keeper(boost::asio::io_context& context,
               kv_client& service,
               std::string holder,
               std::chrono::microseconds length,
               std::function<bool()> is_candidate,
               bool maybe_first = false);

  void Start();
  // How long this process leaves a free lease to others; asked each time that
  // it is a candidate. Without it there is no wait.
  void SetTurn(std::function<std::chrono::milliseconds()> turn) {
    turn_ = std::move(turn);
  }
  // Asked whether a lease that another process holds may be taken over before
  // it lapses, with the term of that lease. Without it none is.
  void SetSuccession(std::function<bool(std::int64_t term)> may_succeed) {
    may_succeed_ = std::move(may_succeed);
  }
  // Takes no lease from now on and gives up the one that is held.
  void Resign() { resigned_ = true; }

  // While set, takes no lease and gives up the one that is held: another
  // controller can use it better.
  void SetYielding(bool yields) { yields_ = yields; }

  // The revision at which the present lease was taken, 0 if this process does
  // not hold it; from any thread.
  std::int64_t term() const { return term_.load(); }
  // The term while the lease certainly has not run out by this host's clock,
  // counted from when its last renewal was sent; 0 otherwise. Ask before each
  // action that needs the lease: the process may have been frozen. Only on
  // the thread of the io_context.
  std::int64_t CertainTerm() const;
  // When the present lease was taken.
  std::chrono::steady_clock::time_point taken_at() const { return taken_at_; }
  // Whether nobody held the lease before this process, as the service says.
  bool is_first_holder() const { return is_first_holder_; }
  // Whether the last holder before this process was one of the same name: a
  // process that ended on the same machine.
  bool follows_itself() const { return follows_itself_; }
  // A write has shown that the lease is gone; from any thread.
  void NoteLost(std::int64_t term);

 private:
  bool MayHold() const { return !resigned_ && !yields_; }
  boost::asio::awaitable<void> Loop();
  boost::asio::awaitable<void> TryTake();
  // Waits for this process's turn; whether it is still a candidate then.
  boost::asio::awaitable<bool> AwaitTurn();
  // Writes the keys of a holder under a lease that was granted for it, if
  // nobody has held the lease since `former` was read.
  boost::asio::awaitable<base::result<kv_transaction_result>> WriteHolder(
      std::int64_t lease,
      const std::optional<kv_pair>& former);
  // Whether the lease of another process may be taken over.
  bool MaySucceed(const std::optional<kv_pair>& former) const;
  boost::asio::awaitable<void> Keep();
  boost::asio::awaitable<void> GiveUp();

  boost::asio::io_context& context_;
  kv_client& service_;
  std::string holder_;
  std::chrono::microseconds length_;
  std::function<bool()> is_candidate_;
  std::function<std::chrono::milliseconds()> turn_;
  std::function<bool(std::int64_t term)> may_succeed_;
  bool maybe_first_;
  bool is_first_holder_ = false;
  bool follows_itself_ = false;
  std::int64_t lease_ = 0;
  // A suspended machine loses the lease as well.
  base::boot_clock::time_point safe_until_;
  std::chrono::steady_clock::time_point taken_at_;
  std::atomic<std::int64_t> term_ = 0;
  std::atomic<bool> resigned_ = false;
  std::atomic<bool> yields_ = false;
};

}  // namespace valeledge::store

#endif  // VALELEDGE_STORE_LEASE_KEEPER_H_
