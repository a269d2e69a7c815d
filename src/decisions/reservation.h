// SPDX-License-Identifier: MIT
// The memory of one backend server: what is, or may yet come to be, in it.
// The record is written by compare-and-swap before any order leaves, so that
// the orders which can still arrive are always a subset of it.
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

// One sending of an order. Sending again is a new order with a new id.
struct order {
  std::string id;
  order_kind kind = order_kind::kLoad;
  std::string artifact;
  std::int64_t memory_mb = 0;
  // Higher than that of every order recorded before for this server.
  std::int64_t fence = 0;
  // The controller process that sends it: its id and incarnation.
  std::string sender;
  std::int64_t sender_incarnation = 0;
  // The sender is done with it, or has certainly ended: it will not be sent
  // from now on, though it may still be under way to the present engine run.
  bool finished = false;
  // Once finished: the engine's run as seen afterwards. Any other run began
  // after the order's last sending and will never see it.
  std::string resolves_after;
  // Answered, and kept only because it may be delivered again.
  bool responded = false;
  // A fencing engine has taken a later order, at this count of its changes:
  // this one was carried out before, or never will be. A report that is not
  // older tells which. -1: not decided.
  std::int64_t decided_at = -1;
  // The run that will certainly not carry it out any more. A later run may,
  // if the order can still reach it: fencing numbers die with a run.
  std::string fenced_off_in;
};

// What a backend server answered to an order.
enum class order_response {
  kDone,
  // Not carried out and never will be.
  kRefused,
};

// One artifact on one server.
struct held_artifact {
  std::int64_t memory_mb = 0;
  // Copies in memory by the newest answer or report.
  std::int64_t present = 0;
  // The engine's count of changes at the newest answer about it.
  std::int64_t version = 0;
  // The newest fencing number that had been recorded when the newest load of
  // it was answered.
  std::int64_t loaded_at = 0;
};

// The record of one server, as the platform's service keeps it.
struct server_reservation {
  std::string server;
  std::int64_t capacity_mb = 0;
  bool fencing = false;
  bool doubled_load = true;
  bool redelivery = false;
  // The run of the engine that the record is about; empty before any report.
  std::string incarnation;
  // The engine's own count of its changes, as of the newest report.
  std::int64_t version = 0;
  std::int64_t last_fence = 0;
  std::map<std::string, held_artifact, std::less<>> held;
  // Orders that were recorded and may still change what is in memory.
  std::vector<order> unresolved;
};

// What an engine says of itself.
struct engine_report {
  std::string incarnation;
  // 0 if the engine does not count its changes: then absence proves nothing.
  std::int64_t version = 0;
  // Copies of each artifact in memory.
  std::map<std::string, std::int64_t> loaded;
  // Ids of orders it has carried out lately.
  std::vector<std::string> orders_done;
};

// Memory that must be taken for used, in megabytes.
std::int64_t ReservedMemory(const server_reservation& record);

// Copies of an artifact that are or may come to be there.
std::int64_t ReservedCopies(const server_reservation& record,
                            std::string_view artifact);

// Memory that recording a load would reserve in addition.
std::int64_t AddedMemory(const server_reservation& record,
                         std::string_view artifact,
                         std::int64_t memory_mb);

// Whether a load may be recorded: afterwards the reserved memory is still
// within the capacity.
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

// Takes in the answer to an order; `version` is the engine's count after it,
// 0 if it does not count.
void Resolve(server_reservation& record,
             std::string_view order_id,
             order_response response,
             std::int64_t version);

// Notes that an order without an answer will not be sent any more.
void MarkFinished(server_reservation& record, std::string_view order_id);

// Takes in a report that may lag; true if the record changed and should be
// written. A report of another run is not taken: the engine must be asked.
bool ApplyReport(server_reservation& record, const engine_report& report);

// Takes in a report that was asked for after this version of the record had
// been read; true if the record changed. What it says is loaded may lag; the
// run that answers is the present one. A new run ends the orders that were
// finished in an earlier one; those that may still be sent, or may have
// reached the new run, stay.
bool ApplyRequestedReport(server_reservation& record,
                          const engine_report& report);

// Whether the engine should be asked for a report.
bool NeedsReport(const server_reservation& record, const engine_report& newest);

// Whether a replica certainly stays: it is present and no unsettled unload
// can still strike it.
bool IsSteady(const server_reservation& record, std::string_view artifact);

// Whether a load of the artifact has no known end.
bool IsLoading(const server_reservation& record, std::string_view artifact);

// The record as JSON, and back.
std::string EncodeReservation(const server_reservation& record);
base::result<server_reservation> DecodeReservation(std::string_view text);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_RESERVATION_H_
