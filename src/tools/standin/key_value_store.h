// SPDX-License-Identifier: MIT
// The subset of etcd's v3 JSON interface that the system uses, in memory.
#ifndef VALELEDGE_TOOLS_STANDIN_KEY_VALUE_STORE_H_
#define VALELEDGE_TOOLS_STANDIN_KEY_VALUE_STORE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/json.hpp>

#include "base/duration.h"

namespace valeledge::standin {

// Keys with revisions and leases. Time is passed in.
class key_value_store {
 public:
  // Runs a transaction written as etcd's JSON; nothing for one that etcd
  // would refuse (two puts of one key).
  std::optional<boost::json::object> RunTransaction(
      const boost::json::object& transaction);

  std::int64_t GrantLease(std::chrono::seconds length, base::time_point now);
  // Seconds left after the renewal; 0 if the lease is gone.
  std::int64_t KeepLease(std::int64_t lease, base::time_point now);
  void RevokeLease(std::int64_t lease);
  // Removes the keys of leases that have lapsed.
  void Expire(base::time_point now);

  // The first change at or after `from` of a key in [key, end).
  std::optional<std::int64_t> FirstChange(const std::string& key,
                                          const std::string& end,
                                          std::int64_t from) const;
  std::int64_t revision() const { return revision_; }

  // Everything as it is now, to go back to with Restore.
  void Save();
  bool Restore();

 private:
  struct entry {
    std::string value;
    std::int64_t created = 0;
    std::int64_t modified = 0;
    std::int64_t lease = 0;
  };
  struct lease {
    std::chrono::seconds length;
    base::time_point until;
  };
  struct content {
    std::map<std::string, entry> entries;
    std::int64_t revision = 1;
  };

  bool Holds(const boost::json::object& compare) const;
  boost::json::object RunOperation(const boost::json::object& operation,
                                   bool* changed);
  boost::json::object Transact(const boost::json::object& transaction,
                               bool* changed);
  boost::json::object Read(const boost::json::object& range) const;
  void Remove(const std::string& key);

  std::map<std::string, entry> entries_;
  std::int64_t revision_ = 1;
  std::map<std::int64_t, lease> leases_;
  std::int64_t next_lease_ = 1000;
  std::vector<std::pair<std::int64_t, std::string>> changes_;
  std::optional<content> saved_;
};

}  // namespace valeledge::standin

#endif  // VALELEDGE_TOOLS_STANDIN_KEY_VALUE_STORE_H_
