// SPDX-License-Identifier: MIT
#include "store/table_edit.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <random>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <boost/json.hpp>

#include "base/duration.h"
#include "base/json.h"
#include "store/constants.h"
#include "store/table_reader.h"
#include "table/columns.h"
#include "table/validation.h"

namespace valeledge::store {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using base::result_code;

std::string HistoryKey(std::int64_t revision) {
  std::array<char, 20> digits;
  snprintf(digits.data(), digits.size(), "%015lld",
           static_cast<long long>(revision));
  return std::string(kHistoryPrefix) + digits.data();
}

std::string Key(const row_edit& edit) {
  return std::string(ToString(edit.kind)) + "/" + edit.name;
}

std::string RowJson(const table::stored_row* stored) {
  if (stored == nullptr || stored->deleted)
    return {};
  return json::serialize(table::ToJson(stored->value));
}

const table::stored_row* Stored(const table::snapshot& from,
                                const std::string& key) {
  const auto found = from.rows.find(key);
  return found == from.rows.end() ? nullptr : &found->second;
}

base::result<table::stored_row> EditRow(const table::snapshot& base_table,
                                        const row_edit& edit,
                                        std::int64_t revision) {
  const table::stored_row* before = Stored(base_table, Key(edit));
  const bool exists = before != nullptr && !before->deleted;
  table::stored_row after;
  if (exists)
    after = *before;
  after.value.kind = edit.kind;
  after.value.name = edit.name;
  after.revision = revision;
  after.deleted = edit.remove;
  if (edit.remove && !exists) {
    return base::NotRun(result_code::kTableInvalid,
                        "there is no row " + Key(edit) + " to remove");
  }
  for (const auto& [name, text] : edit.columns) {
    const auto set = table::SetColumn(after.value, name, text);
    if (!set)
      return tl::make_unexpected(set.error());
  }
  return after;
}

// The edits on top of a table, as they would be stored.
struct prepared_change {
  std::shared_ptr<table::snapshot> table;
  std::vector<std::string> keys;
};

base::result<prepared_change> Prepare(const table::snapshot& base_table,
                                      const table_change& change) {
  prepared_change out;
  out.table = std::make_shared<table::snapshot>(base_table);
  out.table->revision = base_table.revision + 1;
  for (const row_edit& edit : change.edits) {
    auto after = EditRow(*out.table, edit, out.table->revision);
    if (!after)
      return tl::make_unexpected(after.error());
    // Reading its own JSON back checks the name as well.
    const auto checked = table::RowFromJson(table::ToJson(after->value));
    if (!checked)
      return tl::make_unexpected(checked.error());
    out.keys.push_back(Key(edit));
    out.table->rows[Key(edit)] = std::move(*after);
  }
  out.table->BuildIndexes();
  const auto faults = table::CheckTable(*out.table);
  if (!faults.empty()) {
    std::string message;
    for (const std::string& fault : faults)
      message.append(message.empty() ? "" : "; ").append(fault);
    return base::NotRun(result_code::kTableInvalid, message);
  }
  return out;
}

std::string EncodeHistory(const prepared_change& prepared,
                          const table::snapshot& base_table,
                          const table_change& change) {
  json::array edits;
  for (const std::string& key : prepared.keys) {
    edits.push_back({{"key", key},
                     {"before", RowJson(Stored(base_table, key))},
                     {"after", RowJson(Stored(*prepared.table, key))}});
  }
  json::object entry;
  entry["revision"] = prepared.table->revision;
  entry["change"] = change.id;
  entry["author"] = change.author;
  entry["time"] = base::FormatNow();
  entry["edits"] = std::move(edits);
  return json::serialize(entry);
}

kv_transaction EncodeChange(const prepared_change& prepared,
                            const table_view& view,
                            const table_change& change) {
  const std::int64_t revision = prepared.table->revision;
  kv_transaction transaction;
  transaction.conditions.push_back(
      Unchanged(std::string(kRevisionKey), view.revision_key_modified));
  const json::object marker = {{"revision", revision}, {"change", change.id}};
  auto& puts = transaction.on_success;
  puts.push_back(Put(std::string(kRevisionKey), json::serialize(marker)));
  std::vector<std::string> keys = prepared.keys;
  std::ranges::sort(keys);
  keys.erase(std::ranges::unique(keys).begin(), keys.end());
  for (const std::string& key : keys) {
    puts.push_back(Put(std::string(kRowPrefix) + key,
                       EncodeStoredRow(prepared.table->rows.at(key))));
  }
  puts.push_back(
      Put(HistoryKey(revision), EncodeHistory(prepared, *view.table, change)));
  if (revision > kHistoryLength)
    puts.push_back(Delete(HistoryKey(revision - kHistoryLength)));
  return transaction;
}

history_entry DecodeHistory(const json::object& object) {
  history_entry entry;
  entry.revision = base::IntegerField(object, "revision");
  entry.change = base::StringField(object, "change");
  entry.author = base::StringField(object, "author");
  entry.time = base::StringField(object, "time");
  const json::array* edits = base::ArrayField(object, "edits");
  if (edits == nullptr)
    return entry;
  for (const json::value& each : *edits) {
    if (!each.is_object())
      continue;
    const json::object& fields = each.get_object();
    entry.edits.push_back({base::StringField(fields, "key"),
                           base::StringField(fields, "before"),
                           base::StringField(fields, "after")});
  }
  return entry;
}

// The revision at which a change was accepted; 0 if it was not.
asio::awaitable<base::result<std::int64_t>> FindChange(kv_client& service,
                                                       std::string id) {
  const auto history = co_await ReadHistory(service, kHistoryLength);
  if (!history)
    co_return tl::make_unexpected(history.error());
  const auto found = std::ranges::find(*history, id, &history_entry::change);
  co_return found == history->end() ? 0 : found->revision;
}

base::result<void> CheckConflict(const table::snapshot& now,
                                 const table_change& change,
                                 std::int64_t seen) {
  for (const row_edit& edit : change.edits) {
    const table::stored_row* stored = Stored(now, Key(edit));
    if (stored == nullptr || stored->revision <= seen)
      continue;
    json::object wanted;
    for (const auto& [name, text] : edit.columns)
      wanted[name] = text;
    return base::NotRun(
        result_code::kRevisionConflict,
        Key(edit) + " was changed at revision " +
            std::to_string(stored->revision) + ", after the revision " +
            std::to_string(seen) + " that this change was made for; there: " +
            (stored->deleted ? "(removed)" : RowJson(stored)) + "; wanted: " +
            (edit.remove ? "(removed)" : json::serialize(wanted)));
  }
  return {};
}

}  // namespace

