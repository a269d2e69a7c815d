// SPDX-License-Identifier: MIT
// Beats, replies and votes between a lease holder and its witnesses, and the
// switch of the feature.
#include "host/process/lease_succession.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "request_codec.h"

namespace {

using namespace valeledge;
using namespace std::chrono_literals;

// Four hosts; the first one holds the lease.
struct four_hosts {
  static constexpr std::size_t kHosts = 4;

  explicit four_hosts(bool checks_fences = true, bool mixed_urgency = true) {
    auto configuration = std::make_shared<catalog::configuration>();
    catalog::service service;
    service.name = "s";
    service.mixed_urgency = mixed_urgency;
    configuration->services.push_back(service);
    for (std::size_t i = 0; i < kHosts; ++i) {
      host::host_settings settings;
      settings.peer_listen = Address(i);
      settings.engines_check_fences = checks_fences;
      cores.push_back(std::make_unique<host::host_core>(
          context, settings, platform::MakeDialect()));
      cores.back()->configuration = configuration;
      services.push_back(std::make_unique<host::lease_succession>(
          *cores.back(), CallbacksOf(i)));
    }
    for (const auto& each : services)
      each->Start();
  }

  static base::endpoint Address(std::size_t i) {
    return {"10.0.0." + std::to_string(i + 1), 1};
  }

  host::lease_succession_callbacks CallbacksOf(std::size_t own) {
    host::lease_succession_callbacks callbacks;
    callbacks.term = [this, own] { return own == 0 ? term : std::int64_t{0}; };
    callbacks.selected = [] {
      std::vector<base::endpoint> all;
      for (std::size_t i = 0; i < kHosts; ++i)
        all.push_back(Address(i));
      return all;
    };
    callbacks.holder = [] { return std::optional(Address(0)); };
    callbacks.send = [this, own](const base::endpoint& to,
                                 std::string_view record, std::string value) {
      ++sent;
      const bool is_lost = is_holder_cut && (own == 0 || to == Address(0));
      for (std::size_t i = 0; i < kHosts && !is_lost; ++i) {
        if (Address(i) == to) {
          services[i]->HandleRecord(
              {"h", Address(own), std::string(record), value});
        }
      }
    };
    return callbacks;
  }

  void Run(std::chrono::milliseconds time) { context.run_for(time); }

  boost::asio::io_context context{1};
  std::int64_t term = 7;
  bool is_holder_cut = false;
  int sent = 0;
  std::vector<std::unique_ptr<host::host_core>> cores;
  std::vector<std::unique_ptr<host::lease_succession>> services;
};

BOOST_AUTO_TEST_SUITE(lease_succession_service)

BOOST_AUTO_TEST_CASE(a_cut_holder_stops_and_its_witnesses_may_succeed_it) {
  four_hosts here;
  here.Run(300ms);
  BOOST_TEST(here.services[0]->MaySendOrders());
  BOOST_TEST(!here.services[1]->IsHolderLost());
  here.is_holder_cut = true;
  const auto until = std::chrono::steady_clock::now() + 20s;
  while (!here.services[1]->IsHolderLost(7) &&
         std::chrono::steady_clock::now() < until) {
    here.context.run_one();
  }
  BOOST_TEST(here.services[1]->IsHolderLost(7));
  BOOST_TEST(!here.services[1]->IsHolderLost(8));
  BOOST_TEST(!here.services[0]->MaySendOrders());
  // It can still send nothing, so another host can use the lease better.
  here.Run(100ms);
  BOOST_TEST(here.services[0]->IsUnconfirmedFor(50ms));
  here.term = 0;
  BOOST_TEST(!here.services[0]->IsUnconfirmedFor(50ms));
}

// A holder that reaches the store but not the hosts may take the lease again.
// It was exempt from confirmations then, and gave the lease up at once because
// of the time in its former term.
BOOST_AUTO_TEST_CASE(a_cut_holder_that_retakes_the_lease_starts_withholding) {
  four_hosts here;
  here.Run(300ms);
  BOOST_TEST(here.services[0]->MaySendOrders());
  here.is_holder_cut = true;
  const auto until = std::chrono::steady_clock::now() + 20s;
  while (here.services[0]->MaySendOrders() &&
         std::chrono::steady_clock::now() < until)
    here.context.run_one();
  here.Run(100ms);
  BOOST_TEST(here.services[0]->IsUnconfirmedFor(50ms));
  here.term = 9;
  BOOST_TEST(!here.services[0]->IsUnconfirmedFor(0ms));
  here.services[0]->Tick(host::lease_succession::Now());
  BOOST_TEST(!here.services[0]->IsUnconfirmedFor(0ms));
  BOOST_TEST(!here.services[0]->MaySendOrders());
  BOOST_TEST(here.services[0]->IsUnconfirmedFor(0ms));
}

BOOST_AUTO_TEST_CASE(nothing_is_sent_where_the_feature_is_off) {
  for (const bool checks_fences : {true, false}) {
    four_hosts here(checks_fences, !checks_fences);
    here.Run(300ms);
    BOOST_TEST(here.sent == 0);
    BOOST_TEST(here.services[0]->MaySendOrders());
  }
}

BOOST_AUTO_TEST_CASE(messages_that_cannot_be_read_are_counted) {
  four_hosts here;
  const auto handled = here.services[1]->HandleRecord(
      {"h", four_hosts::Address(0), "lease_beat", "x"});
  BOOST_TEST(handled);
  BOOST_TEST(
      here.cores[1]
          ->metrics.Counter("valeledge_lease_succession_total", "unreadable")
          .value == 1);
  BOOST_TEST(!here.services[1]->HandleRecord(
      {"h", four_hosts::Address(0), "other", "x"}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
