// SPDX-License-Identifier: MIT
#include "host/request/event_splitter.h"

#include <boost/test/unit_test.hpp>

namespace {

using valeledge::host::event_splitter;

BOOST_AUTO_TEST_SUITE(splitter)

BOOST_AUTO_TEST_CASE(events_are_complete_and_unchanged) {
  event_splitter events;
  events.Append("id: 1\ndata: a\n");
  BOOST_TEST(!events.Next());
  events.Append("\nid: 2\r\ndata: b\r\n\r\nid: 3\nda");
  BOOST_TEST(events.Next().value() == "id: 1\ndata: a\n\n");
  BOOST_TEST(events.Next().value() == "id: 2\r\ndata: b\r\n\r\n");
  BOOST_TEST(!events.Next());
  BOOST_TEST(events.Remainder() == "id: 3\nda");
}

BOOST_AUTO_TEST_CASE(any_split_gives_the_same_events) {
  const std::string text = "id: 1\ndata: x\n\nid: 2\ndata: y\n\n";
  for (std::size_t split = 0; split <= text.size(); ++split) {
    event_splitter events;
    std::string seen;
    for (const std::string& part :
         {text.substr(0, split), text.substr(split)}) {
      events.Append(part);
      while (const auto event = events.Next())
        seen.append(*event).append("|");
    }
    BOOST_TEST(seen == "id: 1\ndata: x\n\n|id: 2\ndata: y\n\n|");
    BOOST_TEST(events.Remainder().empty());
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
