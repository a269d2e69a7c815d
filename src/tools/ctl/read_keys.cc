// SPDX-License-Identifier: MIT
#include "tools/ctl/read_keys.h"

#include <utility>

namespace valeledge::ctl {

boost::asio::awaitable<base::result<std::vector<store::kv_pair>>> ReadKeys(
    store::kv_client& service,
    std::string prefix) {
  store::kv_transaction query;
  query.on_success.push_back(store::GetPrefix(std::move(prefix)));
  auto response = co_await service.Run(std::move(query));
  if (!response)
    co_return tl::make_unexpected(response.error());
  std::vector<store::kv_pair> pairs;
  for (store::kv_operation_result& result : response->results) {
    for (store::kv_pair& pair : result.pairs)
      pairs.push_back(std::move(pair));
  }
  co_return pairs;
}

}  // namespace valeledge::ctl
