// SPDX-License-Identifier: MIT
#include "store/host_list.h"

#include <utility>

#include "base/json.h"

namespace valeledge::store {

namespace asio = boost::asio;

asio::awaitable<base::result<host_list>> ReadHostList(
    net::http_client& http,
    base::endpoint where,
    std::chrono::microseconds timeout) {
  auto request = net::MakeRequest(boost::beast::http::verb::get, "/hosts");
  const auto answer = co_await http.Fetch(where, std::move(request), timeout);
  if (!answer)
    co_return tl::make_unexpected(answer.error());
  const auto object = base::ParseJsonObject(answer->body());
  const boost::json::array* hosts =
      object ? base::ArrayField(*object, "hosts") : nullptr;
  if (hosts == nullptr) {
    co_return base::Unknown(base::result_code::kPlatformAnswerLost,
                            "the host list cannot be read");
  }
  host_list list;
  for (const boost::json::value& each : *hosts) {
    if (!each.is_object())
      continue;
    const boost::json::object& host = each.get_object();
    const std::string address = base::StringField(host, "address");
    const bool leaving = base::StringField(host, "state") == "leaving";
    (leaving ? list.leaving : list.live).insert(address);
  }
  co_return list;
}

}  // namespace valeledge::store
