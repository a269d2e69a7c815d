// SPDX-License-Identifier: MIT
#include "store/lease_keeper.h"

#include <algorithm>
#include <random>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/logging.h"
#include "store/constants.h"

namespace valeledge::store {

namespace {

namespace asio = boost::asio;
using base::log_event;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view kCategory = "lease";

// Renewals in one length of the lease.
constexpr int kRenewals = 3;

// Controllers that do not hold the lease look for it in this part of its
// length, spread by a random factor.
constexpr int kLooks = 2;
// ... but at the least this often, so that a long lease which ends early is
// taken again soon.
constexpr std::chrono::milliseconds kLongestLook{1500};
// A process that is no candidate asks itself again, without a call, after this.
constexpr std::chrono::milliseconds kCandidateLook{200};

// A renewal is sent at the least this often: what is left of the lease when the
// service stops answering is all the time that remains.
constexpr std::chrono::milliseconds kLongestRenewal{1000};

std::optional<kv_pair> FindKey(const std::vector<kv_pair>& pairs,
                               std::string_view key) {
  const auto found = std::ranges::find(pairs, key, &kv_pair::key);
  if (found == pairs.end())
    return std::nullopt;
  return *found;
}

}  // namespace

lease_keeper::lease_keeper(asio::io_context& context,
                           kv_client& service,
                           std::string holder,
                           std::chrono::microseconds length,
                           std::function<bool()> is_candidate,
                           bool maybe_first)
    : context_(context),
      service_(service),
      holder_(std::move(holder)),
      length_(length),
      is_candidate_(std::move(is_candidate)),
      maybe_first_(maybe_first) {}

std::int64_t lease_keeper::CertainTerm() const {
  return base::boot_clock::now() < safe_until_ ? term_.load() : 0;
}

void lease_keeper::Start() {
  asio::co_spawn(context_, Loop(), asio::detached);
}

void lease_keeper::NoteLost(std::int64_t term) {
  std::int64_t expected = term;
  if (term != 0 && term_.compare_exchange_strong(expected, 0))
    base::Log(kCategory, log_event::kLeaseGone, {{"term", term}});
}

asio::awaitable<bool> lease_keeper::AwaitTurn() {
  const auto turn = turn_ ? turn_() : std::chrono::milliseconds(0);
  if (turn.count() > 0) {
    asio::steady_timer timer(context_, turn);
    co_await timer.async_wait(kAwait);
  }
  co_return MayHold() && is_candidate_();
}

asio::awaitable<void> lease_keeper::TryTake() {
  const bool mine = co_await AwaitTurn();
  if (!mine)
    co_return;
  // One read tells most of the time that another holds it.
  kv_transaction look;
  look.on_success.push_back(GetPrefix(std::string(kHolderPrefix)));
  const auto seen = co_await service_.Run(std::move(look));
  if (!seen || seen->results.empty())
    co_return;
  const auto& pairs = seen->results.front().pairs;
  const auto leader = FindKey(pairs, kLeaderKey);
  const auto former = FindKey(pairs, kFormerLeaderKey);
  const bool succeeds = leader && leader->value != holder_;
  if (succeeds && !MaySucceed(former))
    co_return;
  if (leader) {
    // The lease is that of an ended process of this name, of a write of this
    // process whose response was lost, or of a holder that is lost. Such a
    // holder, if it still runs, learns of the succession by its next renewal.
    const auto ended = co_await service_.RevokeLease(leader->lease);
    if (!ended)
      co_return;
  }
  const auto asked = base::boot_clock::now();
  const auto granted = co_await service_.GrantLease(
      std::chrono::ceil<std::chrono::seconds>(length_));
  if (!granted)
    co_return;
  const auto taken = co_await WriteHolder(*granted, former);
  if (!taken || !taken->succeeded) {
    // A lost answer is not settled: the lease lapses by itself.
    co_await service_.RevokeLease(*granted);
    co_return;
  }
  lease_ = *granted;
  safe_until_ = asked + length_;
  taken_at_ = std::chrono::steady_clock::now();
  term_ = taken->revision;
  if (succeeds) {
    base::Log(kCategory, log_event::kLeaseSucceeded,
              {{"holder", leader->value},
               {"former_term", former->mod_revision},
               {"term", taken->revision}});
  }
  base::Log(kCategory, log_event::kLeaseTaken, {{"term", taken->revision}});
}

bool lease_keeper::MaySucceed(const std::optional<kv_pair>& former) const {
  return former && may_succeed_ && may_succeed_(former->mod_revision);
}

asio::awaitable<base::result<kv_transaction_result>> lease_keeper::WriteHolder(
    std::int64_t lease,
    const std::optional<kv_pair>& former) {
  kv_transaction take;
  take.conditions.push_back(Absent(std::string(kLeaderKey)));
  take.conditions.push_back(
      former ? Unchanged(std::string(kFormerLeaderKey), former->mod_revision)
             : Absent(std::string(kFormerLeaderKey)));
  take.on_success.push_back(Put(std::string(kLeaderKey), holder_, lease));
  take.on_success.push_back(Put(std::string(kFormerLeaderKey), holder_));
  auto taken = co_await service_.Run(std::move(take));
  const bool succeeded = taken && taken->succeeded;
  is_first_holder_ = succeeded && maybe_first_ && !former;
  follows_itself_ = succeeded && former && former->value == holder_;
  // Only one that succeeds at once is first: after a lost answer this process
  // itself may have been, and its orders may be on their way.
  maybe_first_ = false;
  co_return taken;
}

asio::awaitable<void> lease_keeper::Keep() {
  const auto asked = base::boot_clock::now();
  const auto kept = co_await service_.KeepLease(lease_);
  if (kept) {
    safe_until_ = asked + length_;
    co_return;
  }
  const bool gone = kept.error().code == base::result_code::kLeaseLost ||
                    base::boot_clock::now() >= safe_until_;
  if (gone)
    NoteLost(term_);
}

asio::awaitable<void> lease_keeper::GiveUp() {
  const std::int64_t lease = lease_;
  NoteLost(term_);
  co_await service_.RevokeLease(lease);
}

asio::awaitable<void> lease_keeper::Loop() {
  std::mt19937_64 random{std::random_device{}()};
  asio::steady_timer timer(context_);
  while (true) {
    const bool holds = term_ != 0;
    if (holds && !MayHold())
      co_await GiveUp();
    else if (holds)
      co_await Keep();
    else if (MayHold() && is_candidate_())
      co_await TryTake();
    std::chrono::microseconds pause = std::min<std::chrono::microseconds>(
        length_ / kRenewals, kLongestRenewal);
    if (term_ == 0 && !is_candidate_()) {
      pause =
          std::min<std::chrono::microseconds>(length_ / kLooks, kCandidateLook);
    } else if (term_ == 0) {
      const auto bound =
          std::min<std::chrono::microseconds>(length_ / kLooks, kLongestLook)
              .count();
      std::uniform_int_distribution<std::int64_t> any(bound / 2, bound);
      pause = std::chrono::microseconds(any(random));
    }
    timer.expires_after(pause);
    // A resignation is acted on soon, not at the next renewal.
    const auto wake = std::chrono::steady_clock::now() + pause;
    while (std::chrono::steady_clock::now() < wake) {
      const bool gives_up = term_ != 0 && !MayHold();
      if (gives_up)
        break;
      timer.expires_after(std::min<std::chrono::steady_clock::duration>(
          wake - std::chrono::steady_clock::now(),
          std::chrono::milliseconds(50)));
      co_await timer.async_wait(kAwait);
    }
  }
}

}  // namespace valeledge::store
