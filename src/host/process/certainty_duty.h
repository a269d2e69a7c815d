// SPDX-License-Identifier: MIT
// Keeps a host certain of which keys are good: it has the store read, several
// times a second, by one host for all of them.
//
// A host asks a reader by a datagram with its own time; the reader reads one
// small key some time later, for all who have asked by then, and tells each its
// own time back with the store's revision. A datagram that is lost, late or
// repeated makes nothing younger than it is. Without answers a host turns to
// the next reader, and in the end reads for itself.
#ifndef VALELEDGE_HOST_PROCESS_CERTAINTY_DUTY_H_
#define VALELEDGE_HOST_PROCESS_CERTAINTY_DUTY_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "base/endpoint.h"
#include "decisions/key_freshness.h"
#include "host/process/host_core.h"
#include "store/kv_client.h"
#include "wire/generated/messages_types.h"

namespace valeledge::host {

// Keys of the records in which a host asks for a reading, and in which it is
// told of one.
inline constexpr std::string_view kReadingWantedRecord = "reading_wanted";
inline constexpr std::string_view kReadingRecord = "reading";

// What the duty needs of the others; runs on the host's thread.
struct certainty_links {
  // Tells one host a fact.
  std::function<void(const base::endpoint& to,
                     std::string_view record,
                     std::string value)>
      tell;
  // Hosts that read for others, in the order in which they are asked; this one
  // may be among them.
  std::function<std::vector<base::endpoint>()> readers;
  // The store's revision up to which everything is here.
  std::function<std::int64_t()> revision;
};

class certainty_duty {
 public:
  certainty_duty(host_core& core,
                 store::kv_client& store,
                 certainty_links links);

  void Start();

  // Another host asks for a reading, or tells of one.
  void TakeQuestion(const base::endpoint& from,
                    const wire::store_reading& question);
  void TakeReading(const wire::store_reading& reading);
  // More of the store is here than before.
  void NoteRevision();
  // All that the store held when this host asked for it is here.
  void NoteComplete(decisions::boot_time asked);

  // Whether keys are needed and this host cannot tell which are good.
  bool IsUncertain() const;

 private:
  struct question {
    // Nothing: this host itself.
    std::optional<base::endpoint> from;
    wire::store_reading reading;
  };

  bool NeedsKeys() const;
  boost::asio::awaitable<void> Loop();
  // Asks the readers whose turn it is.
  void Ask();
  wire::store_reading MakeQuestion() const;
  void Await(question asked);
  // Answers all questions that have come by the time it reads.
  boost::asio::awaitable<void> Read();
  void Answer(const std::vector<question>& asked, std::int64_t revision);
  void TellCertainty();

  host_core& core_;
  store::kv_client& store_;
  certainty_links links_;
  // Tells this process from others at the same address.
  std::int64_t origin_ = 0;
  // Among the readers, the one that answered last.
  std::size_t turn_ = 0;
  decisions::boot_time answered_at_;
  std::vector<question> waiting_;
  bool is_gathering_ = false;
  bool has_asked_ = false;
  std::optional<decisions::boot_time> read_failed_at_;
  bool was_uncertain_ = false;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_CERTAINTY_DUTY_H_
