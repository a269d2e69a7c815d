// SPDX-License-Identifier: MIT
// A host's copy of the keys of the store, and the snapshots of it that hosts
// exchange. Performs no I/O.
#ifndef VALELEDGE_HOST_PROCESS_MIRRORED_KEYS_H_
#define VALELEDGE_HOST_PROCESS_MIRRORED_KEYS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "base/duration.h"
#include "decisions/change_history.h"
#include "wire/generated/messages_types.h"

namespace valeledge::host {

struct mirrored_value {
  std::string value;
  std::int64_t revision = 0;
  // The compressed form of `value` for other hosts, cached when it was first
  // compressed or received. Empty if it has not been requested, or if
  // compression does not reduce its size.
  std::optional<std::string> compressed;
  bool compression_tried = false;
};

// A recently deleted key.
struct mirrored_deletion {
  std::int64_t revision = 0;
  // It may have expired while the store was unavailable.
  bool lapsed = false;
};

// Event handlers and queries of the owner.
struct mirrored_keys_events {
  std::function<void(const std::string& key, const std::string& value)> put;
  // `lapsed_until`: the store has been unavailable, and the key's owner may
  // still be running; it is to be treated as gone from this time on.
  std::function<void(const std::string& key,
                     std::optional<base::time_point> lapsed_until)>
      removed;
  // The keys have reached a newer revision.
  std::function<void(std::int64_t revision)> advanced;
  // Until when the owners of keys that are found to be missing may still be
  // running; nothing if the store has been available.
  std::function<std::optional<base::time_point>()> lapsed_until;
};

// The keys under a prefix of the store as far as this host knows them, and the
// recent deletions.
class mirrored_keys {
 public:
  explicit mirrored_keys(mirrored_keys_events events);

  std::int64_t revision() const { return history_.revision; }
  // The value of a key; empty if it does not exist.
  std::optional<std::string> Value(const std::string& key) const;

  // Applies all keys that the store had at a revision.
  void Replace(std::map<std::string, mirrored_value> values,
               std::int64_t revision);
  // Applies a change. `response_revision` is the revision of the response that
  // contains the value.
  void Put(const std::string& key,
           mirrored_value value,
           std::int64_t response_revision);
  // `may_have_lapsed`: the deletion was not observed while it happened.
  void Remove(const std::string& key,
              std::int64_t revision,
              bool may_have_lapsed);
  // All changes up to a revision have been applied.
  void Advance(std::int64_t revision);

  // Returns the snapshot that another host requested.
  wire::mirror_copy SnapshotFor(const wire::mirror_request& request);
  // Returns the changes since a revision, or all keys if not all of these
  // changes are known. Large values are compressed if the receiver supports it.
  wire::mirror_copy SnapshotSince(std::int64_t revision, bool compressed);
  // Applies another host's snapshot if it is newer. Changes that do not follow
  // on from this host's revision are ignored, and have to be requested again.
  // Returns false if it cannot be decoded.
  bool Apply(const wire::mirror_copy& received);

 private:
  // Keeps a deletion for other hosts.
  void KeepDeletion(const std::string& key, const mirrored_deletion& deletion);
  // Announces the revision if it is newer than a former one.
  void AnnounceSince(std::int64_t former);

  mirrored_keys_events events_;
  std::map<std::string, mirrored_value> values_;
  std::map<std::string, mirrored_deletion> deletions_;
  decisions::change_history history_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_MIRRORED_KEYS_H_
