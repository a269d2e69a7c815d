// SPDX-License-Identifier: MIT
#include "host/process/mirrored_keys.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "wire/codec.h"
#include "wire/packing.h"

namespace valeledge::host {

namespace {

// Number of deletions that are kept for other hosts.
constexpr std::size_t kMaxDeletions = 500;

// Sufficient for the largest value of the store, 1 MB, and for growth.
constexpr std::size_t kMaxValueBytes = wire::kMaxFrameBytes;

// Smaller snapshots are not compressed as a whole, since they fit into one
// network segment.
constexpr std::size_t kMinCompressedBytes = 1400;

// Sufficient for all keys of the largest planned fleet, some 8,000 servers with
// 400 bytes each, and for large values.
constexpr std::size_t kMaxSnapshotBytes = 16 * 1024 * 1024;

// Compresses a snapshot as a whole if that makes it smaller.
wire::mirror_copy CompressSnapshot(wire::mirror_copy snapshot) {
  const auto compressed =
      wire::Pack(wire::Encode(snapshot), kMinCompressedBytes);
  if (!compressed)
    return snapshot;
  wire::mirror_copy out;
  out.revision = snapshot.revision;
  out.whole = snapshot.whole;
  out.__set_packed(*compressed);
  return out;
}

// Returns nothing if the snapshot of another host cannot be decoded.
std::optional<wire::mirror_copy> DecompressSnapshot(
    const wire::mirror_copy& snapshot) {
  if (!snapshot.__isset.packed)
    return snapshot;
  const auto bytes = wire::Unpack(snapshot.packed, kMaxSnapshotBytes);
  return bytes ? wire::DecodeMirrorCopy(*bytes) : std::nullopt;
}

// Returns nothing if the value from another host cannot be decoded.
std::optional<mirrored_value> DecodeValue(const wire::mirror_entry& entry) {
  mirrored_value value;
  value.revision = entry.revision;
  if (!entry.packed) {
    value.value = entry.value;
    return value;
  }
  auto decompressed = wire::Unpack(entry.value, kMaxValueBytes);
  if (!decompressed)
    return std::nullopt;
  value.value = std::move(*decompressed);
  value.compressed = entry.value;
  value.compression_tried = true;
  return value;
}

void EncodeValue(mirrored_value& value,
                 bool compressed,
                 wire::mirror_entry& entry) {
  if (compressed && !std::exchange(value.compression_tried, true))
    value.compressed = wire::Pack(value.value);
  if (compressed && value.compressed)
    entry.__set_packed(true);
  entry.value =
      compressed && value.compressed ? *value.compressed : value.value;
}

// Returns since when the sender of changes has seen every change. A sender of
// an earlier release does not state it.
std::int64_t CompleteSince(const wire::mirror_copy& changes) {
  return changes.__isset.complete_since ? changes.complete_since
                                        : changes.revision;
}

}  // namespace

mirrored_keys::mirrored_keys(mirrored_keys_events events)
    : events_(std::move(events)) {}

std::optional<std::string> mirrored_keys::Value(const std::string& key) const {
  const auto found = values_.find(key);
  if (found == values_.end())
    return std::nullopt;
  return found->second.value;
}

void mirrored_keys::Advance(std::int64_t revision) {
  const std::int64_t former = history_.revision;
  decisions::RecordChanges(history_, revision);
  AnnounceSince(former);
}

void mirrored_keys::AnnounceSince(std::int64_t former) {
  if (history_.revision > former)
    events_.advanced(history_.revision);
}

void mirrored_keys::Put(const std::string& key,
                        mirrored_value value,
                        std::int64_t response_revision) {
  // A large response may take a second to be received, while peers send newer
  // updates. Everything in it that still exists is already known here. Without
  // this check, removed servers reappeared for 12 s at 12 of 63 hosts.
  const bool late =
      response_revision < revision() && value.revision <= revision();
  if (late && !values_.contains(key))
    return;
  mirrored_value& known = values_[key];
  if (value.revision <= known.revision)
    return;
  known = std::move(value);
  events_.put(key, known.value);
}

void mirrored_keys::Remove(const std::string& key,
                           std::int64_t revision,
                           bool may_have_lapsed) {
  const auto known = values_.find(key);
  const bool exists = known != values_.end();
  if (exists && known->second.revision > revision)
    return;
  const auto lapsed_until =
      may_have_lapsed ? events_.lapsed_until() : std::nullopt;
  // Other hosts may have the key even if this one does not.
  KeepDeletion(key, {revision, lapsed_until.has_value()});
  if (!exists)
    return;
  values_.erase(known);
  events_.removed(key, lapsed_until);
}

void mirrored_keys::KeepDeletion(const std::string& key,
                                 const mirrored_deletion& deletion) {
  mirrored_deletion& kept = deletions_[key];
  if (deletion.revision > kept.revision)
    kept = deletion;
  if (deletions_.size() <= kMaxDeletions)
    return;
  const auto oldest = std::ranges::min_element(
      deletions_, {}, [](const auto& each) { return each.second.revision; });
  decisions::DiscardChanges(history_, oldest->second.revision);
  deletions_.erase(oldest);
}

void mirrored_keys::Replace(std::map<std::string, mirrored_value> values,
                            std::int64_t revision) {
  std::vector<std::string> missing;
  for (const auto& [key, value] : values_) {
    if (!values.contains(key) && value.revision <= revision)
      missing.push_back(key);
  }
  for (const std::string& key : missing)
    Remove(key, revision, true);
  for (auto& [key, value] : values)
    Put(key, std::move(value), revision);
  const std::int64_t former = history_.revision;
  decisions::RecordAllKeys(history_, revision);
  AnnounceSince(former);
}

wire::mirror_copy mirrored_keys::SnapshotFor(
    const wire::mirror_request& request) {
  auto snapshot = SnapshotSince(request.since, request.takes_packed);
  return request.takes_packed_copy ? CompressSnapshot(std::move(snapshot))
                                   : snapshot;
}

wire::mirror_copy mirrored_keys::SnapshotSince(std::int64_t revision,
                                               bool compressed) {
  wire::mirror_copy snapshot;
  snapshot.revision = history_.revision;
  snapshot.whole =
      revision == 0 || !decisions::HasChangesSince(history_, revision);
  for (auto& [key, value] : values_) {
    if (!snapshot.whole && value.revision <= revision)
      continue;
    wire::mirror_entry entry;
    entry.key = key;
    EncodeValue(value, compressed, entry);
    entry.revision = value.revision;
    snapshot.entries.push_back(std::move(entry));
  }
  if (snapshot.whole)
    return snapshot;
  snapshot.__set_since(revision);
  snapshot.__set_complete_since(decisions::CompleteSince(history_));
  for (const auto& [key, deletion] : deletions_) {
    if (deletion.revision <= revision)
      continue;
    wire::mirror_entry entry;
    entry.key = key;
    entry.revision = deletion.revision;
    entry.lapsed = deletion.lapsed;
    snapshot.deleted.push_back(std::move(entry));
  }
  return snapshot;
}

bool mirrored_keys::Apply(const wire::mirror_copy& received) {
  if (received.revision <= history_.revision)
    return true;
  const auto decompressed = DecompressSnapshot(received);
  if (!decompressed)
    return false;
  const wire::mirror_copy& snapshot = *decompressed;
  const std::int64_t complete_since = CompleteSince(snapshot);
  const std::int64_t since =
      snapshot.__isset.since ? snapshot.since : history_.revision;
  const bool follows_on =
      snapshot.whole ||
      decisions::AcceptsChanges(history_, since, complete_since);
  if (!follows_on)
    return true;
  std::map<std::string, mirrored_value> values;
  for (const wire::mirror_entry& each : snapshot.entries) {
    auto value = DecodeValue(each);
    // The snapshot is discarded: its revision must not be recorded without the
    // value.
    if (!value)
      return false;
    values[each.key] = std::move(*value);
  }
  if (snapshot.whole) {
    Replace(std::move(values), snapshot.revision);
    return true;
  }
  for (auto& [key, value] : values)
    Put(key, std::move(value), snapshot.revision);
  // Deletions are applied after the entries, since a deletion is newer than an
  // entry of the same key.
  for (const wire::mirror_entry& each : snapshot.deleted)
    Remove(each.key, each.revision, each.lapsed);
  const std::int64_t former = history_.revision;
  decisions::RecordReceivedChanges(history_, complete_since, snapshot.revision);
  AnnounceSince(former);
  return true;
}

}  // namespace valeledge::host
