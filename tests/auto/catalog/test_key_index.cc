// SPDX-License-Identifier: MIT
#include "catalog/configuration.h"

#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace {

using namespace valeledge::catalog;

configuration Known() {
  configuration out;
  out.needs_keys = true;
  out.workspaces.push_back({"choir", {"abc", "abcd"}});
  out.workspaces.push_back({"band", {"xyz"}});
  out.workspaces.push_back({"empty", {""}});
  out.keys = key_index(out.workspaces);
  return out;
}

BOOST_AUTO_TEST_SUITE(keys)

BOOST_AUTO_TEST_CASE(only_whole_keys_are_found) {
  const configuration known = Known();
  BOOST_TEST(known.FindWorkspace("abc")->name == "choir");
  BOOST_TEST(known.FindWorkspace("abcd")->name == "choir");
  BOOST_TEST(known.FindWorkspace("xyz")->name == "band");
  for (const std::string wrong : {"", "a", "ab", "abcde", "ABC", "xyz ", "zyx"})
    BOOST_TEST(known.FindWorkspace(wrong) == nullptr);
}

BOOST_AUTO_TEST_CASE(many_keys_are_told_apart) {
  configuration known;
  for (int i = 0; i < 200; ++i) {
    workspace each;
    each.name = std::to_string(i);
    for (int key = 0; key < 20; ++key)
      each.keys.push_back("key" + std::to_string(i * 20 + key));
    known.workspaces.push_back(each);
  }
  known.keys = key_index(known.workspaces);
  for (int key = 0; key < 4000; ++key) {
    const workspace* found = known.FindWorkspace("key" + std::to_string(key));
    BOOST_REQUIRE(found != nullptr);
    BOOST_TEST(found->name == std::to_string(key / 20));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
