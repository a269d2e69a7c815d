// SPDX-License-Identifier: MIT
// Requests that end late are counted.
#include <string>

#include "deadline_world.h"

BOOST_AUTO_TEST_CASE(late_requests_are_counted_by_route_and_wait) {
  valeledge::test::deadline_world here;
  here.DelaySlots();
  here.SendRequest("/once/");
  const auto count = [&here](const std::string& name,
                             const std::string& label) {
    return here.core->metrics.Counter(name, label).value.load();
  };
  BOOST_TEST(count("valeledge_late_requests_total", "/once/") == 1);
  BOOST_TEST(count("valeledge_late_waits_total", "slot") == 1);
}
