// SPDX-License-Identifier: MIT
#include "host/process/stream_origin_service.h"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/test/unit_test.hpp>

#include "request_codec.h"
#include "wire/codec.h"

namespace {

using namespace valeledge;
using namespace std::chrono_literals;
namespace asio = boost::asio;

const decisions::stream_origin kOrigin{"s", "v1.1"};

// Hosts that share one event loop and reach each other unless one is silent.
struct fleet {
  struct member {
    std::unique_ptr<host::host_core> core;
    std::unique_ptr<host::stream_origin_service> service;
    bool is_silent = false;
    bool is_view_current = true;
  };

  explicit fleet(int hosts, bool first_start, bool has_run_before = false) {
    for (int i = 0; i < hosts; ++i)
      Add(base::endpoint{"127.0.0.1", static_cast<std::uint16_t>(i + 1)},
          first_start, has_run_before);
  }

  void Add(const base::endpoint& address,
           bool first_start,
           bool has_run_before = false) {
    member& added = members[address];
    host::host_settings settings;
    settings.first_start = first_start;
    added.core = std::make_unique<host::host_core>(context, settings,
                                                   platform::MakeDialect());
    host::stream_origin_callbacks callbacks;
    callbacks.send = [this](std::string value, const std::string&,
                            std::size_t count) {
      BOOST_TEST(count == decisions::kOriginOwners);
      sent.push_back(std::move(value));
    };
    callbacks.owners = [this, address](const std::string&, std::size_t) {
      std::vector<base::endpoint> others;
      for (const auto& [other, unused] : members) {
        if (other != address)
          others.push_back(other);
      }
      return others;
    };
    callbacks.call = [this](base::endpoint where, wire::envelope call,
                            std::chrono::microseconds timeout)
        -> asio::awaitable<base::result<wire::envelope>> {
      const member& asked = members.at(where);
      if (asked.is_silent) {
        asio::steady_timer timer(context, timeout);
        co_await timer.async_wait(asio::use_awaitable);
        co_return base::NotRun(base::result_code::kPeerUnreachable, "silent");
      }
      wire::envelope reply;
      reply.__set_origin(asked.service->HandleQuestion(call.origin_wanted));
      co_return reply;
    };
    callbacks.is_view_current = [&added] { return added.is_view_current; };
    callbacks.random_hosts = [this, address] {
      std::vector<base::endpoint> hosts;
      for (const auto& [other, unused] : members) {
        if (asks_others && other != address)
          hosts.push_back(other);
      }
      return hosts;
    };
    added.service = std::make_unique<host::stream_origin_service>(
        *added.core, std::move(callbacks));
    added.service->OnFirstServerList(has_run_before);
    added.service->Tick(std::chrono::steady_clock::now());
  }

  member& At(int index) {
    return members.at({"127.0.0.1", static_cast<std::uint16_t>(index + 1)});
  }

  void AddServer(int index,
                 const std::string& instance,
                 const std::string& software) {
    catalog::backend_server entry;
    entry.instance = instance;
    entry.service = "s";
    entry.software = software;
    At(index).core->servers.Put(entry, std::chrono::steady_clock::now());
  }

  // Returns the origin of a stream that is resumed at a host.
  std::optional<decisions::stream_origin> Resume(
      int index,
      std::optional<std::uint64_t> stream) {
    decisions::origin_evidence evidence;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
          evidence = co_await At(index).core->find_origin(stream, "s");
        },
        asio::detached);
    context.restart();
    context.run();
    return decisions::CertainOrigin(evidence, "s");
  }

  asio::io_context context{1};
  // Whether hosts that have just started ask others for the recent versions.
  bool asks_others = false;
  std::map<base::endpoint, member> members;
  std::vector<std::string> sent;
};

BOOST_AUTO_TEST_SUITE(stream_origin_service)

BOOST_AUTO_TEST_CASE(an_origin_that_another_host_keeps_is_found) {
  fleet hosts(3, false);
  hosts.At(0).core->publish_origin(7, kOrigin);
  BOOST_REQUIRE(hosts.sent.size() == 1u);
  // One datagram to each of a few hosts for each stream.
  BOOST_TEST(hosts.sent.front().size() < 64u);
  const auto record = wire::DecodeStreamOrigin(hosts.sent.front());
  BOOST_REQUIRE(record.has_value());
  hosts.At(2).service->HandleRecord(*record);
  BOOST_TEST((hosts.Resume(1, 7) == kOrigin));
  BOOST_TEST(!hosts.Resume(1, 8));
}

BOOST_AUTO_TEST_CASE(a_silent_host_delays_a_known_origin_by_nothing) {
  fleet hosts(3, false);
  hosts.At(0).is_silent = true;
  decisions::RecordOrigin(hosts.At(2).core->origins, 7, kOrigin,
                          std::chrono::steady_clock::now());
  BOOST_TEST((hosts.Resume(1, 7) == kOrigin));
}

BOOST_AUTO_TEST_CASE(silent_hosts_are_waited_for_briefly) {
  fleet hosts(3, false);
  hosts.At(0).is_silent = true;
  hosts.At(2).is_silent = true;
  const auto begun = std::chrono::steady_clock::now();
  BOOST_TEST(!hosts.Resume(1, 7));
  BOOST_TEST((std::chrono::steady_clock::now() - begun < 1s));
}

