// SPDX-License-Identifier: MIT
// Hosts that report responses of the key-value service to each other, in
// virtual time.
#include "decisions/response_age.h"

#include <algorithm>
#include <functional>
#include <random>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace {

using namespace valeledge;
using namespace valeledge::decisions;
using std::chrono::milliseconds;

// As in the host process: reports sent by each host per interval.
constexpr std::size_t kFanout = 16;
constexpr milliseconds kInterval{250};

using report_handler = std::function<void(response_ages& ages,
                                          const reported_response& reported,
                                          base::time_point now)>;

// Hosts whose reports take `transit` from sending to processing.
class fleet {
 public:
  fleet(std::size_t size, milliseconds transit, report_handler handler)
      : ages_(size),
        phases_(size),
        transit_(transit),
        handler_(std::move(handler)) {
    std::uniform_int_distribution<std::int64_t> any(0, kInterval.count() - 1);
    for (std::size_t i = 0; i < size; ++i) {
      ages_[i].own.origin = static_cast<std::int64_t>(i) + 1;
      phases_[i] = any(random_);
    }
  }

  void Run(milliseconds length) {
    for (std::int64_t i = 0; i < length.count(); ++i)
      Step();
  }

  response_ages& At(std::size_t host) { return ages_[host]; }
  base::time_point now() const { return now_; }

  milliseconds YoungestAge() const {
    milliseconds youngest = milliseconds::max();
    for (const response_ages& each : ages_) {
      const auto newest = NewestResponseTime(each);
      if (newest)
        youngest = std::min(youngest,
                            std::chrono::floor<milliseconds>(now_ - *newest));
    }
    return youngest;
  }

 private:
  struct message {
    base::time_point arrives;
    std::size_t to;
    reported_response reported;
  };

  void Step() {
    now_ += milliseconds(1);
    ++elapsed_;
    std::uniform_int_distribution<std::size_t> any(0, ages_.size() - 1);
    for (std::size_t i = 0; i < ages_.size(); ++i) {
      if (elapsed_ % kInterval.count() != phases_[i])
        continue;
      const auto reported = ReportNewest(ages_[i], now_);
      for (std::size_t each = 0; reported && each < kFanout; ++each)
        messages_.push_back({now_ + transit_, any(random_), *reported});
    }
    std::erase_if(messages_, [&](const message& each) {
      if (each.arrives > now_)
        return false;
      handler_(ages_[each.to], each.reported, now_);
      return true;
    });
  }

  std::vector<response_ages> ages_;
  std::vector<std::int64_t> phases_;
  std::vector<message> messages_;
  milliseconds transit_;
  report_handler handler_;
  std::mt19937_64 random_{11};
  base::time_point now_ = std::chrono::steady_clock::now();
  std::int64_t elapsed_ = 0;
};

// Baseline without stamps: the smallest reported age is used.
void KeepYoungestAge(response_ages& ages,
                     const reported_response& reported,
                     base::time_point now) {
  auto& known = ages.received[0];
  known.at = std::max(known.at, now - reported.age);
}

milliseconds AgeAfterOutage(std::size_t size,
                            milliseconds transit,
                            const report_handler& handler) {
  fleet hosts(size, transit, handler);
  RecordOwnResponse(hosts.At(0), true, hosts.now());
  hosts.Run(milliseconds(3000));
  return hosts.YoungestAge();
}

// The end of the grace period is counted from the end of the outage, also by
// hosts that learn of the deletion later.
BOOST_AUTO_TEST_CASE(keys_have_lapsed_only_after_an_outage) {
  response_ages ages;
  ages.own.origin = 1;
  const base::time_point start = std::chrono::steady_clock::now();
  const auto respond = [&](milliseconds at) {
    RecordReportedResponse(ages, {{2, at.count() + 1, true}, milliseconds(0)},
                           start + at);
  };
  BOOST_TEST(LapsedUntil(ages, start).has_value());
  respond(milliseconds(0));
  respond(kMinOutage - milliseconds(1));
  base::time_point now = start + kMinOutage;
  BOOST_TEST(!LapsedUntil(ages, now).has_value());
  const auto returned = 2 * kMinOutage;
  now = start + returned - milliseconds(1);
  BOOST_TEST((LapsedUntil(ages, now) == now + kLapseGrace));
  respond(returned);
  for (const milliseconds later : {milliseconds(1), milliseconds(900)}) {
    BOOST_TEST((LapsedUntil(ages, start + returned + later) ==
                start + returned + kLapseGrace));
  }
  respond(returned + milliseconds(900));
  respond(returned + kLapseGrace);
  BOOST_TEST(!LapsedUntil(ages, start + returned + kLapseGrace).has_value());
}

}  // namespace

