// SPDX-License-Identifier: MIT
// One row of the operators' table.
#ifndef VALELEDGE_TABLE_ROW_H_
#define VALELEDGE_TABLE_ROW_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace valeledge::table {

// What a row describes.
enum class row_kind { kPartner, kModel, kAdapter, kService, kServer };

// A row with every column; which of them count depends on the kind
// (columns.h). Memory is in megabytes, limits are per second with 0 for none.
struct row {
  row_kind kind = row_kind::kModel;
  std::string name;
  // Owner of a model or service.
  std::string partner;
  // The model that an adapter belongs to, or the service that a backend
  // server runs (empty for a model engine).
  std::string base;
  std::string version = "1";
  // The partner's promised share relative to the others.
  double weight = 1;
  // 0 is served first, 9 last.
  std::int64_t priority = 5;
  std::int64_t limit_requests = 0;
  std::int64_t limit_tokens = 0;
  // Needed by a model or adapter, or had by a backend server.
  std::int64_t memory_mb = 0;
  // Replicas that a model always keeps.
  std::int64_t replicas = 1;
  // What a move costs, in requests that meet their target.
  double move_price = 1;
  // Whether a service's calls may be repeated.
  bool idempotent = true;
  // Whether a service that answers 429 or 503 has certainly not run the call.
  bool refusal_not_run = false;
  // The target for a model's first token.
  std::chrono::milliseconds first_token{640};
  std::string address;
  std::string zone;
  // Group of backend servers that one scheduler decides for.
  std::string cell;
  // Requests that a backend server runs at once.
  std::int64_t slots = 8;
  // Whether a backend server refuses orders with an old fencing number.
  bool fencing = false;
  // Whether a load that arrives twice takes memory twice.
  bool doubled_load = true;
  // Whether an order may reach a backend server again after its answer.
  bool redelivery = false;
};

// "partner", "model", "adapter", "service" or "server".
std::string_view ToString(row_kind kind);
std::optional<row_kind> ParseRowKind(std::string_view text);

// The row's key in the platform's service, "kind/name".
std::string KeyOf(const row& value);

// What a model or adapter row puts into a backend server's memory:
// "kind/name@version".
std::string ArtifactOf(const row& value);

}  // namespace valeledge::table

#endif  // VALELEDGE_TABLE_ROW_H_
