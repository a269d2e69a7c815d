// SPDX-License-Identifier: MIT
// Sends orders to engines while this host holds the lease, and tracks the
// engines' state.
#ifndef VALELEDGE_HOST_PROCESS_ORDER_DISPATCHER_H_
#define VALELEDGE_HOST_PROCESS_ORDER_DISPATCHER_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "decisions/model_plan.h"
#include "host/process/adapter_orders.h"
#include "host/process/engine_registry.h"
#include "host/process/host_core.h"

namespace valeledge::host {

// Neither copied nor moved: adapter_orders refers to its members.
class order_dispatcher {
 public:
  // `term` returns the term under which orders may be sent now, or 0 if none
  // may be sent. It is called before each order.
  order_dispatcher(host_core& core, std::function<std::int64_t()> term);
  order_dispatcher(const order_dispatcher&) = delete;
  order_dispatcher& operator=(const order_dispatcher&) = delete;

  // Sets what is called when an engine rejects an order of this term because it
  // has seen a higher one.
  void SetOnFenced(std::function<void(std::int64_t term)> on_fenced) {
    on_fenced_ = std::move(on_fenced);
  }

  // Starts a new term: discards all known state. Unless this host is the first
  // lease holder, it loads nothing from the weight store until loads started by
  // the previous holder no longer count against the rate limit.
  void BeginTerm(bool is_first_holder);
  // Synchronizes the engines with the list of servers, and queries those whose
  // state is due for a query.
  void Refresh();

  const engine_map& engines() const { return engines_; }
  // Whether any engine's state has changed since the last call.
  bool TakeChanged();

  // Number of loads from the weight store that may start now, at the given rate
  // limit.
  std::int64_t StoreLoadsLeft(double per_second);
  // Time until StoreLoadsLeft() exceeds `reserved` if nothing is loaded
  // meanwhile.
  std::chrono::milliseconds StoreLoadDelay(double per_second,
                                           std::int64_t reserved);

  void Load(std::shared_ptr<engine_record> engine,
            const catalog::model& model,
            decisions::weight_source source);
  // Unloads a model to make room for another one, which is loaded next.
  void Unload(std::shared_ptr<engine_record> engine,
              const std::string& model,
              planned_load planned);
  // Starts the engine's planned load if there is room by now. Drops it if it is
  // too old or cannot be started. `waits_for_store`: it is not dropped because
  // the rate limit does not allow for it yet.
  void StartPlannedLoad(const std::shared_ptr<engine_record>& engine,
                        const catalog::engine& kind,
                        bool waits_for_store,
                        base::time_point now);

  // See adapter_orders::Load.
  void LoadAdapters(std::shared_ptr<engine_record> engine,
                    std::string model,
                    std::vector<std::string> adapters,
                    std::int64_t slots) {
    adapters_.Load(std::move(engine), std::move(model), std::move(adapters),
                   slots);
  }
  // See adapter_orders::Ensure.
  boost::asio::awaitable<base::result<std::string>> EnsureAdapter(
      std::string service,
      std::string model,
      std::string adapter,
      std::optional<std::string> software) {
    return adapters_.Ensure(std::move(service), std::move(model),
                            std::move(adapter), std::move(software));
  }

 private:
  using engine_ptr = std::shared_ptr<engine_record>;

  boost::asio::awaitable<order_reply> Send(engine_ptr engine,
                                           order_verb verb,
                                           std::string model,
                                           std::string adapter);
  boost::asio::awaitable<void> RunLoad(engine_ptr engine,
                                       std::string model,
                                       std::chrono::milliseconds expected,
                                       bool from_store);
  boost::asio::awaitable<void> RunUnload(engine_ptr engine, std::string model);
  boost::asio::awaitable<void> QueryState(engine_ptr engine);
  // Schedules a query of the engine's state no sooner than `after` from now.
  void QueryLater(engine_record& engine, std::chrono::milliseconds after);

  host_core& core_;
  std::function<std::int64_t()> term_;
  std::function<void(std::int64_t term)> on_fenced_;
  engine_map engines_;
  std::deque<base::time_point> store_loads_;
  base::time_point no_store_loads_until_;
  bool changed_ = false;
  adapter_orders adapters_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_ORDER_DISPATCHER_H_