// Guards against an outage of the service going unnoticed. The service
// responded once, 3 s ago, and reports take 20 ms. By the smallest reported age
// some hosts assume a response 1,020 ms ago among 71 hosts and 940 ms ago among
// 295, so that none would take over; with stamps it is 2,900 ms.
BOOST_AUTO_TEST_CASE(the_known_age_follows_the_actual_age) {
  for (const std::size_t size : {8U, 71U, 295U}) {
    const milliseconds transit(20);
    const auto before = AgeAfterOutage(size, transit, KeepYoungestAge);
    const auto after = AgeAfterOutage(size, transit, RecordReportedResponse);
    BOOST_TEST_MESSAGE(size << " hosts: " << before.count() << " ms, now "
                            << after.count() << " ms");
    BOOST_TEST(after.count() >= 2800);
    BOOST_TEST(after.count() <= 3000);
    BOOST_TEST((before < after));
  }
}

// With a transit time of 100 ms, the smallest reported age is 400 ms after 3 s,
// and 2,700 ms with stamps.
BOOST_AUTO_TEST_CASE(the_known_age_grows_despite_slow_transit) {
  const milliseconds transit(100);
  const auto before = AgeAfterOutage(71, transit, KeepYoungestAge);
  const auto after = AgeAfterOutage(71, transit, RecordReportedResponse);
  BOOST_TEST_MESSAGE("71 slow hosts: " << before.count() << " ms, now "
                                       << after.count() << " ms");
  BOOST_TEST(after.count() >= 2400);
}

BOOST_AUTO_TEST_CASE(a_response_is_known_to_all_hosts_within_a_second) {
  fleet hosts(295, milliseconds(20), RecordReportedResponse);
  RecordOwnResponse(hosts.At(0), true, hosts.now());
  hosts.Run(milliseconds(1000));
  for (std::size_t i = 0; i < 295; ++i)
    BOOST_TEST(NewestResponseTime(hosts.At(i)).has_value());
}

// A fallback reader must not stop because of reports of its own responses.
BOOST_AUTO_TEST_CASE(own_responses_reported_back_do_not_count_as_others) {
  fleet hosts(30, milliseconds(20), RecordReportedResponse);
  for (int i = 0; i < 10; ++i) {
    RecordOwnResponse(hosts.At(0), false, hosts.now());
    hosts.Run(milliseconds(200));
  }
  const milliseconds span(1100);
  BOOST_TEST(!OthersRespondedWithin(hosts.At(0), span, hosts.now()));
  BOOST_TEST(OthersRespondedWithin(hosts.At(9), span, hosts.now()));
}

// Exactly one of several fallback readers continues; all stop once a chosen
// host receives responses.
BOOST_AUTO_TEST_CASE(one_fallback_reader_remains) {
  constexpr std::size_t kSize = 30;
  const milliseconds span(1100);
  fleet hosts(kSize, milliseconds(20), RecordReportedResponse);
  const std::vector<std::size_t> fallback_readers = {3, 12, 20};
  const auto count_remaining = [&] {
    return std::ranges::count_if(fallback_readers, [&](std::size_t each) {
      return !MayStopFallbackRead(hosts.At(each), span, hosts.now());
    });
  };
  for (int i = 0; i < 10; ++i) {
    for (const std::size_t each : fallback_readers)
      RecordOwnResponse(hosts.At(each), false, hosts.now());
    hosts.Run(milliseconds(200));
  }
  BOOST_TEST(count_remaining() == 1);
  for (int i = 0; i < 10; ++i) {
    RecordOwnResponse(hosts.At(25), true, hosts.now());
    hosts.Run(milliseconds(200));
  }
  BOOST_TEST(count_remaining() == 0);
}

// Hosts restart continuously, each time with another origin.
BOOST_AUTO_TEST_CASE(responses_to_terminated_processes_expire) {
  response_ages ages;
  base::time_point now = std::chrono::steady_clock::now();
  for (int i = 1; i <= 1000; ++i) {
    RecordReportedResponse(ages, {{i, 1, false}, milliseconds(0)}, now);
    now += std::chrono::seconds(1);
  }
  BOOST_TEST(ages.received.size() <= 31u);
}
