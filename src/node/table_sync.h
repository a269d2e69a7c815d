// SPDX-License-Identifier: MIT
// Brings newer table revisions into this process: from the platform where it
// watches, from other processes otherwise.
#ifndef VALELEDGE_NODE_TABLE_SYNC_H_
#define VALELEDGE_NODE_TABLE_SYNC_H_

#include <atomic>
#include <chrono>
#include <cstdint>

#include <boost/asio/awaitable.hpp>

#include "base/endpoint.h"
#include "decisions/snapshot_fetches.h"

namespace valeledge::node {

class node;

// Runs on both threads of its node.
class table_sync {
 public:
  explicit table_sync(node& owner);

  // Starts the watch and the search for a first table.
  void Start();

  // Fetches what is newer at a peer; on the peers' thread.
  void FetchFrom(const base::endpoint& peer);

  // Whether this process may serve with the table it has.
  bool HasTable() const { return has_table_.load(); }
  // Whether this process watches the platform's table now.
  bool IsWatcher() const;

 private:
  // Fetches what is newer at a peer that is noted as asked.
  boost::asio::awaitable<void> Fetch(base::endpoint peer);
  boost::asio::awaitable<void> FindFirstTable();
  boost::asio::awaitable<void> WatchLoop();
  boost::asio::awaitable<bool> ReadPlatform();
  void NotePlatform(bool answered);

  node& owner_;
  std::atomic<bool> has_table_ = false;
  decisions::snapshot_fetches fetches_;
  // The platform's revision that the next read starts from.
  std::int64_t next_read_ = 0;
  std::int64_t next_watch_ = 1;
  bool platform_down_ = false;
};

}  // namespace valeledge::node

#endif  // VALELEDGE_NODE_TABLE_SYNC_H_
