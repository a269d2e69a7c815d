// SPDX-License-Identifier: MIT
#include "decisions/change_history.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace valeledge::decisions;

BOOST_AUTO_TEST_SUITE(history_of_changes)

BOOST_AUTO_TEST_CASE(changes_are_missing_only_inside_a_gap) {
  change_history history;
  RecordAllKeys(history, 10);
  RecordChanges(history, 12);
  RecordAllKeys(history, 15);
  BOOST_TEST(CompleteSince(history) == 15);
  for (const int known : {10, 11, 12, 15, 16})
    BOOST_TEST(HasChangesSince(history, known), known);
  for (const int unknown : {1, 9, 13, 14})
    BOOST_TEST(!HasChangesSince(history, unknown), unknown);
}

BOOST_AUTO_TEST_CASE(received_changes_leave_a_gap_up_to_that_of_the_sender) {
  change_history history;
  RecordAllKeys(history, 10);
  RecordReceivedChanges(history, 5, 20);
  BOOST_TEST(HasChangesSince(history, 15));
  RecordReceivedChanges(history, 25, 30);
  BOOST_TEST(!HasChangesSince(history, 22));
  BOOST_TEST(HasChangesSince(history, 25));
  // An older snapshot adds nothing.
  RecordReceivedChanges(history, 29, 29);
  BOOST_TEST(history.revision == 30);
  BOOST_TEST(CompleteSince(history) == 25);
}

BOOST_AUTO_TEST_CASE(old_gaps_are_replaced_by_discarded_changes) {
  change_history history;
  for (int i = 1; i <= static_cast<int>(kMaxHistoryGaps) + 1; ++i)
    RecordAllKeys(history, 10 * i);
  BOOST_TEST(history.gaps.size() == kMaxHistoryGaps);
  BOOST_TEST(!HasChangesSince(history, 5));
  BOOST_TEST(HasChangesSince(history, 10));
  DiscardChanges(history, 45);
  BOOST_TEST(!HasChangesSince(history, 40));
  BOOST_TEST(HasChangesSince(history, 50));
  BOOST_TEST(history.gaps.size() == kMaxHistoryGaps - 3);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
