// SPDX-License-Identifier: MIT
// Handles the requests of all hosts for the workspace limits that this host
// owns: grants tokens, and queues requests that can wait for them.
#ifndef VALELEDGE_HOST_PROCESS_WORKSPACE_LIMIT_OWNER_H_
#define VALELEDGE_HOST_PROCESS_WORKSPACE_LIMIT_OWNER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/endpoint.h"
#include "decisions/limit_queue.h"
#include "decisions/workspace_limit.h"
#include "host/process/host_core.h"
#include "wire/generated/messages_types.h"

namespace valeledge::host {

namespace detail {

// Counts how a request for tokens that could wait ended.
void CountLimitWait(host_core& core, std::string_view reason);

}  // namespace detail

// Dependencies on other components; called on the host's thread.
struct limit_owner_callbacks {
  // The host that owns the limit of a workspace, if there is one.
  std::function<std::optional<base::endpoint>(const std::string& workspace)>
      owner;
  // This host's view of the other hosts.
  std::function<decisions::limit_members()> members;
};

class workspace_limit_owner {
 public:
  // `core` must outlive this object, and this object the event loop's run.
  workspace_limit_owner(host_core& core, limit_owner_callbacks callbacks);

  // Handles a request of a host. HandleRequest decides at once; HandleCall
  // returns when the tokens are granted or when it is certain that they cannot
  // be granted in time.
  wire::limit_reply HandleRequest(const wire::limit_question& request);
  boost::asio::awaitable<wire::limit_reply> HandleCall(
      wire::limit_question request);

  // Updates the set of owned limits as members join and leave. Must be called
  // several times a second.
  void Tick(base::time_point now);
  // A host that was not known before has joined.
  void OnMemberJoined(base::time_point now);

 private:
  // A request that waits at this host for the tokens of a limit that it owns.
  struct queued_request {
    explicit queued_request(boost::asio::io_context& context) : done(context) {}

    boost::asio::steady_timer done;
    std::optional<decisions::limit_decision> decision;
  };
  // The queue of a limit that this host owns.
  struct owned_queue {
    explicit owned_queue(boost::asio::io_context& context) : next(context) {}

    decisions::limit_queue queue;
    std::map<std::int64_t, std::shared_ptr<queued_request>> requests;
    // Expires when the queue must be served next.
    boost::asio::steady_timer next;
    // Since the last log line.
    std::int64_t granted = 0;
    std::int64_t refused = 0;
    std::int64_t dropped = 0;
  };

  // This host's view of the other hosts and of itself.
  decisions::limit_members Members(base::time_point now);
  // Grants and refuses what waits for the tokens of a limit.
  void ServeOwned(const std::string& workspace);
  void ServeOwned(const std::string& workspace,
                  const decisions::limit_members& members);
  // Ends the queue of a limit that this host does not own any more.
  void CloseQueue(const std::string& workspace);
  void LogQueue(const std::string& workspace,
                owned_queue& owned,
                base::time_point now);
  // How a request of another host can wait; nothing if it is decided at once.
  std::optional<decisions::token_wait> ReadWait(
      const wire::limit_question& request);

  // Whether this host started recently.
  bool HasJustStarted(base::time_point now) const;
  bool OwnsLimit(const std::string& workspace) const;
  // Returns null if the workspace has no limit.
  const catalog::workspace_limit* FindLimit(const std::string& name) const;
  // Logs the usage of the limits that this host owns.
  void LogUsage(base::time_point now);

  host_core& core_;
  limit_owner_callbacks callbacks_;
  std::map<std::string, decisions::limiter_state> limiters_;
  // Queues of owned limits for which any request has waited.
  std::map<std::string, owned_queue> queues_;
  base::time_point logged_at_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_WORKSPACE_LIMIT_OWNER_H_
