// SPDX-License-Identifier: MIT
// One attempt at one backend server, as it counts in load and health.
#ifndef VALELEDGE_HOST_REQUEST_SERVER_ATTEMPT_H_
#define VALELEDGE_HOST_REQUEST_SERVER_ATTEMPT_H_

#include <chrono>
#include <memory>

#include "host/process/host_core.h"

namespace valeledge::host {

// Counts the request at its server while in flight, and updates the server's
// health by how the attempt ended.
class server_attempt {
 public:
  server_attempt(host_core& core,
                 const server_choice& choice,
                 const request_head& head,
                 const decisions::request_weight& weight,
                 model_demand& demand);
  ~server_attempt();
  server_attempt(const server_attempt&) = delete;
  server_attempt& operator=(const server_attempt&) = delete;

  // The first byte of the answer is here: the prompt has been read.
  void FirstByte();
  // The answer is whole.
  void Answered();
  // The answer is an error, broken, or did not come; see NoteFailure.
  void Failed(bool certain);
  // The server did not run the request.
  void Refused(const answer_head& answer);

 private:
  void EndPlace(slot_outcome how);

  host_core& core_;
  std::shared_ptr<known_server> server_;
  std::shared_ptr<slot_handle> place_;
  const request_head& head_;
  decisions::request_weight weight_;
  model_demand& demand_;
  std::chrono::duration<double, std::milli> expected_;
  // Prompt tokens that had to be read before this request's first byte.
  std::int64_t tokens_ahead_ = 0;
  base::time_point begun_ = std::chrono::steady_clock::now();
  bool unread_ = true;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_REQUEST_SERVER_ATTEMPT_H_
