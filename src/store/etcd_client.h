// SPDX-License-Identifier: MIT
// A key-value service that speaks etcd's v3 JSON interface.
#ifndef VALELEDGE_STORE_ETCD_CLIENT_H_
#define VALELEDGE_STORE_ETCD_CLIENT_H_

#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "base/metrics.h"
#include "store/kv_client.h"

namespace valeledge::store {

// See kv_client. `counts`, if given, counts calls by their kind.
class etcd_client : public kv_client {
 public:
  etcd_client(boost::asio::io_context& context,
              kv_client_settings settings,
              base::metrics* counts);
  ~etcd_client() override;

  boost::asio::awaitable<base::result<kv_transaction_result>> Run(
      kv_transaction transaction) override;
  boost::asio::awaitable<base::result<std::int64_t>> GrantLease(
      std::chrono::seconds length) override;
  boost::asio::awaitable<base::result<void>> KeepLease(
      std::int64_t lease) override;
  boost::asio::awaitable<base::result<void>> RevokeLease(
      std::int64_t lease) override;
  boost::asio::awaitable<base::result<kv_changes>> AwaitChange(
      std::string prefix,
      std::int64_t from,
      std::chrono::microseconds longest) override;
  std::optional<base::time_point> HeardAt() const override;
  std::int64_t bytes() const override;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace valeledge::store

#endif  // VALELEDGE_STORE_ETCD_CLIENT_H_
