// SPDX-License-Identifier: MIT
// Keeps the limits of workspaces over all hosts: asks a limit's owner for each
// request, and answers for the limits that this host owns.
#ifndef VALELEDGE_HOST_PROCESS_LIMIT_DUTY_H_
#define VALELEDGE_HOST_PROCESS_LIMIT_DUTY_H_

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
struct limit_links {
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
  std::function<void(const base::endpoint& owner)> doubt;
};

class limit_duty {
 public:
  limit_duty(host_core& core, limit_links links);

  // Takes what one request counts from the limit of its workspace, by name
  // since it may be gone meanwhile. The error says why it may not be sent.
  boost::asio::awaitable<base::result<void>> Take(std::string workspace,
                                                  double count);
  // The request has not run, and never will.
  void GiveBack(const std::string& workspace, double count);

  // Another host asks for a request of its own.
  wire::limit_reply Answer(const wire::limit_question& question);

  // Begins and ends to own limits as members come and go. Call several times a
  // second.
  void Roll(base::time_point now);
  // Another host was not known before.
  void NoteNewMember(base::time_point now);

 private:
  // How one host stands to the owner of one limit.
  struct relation {
    decisions::limit_allowance allowance;
    // The owner did not answer; it is asked by one request at a time until it
    // does.
    bool is_silent = false;
    bool is_asked = false;
  };

  boost::asio::awaitable<std::optional<wire::limit_reply>> AskTwice(
      wire::limit_question question);
  // Whether this host has just started.
  bool IsFresh(base::time_point now) const;
  bool Owns(const std::string& workspace) const;
  // Nothing if this host has no limit of that name.
  const catalog::workspace_limit* FindLimit(const std::string& name) const;
  boost::asio::awaitable<std::optional<wire::limit_reply>> AskOwner(
      wire::limit_question question);
  base::result<void> Judge(const std::string& workspace,
                           double count,
                           const std::optional<wire::limit_reply>& reply);

  // Logs what was asked of the limits that this host owns.
  void TellUse(base::time_point now);

  host_core& core_;
  limit_links links_;
  std::map<std::string, decisions::limiter_state> accounts_;
  std::map<std::string, relation> relations_;
  base::time_point told_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_LIMIT_DUTY_H_