asio::awaitable<base::result<table_view>> ViewTable(kv_client& service) {
  auto reading = co_await ReadTable(service, 0);
  if (!reading)
    co_return tl::make_unexpected(reading.error());
  auto applied = table::ApplyDelta(table::snapshot(), reading->delta);
  if (!applied)
    co_return tl::make_unexpected(applied.error());
  co_return table_view{*applied, reading->revision_key_modified};
}

asio::awaitable<base::result<std::int64_t>> ApplyChange(kv_client& service,
                                                        table_change change) {
  std::int64_t seen = change.seen_revision;
  // Once an answer was lost, its write may take effect at any later time.
  std::optional<base::error> lost;
  std::mt19937_64 random{std::random_device{}()};
  asio::steady_timer timer(co_await asio::this_coro::executor);
  for (int attempt = 0; attempt < kEditAttempts; ++attempt) {
    // The more operators race, the further apart they try.
    const auto bound = kEditPause * std::min(attempt, kEditPauseSteps);
    std::uniform_int_distribution<std::int64_t> any(0, bound.count());
    timer.expires_after(std::chrono::microseconds(any(random)));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    const auto view = co_await ViewTable(service);
    if (!view)
      co_return tl::make_unexpected(lost.value_or(view.error()));
    if (lost) {
      // After the view: what the view shows of our own write is found here.
      const auto found = co_await FindChange(service, change.id);
      if (!found)
        co_return tl::make_unexpected(*lost);
      if (*found != 0)
        co_return *found;
    }
    if (seen == 0)
      seen = view->table->revision;
    const auto clean = CheckConflict(*view->table, change, seen);
    if (!clean)
      co_return tl::make_unexpected(clean.error());
    const auto prepared = Prepare(*view->table, change);
    if (!prepared)
      co_return tl::make_unexpected(prepared.error());
    const auto written =
        co_await service.Run(EncodeChange(*prepared, *view, change));
    if (written && written->succeeded)
      co_return prepared->table->revision;
    if (!written && written.error().what_ran == base::outcome::kNotRun)
      co_return tl::make_unexpected(lost.value_or(written.error()));
    if (!written)
      lost = written.error();
  }
  if (lost)
    co_return tl::make_unexpected(*lost);
  co_return base::NotRun(result_code::kRevisionConflict,
                         "other operators changed the table each time; "
                         "nothing was changed, try again");
}

asio::awaitable<base::result<std::vector<history_entry>>> ReadHistory(
    kv_client& service,
    std::size_t count) {
  kv_transaction transaction;
  transaction.on_success.push_back(GetPrefix(std::string(kHistoryPrefix)));
  const auto answer = co_await service.Run(std::move(transaction));
  if (!answer)
    co_return tl::make_unexpected(answer.error());
  std::vector<history_entry> entries;
  for (const kv_operation_result& result : answer->results) {
    for (const kv_pair& pair : result.pairs) {
      if (const auto object = base::ParseJsonObject(pair.value))
        entries.push_back(DecodeHistory(*object));
    }
  }
  if (entries.size() > count)
    entries.erase(entries.begin(), entries.end() - static_cast<long>(count));
  co_return entries;
}

}  // namespace valeledge::store
