// SPDX-License-Identifier: MIT
// What the stand-ins share: a command line, a listening address, an end at
// SIGTERM, and answers in JSON.
#ifndef VALELEDGE_TOOLS_STANDIN_STANDIN_SERVER_H_
#define VALELEDGE_TOOLS_STANDIN_STANDIN_SERVER_H_

#include <functional>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <cxxopts.hpp>

#include "base/endpoint.h"
#include "net/http_server.h"

namespace valeledge::standin {

// One request's method and path without its query.
std::string PathOf(const net::http_request& request);

// Sends a JSON object.
boost::asio::awaitable<void> Reply(net::http_responder& responder,
                                   int status,
                                   const boost::json::object& body);

// Waits on the executor of the caller.
boost::asio::awaitable<void> Wait(std::chrono::microseconds length);

// Reads --listen, runs `handler` for every request until SIGTERM, and returns
// the exit status. `configure` adds options before and reads them after the
// command line was parsed.
struct standin_program {
  std::string name;
  std::string summary;
  std::function<void(cxxopts::Options&)> add_options;
  std::function<void(const cxxopts::ParseResult&)> read_options;
  std::function<void(boost::asio::io_context&)> start;
  net::http_handler handler;
  // Called at the first SIGTERM; the program ends once this is null or when
  // no request is in flight.
  std::function<void()> drain;
};

int RunStandin(int argc, char** argv, const standin_program& program);

}  // namespace valeledge::standin

#endif  // VALELEDGE_TOOLS_STANDIN_STANDIN_SERVER_H_
