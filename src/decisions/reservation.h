// SPDX-License-Identifier: MIT
// Memory reservations of one backend server: the artifacts that are in its
// memory or may still be loaded. The record is written by compare-and-swap
// before an order is sent, so it always contains every order that can still
// arrive.
#ifndef VALELEDGE_DECISIONS_RESERVATION_H_
#define VALELEDGE_DECISIONS_RESERVATION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

namespace valeledge::decisions {

enum class order_kind { kLoad, kUnload };

// One transmission of an order. A retransmission is a new order with a new id.
struct order {
  std::string id;
  order_kind kind = order_kind::kLoad;
  std::string artifact;
  std::int64_t memory_mb = 0;
  // Fencing number, higher than those of all earlier orders for this server.
  std::int64_t fence = 0;
  // Id and incarnation of the controller process that sends the order.
  std::string sender;
  std::int64_t sender_incarnation = 0;
  // The sender has finished with the order, or its process is known to have
  // terminated: the order will not be sent any more, though it may still be in
  // transit to the present engine run.
  bool finished = false;
  // The engine run observed after the order was finished. Any other run started
  // after the last transmission and will never receive the order.
  std::string resolves_after;
  // A response has arrived; the order is kept only because it may be delivered
  // again.
  bool responded = false;
  // The engine's change count at which a fencing engine accepted a later order:
  // this order was executed before that or never will be. A report with at
  // least this count shows which. -1: not decided.
  std::int64_t decided_at = -1;
  // The engine run that will not execute the order any more. A later run may,
  // if the order can still reach it: fencing numbers do not outlive a run.
  std::string fenced_off_in;
};

// A backend server's response to an order.
enum class order_response {
  kDone,
  // Not executed, and never will be.
  kRefused,
};

// One artifact on one server.
struct held_artifact {
  std::int64_t memory_mb = 0;
  // Copies in memory according to the latest response or report.
  std::int64_t present = 0;
  // The engine's change count at the latest response about the artifact.
  std::int64_t version = 0;
  // The latest fencing number recorded when the response to its latest load
  // arrived.
  std::int64_t loaded_at = 0;
};

// The record of one server, as stored in the platform's key-value service.
struct server_reservation {
  std::string server;
  std::int64_t capacity_mb = 0;
  bool fencing = false;
  bool doubled_load = true;
  bool redelivery = false;
  // The engine run that the record describes; empty before the first report.
  std::string incarnation;
  // The engine's change count as of the latest report.
  std::int64_t version = 0;
  std::int64_t last_fence = 0;
  std::map<std::string, held_artifact, std::less<>> held;
  // Recorded orders that may still change the contents of the memory.
  std::vector<order> unresolved;
};

// An engine's report of its own state.
struct engine_report {
  std::string incarnation;
  // Change count; 0 if the engine does not count its changes. Then the absence
  // of an artifact proves nothing.
  std::int64_t version = 0;
  // Copies of each artifact in memory.
  std::map<std::string, std::int64_t> loaded;
  // Ids of recently executed orders.
  std::vector<std::string> orders_done;
};

// Returns the memory that must be assumed to be in use, in megabytes.
std::int64_t ReservedMemory(const server_reservation& record);

// Returns the number of copies of an artifact that are or may still be loaded.
std::int64_t ReservedCopies(const server_reservation& record,
                            std::string_view artifact);

// Returns the additional memory that recording a load would reserve.
std::int64_t AddedMemory(const server_reservation& record,
                         std::string_view artifact,
                         std::int64_t memory_mb);

// Returns whether a load may be recorded: the reserved memory stays within the
// capacity.
bool CanLoad(const server_reservation& record,
             std::string_view artifact,
             std::int64_t memory_mb);

// Adds an order to the record and returns it. The caller writes the record
// before it sends the order. RecordLoad requires CanLoad.
order RecordLoad(server_reservation& record,
                 std::string id,
                 std::string artifact,
                 std::int64_t memory_mb);
order RecordUnload(server_reservation& record,
                   std::string id,
                   std::string artifact);

// Applies the response to an order. `version` is the engine's change count
// after it, 0 if the engine does not count its changes.
void Resolve(server_reservation& record,
             std::string_view order_id,
             order_response response,
             std::int64_t version);

// Records that an order without a response will not be sent any more.
void MarkFinished(server_reservation& record, std::string_view order_id);

// Applies a report that may lag behind. Returns whether the record changed and
// should be written. A report of another run is ignored: see NeedsReport.
bool ApplyReport(server_reservation& record, const engine_report& report);

// Applies a report that was requested after this version of the record had been
// read. Returns whether the record changed. The reported run is the present
// one, but the reported contents may lag behind. A new run resolves the orders
// that were finished in an earlier run; orders that may still be sent, or may
// have reached the new run, stay unresolved.
bool ApplyRequestedReport(server_reservation& record,
                          const engine_report& report);

// Returns whether a report should be requested from the engine.
bool NeedsReport(const server_reservation& record, const engine_report& newest);

// Returns whether the artifact is loaded and no unresolved unload can still
// remove it.
bool IsSteady(const server_reservation& record, std::string_view artifact);

// Returns whether the outcome of a load of the artifact is still unknown.
bool IsLoading(const server_reservation& record, std::string_view artifact);

// Converts the record to JSON and back.
std::string EncodeReservation(const server_reservation& record);
base::result<server_reservation> DecodeReservation(std::string_view text);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_RESERVATION_H_
