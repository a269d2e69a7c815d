// SPDX-License-Identifier: MIT
// Sends orders to engines while this host holds the lease, and tracks the
// engines' state.
#ifndef VALELEDGE_HOST_PROCESS_ORDER_DISPATCHER_H_
#define VALELEDGE_HOST_PROCESS_ORDER_DISPATCHER_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "decisions/model_plan.h"
#include "host/process/engine_registry.h"
#include "host/process/host_core.h"

namespace valeledge::host {

class order_dispatcher {
 public:
  // `term` returns the term under which orders may be sent now, or 0 if none
  // may be sent. It is called before each order.
  order_dispatcher(host_core& core, std::function<std::int64_t()> term);

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

  const std::map<std::string, std::shared_ptr<engine_record>, std::less<>>&
  engines() const {
    return engines_;
  }
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

  // Loads adapters of a model one after the other, while the engine holds the
  // model, has free slots and is idle.
  void LoadAdapters(std::shared_ptr<engine_record> engine,
                    std::string model,
                    std::vector<std::string> adapters,
                    std::int64_t slots);

  // Ensures that some engine which holds the model has the adapter loaded, one
  // of the software version if one is given. Returns the engine's instance.
  boost::asio::awaitable<base::result<std::string>> EnsureAdapter(
      std::string service,
      std::string model,
      std::string adapter,
      std::optional<std::string> software);

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
  engine_ptr ChooseForAdapter(const std::string& service,
                              const std::string& model,
                              const std::string& adapter,
                              const std::optional<std::string>& software,
                              std::int64_t slots);
  // Returns an engine that has the adapter or is loading it; null if none does.
  engine_ptr FindAdapter(const std::string& model,
                         const std::string& adapter,
                         const std::optional<std::string>& software);
  boost::asio::awaitable<void> RunAdapters(engine_ptr engine,
                                           std::string model,
                                           std::vector<std::string> adapters,
                                           std::int64_t slots);
  // Sends the order to load one adapter of a model that the engine holds.
  boost::asio::awaitable<order_reply> SendAdapter(engine_ptr engine,
                                                  std::string model,
                                                  std::string adapter);
  // Waits until an engine found by FindAdapter has loaded the adapter. Returns
  // its instance.
  boost::asio::awaitable<base::result<std::string>>
  AwaitAdapter(engine_ptr engine, std::string model, std::string adapter);
  // Unloads the least recently used adapter if all slots are in use. Returns
  // whether a slot is free then.
  boost::asio::awaitable<bool> MakeAdapterRoom(engine_ptr engine,
                                               std::int64_t slots);
  // Schedules a query of the engine's state no sooner than `after` from now.
  void QueryLater(engine_record& engine, std::chrono::milliseconds after);

  host_core& core_;
  std::function<std::int64_t()> term_;
  std::function<void(std::int64_t term)> on_fenced_;
  std::map<std::string, engine_ptr, std::less<>> engines_;
  std::deque<base::time_point> store_loads_;
  base::time_point no_store_loads_until_;
  bool changed_ = false;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_ORDER_DISPATCHER_H_
