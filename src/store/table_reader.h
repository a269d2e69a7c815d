// SPDX-License-Identifier: MIT
// Reads the table from the platform's service, whole or what has changed.
#ifndef VALELEDGE_STORE_TABLE_READER_H_
#define VALELEDGE_STORE_TABLE_READER_H_

#include <boost/asio/awaitable.hpp>

#include "base/error.h"
#include "store/kv_client.h"
#include "wire/generated/messages_types.h"

namespace valeledge::store {

// What one read found.
struct table_reading {
  wire::table_delta delta;
  // The service's own revision at the read; the next read may start after it.
  std::int64_t service_revision = 0;
  // The revision key's own modification, for a compare-and-swap on it.
  std::int64_t revision_key_modified = 0;
};

// Reads, in one transaction, the table's revision and every row that the
// service changed at `from` or later (0: all rows).
boost::asio::awaitable<base::result<table_reading>> ReadTable(
    kv_client& service,
    std::int64_t from);

}  // namespace valeledge::store

#endif  // VALELEDGE_STORE_TABLE_READER_H_
