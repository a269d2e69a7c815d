// SPDX-License-Identifier: MIT
#include "tools/ctl/status_command.h"

#include <iostream>
#include <optional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "base/json.h"
#include "net/http_client.h"

namespace valeledge::ctl {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

std::string Text(const json::value& value) {
  return value.is_string() ? std::string(value.get_string())
                           : json::serialize(value);
}

}  // namespace

base::result<json::object> ReadStatus(const base::endpoint& admin,
                                      std::chrono::microseconds timeout) {
  asio::io_context context(1);
  net::http_client http(context);
  std::optional<base::result<net::http_response>> answer;
  auto ask = [&]() -> asio::awaitable<void> {
    answer = co_await http.Fetch(
        admin, net::MakeRequest(boost::beast::http::verb::get, "/status"),
        timeout);
  };
  asio::co_spawn(context, std::move(ask), asio::detached);
  context.run();
  if (!*answer)
    return tl::make_unexpected(answer->error());
  auto object = base::ParseJsonObject((*answer)->body());
  if (!object) {
    return base::NotRun(base::result_code::kFrameBroken,
                        "the status cannot be read");
  }
  return std::move(*object);
}

exit_status RunStatus(const base::endpoint& admin,
                      std::chrono::microseconds timeout,
                      output_format format) {
  const auto status = ReadStatus(admin, timeout);
  if (!status)
    return Report(status.error());
  if (format == output_format::kJson) {
    std::cout << json::serialize(*status) << "\n";
    return exit_status::kOk;
  }
  for (const auto& [key, value] : *status) {
    if (!value.is_array() && !value.is_object())
      std::cout << key << ": " << Text(value) << "\n";
  }
  for (const auto& [key, value] : *status) {
    const json::array* entries = value.if_array();
    if (entries == nullptr || entries->empty() || !entries->front().is_object())
      continue;
    std::cout << "\n" << key << "\n";
    listing out;
    for (const auto& [name, ignored] : entries->front().get_object())
      out.header.emplace_back(name);
    for (const json::value& entry : *entries) {
      std::vector<std::string> fields;
      for (const std::string& name : out.header) {
        const json::value* field = entry.get_object().if_contains(name);
        fields.push_back(field == nullptr ? "" : Text(*field));
      }
      out.rows.push_back(std::move(fields));
    }
    Print(out, format);
  }
  return exit_status::kOk;
}

}  // namespace valeledge::ctl
