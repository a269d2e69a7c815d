// SPDX-License-Identifier: MIT
#include "tools/standin/key_value_store.h"

#include <algorithm>

#include "base/json.h"
#include "store/base64.h"

namespace valeledge::standin {

namespace {

namespace json = boost::json;
using store::DecodeBase64;
using store::EncodeBase64;

std::string Bytes(const json::object& object, std::string_view field) {
  return DecodeBase64(base::StringField(object, field)).value_or("");
}

// The keys that a transaction may put, whichever branch it takes.
void CollectPuts(const json::object& transaction,
                 std::string_view branch,
                 std::vector<std::string>& keys) {
  const json::array* operations = base::ArrayField(transaction, branch);
  if (operations == nullptr)
    return;
  for (const json::value& each : *operations) {
    const json::object& operation = each.get_object();
    if (const auto* put = base::ObjectField(operation, "request_put"))
      keys.push_back(Bytes(*put, "key"));
    if (const auto* nested = base::ObjectField(operation, "request_txn"))
      CollectPuts(*nested, branch, keys);
  }
}

bool PutsTwice(const json::object& transaction) {
  for (const std::string_view branch : {"success", "failure"}) {
    std::vector<std::string> keys;
    CollectPuts(transaction, branch, keys);
    std::ranges::sort(keys);
    if (std::ranges::adjacent_find(keys) != keys.end())
      return true;
  }
  return false;
}

}  // namespace

bool key_value_store::Holds(const json::object& compare) const {
  const auto found = entries_.find(Bytes(compare, "key"));
  const entry none;
  const entry& present = found == entries_.end() ? none : found->second;
  if (base::StringField(compare, "target") == "CREATE")
    return present.created == base::IntegerField(compare, "create_revision");
  return present.modified == base::IntegerField(compare, "mod_revision");
}

json::object key_value_store::Read(const json::object& range) const {
  const std::string key = Bytes(range, "key");
  const std::string end = Bytes(range, "range_end");
  const std::int64_t oldest = base::IntegerField(range, "min_mod_revision");
  json::array pairs;
  for (auto each = entries_.lower_bound(key); each != entries_.end(); ++each) {
    const bool inside = end.empty() ? each->first == key : each->first < end;
    if (!inside)
      break;
    if (each->second.modified < oldest)
      continue;
    pairs.push_back({{"key", EncodeBase64(each->first)},
                     {"value", EncodeBase64(each->second.value)},
                     {"create_revision", std::to_string(each->second.created)},
                     {"mod_revision", std::to_string(each->second.modified)}});
  }
  json::object response;
  if (!pairs.empty())
    response["kvs"] = std::move(pairs);
  return {{"response_range", std::move(response)}};
}

void key_value_store::Remove(const std::string& key) {
  if (entries_.erase(key) != 0)
    changes_.emplace_back(revision_, key);
}

json::object key_value_store::RunOperation(const json::object& operation,
                                           bool* changed) {
  if (const auto* put = base::ObjectField(operation, "request_put")) {
    const std::string key = Bytes(*put, "key");
    entry& present = entries_[key];
    // The transaction as a whole makes the next revision.
    present.modified = revision_ + 1;
    if (present.created == 0)
      present.created = revision_ + 1;
    present.value = Bytes(*put, "value");
    present.lease = base::IntegerField(*put, "lease");
    changes_.emplace_back(revision_ + 1, key);
    *changed = true;
    return {{"response_put", json::object()}};
  }
  if (const auto* range =
          base::ObjectField(operation, "request_delete_range")) {
    const std::string key = Bytes(*range, "key");
    if (entries_.erase(key) != 0) {
      changes_.emplace_back(revision_ + 1, key);
      *changed = true;
    }
    return {{"response_delete_range", json::object()}};
  }
  if (const auto* nested = base::ObjectField(operation, "request_txn"))
    return {{"response_txn", Transact(*nested, changed)}};
  return Read(*base::ObjectField(operation, "request_range"));
}

json::object key_value_store::Transact(const json::object& transaction,
                                       bool* changed) {
  bool holds = true;
  if (const auto* compares = base::ArrayField(transaction, "compare")) {
    for (const json::value& each : *compares)
      holds = holds && Holds(each.get_object());
  }
  json::array responses;
  const auto* operations =
      base::ArrayField(transaction, holds ? "success" : "failure");
  if (operations != nullptr) {
    for (const json::value& each : *operations)
      responses.push_back(RunOperation(each.get_object(), changed));
  }
  return {{"succeeded", holds}, {"responses", std::move(responses)}};
}

std::optional<json::object> key_value_store::RunTransaction(
    const json::object& transaction) {
  if (PutsTwice(transaction))
    return std::nullopt;
  bool changed = false;
  json::object response = Transact(transaction, &changed);
  if (changed)
    ++revision_;
  response["header"] = {{"revision", std::to_string(revision_)}};
  return response;
}

std::int64_t key_value_store::GrantLease(std::chrono::seconds length,
                                         base::time_point now) {
  leases_[++next_lease_] = {length, now + length};
  return next_lease_;
}

std::int64_t key_value_store::KeepLease(std::int64_t id, base::time_point now) {
  const auto found = leases_.find(id);
  if (found == leases_.end())
    return 0;
  found->second.until = now + found->second.length;
  return found->second.length.count();
}

void key_value_store::RevokeLease(std::int64_t id) {
  leases_.erase(id);
  std::vector<std::string> gone;
  for (const auto& [key, each] : entries_) {
    if (each.lease == id)
      gone.push_back(key);
  }
  if (gone.empty())
    return;
  ++revision_;
  for (const std::string& key : gone)
    Remove(key);
}

void key_value_store::Expire(base::time_point now) {
  std::vector<std::int64_t> lapsed;
  for (const auto& [id, each] : leases_) {
    if (each.until <= now)
      lapsed.push_back(id);
  }
  for (const std::int64_t id : lapsed)
    RevokeLease(id);
}

std::optional<std::int64_t> key_value_store::FirstChange(
    const std::string& key,
    const std::string& end,
    std::int64_t from) const {
  auto each = std::ranges::lower_bound(
      changes_, from, {}, [](const auto& change) { return change.first; });
  for (; each != changes_.end(); ++each) {
    const bool inside = end.empty() ? each->second == key
                                    : each->second >= key && each->second < end;
    if (inside)
      return each->first;
  }
  return std::nullopt;
}

void key_value_store::Save() {
  saved_ = content{entries_, revision_};
}

bool key_value_store::Restore() {
  if (!saved_)
    return false;
  entries_ = saved_->entries;
  revision_ = saved_->revision;
  std::erase_if(changes_,
                [this](const auto& each) { return each.first > revision_; });
  return true;
}

}  // namespace valeledge::standin
