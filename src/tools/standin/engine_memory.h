// SPDX-License-Identifier: MIT
// The memory of a stand-in model engine: adds up what is loaded and notes
// every moment beyond its capacity.
#ifndef VALELEDGE_TOOLS_STANDIN_ENGINE_MEMORY_H_
#define VALELEDGE_TOOLS_STANDIN_ENGINE_MEMORY_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace valeledge::standin {

// How an engine treats orders.
struct engine_kind {
  std::int64_t capacity_mb = 0;
  // Refuses orders with a lower fencing number than one it has taken.
  bool fencing = false;
  // A load of what is loaded already takes memory again.
  bool doubled_load = true;
};

// Memory is counted from the start of a load on. Nothing is ever refused for
// want of room: an order too many is what the tests look for.
class engine_memory {
 public:
  explicit engine_memory(engine_kind kind) : kind_(kind) {}

  // False if the number is too low and the order is refused.
  bool TakeFence(std::int64_t fence);
  // The order begins to take memory; it is ready after FinishLoad.
  void BeginLoad(const std::string& artifact, std::int64_t memory_mb);
  void FinishLoad(const std::string& artifact, const std::string& order_id);
  void Unload(const std::string& artifact, const std::string& order_id);

  bool IsLoaded(const std::string& artifact) const;
  // Whether any version of "kind/name" is loaded.
  bool IsLoadedInAnyVersion(const std::string& name) const;
  const std::map<std::string, std::int64_t>& loaded() const { return loaded_; }
  const std::vector<std::string>& orders_done() const { return done_; }
  std::int64_t used_mb() const { return used_mb_; }
  std::int64_t peak_mb() const { return peak_mb_; }
  // Moments at which more was used than there is.
  std::int64_t overcommits() const { return overcommits_; }
  std::int64_t version() const { return version_; }

 private:
  void Add(std::int64_t memory_mb);
  void NoteDone(const std::string& order_id);

  engine_kind kind_;
  std::int64_t highest_fence_ = 0;
  std::map<std::string, std::int64_t> loaded_;
  std::map<std::string, std::int64_t> sizes_;
  // Copies that take memory, loading ones included.
  std::map<std::string, std::int64_t> copies_;
  std::vector<std::string> done_;
  std::int64_t used_mb_ = 0;
  std::int64_t peak_mb_ = 0;
  std::int64_t overcommits_ = 0;
  std::int64_t version_ = 1;
};

}  // namespace valeledge::standin

#endif  // VALELEDGE_TOOLS_STANDIN_ENGINE_MEMORY_H_
