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

// What a new owner begins with, as a part of the burst: what the one before it
// had left is not known.
constexpr double kFirstLevel = 0.1;

// Those who are refused are told to come back within this time at the most.
constexpr std::chrono::seconds kLatestReturn{30};

// What a host was given a second is averaged over about this time.
constexpr seconds kRateTime{2};

// Without its owner a limit is used for so long as before: until the next owner
// is found. A third of the hosts that are cut off from an owner which goes on
// overrun a limit by this part of two seconds at the most.
constexpr seconds kWithoutOwner{2};

void Decay(limit_allowance& allowance, base::time_point now) {
  const seconds passed = now - allowance.updated;
  if (passed.count() > 0)
    allowance.rate *= std::exp(-passed / kRateTime);
  allowance.updated = now;
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
                          base::time_point now) {
  limit_account account;
  account.bucket.level = kFirstLevel * limit.burst;
  account.bucket.filled = now;
  account.owned_since = now;
  return account;
}

limit_answer TakeFrom(limit_account& account,
                      const catalog::workspace_limit& limit,
                      double seen_part,
                      double count,
                      base::time_point now) {
  token_bucket& bucket = account.bucket;
  bucket.rate = limit.rate * std::clamp(seen_part, 0.0, 1.0);
  bucket.burst = limit.burst;
  Refill(bucket, now);
  // A burst that was lowered holds at once.
  bucket.level = std::min(bucket.level, bucket.burst);
  if (now - account.owned_since < kOwnerSettles)
    return {limit_verdict::kNotOwned};
  account.asked += count;
  if (TryTake(bucket, count, now)) {
    account.granted += count;
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
    allowance.left = allowance.rate * kWithoutOwner.count();
  }
  double& left = *allowance.left;
  if (left >= count) {
    left -= count;
    return true;
  }
  const bool taken = chance * count < left;
  left = 0;
  return taken;
}

}  // namespace valeledge::decisions
