// SPDX-License-Identifier: MIT
#include "decisions/workspace_limit.h"

#include <algorithm>
#include <cmath>

namespace valeledge::decisions {

namespace {

using seconds = std::chrono::duration<double>;

// An owner gives nothing for so long: the one before it may not know yet that
// it is none any more, and hosts that start together do not know each other.
constexpr std::chrono::milliseconds kOwnerSettles{350};

// What an owner begins with that has just started, as a part of the burst: what
// was left of it is not known.
constexpr double kFirstLevel = 0.1;

// Those who are refused are told to come back within this time at the most.
constexpr std::chrono::seconds kLatestReturn{30};

// What a host was given a second is averaged over about this time.
constexpr seconds kRateTime{2};

// Without its owner a host goes on at its rate for so long, until the next
// owner is found, and with so much of it at once.
constexpr seconds kWithoutOwner{2};
constexpr seconds kAtOnce{0.3};

// A host that asks so often is known to be silent soon: after so many of its
// intervals, and after so long at least.
constexpr seconds kRegularInterval{0.2};
constexpr std::int64_t kRegularAsks = 8;
constexpr double kSilentIntervals = 6;
constexpr seconds kSilentAfter{0.3};

// What other hosts go on with is not kept back for them: it is so much less.
constexpr double kIrregularPart = 0.25;

// After so long members agree on who is there: what is kept back for silent
// hosts is free, and a new owner gives by the members it sees.
constexpr seconds kMembersSettle{4};

// Meanwhile a new owner gives this part of what falls to the hosts that ask it,
// if they were given less before.
constexpr double kUnsettledPart = 0.5;

// Askers are looked through so often.
constexpr std::chrono::milliseconds kLook{50};

double Decayed(double rate, seconds passed) {
  return passed.count() > 0 ? rate * std::exp(-passed / kRateTime) : rate;
}

void Decay(limit_allowance& allowance, base::time_point now) {
  allowance.rate = Decayed(allowance.rate, now - allowance.updated);
  allowance.updated = now;
}

void NoteAsk(ask_rhythm& rhythm, base::time_point now) {
  constexpr double kWeight = 0.1;
  const seconds passed = now - rhythm.last;
  if (rhythm.asks == 1)
    rhythm.interval = passed;
  else if (rhythm.asks > 1)
    rhythm.interval += kWeight * (passed - rhythm.interval);
  ++rhythm.asks;
  rhythm.last = now;
}

bool IsRegular(const ask_rhythm& rhythm) {
  return rhythm.asks >= kRegularAsks && rhythm.interval <= kRegularInterval;
}

bool IsSilent(const ask_rhythm& rhythm, base::time_point now) {
  return IsRegular(rhythm) &&
         now - rhythm.last >
             std::max(kSilentAfter, rhythm.interval * kSilentIntervals);
}

void NoteAsked(limit_account& account,
               const limit_request& request,
               base::time_point now) {
  const auto [found, is_new] = account.askers.try_emplace(request.host);
  limit_asker& asker = found->second;
  if (is_new) {
    asker.rate = request.usual;
    asker.updated = now;
  }
  NoteAsk(asker.rhythm, now);
}

void NoteGivenTo(limit_account& account,
                 const limit_request& request,
                 base::time_point now) {
  limit_asker& asker = account.askers[request.host];
  asker.rate = Decayed(asker.rate, now - asker.updated) +
               request.count / kRateTime.count();
  asker.updated = now;
}

void LookAtAskers(limit_account& account, base::time_point now) {
  if (now - account.looked < kLook)
    return;
  account.looked = now;
  account.kept_back = 0;
  account.given = 0;
  std::erase_if(account.askers, [now](const auto& each) {
    return now - each.second.rhythm.last > kMembersSettle;
  });
  for (const auto& [host, asker] : account.askers) {
    const double rate = Decayed(asker.rate, asker.rhythm.last - asker.updated);
    account.given += rate;
    if (IsSilent(asker.rhythm, now))
      account.kept_back += rate;
  }
}

// What an owner may give a second.
double RateOf(const limit_account& account,
              const catalog::workspace_limit& limit,
              const limit_members& members,
              base::time_point now) {
  const double part = std::clamp(members.seen_part, 0.0, 1.0);
  const bool settled =
      members.is_fresh || now - account.owned_since >= kMembersSettle;
  if (settled) {
    // Hosts that are silent are those that are not seen any more soon.
    const double missing = std::max(limit.rate * (1 - part), account.kept_back);
    return std::max(limit.rate - missing, 0.0);
  }
  const double askers =
      static_cast<double>(account.askers.size()) /
      static_cast<double>(std::max<std::int64_t>(members.known, 1));
  const double most =
      std::max(account.given - account.kept_back,
               limit.rate * kUnsettledPart * std::min(askers, 1.0));
  return std::min(limit.rate * part, most);
}

}  // namespace

double CountOf(const catalog::workspace_limit& limit,
               std::optional<std::int64_t> tokens) {
  if (limit.unit == catalog::limit_unit::kRequests)
    return 1;
  return static_cast<double>(
      std::max<std::int64_t>(tokens.value_or(limit.plain_tokens), 0));
}

limit_account OpenAccount(const catalog::workspace_limit& limit,
                          bool is_fresh,
                          base::time_point now) {
  limit_account account;
  // Of an owner that may go on elsewhere nothing is taken over.
  account.bucket.level = is_fresh ? kFirstLevel * limit.burst : 0;
  account.bucket.filled = now;
  account.owned_since = now;
  return account;
}

limit_answer TakeFrom(limit_account& account,
                      const catalog::workspace_limit& limit,
                      const limit_members& members,
                      const limit_request& request,
                      base::time_point now) {
  const double count = request.count;
  token_bucket& bucket = account.bucket;
  NoteAsked(account, request, now);
  LookAtAskers(account, now);
  bucket.rate = RateOf(account, limit, members, now);
  bucket.burst = limit.burst;
  Refill(bucket, now);
  // A burst that was lowered holds at once.
  bucket.level = std::min(bucket.level, bucket.burst);
  if (now - account.owned_since < kOwnerSettles)
    return {limit_verdict::kNotOwned};
  account.asked += count;
  if (TryTake(bucket, count, now)) {
    account.granted += count;
    NoteGivenTo(account, request, now);
    return {limit_verdict::kGranted};
  }
  if (bucket.rate <= 0)
    return {limit_verdict::kExceeded, kLatestReturn};
  const auto turn = std::chrono::duration_cast<base::time_point::duration>(
      seconds(count / bucket.rate));
  account.next_return =
      std::max(account.next_return, now + TimeUntil(bucket, count)) + turn;
  account.next_return = std::min(account.next_return, now + kLatestReturn);
  return {
      limit_verdict::kExceeded,
      std::chrono::ceil<std::chrono::milliseconds>(account.next_return - now)};
}

void GiveBack(limit_account& account, double count) {
  account.bucket.level = std::min(account.bucket.level + std::max(count, 0.0),
                                  account.bucket.burst);
}

void NoteAsking(limit_allowance& allowance, base::time_point now) {
  NoteAsk(allowance.rhythm, now);
}

double UsualRate(const limit_allowance& allowance, base::time_point now) {
  const double rate =
      Decayed(allowance.rate, now - allowance.updated - kWithoutOwner);
  return IsRegular(allowance.rhythm) ? rate : rate * kIrregularPart;
}

void NoteGranted(limit_allowance& allowance,
                 double count,
                 base::time_point now) {
  Decay(allowance, now);
  allowance.rate += count / kRateTime.count();
  allowance.left.reset();
}

bool TakeWithoutOwner(limit_allowance& allowance,
                      double count,
                      double chance,
                      base::time_point now) {
  if (!allowance.left) {
    Decay(allowance, now);
    allowance.left = allowance.rate * kAtOnce.count();
    allowance.silent_since = now;
    allowance.grown = now;
  }
  double& left = *allowance.left;
  const seconds growing =
      IsRegular(allowance.rhythm) ? kWithoutOwner - kAtOnce : seconds(0);
  const auto until =
      allowance.silent_since +
      std::chrono::duration_cast<base::time_point::duration>(growing);
  const seconds grown = std::min(now, until) - allowance.grown;
  if (grown.count() > 0) {
    left = std::min(left + allowance.rate * grown.count(),
                    allowance.rate * kAtOnce.count());
    allowance.grown = now;
  }
  if (left >= count) {
    left -= count;
    return true;
  }
  const bool may_grow =
      now < until && count <= allowance.rate * kAtOnce.count();
  if (may_grow)
    return false;
  const bool taken = chance * count < left;
  left = 0;
  return taken;
}

}  // namespace valeledge::decisions
