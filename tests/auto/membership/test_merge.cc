// SPDX-License-Identifier: MIT
// Merging records is independent of their order and of repetitions.
#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

#include "membership/member.h"
#include "membership/soft_state.h"

namespace {

using namespace valeledge::membership;

rc::Gen<member> AnyMember() {
  return rc::gen::apply(
      [](std::int64_t incarnation, bool leaving, int version, int health) {
        member each;
        each.id = "x";
        each.incarnation = incarnation;
        each.leaving = leaving;
        each.health_version = version;
        each.health = health;
        return each;
      },
      rc::gen::inRange<std::int64_t>(1, 4), rc::gen::arbitrary<bool>(),
      rc::gen::inRange(0, 3), rc::gen::inRange(0, 3));
}

member MergeAll(const std::vector<member>& reports) {
  member out = reports.front();
  for (const member& each : reports)
    Merge(out, each);
  return out;
}

}  // namespace

BOOST_AUTO_TEST_CASE(the_order_of_reports_does_not_matter) {
  const bool passed = rc::check("order", [] {
    const auto reports = *rc::gen::nonEmpty(
        rc::gen::container<std::vector<member>>(AnyMember()));
    auto reversed = reports;
    std::ranges::reverse(reversed);
    auto doubled = reports;
    doubled.insert(doubled.end(), reversed.begin(), reversed.end());
    RC_ASSERT(MergeAll(reports) == MergeAll(reversed));
    RC_ASSERT(MergeAll(reports) == MergeAll(doubled));
  });
  BOOST_TEST(passed);
}

BOOST_AUTO_TEST_CASE(leaving_is_irrevocable_within_an_incarnation) {
  const bool passed = rc::check("leaving", [] {
    member known = *AnyMember();
    known.leaving = true;
    member received = *AnyMember();
    received.incarnation = known.incarnation;
    Merge(known, received);
    RC_ASSERT(known.leaving);
  });
  BOOST_TEST(passed);
}

BOOST_AUTO_TEST_CASE(the_newest_record_wins_in_any_order) {
  const bool passed = rc::check("records", [] {
    const auto stamps = *rc::gen::nonEmpty(
        rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5)));
    soft_state forward;
    soft_state backward;
    const auto record = [](int stamp, std::size_t value) {
      soft_record out;
      out.key = "k";
      out.stamp = stamp;
      out.value = std::to_string(value);
      return out;
    };
    for (std::size_t i = 0; i < stamps.size(); ++i)
      Merge(forward, record(stamps[i], i));
    for (std::size_t i = stamps.size(); i > 0; --i)
      Merge(backward, record(stamps[i - 1], i - 1));
    RC_ASSERT(forward.records.at("k") == backward.records.at("k"));
  });
  BOOST_TEST(passed);
}
