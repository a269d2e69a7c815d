// SPDX-License-Identifier: MIT
#include "host/process/certainty_duty.h"

#include <algorithm>
#include <random>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/logging.h"
#include "store/constants.h"
#include "wire/codec.h"

namespace valeledge::host {

namespace {

namespace asio = boost::asio;
using base::boot_clock;
using base::log_event;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view kCategory = "keys";

// How often a host asks; a question more or less this far apart keeps hosts
// from asking together.
constexpr milliseconds kAskInterval{600};
constexpr milliseconds kAskSpread{100};
// Where no keys are needed, this is looked at so often.
constexpr milliseconds kIdleLook{250};

// Questions are gathered for so long: each reading has a price, a question has
// next to none.
constexpr milliseconds kGather{400};

// Without an answer for so long the next reader is asked too, and at last this
// host reads for itself.
constexpr milliseconds kNextReader{1100};
constexpr milliseconds kOwnReading{2200};
// After a reading that failed this host tries none of its own for so long.
constexpr milliseconds kFailedPause{1000};

decisions::boot_time FromMicroseconds(std::int64_t count) {
  return decisions::boot_time(microseconds(count));
}

}  // namespace

certainty_duty::certainty_duty(host_core& core,
                               store::kv_client& store,
                               certainty_links links)
    : core_(core),
      store_(store),
      links_(std::move(links)),
      answered_at_(boot_clock::now()) {
  std::random_device seed;
  std::uniform_int_distribution<std::int64_t> any;
  origin_ = any(seed);
}

void certainty_duty::Start() {
  asio::co_spawn(core_.context, Loop(), asio::detached);
}

bool certainty_duty::IsUncertain() const {
  const auto& bound = core_.settings.keys.revoked_within;
  if (!NeedsKeys() || !bound)
    return false;
  const auto age = decisions::DataAge(core_.certainty, boot_clock::now());
  return decisions::CheckKey(true, age, core_.settings.keys) !=
         decisions::key_verdict::kValid;
}

void certainty_duty::NoteRevision() {
  decisions::RecordRevision(core_.certainty, links_.revision());
  // A host that has just got its first copy serves nobody until it is certain.
  if (NeedsKeys() && !has_asked_)
    Ask();
}

void certainty_duty::NoteComplete(decisions::boot_time asked) {
  const std::int64_t revision = links_.revision();
  decisions::RecordStoreRead(core_.certainty, {asked, revision}, revision,
                             boot_clock::now());
}

bool certainty_duty::NeedsKeys() const {
  return core_.configuration != nullptr && core_.configuration->needs_keys;
}

wire::store_reading certainty_duty::MakeQuestion() const {
  wire::store_reading out;
  out.origin = origin_;
  out.asked_us =
      std::chrono::floor<microseconds>(boot_clock::now().time_since_epoch())
          .count();
  return out;
}

void certainty_duty::TakeQuestion(const base::endpoint& from,
                                  const wire::store_reading& question) {
  Await({from, question});
}

void certainty_duty::TakeReading(const wire::store_reading& reading) {
  if (reading.origin != origin_)
    return;
  const auto now = boot_clock::now();
  answered_at_ = now;
  decisions::RecordStoreRead(
      core_.certainty, {FromMicroseconds(reading.asked_us), reading.revision},
      links_.revision(), now);
}

void certainty_duty::Await(question asked) {
  waiting_.push_back(std::move(asked));
  if (std::exchange(is_gathering_, true))
    return;
  asio::co_spawn(core_.context, Read(), asio::detached);
}

// One that is not answered does not keep the next from being sent: a store that
// was silent answers nothing on connections from before.
asio::awaitable<void> certainty_duty::Read() {
  // At once if this host knows nothing yet: nobody is served meanwhile.
  if (core_.certainty.complete_as_of) {
    asio::steady_timer timer(core_.context, kGather);
    co_await timer.async_wait(kAwait);
  }
  is_gathering_ = false;
  const std::vector<question> asked = std::exchange(waiting_, {});
  store::kv_transaction read;
  read.on_success.push_back(store::Get(std::string(store::kLeaderKey)));
  const auto found = co_await store_.Run(std::move(read));
  if (found && found->revision > 0)
    Answer(asked, found->revision);
  else
    read_failed_at_ = boot_clock::now();
}

void certainty_duty::Answer(const std::vector<question>& asked,
                            std::int64_t revision) {
  for (const question& each : asked) {
    wire::store_reading reading = each.reading;
    reading.revision = revision;
    if (each.from)
      links_.tell(*each.from, kReadingRecord, wire::Encode(reading));
    else
      TakeReading(reading);
  }
}

void certainty_duty::Ask() {
  has_asked_ = true;
  const auto now = boot_clock::now();
  const auto unanswered = now - answered_at_;
  const std::vector<base::endpoint> readers = links_.readers();
  const bool overdue = unanswered >= kNextReader;
  if (overdue)
    ++turn_;
  const wire::store_reading question = MakeQuestion();
  if (!readers.empty()) {
    const base::endpoint& reader = readers[turn_ % readers.size()];
    if (reader == core_.settings.peer_listen)
      Await({std::nullopt, question});
    else
      links_.tell(reader, kReadingWantedRecord, wire::Encode(question));
  }
  const bool failed_lately =
      read_failed_at_ && now - *read_failed_at_ < kFailedPause;
  const bool alone =
      unanswered >= kOwnReading || !core_.certainty.complete_as_of;
  if (alone && !failed_lately)
    Await({std::nullopt, question});
}

void certainty_duty::TellCertainty() {
  const bool uncertain = IsUncertain();
  if (std::exchange(was_uncertain_, uncertain) == uncertain)
    return;
  const auto age = decisions::DataAge(core_.certainty, boot_clock::now());
  base::Log(
      kCategory,
      uncertain ? log_event::kKeysNotCertain : log_event::kKeysCertain,
      {{"age_ms", age ? age->count() : -1}, {"revision", links_.revision()}});
}

asio::awaitable<void> certainty_duty::Loop() {
  asio::steady_timer timer(core_.context);
  std::uniform_int_distribution<std::int64_t> any(-kAskSpread.count(),
                                                  kAskSpread.count());
  while (true) {
    const bool needed = NeedsKeys();
    if (needed)
      Ask();
    TellCertainty();
    timer.expires_after(needed ? kAskInterval + milliseconds(any(core_.random))
                               : kIdleLook);
    co_await timer.async_wait(kAwait);
  }
}

}  // namespace valeledge::host
