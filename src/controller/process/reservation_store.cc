// SPDX-License-Identifier: MIT
#include "controller/process/reservation_store.h"

#include <utility>

#include "store/constants.h"

namespace valeledge::controller {

namespace {

namespace asio = boost::asio;
using base::result_code;

std::string KeyOf(const std::string& server) {
  return std::string(store::kReservationPrefix) + server;
}

}  // namespace

reservation_store::reservation_store(base::duty& platform,
                                     store::kv_client& service)
    : platform_(platform), service_(service) {}

asio::awaitable<base::result<store::kv_transaction_result>>
reservation_store::Run(store::kv_transaction transaction) {
  using result_type = base::result<store::kv_transaction_result>;
  auto work = [this, transaction = std::move(
                         transaction)]() -> asio::awaitable<result_type> {
    co_return co_await service_.Run(transaction);
  };
  auto result = co_await base::RunOn<result_type>(platform_, std::move(work));
  if (!result)
    co_return base::NotRun(result_code::kRingFull,
                           "the queue of the platform thread is full");
  co_return std::move(*result);
}

asio::awaitable<base::result<void>> reservation_store::Read(std::int64_t term) {
  store::kv_transaction query;
  query.conditions.push_back(
      store::CreatedAt(std::string(store::kLeaderKey), term));
  query.on_success.push_back(
      store::GetPrefix(std::string(store::kReservationPrefix)));
  const auto read_result = co_await Run(std::move(query));
  if (!read_result)
    co_return tl::make_unexpected(read_result.error());
  if (!read_result->succeeded)
    co_return base::NotRun(result_code::kLeaseLost,
                           "the controller lease was lost");
  std::map<std::string, stored_reservation> records;
  for (const store::kv_operation_result& result : read_result->results) {
    for (const store::kv_pair& pair : result.pairs) {
      auto record = decisions::DecodeReservation(pair.value);
      if (!record)
        co_return tl::make_unexpected(record.error());
      const std::string server = record->server;
      records[server] = {std::move(*record), pair.mod_revision};
    }
  }
  records_ = std::move(records);
  term_ = term;
  co_return base::result<void>();
}

asio::awaitable<base::result<void>> reservation_store::Write(
    decisions::server_reservation record) {
  const std::string key = KeyOf(record.server);
  const std::string leader(store::kLeaderKey);
  const std::int64_t mod_revision = records_[record.server].mod_revision;
  const std::string value = decisions::EncodeReservation(record);
  store::kv_transaction change;
  change.conditions.push_back(store::CreatedAt(leader, term_));
  change.conditions.push_back(store::Unchanged(key, mod_revision));
  change.on_success.push_back(store::Put(key, value));
  change.on_failure.push_back(store::Get(leader));
  change.on_failure.push_back(store::Get(key));
  const auto written = co_await Run(std::move(change));
  if (!written)
    co_return tl::make_unexpected(written.error());
  stored_reservation& stored = records_[record.server];
  if (written->succeeded) {
    stored = {std::move(record), written->revision};
    co_return base::result<void>();
  }
  const bool complete = written->results.size() == 2;
  const auto& holder = written->results.front().pairs;
  if (!complete || holder.empty() || holder.front().create_revision != term_)
    co_return base::NotRun(result_code::kLeaseLost,
                           "the controller lease was lost");
  // The stored record may be an earlier write by this process whose response
  // was lost.
  const auto& pairs = written->results[1].pairs;
  if (!pairs.empty()) {
    auto present = decisions::DecodeReservation(pairs.front().value);
    if (present)
      stored = {std::move(*present), pairs.front().mod_revision};
  }
  co_return base::NotRun(
      result_code::kRevisionConflict,
      "the reservation of " + record.server + " was changed concurrently");
}

}  // namespace valeledge::controller
