// SPDX-License-Identifier: MIT
// Orders that load and unload adapters of models that engines hold.
#ifndef VALELEDGE_HOST_PROCESS_ADAPTER_ORDERS_H_
#define VALELEDGE_HOST_PROCESS_ADAPTER_ORDERS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "host/process/engine_registry.h"
#include "host/process/host_core.h"

namespace valeledge::host {

// Engines by instance.
using engine_map =
    std::map<std::string, std::shared_ptr<engine_record>, std::less<>>;

// Sends an order to an engine, for a model or one of its adapters.
using order_sender = std::function<boost::asio::awaitable<order_reply>(
    std::shared_ptr<engine_record> engine,
    order_verb verb,
    std::string model,
    std::string adapter)>;

class adapter_orders {
 public:
  // `core` and `engines` must outlive the object. `on_change` is called when an
  // engine has accepted an adapter.
  adapter_orders(host_core& core,
                 const engine_map& engines,
                 order_sender send,
                 std::function<void()> on_change);

  // Loads adapters of a model one after the other, while the engine holds the
  // model, has free slots and is idle.
  void Load(std::shared_ptr<engine_record> engine,
            std::string model,
            std::vector<std::string> adapters,
            std::int64_t slots);

  // Ensures that some engine which holds the model has the adapter loaded, one
  // of the software version if one is given. Returns the engine's instance.
  boost::asio::awaitable<base::result<std::string>> Ensure(
      std::string service,
      std::string model,
      std::string adapter,
      std::optional<std::string> software);

 private:
  using engine_ptr = std::shared_ptr<engine_record>;

  engine_ptr ChooseForAdapter(const std::string& service,
                              const std::string& model,
                              const std::string& adapter,
                              const std::optional<std::string>& software,
                              std::int64_t slots);
  // Returns an engine that has the adapter or is loading it; null if none does.
  engine_ptr FindAdapter(const std::string& model,
                         const std::string& adapter,
                         const std::optional<std::string>& software);
  boost::asio::awaitable<void> RunLoads(engine_ptr engine,
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

  host_core& core_;
  const engine_map& engines_;
  order_sender send_;
  std::function<void()> on_change_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_ADAPTER_ORDERS_H_
