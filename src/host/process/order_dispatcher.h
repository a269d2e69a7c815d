// SPDX-License-Identifier: MIT
// Sends orders to engines while this host holds the lease, and keeps what it
// believes of them.
#ifndef VALELEDGE_HOST_PROCESS_ORDER_DISPATCHER_H_
#define VALELEDGE_HOST_PROCESS_ORDER_DISPATCHER_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "decisions/model_plan.h"
#include "host/process/engine_registry.h"
#include "host/process/host_core.h"

namespace valeledge::host {

class order_dispatcher {
 public:
  // `term` gives the term under which orders may be sent now, 0 if none may;
  // it is asked before each.
  order_dispatcher(host_core& core, std::function<std::int64_t()> term);

  // A new term begins: nothing is believed any more. Unless nobody held the
  // lease before, nothing is loaded from the weight store until whatever the
  // last holder started no longer counts.
  void BeginTerm(bool is_first_holder);
  // Takes in the list of servers, and asks engines whose state is not known.
  void Refresh();

  const std::map<std::string, std::shared_ptr<engine_record>, std::less<>>&
  engines() const {
    return engines_;
  }
  // What has changed since it was last told to the other hosts.
  bool TakeChanged();

  // Loads from the weight store that may start now at the given rate.
  std::int64_t StoreLoadsLeft(double per_second);

  void Load(std::shared_ptr<engine_record> engine,
            const catalog::model& model,
            decisions::weight_source source);
  // Gives up a model to make room for another one, which is loaded next.
  void Unload(std::shared_ptr<engine_record> engine,
              const std::string& model,
              planned_load planned);

  // Loads adapters of a model one after the other, as long as the engine holds
  // the model, has slots and does nothing else.
  void LoadAdapters(std::shared_ptr<engine_record> engine,
                    std::string model,
                    std::vector<std::string> adapters,
                    std::int64_t slots);

  // Has an adapter loaded on some engine that holds its model; the instance.
  boost::asio::awaitable<base::result<std::string>>
  EnsureAdapter(std::string service, std::string model, std::string adapter);

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
                              std::int64_t slots);
  // An engine that has the adapter or is loading it; null if none does.
  engine_ptr FindAdapter(const std::string& model, const std::string& adapter);
  boost::asio::awaitable<void> RunAdapters(engine_ptr engine,
                                           std::string model,
                                           std::vector<std::string> adapters,
                                           std::int64_t slots);
  // Orders one adapter of a model that the engine holds.
  boost::asio::awaitable<order_reply> SendAdapter(engine_ptr engine,
                                                  std::string model,
                                                  std::string adapter);
  // Waits until such an engine has it.
  boost::asio::awaitable<base::result<std::string>>
  AwaitAdapter(engine_ptr engine, std::string model, std::string adapter);
  boost::asio::awaitable<bool> MakeAdapterRoom(engine_ptr engine,
                                               std::int64_t slots);
  void QueryLater(engine_record& engine, std::chrono::milliseconds after);

  host_core& core_;
  std::function<std::int64_t()> term_;
  std::map<std::string, engine_ptr, std::less<>> engines_;
  std::deque<base::time_point> store_loads_;
  base::time_point no_store_loads_until_;
  bool changed_ = false;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_ORDER_DISPATCHER_H_
