// SPDX-License-Identifier: MIT
#include "tools/standin/standin_server.h"

#include <iostream>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "net/attempt_field.h"

namespace valeledge::standin {

namespace {

namespace asio = boost::asio;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr auto kIdleCheck = std::chrono::milliseconds(10);
constexpr int kUsage = 2;

net::http_response RenderFault(const base::error& fault) {
  return net::MakeJsonResponse(
      base::Describe(fault.code).http_status,
      boost::json::serialize(boost::json::object{{"message", fault.message}}));
}

asio::awaitable<void> EndAtSignal(asio::io_context& context,
                                  net::http_server& server,
                                  const standin_program& program) {
  asio::signal_set signals(context, SIGTERM, SIGINT);
  co_await signals.async_wait(kAwait);
  if (program.drain)
    program.drain();
  while (server.active_requests() > 0 && program.drain)
    co_await Wait(kIdleCheck);
  context.stop();
}

}  // namespace

std::string PathOf(const net::http_request& request) {
  const std::string target(request.target().data(), request.target().size());
  return target.substr(0, target.find('?'));
}

asio::awaitable<void> Reply(net::http_responder& responder,
                            int status,
                            const boost::json::object& body) {
  co_await responder.Send(
      net::MakeJsonResponse(status, boost::json::serialize(body)));
}

asio::awaitable<void> Wait(std::chrono::microseconds length) {
  asio::steady_timer timer(co_await asio::this_coro::executor, length);
  co_await timer.async_wait(kAwait);
}

int RunStandin(int argc, char** argv, const standin_program& program) {
  cxxopts::Options options(program.name, program.summary);
  options.add_options()("listen", "Address to listen on",
                        cxxopts::value<std::string>())("h,help",
                                                       "Print this help");
  if (program.add_options)
    program.add_options(options);
  base::endpoint where;
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
      std::cout << options.help();
      return 0;
    }
    const auto address =
        base::ParseEndpoint(parsed["listen"].as<std::string>());
    if (!address) {
      std::cerr << program.name << ": --listen is no IP number and port\n";
      return kUsage;
    }
    where = *address;
    if (program.read_options)
      program.read_options(parsed);
  } catch (const cxxopts::exceptions::exception& failed) {
    std::cerr << program.name << ": " << failed.what() << "\n";
    return kUsage;
  }
  asio::io_context context(1);
  net::http_limits limits;
  limits.body_bytes = 8 * 1024 * 1024;
  net::http_server server(context, limits, program.handler, RenderFault);
  server.RepeatField(net::kAttemptField);
  const auto started = server.Start(where);
  if (!started) {
    std::cerr << program.name << ": " << started.error().message << "\n";
    return 1;
  }
  if (program.start)
    program.start(context);
  asio::co_spawn(context, EndAtSignal(context, server, program),
                 asio::detached);
  context.run();
  return 0;
}

}  // namespace valeledge::standin
