// SPDX-License-Identifier: MIT
// Limits on weight store loads, and the wire encoding of order ends.
#include <boost/test/unit_test.hpp>

#include "controller/process/order_end_wire.h"
#include "controller/process/weight_store_limiter.h"

namespace {

using namespace valeledge;
using namespace valeledge::controller;
using namespace std::chrono_literals;

controller_settings Settings() {
  controller_settings out;
  out.loads_per_second = 2;
  out.loads_at_once = 3;
  out.inherited_load = 10s;
  return out;
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_new_holder_starts_with_an_empty_bucket) {
  const auto settings = Settings();
  weight_store_limiter limiter(settings);
  base::time_point now(1000s);
  limiter.BeginTerm(now);
  BOOST_TEST(!limiter.TryStartLoad(0, now));
  int started = 0;
  for (int i = 0; i < 100; ++i) {
    now += 100ms;
    started += limiter.TryStartLoad(0, now) ? 1 : 0;
  }
  // 2 loads per second for 10 seconds.
  BOOST_TEST(started >= 19);
  BOOST_TEST(started <= 20);
}

BOOST_AUTO_TEST_CASE(inherited_loads_count_as_running_for_a_while) {
  const auto settings = Settings();
  weight_store_limiter limiter(settings);
  base::time_point now(1000s);
  limiter.BeginTerm(now);
  limiter.AddInheritedLoad(now);
  limiter.AddInheritedLoad(now);
  now += 5s;
  BOOST_TEST(limiter.TryStartLoad(0, now));
  BOOST_TEST(!limiter.TryStartLoad(1, now));
  now += 5s;
  BOOST_TEST(limiter.TryStartLoad(2, now));
  BOOST_TEST(!limiter.TryStartLoad(3, now));
}

BOOST_AUTO_TEST_CASE(an_order_end_survives_encoding_and_decoding) {
  order_end end;
  end.server = "s";
  end.order_id = "1";
  end.incarnation = "run1";
  end.version = 7;
  for (const auto response :
       {std::optional<decisions::order_response>(),
        std::optional(decisions::order_response::kDone),
        std::optional(decisions::order_response::kRefused)}) {
    end.response = response;
    const order_end read = Decode(Encode(end));
    BOOST_TEST((read.response == response));
    BOOST_TEST(read.server == "s");
    BOOST_TEST(read.order_id == "1");
    BOOST_TEST(read.incarnation == "run1");
    BOOST_TEST(read.version == 7);
  }
}
