// SPDX-License-Identifier: MIT
// Enforces workspace limits across all hosts. Each limit has one owner host.
// This service requests the cost of each request from the owner; for the limits
// that this host owns, workspace_limit_owner handles such requests.
#ifndef VALELEDGE_HOST_PROCESS_WORKSPACE_LIMIT_SERVICE_H_
#define VALELEDGE_HOST_PROCESS_WORKSPACE_LIMIT_SERVICE_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/endpoint.h"
#include "decisions/workspace_limit.h"
#include "host/process/host_core.h"
#include "host/process/limit_wait.h"
#include "host/process/owner_calls.h"
#include "host/process/workspace_limit_owner.h"
#include "wire/generated/messages_types.h"

namespace valeledge::host {

// Dependencies on other components; called on the host's thread.
struct workspace_limit_callbacks : owner_calls {
  // The host that owns the limit of a workspace, if there is one.
  std::function<std::optional<base::endpoint>(const std::string& workspace)>
      owner;
  // This host's view of the other hosts.
  std::function<decisions::limit_members()> members;
};

class workspace_limit_service {
 public:
  workspace_limit_service(host_core& core, workspace_limit_callbacks callbacks);

  // Charges the cost of one request to the limit of its workspace. Returns an
  // error if the request may not be sent. The workspace is passed by name,
  // since it may be removed meanwhile. `wait`: if unset, the owner decides at
  // once.
  boost::asio::awaitable<base::result<void>> Acquire(
      std::string workspace,
      double count,
      std::optional<limit_wait> wait = std::nullopt);
  // Refunds the cost of a request that did not run and never will.
  void Release(const std::string& workspace, double count);

  // Handles a request of another host. HandleRequest decides at once;
  // HandleCall returns when the tokens are granted or when it is certain that
  // they cannot be granted in time.
  wire::limit_reply HandleRequest(const wire::limit_question& request);
  boost::asio::awaitable<wire::limit_reply> HandleCall(
      wire::limit_question request);

  // Updates the set of owned limits as members join and leave. Must be called
  // several times a second.
  void Tick(base::time_point now);
  // A host that was not known before has joined.
  void OnMemberJoined(base::time_point now);

 private:
  // State that this host keeps for the owner of one limit.
  struct owner_state {
    decisions::limit_allowance allowance;
    // The owner did not respond. Until it does, only one request at a time is
    // sent to it.
    bool is_unresponsive = false;
    // Set and cleared by that one request.
    bool has_pending_request = false;
    // The owner for requests that wait, and when it was determined.
    std::optional<base::endpoint> owner;
    base::time_point owner_checked_at;
  };

  // A question to an owner.
  struct pending_question {
    explicit pending_question(boost::asio::io_context& context)
        : poll(context) {}

    boost::asio::steady_timer poll;
    bool is_done = false;
    // Nobody waits for the reply: what it grants must be returned.
    bool is_abandoned = false;
    std::optional<wire::limit_reply> reply;
  };
  // How a question ended.
  struct question_result {
    std::optional<wire::limit_reply> reply;
    // Another host owns the limit now.
    bool has_moved = false;
  };

  // Asks owners until one has decided or the time is up; returns nothing if
  // none has decided. An error ends the request.
  boost::asio::awaitable<base::result<std::optional<wire::limit_reply>>>
  RequestInTime(wire::limit_question request, limit_wait wait);
  // Asks one owner, and waits for its reply as long as the request does.
  boost::asio::awaitable<base::result<question_result>> Ask(
      base::endpoint owner,
      wire::limit_question request,
      std::chrono::milliseconds patience,
      const limit_wait& wait);
  // Sends a question. What it grants after it was abandoned is returned.
  boost::asio::awaitable<void> CallOwner(
      base::endpoint owner,
      wire::limit_question request,
      std::chrono::microseconds timeout,
      std::shared_ptr<pending_question> pending);
  // Returns the owner as it was known a short time ago at most: many requests
  // may wait for one limit.
  std::optional<base::endpoint> RecentOwner(const std::string& workspace);

  boost::asio::awaitable<std::optional<wire::limit_reply>> RequestWithRetry(
      wire::limit_question request);
  // Requests a decision without a wait; returns nothing at once if another
  // request of the workspace is pending at an unresponsive owner.
  boost::asio::awaitable<std::optional<wire::limit_reply>> RequestUnlessPending(
      wire::limit_question request);
  // Reports that a call to an owner failed, unless the owner has replied since
  // the call was sent.
  void Suspect(const base::endpoint& owner, base::time_point sent_at);
  boost::asio::awaitable<std::optional<wire::limit_reply>> RequestFromOwner(
      wire::limit_question request);
  base::result<void> EvaluateReply(
      const std::string& workspace,
      double count,
      const std::optional<wire::limit_reply>& reply);

  host_core& core_;
  workspace_limit_callbacks callbacks_;
  // This host as an owner.
  workspace_limit_owner own_;
  std::map<std::string, owner_state> owner_states_;
  // When each owner last replied.
  std::map<base::endpoint, base::time_point> replied_at_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_WORKSPACE_LIMIT_SERVICE_H_
