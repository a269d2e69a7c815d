// SPDX-License-Identifier: MIT
// Hosts in one process that ask for engines and own the queue for them.
#ifndef VALELEDGE_TESTS_AUTO_HOST_QUEUE_WORLD_H_
#define VALELEDGE_TESTS_AUTO_HOST_QUEUE_WORLD_H_

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/test/unit_test.hpp>

#include "host/process/engine_queue_client.h"
#include "host/process/engine_queue_owner.h"
#include "request_codec.h"

namespace valeledge::test {

using namespace std::chrono_literals;
using host::engine_place_verdict;

inline constexpr std::int32_t kPrompt = 2890;

// Three hosts in one process; the first two may own the queue, in this order.
struct queue_world {
  static constexpr std::size_t kHosts = 3;
  // How calls to a host end.
  enum class reachability { kAnswers, kFails, kSilent, kOlderBuild };

  struct one_host {
    base::endpoint address;
    std::unique_ptr<host::host_core> core;
    std::unique_ptr<host::engine_queue_groups> groups;
    std::unique_ptr<host::engine_queue_owner> owner;
    std::unique_ptr<host::engine_queue_client> client;
    reachability state = reachability::kAnswers;
    int suspicions = 0;
    int ends = 0;
    // Loads that it has reported at once.
    std::vector<wire::server_load> reported;
  };

  queue_world() {
    catalog::service service;
    service.name = "s";
    service.mixed_urgency = true;
    service.engines.slots = 32;
    service.engines.token_memory = 167'040;
    service.engines.models.push_back({.name = "m"});
    configuration.services.push_back(service);
    for (std::size_t i = 0; i < kHosts; ++i)
      AddHost(i);
    Configure();
    AddEngine("e1");
  }

  void AddHost(std::size_t index) {
    one_host& added = hosts[index];
    added.address = {"10.0.0." + std::to_string(index + 1), 1};
    host::host_settings settings;
    settings.peer_listen = added.address;
    added.core = std::make_unique<host::host_core>(context, settings,
                                                   platform::MakeDialect());
    added.core->load_changed = [&added](const host::known_server& server) {
      added.reported.push_back(host::OwnLoad(server));
    };
    const auto owners = [this](const std::string&) {
      return std::vector<base::endpoint>{hosts[0].address, hosts[1].address};
    };
    added.groups =
        std::make_unique<host::engine_queue_groups>(*added.core, owners);
    added.owner =
        std::make_unique<host::engine_queue_owner>(*added.core, *added.groups);
    host::owner_calls links;
    links.suspect = [&added](const base::endpoint&) { ++added.suspicions; };
    links.call = [this](base::endpoint to, wire::envelope call,
                        std::chrono::microseconds timeout) {
      return Call(std::move(to), std::move(call), timeout);
    };
    added.client = std::make_unique<host::engine_queue_client>(
        *added.core, *added.groups, *added.owner, std::move(links));
  }

  boost::asio::awaitable<base::result<wire::envelope>> Call(
      base::endpoint to,
      wire::envelope call,
      std::chrono::microseconds timeout) {
    one_host& called = *std::ranges::find(hosts, to, &one_host::address);
    wire::envelope reply;
    if (called.state == reachability::kOlderBuild)
      co_return reply;
    if (called.state == reachability::kSilent) {
      boost::asio::steady_timer timer(context, timeout);
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
    if (called.state != reachability::kAnswers)
      co_return base::NotRun(base::result_code::kPeerUnreachable, "no answer");
    if (call.__isset.engine_place_wanted) {
      const auto place = co_await called.owner->HandleQuestion(
          std::move(call.engine_place_wanted));
      reply.__set_engine_place(place);
    } else {
      called.ends += call.engine_place_ended.number > 0 ? 1 : 0;
      called.owner->HandleEnd(call.engine_place_ended);
    }
    co_return reply;
  }

  void Configure() {
    for (one_host& each : hosts)
      each.core->configuration =
          std::make_shared<const catalog::configuration>(configuration);
  }

  void AddEngine(const std::string& instance) {
    catalog::backend_server entry;
    entry.instance = instance;
    entry.service = "s";
    entry.slots = 32;
    entry.models.push_back({"m", 1, {}});
    for (one_host& each : hosts)
      each.core->servers.Put(entry, std::chrono::steady_clock::now());
  }

  // All hosts receive a report of a fourth one.
  void ReportLoad(const std::string& instance,
                  std::int32_t running,
                  std::int32_t unread_tokens) {
    wire::server_load load;
    load.server = host::KeyOf(instance);
    load.running = running;
    load.unread_tokens = unread_tokens;
    for (one_host& each : hosts)
      each.core->servers.UpdateLoads("other", {load});
  }

  static host::engine_place_request Request(std::int64_t priority,
                                            std::chrono::milliseconds left) {
    host::engine_place_request request;
    request.service = "s";
    request.model = "m";
    request.priority = priority;
    request.left = left;
    request.tokens_to_read = kPrompt;
    request.tokens_to_hold = kPrompt + 50;
    request.token_time = std::chrono::duration<double, std::milli>(1 / 38.7);
    request.event_gap = 400ms;
    request.best = "e1";
    return request;
  }

  // One question; `answer` is set once it has been answered.
  struct pending {
    std::optional<host::engine_place_result> answer;
    base::time_point answered_at;
    bool withdrawn = false;
  };

  std::shared_ptr<pending> Ask(std::size_t index,
                               host::engine_place_request request) {
    auto out = std::make_shared<pending>();
    request.is_withdrawn = [out] { return out->withdrawn; };
    boost::asio::co_spawn(context,
                          hosts[index].client->Acquire(std::move(request)),
                          [out](const std::exception_ptr& thrown,
                                host::engine_place_result answer) {
                            BOOST_TEST((thrown == nullptr));
                            out->answer = std::move(answer);
                            out->answered_at = std::chrono::steady_clock::now();
                          });
    return out;
  }

  template <typename predicate>
  void RunUntil(const predicate& is_done) {
    context.restart();
    while (!is_done())
      BOOST_REQUIRE_NE(context.run_one_for(std::chrono::seconds(20)), 0u);
  }

  engine_place_verdict Await(const std::shared_ptr<pending>& question) {
    RunUntil([&] { return question->answer.has_value(); });
    return question->answer->verdict;
  }

  // Runs until a question is in the queue of the first host.
  void AwaitWaiting(std::int64_t count) {
    RunUntil([&] { return Waiting() == count; });
  }

  // Asks, and runs until `count` questions are in the queue of the first host.
  std::shared_ptr<pending> AskQueued(std::size_t index,
                                     host::engine_place_request request,
                                     std::int64_t count) {
    auto out = Ask(index, std::move(request));
    AwaitWaiting(count);
    return out;
  }

  std::int64_t Waiting() {
    hosts[0].owner->Tick(std::chrono::steady_clock::now());
    return hosts[0]
        .core->metrics.Gauge("valeledge_engine_queue_waiting", "s")
        .value;
  }

  std::int64_t CountOf(std::size_t index,
                       std::string_view metric,
                       std::string_view label) {
    return hosts[index].core->metrics.Counter(metric, label).value;
  }

  boost::asio::io_context context{1};
  catalog::configuration configuration;
  std::array<one_host, kHosts> hosts;
};

}  // namespace valeledge::test

#endif  // VALELEDGE_TESTS_AUTO_HOST_QUEUE_WORLD_H_
