// SPDX-License-Identifier: MIT
// The table revision in force in this process.
#ifndef VALELEDGE_TABLE_TABLE_STORE_H_
#define VALELEDGE_TABLE_TABLE_STORE_H_

#include <functional>
#include <mutex>
#include <vector>

#include "base/error.h"
#include "table/snapshot.h"

namespace valeledge::table {

// What became of a delta.
enum class apply_result { kApplied, kNotNewer, kTooFarAhead, kBroken };

// Holds the newest snapshot. It is only ever replaced by one with a higher
// revision. Safe from any thread.
class table_store {
 public:
  table_store();

  snapshot_pointer Get() const;

  // Applies a delta that holds all rows changed after `since`; refused when
  // this process is older than `since`.
  apply_result Apply(const wire::table_delta& delta, std::int64_t since);

  // Called after each change, on the thread that applied it. Register before
  // the first Apply.
  void OnChange(std::function<void(const snapshot_pointer&)> listener);

 private:
  mutable std::mutex mutex_;
  snapshot_pointer current_;
  std::vector<std::function<void(const snapshot_pointer&)>> listeners_;
};

}  // namespace valeledge::table

#endif  // VALELEDGE_TABLE_TABLE_STORE_H_
