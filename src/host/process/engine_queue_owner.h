// SPDX-License-Identifier: MIT
// Owns queues for the engines of services: queues the requests of all hosts,
// and grants engines to them.
#ifndef VALELEDGE_HOST_PROCESS_ENGINE_QUEUE_OWNER_H_
#define VALELEDGE_HOST_PROCESS_ENGINE_QUEUE_OWNER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "decisions/engine_queue.h"
#include "host/process/engine_queue_groups.h"
#include "host/process/host_core.h"
#include "wire/generated/messages_types.h"

namespace valeledge::host {

// An owner responds within this time after the end of the request's time.
inline constexpr std::chrono::milliseconds kEngineReplyMargin{250};

namespace detail {

// Values of engine_place_reply::verdict.
enum class queue_verdict : std::int32_t {
  kGranted = 0,
  kNotInTime = 1,
  kNotOwner = 2,
};

wire::engine_place_reply MakeReply(queue_verdict verdict, std::int64_t number);

}  // namespace detail

class engine_queue_owner {
 public:
  // `core` and `groups` must outlive this object, and this object the event
  // loop's run.
  engine_queue_owner(host_core& core, engine_queue_groups& groups);

  // Handle a host's request for an engine, and the end of its place.
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
    // When a stream that is resumed has last been queued.
    std::optional<base::time_point> resumed_at;
    // Whether the queue has been logged as in use, and when it was last.
    bool in_use = false;
    base::time_point used_at;
    std::int64_t granted = 0;
    std::int64_t refused = 0;
  };

  void Count(std::string_view metric, std::string_view label);
  // Adds what happened to reservations since the last call to the metrics.
  void CountReturns(owned_queue& owned);
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
  // Reads the fields of a question that concern reservations.
  void ReadCaller(const wire::engine_place_question& question,
                  decisions::queued_request& request);
  // Returns nothing if a value without which the request cannot be queued is
  // invalid.
  std::optional<decisions::queued_request> ReadQuestion(
      const wire::engine_place_question& question,
      owned_queue& owned,
      base::time_point now);
  // The service if its queue is in use: with the feature, or while streams that
  // are resumed are queued. Otherwise null.
  const catalog::service* QueuedService(const std::string& name,
                                        const owned_queue& owned,
                                        base::time_point now) const;
  // Ends the queue of a service that is no longer in use.
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
  engine_queue_groups& groups_;
  std::map<std::string, owned_queue> queues_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_ENGINE_QUEUE_OWNER_H_
