// SPDX-License-Identifier: MIT
// Runs one coroutine of a command to its end.
#ifndef VALELEDGE_TOOLS_CTL_RUN_TO_END_H_
#define VALELEDGE_TOOLS_CTL_RUN_TO_END_H_

#include <exception>
#include <optional>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

namespace valeledge::ctl {

template <typename value_type>
value_type RunToEnd(boost::asio::io_context& context,
                    boost::asio::awaitable<value_type> work) {
  std::optional<value_type> out;
  boost::asio::co_spawn(context, std::move(work),
                        [&](const std::exception_ptr&, value_type value) {
                          out = std::move(value);
                        });
  context.run();
  context.restart();
  return std::move(*out);
}

}  // namespace valeledge::ctl

#endif  // VALELEDGE_TOOLS_CTL_RUN_TO_END_H_
