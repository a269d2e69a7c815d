// SPDX-License-Identifier: MIT
// Decides when a lease holder is lost, so that its lease can be taken over
// before it lapses.
//
// The holder sends beats to some hosts, its witnesses, and sends orders only
// while a majority of them has replied to a recent beat. A witness that has
// received no beat for longer than such a reply counts votes for a succession,
// and does not reply to that holder for some time. Any two majorities have a
// witness in common: once a majority has voted, the holder sends no orders any
// more, also if it still runs and reaches the store.
#ifndef VALELEDGE_DECISIONS_LEASE_SUCCESSION_H_
#define VALELEDGE_DECISIONS_LEASE_SUCCESSION_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/duration.h"
#include "base/endpoint.h"

namespace valeledge::decisions {

// Hosts that receive the holder's beats. A majority of seven tolerates the loss
// of three, as when one of two or three availability zones is lost.
inline constexpr std::size_t kLeaseWitnesses = 7;

// Minimum number of witnesses for a succession.
inline constexpr std::size_t kMinLeaseWitnesses = 3;

inline constexpr std::chrono::milliseconds kLeaseBeatInterval{200};

// How long a reply counts, from the sending of the beat, so that the loss of
// one beat in two is tolerated.
inline constexpr std::chrono::milliseconds kConfirmationLifetime{500};

// Silence of the holder after which a witness votes. Longer than a reply
// counts, so that the holder has stopped by the time of the vote.
inline constexpr std::chrono::milliseconds kHolderSilence{600};

// How long a vote counts for a succession. Votes are repeated at the interval
// of beats.
inline constexpr std::chrono::milliseconds kVoteLifetime{500};

// For how long a witness that has voted does not reply to the holder: the vote
// counts during the first part, and taking the lease over takes some calls to
// the store.
inline constexpr std::chrono::milliseconds kNoReplyAfterVote{2000};

// Witnesses stop voting after this silence: the lease has lapsed by itself, and
// its next holder may be of a build that sends no beats.
inline constexpr std::chrono::seconds kMaxHolderSilence{15};

// Sent to witnesses and returned by them. A vote has the same form, with number
// 0.
struct lease_beat {
  // The term of the lease.
  std::int64_t term = 0;
  std::int64_t number = 0;
};

// Text of a beat, and its inverse; nothing if the text is none.
std::string ToText(const lease_beat& beat);
std::optional<lease_beat> ParseLeaseBeat(std::string_view text);

// What a holder knows about the replies of its witnesses in its present term,
// except for `was_confirmed`.
struct holder_confirmations {
  std::int64_t term = 0;
  std::int64_t last_number = 0;
  base::time_point last_sent;
  // When the latest beats were sent.
  std::map<std::int64_t, base::time_point> sent;
  // When the newest beat was sent to which each witness has replied.
  std::map<base::endpoint, base::time_point> confirmed;
  // Whether a majority has ever replied to this process, in any term: a holder
  // that is cut off from the other hosts may give the lease up and take it
  // again.
  bool was_confirmed = false;
};

// Returns the beat to be sent now; nothing if none is due. `term`: the present
// term, or 0 if this host does not hold the lease.
std::optional<lease_beat> NextBeat(holder_confirmations& holder,
                                   std::int64_t term,
                                   base::time_point now);

void RecordReply(holder_confirmations& holder,
                 const base::endpoint& witness,
                 const lease_beat& beat);

// Whether the holder may send orders: a majority has confirmed it recently.
// Also true if there are too few witnesses, or if no majority has ever replied,
// since the other hosts may be of an older build.
bool MaySendOrders(holder_confirmations& holder,
                   const std::vector<base::endpoint>& witnesses,
                   base::time_point now);

// What a witness knows about the holder.
struct holder_watch {
  // The newest term of which a beat was received; 0 before the first.
  std::int64_t term = 0;
  base::time_point heard_at;
  std::optional<base::time_point> voted_at;
  // When other witnesses voted.
  std::map<base::endpoint, base::time_point> votes;
};

// Records a beat. Returns whether to reply to it.
bool RecordBeat(holder_watch& watch, std::int64_t term, base::time_point now);

// Whether this witness votes now, which is recorded; its vote is to be sent to
// the others.
bool ShouldVote(holder_watch& watch, base::time_point now);

void RecordVote(holder_watch& watch,
                const base::endpoint& witness,
                std::int64_t term,
                base::time_point now);

// Whether a majority of the witnesses, among them this one (`self`), has voted
// for a succession.
bool IsHolderLost(const holder_watch& watch,
                  const base::endpoint& self,
                  const std::vector<base::endpoint>& witnesses,
                  base::time_point now);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_LEASE_SUCCESSION_H_
