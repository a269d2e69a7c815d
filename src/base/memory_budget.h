// SPDX-License-Identifier: MIT
// Bounds the memory that a process holds for the messages that it reads, over
// all of them. When the bound is reached, the largest message gives way, so
// that small ones are served beside messages that do not end.
#ifndef VALELEDGE_BASE_MEMORY_BUDGET_H_
#define VALELEDGE_BASE_MEMORY_BUDGET_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <utility>

namespace valeledge::base {

class memory_share;

// The memory that all messages of one kind may hold. Must be used on one
// thread only.
class memory_budget {
 public:
  // `capacity` in bytes.
  explicit memory_budget(std::int64_t capacity) : capacity_(capacity) {}
  memory_budget(const memory_budget&) = delete;
  memory_budget& operator=(const memory_budget&) = delete;

  // Bytes held by all messages except those that have to give way.
  std::int64_t held() const { return held_; }
  std::int64_t capacity() const { return capacity_; }
  // Messages that have had to give way so far.
  std::int64_t given_up() const { return given_up_; }

 private:
  friend class memory_share;

  std::int64_t capacity_;
  std::int64_t held_ = 0;
  std::int64_t given_up_ = 0;
  // Messages that can give way, by their size.
  std::set<std::pair<std::int64_t, memory_share*>> by_size_;
};

// What one message holds of a budget. It is returned at destruction.
class memory_share {
 public:
  // `give_way` is called at most once, while another message grows: it should
  // end the message, so that its memory is freed soon.
  memory_share(std::shared_ptr<memory_budget> budget,
               std::function<void()> give_way);
  ~memory_share();
  memory_share(const memory_share&) = delete;
  memory_share& operator=(const memory_share&) = delete;

  // Sets the number of bytes that the message holds. Returns false if it has to
  // give way.
  bool Resize(std::int64_t bytes);
  // Replaces what is called if the message has to give way.
  void SetGiveWay(std::function<void()> give_way);
  // From now on the message does not give way to others.
  void Keep();
  bool gave_way() const { return gave_way_; }

 private:
  // Whether the message is a candidate when others need memory.
  bool IsListed() const;
  // Bytes that all messages may hold for this one to grow.
  std::int64_t Limit() const;
  void MakeGiveWay();

  const std::shared_ptr<memory_budget> budget_;
  std::function<void()> give_way_;
  std::int64_t bytes_ = 0;
  bool is_kept_ = false;
  bool gave_way_ = false;
};

}  // namespace valeledge::base

#endif  // VALELEDGE_BASE_MEMORY_BUDGET_H_
