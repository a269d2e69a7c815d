// SPDX-License-Identifier: MIT
#include "tools/ctl/orders_command.h"

#include <algorithm>
#include <iostream>
#include <utility>
#include <vector>

#include "decisions/reservation.h"
#include "store/constants.h"
#include "store/etcd_client.h"
#include "tools/ctl/read_keys.h"
#include "tools/ctl/run_to_end.h"

namespace valeledge::ctl {

namespace {

namespace asio = boost::asio;

// A reservation with the revision that a write compares.
struct stored_reservation {
  decisions::server_reservation record;
  store::kv_pair pair;
};

asio::awaitable<base::result<std::vector<stored_reservation>>> ReadAll(
    store::kv_client& service) {
  const auto pairs =
      co_await ReadKeys(service, std::string(store::kReservationPrefix));
  if (!pairs)
    co_return tl::make_unexpected(pairs.error());
  std::vector<stored_reservation> out;
  for (const store::kv_pair& pair : *pairs) {
    auto record = decisions::DecodeReservation(pair.value);
    if (!record)
      co_return tl::make_unexpected(record.error());
    out.push_back({std::move(*record), pair});
  }
  co_return out;
}

bool IsOpenOrderOf(const decisions::order& each,
                   const std::string& controller) {
  return each.sender == controller && !each.finished;
}

// Marks the controller's orders as finished; how many there were.
asio::awaitable<base::result<std::int64_t>> Finish(store::kv_client& service,
                                                   std::string controller) {
  auto all = co_await ReadAll(service);
  if (!all)
    co_return tl::make_unexpected(all.error());
  std::int64_t finished = 0;
  for (stored_reservation& each : *all) {
    const auto count = std::ranges::count_if(
        each.record.unresolved, [&](const decisions::order& order) {
          return IsOpenOrderOf(order, controller);
        });
    if (count == 0)
      continue;
    for (decisions::order& order : each.record.unresolved)
      order.finished = order.finished || IsOpenOrderOf(order, controller);
    store::kv_transaction change;
    change.conditions.push_back(
        store::Unchanged(each.pair.key, each.pair.mod_revision));
    change.on_success.push_back(
        store::Put(each.pair.key, decisions::EncodeReservation(each.record)));
    const auto written = co_await service.Run(std::move(change));
    if (!written)
      co_return tl::make_unexpected(written.error());
    if (!written->succeeded) {
      co_return base::NotRun(
          base::result_code::kRevisionConflict,
          each.record.server + " was changed meanwhile; call again");
    }
    finished += count;
  }
  co_return finished;
}

}  // namespace

exit_status ShowOrders(const base::endpoint& platform,
                       std::chrono::microseconds timeout,
                       output_format format) {
  asio::io_context context(1);
  store::etcd_client service(context, {platform, timeout}, nullptr);
  const auto all = RunToEnd(context, ReadAll(service));
  if (!all)
    return Report(all.error());
  listing out{{"server", "reserved_mb", "capacity_mb", "order", "kind",
               "artifact", "sender", "finished"},
              {}};
  for (const stored_reservation& each : *all) {
    const std::string reserved =
        std::to_string(decisions::ReservedMemory(each.record));
    const std::string capacity = std::to_string(each.record.capacity_mb);
    if (each.record.unresolved.empty())
      out.rows.push_back(
          {each.record.server, reserved, capacity, "", "", "", "", ""});
    for (const decisions::order& order : each.record.unresolved) {
      const bool load = order.kind == decisions::order_kind::kLoad;
      out.rows.push_back({each.record.server, reserved, capacity, order.id,
                          load ? "load" : "unload", order.artifact,
                          order.sender, order.finished ? "yes" : "no"});
    }
  }
  Print(out, format);
  return exit_status::kOk;
}

exit_status EndController(const base::endpoint& platform,
                          const std::string& controller,
                          std::chrono::microseconds timeout) {
  asio::io_context context(1);
  store::etcd_client service(context, {platform, timeout}, nullptr);
  const auto finished = RunToEnd(context, Finish(service, controller));
  if (!finished)
    return Report(finished.error());
  std::cout << *finished << " orders of " << controller
            << " will not be sent any more\n";
  return exit_status::kOk;
}

}  // namespace valeledge::ctl
