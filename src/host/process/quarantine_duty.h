// SPDX-License-Identifier: MIT
// Shares between hosts which requests servers end under, and keeps in the store
// which are held back.
//
// Hosts tell each other of each end at once, and again for some seconds once a
// second server has ended under the request: in a fleet of up to 17 hosts all
// hear all. In larger ones the same 16 hear of all
// ends under one request, and what they find is known to the others, and to
// hosts that start later, by a key in the store. While the store is away, those
// who have heard act all the same.
#ifndef VALELEDGE_HOST_PROCESS_QUARANTINE_DUTY_H_
#define VALELEDGE_HOST_PROCESS_QUARANTINE_DUTY_H_

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>

#include "decisions/quarantine_news.h"
#include "host/process/host_core.h"
#include "membership/gossip.h"
#include "store/kv_client.h"
#include "wire/generated/messages_types.h"

namespace valeledge::host {

// Key of the record in which a host tells of ends.
inline constexpr std::string_view kEndsRecord = "ends";

// What the duty needs of the others; runs on the host's thread.
struct quarantine_links {
  // Tells other hosts directly.
  std::function<void(const std::string& value,
                     const membership::direct_recipients& audience)>
      tell;
  // Whether this host is the first of those that are chosen for a subject.
  std::function<bool(const std::string& subject)> is_first;
};

class quarantine_duty {
 public:
  quarantine_duty(host_core& core,
                  store::kv_client& store,
                  quarantine_links links);

  // A server has ended while a request of this host was there.
  void NoteEnd(std::uint64_t digest, const decisions::server_end& end);
  // A server has answered a request of this host whole.
  void NoteWhole(std::uint64_t digest);

  // Takes in what another host tells.
  void TakeNews(const wire::end_news& news);
  // What the store says of a key; true if it is one of a request that is held
  // back. `lapsed`: the store has been in trouble, and the hold goes on.
  bool PutKey(std::string_view key);
  bool RemoveKey(std::string_view key, bool lapsed);

  // Tells again what was told lately of requests that are suspected more than
  // others. Call every quarter of a second.
  void Republish();

 private:
  void Tell(const decisions::quarantine_fact& fact);
  void Hold(std::uint64_t digest, std::string_view by);
  boost::asio::awaitable<void> Keep(std::uint64_t digest);
  boost::asio::awaitable<bool> Write(std::uint64_t digest);

  host_core& core_;
  store::kv_client& store_;
  quarantine_links links_;
  // What this host has seen lately.
  decisions::quarantine_facts told_;
  // Requests that the store says are held back.
  std::set<std::uint64_t> kept_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_QUARANTINE_DUTY_H_
