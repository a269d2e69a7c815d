// SPDX-License-Identifier: MIT
// Accounting of one attempt in the load and health of its backend server.
#ifndef VALELEDGE_HOST_REQUEST_SERVER_ATTEMPT_H_
#define VALELEDGE_HOST_REQUEST_SERVER_ATTEMPT_H_

#include <chrono>
#include <functional>
#include <memory>
#include <optional>

#include "host/process/host_core.h"
#include "host/process/path_monitor.h"

namespace valeledge::host {

// Adds the request to its server's load while it is in flight, and updates the
// server's health with the outcome of the attempt.
class server_attempt {
 public:
  server_attempt(host_core& core,
                 const server_choice& choice,
                 const request_metadata& metadata,
                 const decisions::request_weight& weight,
                 model_demand& demand);
  ~server_attempt();
  server_attempt(const server_attempt&) = delete;
  server_attempt& operator=(const server_attempt&) = delete;

  known_server& server() { return *server_; }

  // Sets what ends the attempt if the path to the servers is lost.
  // `may_repeat`: also after the request was sent.
  void OnInterrupt(bool may_repeat, std::function<void()> interrupt);
  // The connection is open, and the request is about to be written to it.
  void OnSent();
  // Data of the response has arrived.
  void OnData();
  // No connection could be opened, or the connection failed.
  void OnConnectionError(const base::error& failed);
  // The first byte of the response has arrived, so prefill has finished.
  void OnFirstByte();
  // The response has had this number of events so far.
  void OnEvents(std::int64_t count);
  // The response is complete.
  void OnCompleted();
  // The response is an error, incomplete or missing. `is_definite` suspends the
  // server without waiting for a second failure.
  void OnFailed(bool is_definite);
  // The server did not run the request.
  void OnRefused(const response_metadata& response);

 private:
  void EndSlot(slot_outcome how);
  // Records the outcome for the shared estimate of the engine.
  void ObserveEngine(bool failed);
  void EndTrial();
  // Adds the request to the long streams and long prompts of the server.
  void BeginSeparated();
  void EndLongStream();

  host_core& core_;
  std::shared_ptr<known_server> server_;
  std::shared_ptr<slot_handle> slot_;
  // Null if the path to the servers is not watched.
  std::shared_ptr<tracked_attempt> tracked_;
  const request_metadata& metadata_;
  decisions::request_weight weight_;
  model_demand& demand_;
  std::chrono::duration<double, std::milli> expected_delay_;
  // The same without the slowdown factor of the server.
  std::chrono::duration<double, std::milli> unscaled_delay_;
  // The factor, if it is that of a shared estimate.
  std::optional<double> shared_factor_;
  std::optional<separated_load> separated_;
  // The server's long streams contain the request.
  bool is_long_stream_ = false;
  // Prompt tokens, including this request's, that the server must process
  // before its first byte.
  std::int64_t tokens_ahead_ = 0;
  // Requests at the server, with this one, when it was sent.
  std::int64_t running_ = 0;
  base::time_point started_at_ = std::chrono::steady_clock::now();
  bool awaiting_first_byte_ = true;
  // It is the first request after a backoff of the server, and has had no
  // response yet.
  bool is_trial_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_REQUEST_SERVER_ATTEMPT_H_
