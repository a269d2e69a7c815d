// SPDX-License-Identifier: MIT
#include "decisions/lease_succession.h"

#include <algorithm>
#include <charconv>

namespace valeledge::decisions {

namespace {

// A majority of all witnesses, not only of those that respond.
bool IsMajority(std::int64_t count, std::size_t witnesses) {
  return count * 2 > static_cast<std::int64_t>(witnesses);
}

// Whether this witness has heard nothing for so long that it votes.
bool IsSilent(const holder_watch& watch, base::time_point now) {
  const auto silence = now - watch.heard_at;
  return watch.term != 0 && silence >= kHolderSilence &&
         silence < kMaxHolderSilence;
}

}  // namespace

std::string ToText(const lease_beat& beat) {
  return std::to_string(beat.term) + " " + std::to_string(beat.number);
}

std::optional<lease_beat> ParseLeaseBeat(std::string_view text) {
  lease_beat beat;
  const char* const end = text.data() + text.size();
  const auto term = std::from_chars(text.data(), end, beat.term);
  if (term.ec != std::errc() || term.ptr == end || *term.ptr != ' ')
    return std::nullopt;
  const auto number = std::from_chars(term.ptr + 1, end, beat.number);
  const bool is_valid = number.ec == std::errc() && number.ptr == end &&
                        beat.term > 0 && beat.number >= 0;
  return is_valid ? std::optional(beat) : std::nullopt;
}

std::optional<lease_beat> NextBeat(holder_confirmations& holder,
                                   std::int64_t term,
                                   base::time_point now) {
  if (term != holder.term) {
    const bool was_confirmed = holder.was_confirmed;
    holder = {};
    holder.term = term;
    holder.was_confirmed = was_confirmed;
  }
  const bool is_due =
      holder.last_number == 0 || now - holder.last_sent >= kLeaseBeatInterval;
  if (term == 0 || !is_due)
    return std::nullopt;
  holder.last_sent = now;
  holder.sent[++holder.last_number] = now;
  std::erase_if(holder.sent, [now](const auto& each) {
    return now - each.second >= kConfirmationLifetime;
  });
  return lease_beat{term, holder.last_number};
}

void RecordReply(holder_confirmations& holder,
                 const base::endpoint& witness,
                 const lease_beat& beat) {
  const auto sent = holder.sent.find(beat.number);
  if (beat.term != holder.term || sent == holder.sent.end())
    return;
  base::time_point& newest = holder.confirmed[witness];
  newest = std::max(newest, sent->second);
}

bool MaySendOrders(holder_confirmations& holder,
                   const std::vector<base::endpoint>& witnesses,
                   base::time_point now) {
  if (witnesses.size() < kMinLeaseWitnesses)
    return true;
  const auto recent =
      std::ranges::count_if(witnesses, [&](const base::endpoint& witness) {
        const auto found = holder.confirmed.find(witness);
        return found != holder.confirmed.end() &&
               now - found->second < kConfirmationLifetime;
      });
  const bool is_confirmed = IsMajority(recent, witnesses.size());
  holder.was_confirmed = holder.was_confirmed || is_confirmed;
  return is_confirmed || !holder.was_confirmed;
}

bool RecordBeat(holder_watch& watch, std::int64_t term, base::time_point now) {
  if (term < watch.term)
    return false;
  if (term > watch.term) {
    watch = {};
    watch.term = term;
  }
  watch.heard_at = now;
  return !watch.voted_at || now - *watch.voted_at >= kNoReplyAfterVote;
}

bool ShouldVote(holder_watch& watch, base::time_point now) {
  if (!IsSilent(watch, now))
    return false;
  const bool is_due =
      !watch.voted_at || now - *watch.voted_at >= kLeaseBeatInterval;
  if (is_due)
    watch.voted_at = now;
  return is_due;
}

void RecordVote(holder_watch& watch,
                const base::endpoint& witness,
                std::int64_t term,
                base::time_point now) {
  if (term == watch.term)
    watch.votes[witness] = now;
}

bool IsHolderLost(const holder_watch& watch,
                  const base::endpoint& self,
                  const std::vector<base::endpoint>& witnesses,
                  base::time_point now) {
  const bool has_voted = IsSilent(watch, now) && watch.voted_at;
  if (!has_voted || witnesses.size() < kMinLeaseWitnesses)
    return false;
  const auto votes =
      std::ranges::count_if(witnesses, [&](const base::endpoint& witness) {
        const auto found = watch.votes.find(witness);
        return witness == self || (found != watch.votes.end() &&
                                   now - found->second < kVoteLifetime);
      });
  return std::ranges::find(witnesses, self) != witnesses.end() &&
         IsMajority(votes, witnesses.size());
}

}  // namespace valeledge::decisions
