// SPDX-License-Identifier: MIT
#include "store/table_reader.h"

#include <utility>

#include "base/json.h"
#include "store/constants.h"
#include "table/snapshot.h"

namespace valeledge::store {

namespace asio = boost::asio;

asio::awaitable<base::result<table_reading>> ReadTable(kv_client& service,
                                                       std::int64_t from) {
  kv_transaction transaction;
  transaction.on_success.push_back(Get(std::string(kRevisionKey)));
  transaction.on_success.push_back(GetPrefix(std::string(kRowPrefix), from));
  auto answer = co_await service.Run(std::move(transaction));
  if (!answer)
    co_return tl::make_unexpected(answer.error());
  if (answer->results.size() != 2) {
    co_return base::Unknown(base::result_code::kPlatformAnswerLost,
                            "the table's answer lacks a part");
  }
  table_reading reading;
  reading.service_revision = answer->revision;
  for (const kv_pair& pair : answer->results[0].pairs) {
    const auto object = base::ParseJsonObject(pair.value);
    if (object)
      reading.delta.revision = base::IntegerField(*object, "revision");
    reading.revision_key_modified = pair.mod_revision;
  }
  for (const kv_pair& pair : answer->results[1].pairs) {
    const auto decoded = table::DecodeStoredRow(pair.value);
    if (!decoded)
      co_return tl::make_unexpected(decoded.error());
    wire::table_row row;
    row.key = pair.key.substr(kRowPrefix.size());
    row.revision = decoded->revision;
    row.deleted = decoded->deleted;
    row.json = pair.value;
    reading.delta.rows.push_back(std::move(row));
  }
  co_return reading;
}

}  // namespace valeledge::store
