// SPDX-License-Identifier: MIT
// Simulates many gossip processes in virtual time. Datagrams take a millisecond
// and can be lost at random or by a network partition.
#ifndef VALELEDGE_TESTS_AUTO_MEMBERSHIP_FAKE_NETWORK_H_
#define VALELEDGE_TESTS_AUTO_MEMBERSHIP_FAKE_NETWORK_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "membership/gossip.h"
#include "wire/codec.h"

namespace valeledge::membership::test {

class fake_network {
 public:
  fake_network(int size, gossip_settings settings, unsigned seed)
      : settings_(settings), random_(seed) {
    for (int i = 0; i < size; ++i)
      Add(i, 1);
  }

  void Add(int index, std::int64_t incarnation) {
    const base::endpoint address = Address(index);
    states_[address] = gossip_builder()
                           .Settings(settings_)
                           .Self("n" + std::to_string(index), address,
                                 index % 2 == 0 ? "a" : "b", role::kScheduler)
                           .Incarnation(std::chrono::system_clock::time_point(
                               std::chrono::microseconds(incarnation)))
                           .Seeds({Address(0), Address(1)})
                           .Build();
    suspended_.erase(address);
  }

  static base::endpoint Address(int index) {
    return {"127.0.0.1", static_cast<std::uint16_t>(1000 + index)};
  }

  gossip_state& At(int index) { return states_.at(Address(index)); }
  std::size_t size() const { return states_.size(); }

  // A suspended process neither sends nor receives.
  void Suspend(int index) { suspended_.insert(Address(index)); }
  void Resume(int index) { suspended_.erase(Address(index)); }
  void SetLoss(double share) { loss_ = share; }
  // Drops datagrams for which `cut` returns true.
  void Cut(std::function<bool(int from, int to)> cut) { cut_ = std::move(cut); }

  // A process that receives a newer table revision applies it immediately.
  void FetchTablesImmediately() { fetches_tables_ = true; }

  void Send(int index, const gossip_events& events) {
    for (const outgoing_datagram& each : events.datagrams) {
      const std::string bytes = wire::Encode(each.message);
      for (const base::endpoint& to : each.to) {
        bytes_ += static_cast<std::int64_t>(bytes.size());
        ++datagrams_;
        in_flight_.emplace(now_ + std::chrono::milliseconds(1),
                           datagram_in_flight{index, to, bytes});
      }
    }
  }

  // Runs until `condition` is met, at most for `max_duration`; returns the
  // elapsed virtual time.
  std::chrono::microseconds Run(std::chrono::microseconds max_duration,
                                const std::function<bool()>& condition = {}) {
    const auto start = now_;
    while (now_ - start < max_duration && !(condition && condition()))
      Step();
    return std::chrono::duration_cast<std::chrono::microseconds>(now_ - start);
  }

  // Returns the record of `other` in the view of `index`; null if unknown.
  const member* Find(int index, int other) {
    const auto& others = At(index).others;
    const auto found = others.find("n" + std::to_string(other));
    return found == others.end() ? nullptr : &found->second.record;
  }

  // True if the record of `other` satisfies `predicate` in the view of every
  // other process that is not suspended.
  bool AllViewsSatisfy(int other,
                       const std::function<bool(const member*)>& predicate) {
    for (std::size_t i = 0; i < size(); ++i) {
      const int index = static_cast<int>(i);
      if (index == other || suspended_.contains(Address(index)))
        continue;
      if (!predicate(Find(index, other)))
        return false;
    }
    return true;
  }

  std::int64_t bytes() const { return bytes_; }
  std::int64_t datagrams() const { return datagrams_; }
  random_source& random() { return random_; }
  base::time_point now() const { return now_; }

 private:
  struct datagram_in_flight {
    int from;
    base::endpoint to;
    std::string bytes;
  };

  void Step() {
    now_ += std::chrono::milliseconds(10);
    while (!in_flight_.empty() && in_flight_.begin()->first <= now_) {
      const datagram_in_flight each = in_flight_.begin()->second;
      in_flight_.erase(in_flight_.begin());
      Deliver(each);
    }
    for (auto& [address, state] : states_) {
      if (!suspended_.contains(address))
        Send(address.port - 1000, Tick(state, now_, random_));
    }
  }

  void Deliver(const datagram_in_flight& each) {
    const int to = each.to.port - 1000;
    std::uniform_real_distribution<double> any(0, 1);
    const bool lost = suspended_.contains(each.to) ||
                      suspended_.contains(Address(each.from)) ||
                      (cut_ && cut_(each.from, to)) || any(random_) < loss_;
    const auto found = states_.find(each.to);
    if (lost || found == states_.end())
      return;
    const auto message = wire::DecodeGossip(each.bytes);
    const auto events =
        Receive(found->second, *message, Address(each.from), now_, random_);
    Send(to, events);
    if (fetches_tables_ && events.newer_table_at)
      Send(to, AnnounceTable(found->second, message->table_revision, random_));
  }

  gossip_settings settings_;
  random_source random_;
  base::time_point now_;
  std::map<base::endpoint, gossip_state> states_;
  std::set<base::endpoint> suspended_;
  std::multimap<base::time_point, datagram_in_flight> in_flight_;
  std::function<bool(int, int)> cut_;
  double loss_ = 0;
  bool fetches_tables_ = false;
  std::int64_t bytes_ = 0;
  std::int64_t datagrams_ = 0;
};

}  // namespace valeledge::membership::test

#endif  // VALELEDGE_TESTS_AUTO_MEMBERSHIP_FAKE_NETWORK_H_
