// SPDX-License-Identifier: MIT
#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "settings/schema.h"

namespace {

using namespace valeledge;
using namespace std::chrono_literals;

struct sample {
  std::chrono::microseconds wait = 250ms;
  std::int64_t count = 3;
  double part = 0.5;
  bool on = false;
  std::string zone;
  std::string level = "info";
  base::endpoint first_listen;
  base::endpoint second_listen;
  std::vector<base::endpoint> seeds;
};

settings::schema_builder Describe(sample& values) {
  settings::schema_builder schema;
  schema.Section("a")
      .Duration("wait", &values.wait, 1ms, 10s, "A wait.")
      .Integer("count", &values.count, 1, 10, "A count.")
      .Number("part", &values.part, 0, 1, "A part.")
      .Bool("on", &values.on, "A switch.")
      .RequiredText("zone", &values.zone, "A zone.")
      .Choice("level", &values.level, {"info", "debug"}, "A level.");
  schema.Section("b")
      .Endpoint("first_listen", &values.first_listen, "First.")
      .Endpoint("second_listen", &values.second_listen, "Second.")
      .EndpointList("seeds", &values.seeds, "Seeds.");
  return schema;
}

bool Has(const std::vector<settings::fault>& faults,
         const std::string& key,
         int line) {
  return std::ranges::any_of(faults, [&](const settings::fault& each) {
    return each.key == key && each.line == line && !each.found.empty() &&
           !each.allowed.empty();
  });
}

}  // namespace

BOOST_AUTO_TEST_CASE(every_fault_is_told_in_one_run) {
  sample values;
  const auto faults = Describe(values).LoadText(
      "[a]\nwait = \"11s\"\ncount = \"x\"\npart = 2.0\nlevel = \"loud\"\n"
      "typo = 1\n[b]\nfirst_listen = \"localhost:1\"\n"
      "second_listen = \"127.0.0.1:9\"\nseeds = [\"127.0.0.1\"]\n[c]\nx = 1\n",
      "f.toml");
  BOOST_TEST(Has(faults, "a.wait", 2));
  BOOST_TEST(Has(faults, "a.count", 3));
  BOOST_TEST(Has(faults, "a.part", 4));
  BOOST_TEST(Has(faults, "a.level", 5));
  BOOST_TEST(Has(faults, "a.typo", 6));
  BOOST_TEST(Has(faults, "a.zone", 0));
  BOOST_TEST(Has(faults, "b.first_listen", 8));
  BOOST_TEST(Has(faults, "b.seeds", 10));
  BOOST_TEST(Has(faults, "c", 11));
  BOOST_TEST(faults.size() == 9U);
}

BOOST_AUTO_TEST_CASE(two_listeners_on_one_port_are_a_fault) {
  sample values;
  const auto faults = Describe(values).LoadText(
      "[a]\nzone = \"z\"\n[b]\nfirst_listen = \"127.0.0.1:9\"\n"
      "second_listen = \"127.0.0.1:9\"\n",
      "f.toml");
  BOOST_TEST(faults.size() == 1U);
  BOOST_TEST(Has(faults, "b.second_listen", 5));
}

BOOST_AUTO_TEST_CASE(what_is_printed_can_be_read) {
  sample values;
  values.zone = "z";
  values.first_listen = {"127.0.0.1", 1};
  values.second_listen = {"127.0.0.1", 2};
  values.seeds = {{"127.0.0.1", 3}};
  const std::string text = Describe(values).Print();
  sample read;
  const auto faults = Describe(read).LoadText(text, "f.toml");
  BOOST_TEST(faults.empty());
  BOOST_TEST(read.seeds.size() == 1U);
  BOOST_TEST(Describe(read).Print() == text);
}

BOOST_AUTO_TEST_CASE(a_broken_file_is_told_with_its_line) {
  sample values;
  const auto faults = Describe(values).LoadText("[a]\nwait = \n", "f.toml");
  BOOST_REQUIRE(faults.size() == 1U);
  BOOST_TEST(faults.front().line == 2);
  BOOST_TEST(Describe(values).Load("/nowhere.toml").size() == 1U);
}