BOOST_AUTO_TEST_CASE(the_only_version_since_the_first_start_is_certain) {
  fleet hosts(2, true);
  hosts.AddServer(0, "i-1", "v1");
  BOOST_TEST((hosts.Resume(0, 7) == decisions::stream_origin{"s", "v1"}));
  BOOST_TEST(
      (hosts.Resume(0, std::nullopt) == decisions::stream_origin{"s", "v1"}));
}

// All hosts were killed while a version left. Their settings still stated that
// the fleet starts for the first time, so streams of the version that had left
// went on at the other one.
BOOST_AUTO_TEST_CASE(a_fleet_that_has_run_before_does_not_start_first) {
  fleet hosts(2, true, true);
  hosts.AddServer(0, "i-2", "v1.1");
  hosts.AddServer(1, "i-2", "v1.1");
  BOOST_TEST(!hosts.Resume(0, 7));
  BOOST_TEST(!hosts.Resume(0, std::nullopt));
}

BOOST_AUTO_TEST_CASE(a_restarted_host_learns_the_recent_versions) {
  fleet hosts(1, true);
  hosts.AddServer(0, "i-1", "v1");
  hosts.Add({"127.0.0.1", 2}, true, true);
  hosts.AddServer(1, "i-1", "v1");
  hosts.At(0).is_silent = true;
  BOOST_TEST(!hosts.Resume(1, std::nullopt));
  hosts.At(0).is_silent = false;
  hosts.asks_others = true;
  hosts.At(1).service->Tick(std::chrono::steady_clock::now() + 1s);
  BOOST_TEST(
      (hosts.Resume(1, std::nullopt) == decisions::stream_origin{"s", "v1"}));
  // It can now state them to others.
  BOOST_TEST(
      (hosts.Resume(0, std::nullopt) == decisions::stream_origin{"s", "v1"}));
}

// A version that left before the restart is not forgotten.
BOOST_AUTO_TEST_CASE(a_restarted_host_learns_a_version_that_has_left) {
  fleet hosts(1, true);
  hosts.AddServer(0, "i-1", "v1");
  hosts.AddServer(0, "i-2", "v1.1");
  hosts.At(0).core->servers.Remove("i-1", false, 0ms,
                                   std::chrono::steady_clock::now());
  hosts.asks_others = true;
  hosts.Add({"127.0.0.1", 2}, true, true);
  hosts.AddServer(1, "i-2", "v1.1");
  hosts.Resume(1, std::nullopt);
  BOOST_TEST(hosts.At(1).core->servers.VersionsSince({}).size() == 2u);
  BOOST_TEST(!hosts.Resume(1, std::nullopt));
}

BOOST_AUTO_TEST_CASE(a_host_that_has_restarted_relies_on_others) {
  fleet hosts(1, false);
  hosts.AddServer(0, "i-1", "v1");
  BOOST_TEST(!hosts.Resume(0, 7));
  hosts.Add({"127.0.0.1", 2}, true);
  hosts.AddServer(1, "i-1", "v1");
  BOOST_TEST((hosts.Resume(0, 7) == decisions::stream_origin{"s", "v1"}));
}

BOOST_AUTO_TEST_CASE(a_version_that_any_host_knows_is_not_overlooked) {
  fleet hosts(2, true);
  hosts.AddServer(0, "i-1", "v1");
  hosts.AddServer(1, "i-1", "v1");
  hosts.AddServer(1, "i-2", "v1.1");
  BOOST_TEST(!hosts.Resume(0, 7));
}

BOOST_AUTO_TEST_CASE(a_host_whose_list_is_not_current_is_not_certain) {
  fleet hosts(2, true);
  hosts.AddServer(0, "i-1", "v1");
  hosts.At(0).is_view_current = false;
  hosts.At(1).is_view_current = false;
  BOOST_TEST(!hosts.Resume(0, 7));
}

// Guards against streams that are joined at a host that is cut off from all
// others: its list of servers counts as current for a while, and none of the
// hosts that keep the origin replies.
BOOST_AUTO_TEST_CASE(a_host_that_is_cut_off_does_not_rely_on_itself) {
  fleet hosts(3, true);
  hosts.AddServer(0, "i-1", "v1");
  for (const int index : {1, 2}) {
    hosts.AddServer(index, "i-1", "v1");
    hosts.AddServer(index, "i-2", "v1.1");
    hosts.At(index).is_silent = true;
  }
  BOOST_TEST(!hosts.Resume(0, 7));
  BOOST_TEST(!hosts.Resume(0, std::nullopt));
}

// Its list counts as current as soon as it runs again.
BOOST_AUTO_TEST_CASE(a_host_that_stood_still_learns_the_versions_of_that_time) {
  fleet hosts(3, true);
  hosts.AddServer(0, "i-1", "v1");
  hosts.AddServer(1, "i-1", "v1");
  hosts.AddServer(1, "i-2", "v1.1");
  hosts.At(1).core->servers.Remove("i-2", false, 0ms,
                                   std::chrono::steady_clock::now());
  hosts.At(2).is_silent = true;
  BOOST_TEST(!hosts.Resume(0, 7));
  BOOST_TEST(!hosts.Resume(0, std::nullopt));
}

BOOST_AUTO_TEST_CASE(a_host_alone_knows_only_recorded_origins) {
  fleet hosts(1, true);
  hosts.AddServer(0, "i-1", "v1");
  BOOST_TEST(!hosts.Resume(0, 7));
  decisions::RecordOrigin(hosts.At(0).core->origins, 7, kOrigin,
                          std::chrono::steady_clock::now());
  BOOST_TEST((hosts.Resume(0, 7) == kOrigin));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
