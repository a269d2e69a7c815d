// SPDX-License-Identifier: MIT
// A store mirror with an in-memory store, which records the mirror's events.
#ifndef VALELEDGE_TESTS_AUTO_HOST_MIRROR_WORLD_H_
#define VALELEDGE_TESTS_AUTO_HOST_MIRROR_WORLD_H_

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include "fake_store.h"
#include "host/process/store_mirror.h"

namespace valeledge::test {

struct mirror_world {
  mirror_world()
      : store(context),
        mirror(context,
               store,
               "",
               {[this] { return follows; },
                [this](const auto& key, const auto&) { put.push_back(key); },
                [this](const auto& key, auto lapsed_until) {
                  removed.emplace_back(key, lapsed_until.has_value());
                },
                [](auto) {}, [](std::int64_t) {},
                [this] { return knows_others; }}) {}

  // Runs until `done`, which an event of the mirror must cause.
  void RunUntil(const std::function<bool()>& done) {
    while (!done())
      BOOST_REQUIRE_NE(context.run_one_for(std::chrono::seconds(20)), 0u);
  }

  boost::asio::io_context context{1};
  fake_store store;
  bool follows = true;
  bool knows_others = false;
  std::vector<std::string> put;
  std::vector<std::pair<std::string, bool>> removed;
  host::store_mirror mirror;
};

}  // namespace valeledge::test

#endif  // VALELEDGE_TESTS_AUTO_HOST_MIRROR_WORLD_H_
