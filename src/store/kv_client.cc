// SPDX-License-Identifier: MIT
#include "store/kv_client.h"

#include <utility>

namespace valeledge::store {

using base::result_code;

base::error AsPlatformError(const base::error& from) {
  const bool lost = from.what_ran == base::outcome::kUnknown;
  return {lost ? result_code::kPlatformAnswerLost
               : result_code::kPlatformUnavailable,
          from.what_ran, from.message, std::nullopt};
}

kv_operation Put(std::string key, std::string value, std::int64_t lease) {
  return {kv_operation::kind::kPut,
          std::move(key),
          std::move(value),
          lease,
          0,
          nullptr};
}

kv_operation Get(std::string key) {
  return {kv_operation::kind::kGet, std::move(key), {}, 0, 0, nullptr};
}

kv_operation GetPrefix(std::string prefix, std::int64_t min_mod_revision) {
  return {kv_operation::kind::kGetPrefix,
          std::move(prefix),
          {},
          0,
          min_mod_revision,
          nullptr};
}

kv_operation Delete(std::string key) {
  return {kv_operation::kind::kDelete, std::move(key), {}, 0, 0, nullptr};
}

kv_operation Nested(kv_transaction transaction) {
  return {kv_operation::kind::kTransaction,
          {},
          {},
          0,
          0,
          std::make_shared<kv_transaction>(std::move(transaction))};
}

kv_compare Absent(std::string key) {
  return {std::move(key), kv_compare::target::kCreateRevision, 0};
}

kv_compare Unchanged(std::string key, std::int64_t mod_revision) {
  return {std::move(key), kv_compare::target::kModRevision, mod_revision};
}

kv_compare CreatedAt(std::string key, std::int64_t create_revision) {
  return {std::move(key), kv_compare::target::kCreateRevision, create_revision};
}

}  // namespace valeledge::store
