// SPDX-License-Identifier: MIT
// Keeps the limits of workspaces over all hosts: asks a limit's owner for each
// request, and answers for the limits that this host owns.
#ifndef VALELEDGE_HOST_PROCESS_WORKSPACE_LIMIT_SERVICE_H_
#define VALELEDGE_HOST_PROCESS_WORKSPACE_LIMIT_SERVICE_H_

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "base/endpoint.h"
#include "decisions/workspace_limit.h"
#include "host/process/host_core.h"
#include "wire/generated/messages_types.h"

namespace valeledge::host {

// What the duty needs of the others; runs on the host's thread.
struct workspace_limit_callbacks {
  // The host that owns the limit of a workspace; nothing if there is none.
  std::function<std::optional<base::endpoint>(const std::string& workspace)>
      owner;
  // What this host knows of the others.
  std::function<decisions::limit_members()> members;
  std::function<boost::asio::awaitable<base::result<wire::envelope>>(
      base::endpoint where,
      wire::envelope call,
      std::chrono::microseconds timeout)>
      call;
  // An owner did not answer.
  std::function<void(const base::endpoint& owner)> suspect;
};

class workspace_limit_service {
 public:
  workspace_limit_service(host_core& core, workspace_limit_callbacks callbacks);

  // Takes what one request counts from the limit of its workspace, by name
  // since it may be gone meanwhile. The error says why it may not be sent.
  boost::asio::awaitable<base::result<void>> Acquire(std::string workspace,
                                                     double count);
  // The request has not run, and never will.
  void Release(const std::string& workspace, double count);

  // Another host asks for a request of its own.
  wire::limit_reply HandleRequest(const wire::limit_question& request);

  // Begins and ends to own limits as members come and go. Call several times a
  // second.
  void Tick(base::time_point now);
  // Another host was not known before.
  void OnMemberJoined(base::time_point now);

 private:
  // How one host stands to the owner of one limit.
  struct owner_state {
    decisions::limit_allowance allowance;
    // The owner did not answer; it is asked by one request at a time until it
    // does.
    bool is_unresponsive = false;
    bool has_pending_request = false;
  };

  boost::asio::awaitable<std::optional<wire::limit_reply>> RequestWithRetry(
      wire::limit_question request);
  // Whether this host has just started.
  bool HasJustStarted(base::time_point now) const;
  bool OwnsLimit(const std::string& workspace) const;
  // Nothing if this host has no limit of that name.
  const catalog::workspace_limit* FindLimit(const std::string& name) const;
  boost::asio::awaitable<std::optional<wire::limit_reply>> RequestFromOwner(
      wire::limit_question request);
  base::result<void> EvaluateReply(
      const std::string& workspace,
      double count,
      const std::optional<wire::limit_reply>& reply);

  // Logs what was asked of the limits that this host owns.
  void LogUsage(base::time_point now);

  host_core& core_;
  workspace_limit_callbacks callbacks_;
  std::map<std::string, decisions::limiter_state> limiters_;
  std::map<std::string, owner_state> owner_states_;
  base::time_point logged_at_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_WORKSPACE_LIMIT_SERVICE_H_
