// SPDX-License-Identifier: MIT
// What the project asks of a key-value service: keys, leases, transactions.
#ifndef VALELEDGE_STORE_KV_CLIENT_H_
#define VALELEDGE_STORE_KV_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "base/duration.h"
#include "base/endpoint.h"
#include "base/error.h"

namespace valeledge::store {

// One key with its value and the service's revisions.
struct kv_pair {
  std::string key;
  std::string value;
  std::int64_t create_revision = 0;
  std::int64_t mod_revision = 0;
  // The lease that ends the key, 0 for none.
  std::int64_t lease = 0;
};

// A condition of a transaction: the key's revision equals `revision` (0: the
// key does not exist).
struct kv_compare {
  enum class target { kCreateRevision, kModRevision };
  std::string key;
  target what = target::kModRevision;
  std::int64_t revision = 0;
};

struct kv_transaction;

// One operation of a transaction.
struct kv_operation {
  enum class kind { kPut, kGet, kGetPrefix, kDelete, kTransaction };
  kind what = kind::kGet;
  std::string key;
  std::string value;
  // Puts: the lease that ends the key, 0 for none.
  std::int64_t lease = 0;
  // Reads: only keys changed at this revision of the service or later.
  std::int64_t min_mod_revision = 0;
  std::shared_ptr<kv_transaction> nested;
};

// `on_success` runs if all conditions hold, `on_failure` otherwise.
struct kv_transaction {
  std::vector<kv_compare> conditions;
  std::vector<kv_operation> on_success;
  std::vector<kv_operation> on_failure;
};

// What one operation answered: the pairs of a read, or a nested result.
struct kv_operation_result {
  std::vector<kv_pair> pairs;
  bool succeeded = false;
  std::vector<kv_operation_result> nested;
};

struct kv_transaction_result {
  // Whether the conditions held.
  bool succeeded = false;
  // The service's revision after the transaction.
  std::int64_t revision = 0;
  std::vector<kv_operation_result> results;
};

kv_operation Put(std::string key, std::string value, std::int64_t lease = 0);
kv_operation Get(std::string key);
kv_operation GetPrefix(std::string prefix, std::int64_t min_mod_revision = 0);
kv_operation Delete(std::string key);
kv_operation Nested(kv_transaction transaction);
kv_compare Absent(std::string key);
kv_compare Unchanged(std::string key, std::int64_t mod_revision);
kv_compare CreatedAt(std::string key, std::int64_t create_revision);

// One key that changed.
struct kv_event {
  // Deleted keys have no value.
  kv_pair pair;
  bool deleted = false;
};

// What a watch saw.
struct kv_changes {
  // The service's revision after the last event; 0 if nothing changed within
  // the time that the watch was given.
  std::int64_t revision = 0;
  // In the order of their revisions.
  std::vector<kv_event> events;
};

// An answer that keeps coming is waited for so long in all: 1 MB, the largest
// value, takes 1.2 s in base64 on a link of 10 Mbit/s that carries nothing
// else, and a start reads it while eight peers may be given copies.
inline constexpr std::chrono::seconds kLongestAnswer{10};

// What one client waits for and how long.
struct kv_client_settings {
  base::endpoint service;
  // Until an answer begins, and between any two parts of it. With a limit on
  // the whole instead, hosts on narrow links took the service for silent while
  // it was answering them, and asked for everything again.
  std::chrono::microseconds timeout = std::chrono::seconds(2);
  // What all responses hold that are being read, in bytes.
  std::int64_t response_bytes = 64 * 1024 * 1024;
};

// Calls of one process to a key-value service, whatever its dialect. Errors:
// kPlatformUnavailable with outcome `not_run` if the call certainly had no
// effect, kPlatformAnswerLost with `unknown` otherwise. Lives on the thread of
// its io_context.
class kv_client {
 public:
  virtual ~kv_client() = default;

  virtual boost::asio::awaitable<base::result<kv_transaction_result>> Run(
      kv_transaction transaction) = 0;

  // A lease of the given length; its id.
  virtual boost::asio::awaitable<base::result<std::int64_t>> GrantLease(
      std::chrono::seconds length) = 0;
  // Renews a lease; the error is kLeaseLost if it is gone.
  virtual boost::asio::awaitable<base::result<void>> KeepLease(
      std::int64_t lease) = 0;
  virtual boost::asio::awaitable<base::result<void>> RevokeLease(
      std::int64_t lease) = 0;

  // Waits until a key under `prefix` changes at or after revision `from`.
  // `longest` bounds the wait. The error is kHistoryGone if the service no
  // longer has the changes since `from`: everything must be read again.
  virtual boost::asio::awaitable<base::result<kv_changes>> AwaitChange(
      std::string prefix,
      std::int64_t from,
      std::chrono::microseconds longest) = 0;

  // When any part of an answer to a reading or a watch last came; nothing if
  // none did. That one is on its way shows that the service answers.
  virtual std::optional<base::time_point> HeardAt() const = 0;

  // Bytes of all calls so far.
  virtual std::int64_t bytes() const = 0;
};

// What a failed HTTP call to a key-value service means to its caller.
base::error AsPlatformError(const base::error& from);

}  // namespace valeledge::store

#endif  // VALELEDGE_STORE_KV_CLIENT_H_
