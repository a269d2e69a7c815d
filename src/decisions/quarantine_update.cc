// SPDX-License-Identifier: MIT
#include "decisions/quarantine_update.h"

#include <algorithm>

namespace valeledge::decisions {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;

wire::server_end ToWire(std::uint64_t digest,
                        const server_end& end,
                        base::time_point now) {
  wire::server_end out;
  out.request = static_cast<std::int64_t>(digest);
  out.server = end.server;
  out.age_us = duration_cast<microseconds>(now - end.at).count();
  out.took_us = duration_cast<microseconds>(end.at - end.sent).count();
  return out;
}

server_end FromWire(const wire::server_end& end, base::time_point now) {
  const auto at = now - microseconds(end.age_us);
  return {end.server, at - microseconds(end.took_us), at};
}

}  // namespace

void AddFact(quarantine_facts& facts, const quarantine_fact& fact) {
  std::erase_if(facts, [&fact](const quarantine_fact& each) {
    return each.digest == fact.digest &&
           each.end.has_value() != fact.end.has_value();
  });
  facts.push_back(fact);
  if (facts.size() > kMostFacts)
    facts.pop_front();
}

void DropCleared(quarantine_facts& facts, const wire::end_news& news) {
  for (const std::int64_t cleared : news.cleared) {
    std::erase_if(facts, [cleared](const quarantine_fact& each) {
      return each.end && static_cast<std::int64_t>(each.digest) == cleared;
    });
  }
}

wire::end_news NewsOf(const quarantine_facts& facts, base::time_point now) {
  wire::end_news news;
  const std::size_t left_out =
      facts.size() - std::min(facts.size(), kMostToldAtOnce);
  for (std::size_t i = left_out; i < facts.size(); ++i) {
    const quarantine_fact& each = facts[i];
    if (each.end)
      news.ends.push_back(ToWire(each.digest, *each.end, now));
    else
      news.cleared.push_back(static_cast<std::int64_t>(each.digest));
  }
  return news;
}

std::vector<std::uint64_t> TakeNews(quarantine& known,
                                    const wire::end_news& news,
                                    base::time_point now) {
  std::vector<std::uint64_t> held;
  for (const std::int64_t each : news.cleared)
    NoteWhole(known, static_cast<std::uint64_t>(each));
  for (const wire::server_end& each : news.ends) {
    const auto digest = static_cast<std::uint64_t>(each.request);
    if (NoteEnd(known, digest, FromWire(each, now), now))
      held.push_back(digest);
  }
  return held;
}

}  // namespace valeledge::decisions
