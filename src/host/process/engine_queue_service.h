// SPDX-License-Identifier: MIT
// The queues for the engines of a service: the side that asks for an engine,
// and the side that owns queues and grants engines.
#ifndef VALELEDGE_HOST_PROCESS_ENGINE_QUEUE_SERVICE_H_
#define VALELEDGE_HOST_PROCESS_ENGINE_QUEUE_SERVICE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/endpoint.h"
#include "decisions/engine_queue.h"
#include "host/process/engine_place.h"
#include "host/process/host_core.h"
#include "wire/generated/messages_types.h"

namespace valeledge::host {

// Dependencies of engine_queue_service, called on the host's thread.
struct engine_queue_links {
  // Returns the hosts that may own a queue, best first, without those that are
  // suspected; may include this host.
  std::function<std::vector<base::endpoint>(const std::string& subject)> owners;
  std::function<boost::asio::awaitable<base::result<wire::envelope>>(
      base::endpoint where,
      wire::envelope call,
      std::chrono::microseconds timeout)>
      call;
  // Reports that an owner did not respond.
  std::function<void(const base::endpoint& owner)> suspect;
};

class engine_queue_service {
 public:
  // `core` must outlive this object, and this object the event loop's run.
  engine_queue_service(host_core& core, engine_queue_links links);

  // Waits for an engine for one request. Returns kNoOwner at most 250 ms after
  // the last sign of life of the owner.
  boost::asio::awaitable<engine_place_result> Acquire(
      engine_place_request request);

  // Returns the host to which the load of an engine is reported at once;
  // nothing if the feature is not active for its service, there is no owner, or
  // it is this host.
  std::optional<base::endpoint> OwnerOf(const known_server& server);

  // Handle another host's request for an engine, and the end of its place.
  boost::asio::awaitable<wire::engine_place_reply> HandleQuestion(
      wire::engine_place_question question);
  void HandleEnd(const wire::engine_place_end& end);

  // To be called several times a second.
  void Tick(base::time_point now);

 private:
  // A request that waits in a queue of this host.
  struct waiter {
    boost::asio::steady_timer* timer = nullptr;
    std::optional<wire::engine_place_reply> reply;
  };
  // A model or adapter that requests are queued for.
  struct queued_unit {
    std::string model;
    std::string adapter;
    // The engines that hold it have been determined from the present members.
    bool has_holders = false;
  };
  // The queue of the engines of one service whose groups this host owns.
  struct owned_queue {
    decisions::engine_queue queue;
    std::map<std::int64_t, waiter> waiters;
    std::map<std::string, queued_unit> units;
    // Time per prompt token of each model.
    std::map<std::string, std::chrono::duration<double, std::milli>>
        token_times;
    // Engines of the owned groups, known since `members_at`.
    std::vector<std::shared_ptr<known_server>> members;
    std::optional<base::time_point> members_at;
    // Engines that are reported to have a queue, and since when.
    std::map<std::string, base::time_point> visible;
    // Engines that have ceased to have one since the last report to all hosts,
    // and when that was. It is due if the engines have changed.
    std::set<std::string> cleared;
    bool is_report_due = false;
    base::time_point reported_at;
    bool loop_runs = false;
    // Whether the queue has been logged as in use, and when it was last.
    bool in_use = false;
    base::time_point used_at;
    std::int64_t granted = 0;
    std::int64_t refused = 0;
  };
  // What is known of an owner that this host asks.
  struct known_owner {
    std::int64_t pending = 0;
    bool probing = false;
    base::time_point heard_at;
    // It did not respond; it is not asked until then.
    base::time_point silent_until;
  };
  // One question of this host.
  struct asked {
    explicit asked(boost::asio::io_context& context) : timer(context) {}
    boost::asio::steady_timer timer;
    std::optional<base::result<wire::engine_place_reply>> reply;
    bool abandoned = false;
  };

  // The service if the feature is active for it and it has engines; otherwise
  // null.
  const catalog::service* EnabledService(const std::string& name) const;
  // Number of groups of a service's engines.
  std::int64_t GroupsOf(const std::string& service);
  // Hosts that may own the queue of a group, best first.
  std::vector<base::endpoint> Candidates(const std::string& service,
                                         std::int64_t group) const;
  // The host to ask for an engine of the group that contains `instance`.
  std::optional<base::endpoint> FindOwner(const std::string& service,
                                          const std::string& instance,
                                          base::time_point now);
  void Count(std::string_view metric, std::string_view label);

  boost::asio::awaitable<void> Ask(base::endpoint owner,
                                   wire::engine_place_question question,
                                   std::shared_ptr<asked> state);
  // Calls the owner repeatedly while any question to it is pending.
  boost::asio::awaitable<void> Probe(base::endpoint owner);
  void OnSilent(const base::endpoint& owner,
                const std::string& service,
                base::time_point now);
  engine_place_result ToResult(const base::endpoint& owner,
                               const wire::engine_place_end& end,
                               const wire::engine_place_reply& reply);
  void End(const base::endpoint& owner, wire::engine_place_end end);
  boost::asio::awaitable<void> SendEnd(base::endpoint owner,
                                       wire::engine_place_end end);

  void UpdateMembers(const std::string& service,
                     owned_queue& owned,
                     base::time_point now);
  void UpdateHolders(const catalog::service& service,
                     owned_queue& owned,
                     const std::string& unit,
                     base::time_point now);
  void UpdateEngines(const catalog::service& service,
                     owned_queue& owned,
                     base::time_point now);
  // Returns nothing if a value without which the request cannot be queued is
  // invalid.
  std::optional<decisions::queued_request> ReadQuestion(
      const wire::engine_place_question& question,
      owned_queue& owned,
      base::time_point now);
  // Ends the queue of a service for which the feature is no longer active.
  void Disband(owned_queue& owned);
  // Grants and refuses what the present loads call for.
  void Pass(const std::string& service,
            owned_queue& owned,
            base::time_point now);
  void Respond(owned_queue& owned,
               wire::engine_place_reply reply,
               std::string_view decision);
  // Reports which engines have a queue.
  void Publish(owned_queue& owned, base::time_point now);
  // Reports to all hosts which engines have a queue, if that has changed or the
  // last report is old.
  void ReportQueues(owned_queue& owned, base::time_point now);
  // Repeats Pass while requests wait.
  boost::asio::awaitable<void> PassLoop(std::string service);

  host_core& core_;
  engine_queue_links links_;
  std::map<std::string, owned_queue> queues_;
  std::map<base::endpoint, known_owner> owners_;
  // Number of groups of each service's engines.
  std::map<std::string, std::int64_t> groups_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_ENGINE_QUEUE_SERVICE_H_
