// SPDX-License-Identifier: MIT
// Accelerator memory is never overcommitted, whether orders are delayed, lost
// or delivered twice.
#include <algorithm>
#include <optional>
#include <random>

#include <boost/test/unit_test.hpp>

#include "decisions/reservation.h"
#include "tools/standin/engine_memory.h"

namespace {

using namespace valeledge;
using namespace valeledge::decisions;
using standin::engine_kind;
using standin::engine_memory;

constexpr std::int64_t kCapacity = 10;
constexpr std::int64_t kSize = 4;

server_reservation MakeRecord(bool fencing, bool doubled, bool redelivery) {
  server_reservation record;
  record.server = "s";
  record.capacity_mb = kCapacity;
  record.fencing = fencing;
  record.doubled_load = doubled;
  record.redelivery = redelivery;
  ApplyRequestedReport(record, {"run1", 1, {}, {}});
  return record;
}

// Simulates an engine, the record in the key-value service, orders in transit,
// and two controllers that alternate as lease holder and may pause at any
// point. Each step performs one random action.
class failure_schedule {
 public:
  failure_schedule(bool fencing,
                   bool doubled,
                   bool redelivery,
                   bool counts_changes,
                   unsigned seed)
      : kind_{kCapacity, fencing, doubled},
        redelivery_(redelivery),
        counts_changes_(counts_changes),
        memory_(kind_),
        stored_(MakeRecord(fencing, doubled, redelivery)),
        random_(seed) {}

  void Step() {
    switch (Random(12)) {
      case 0:
      case 1:
      case 2:
        RecordOrder(controllers_[Random(2)]);
        break;
      case 3:
      case 4:
        SendNext(controllers_[Random(2)]);
        break;
      case 5:
      case 6:
        DeliverOne();
        break;
      case 7:
        RespondToOne();
        break;
      case 8:
        ChangeLeaseHolder();
        break;
      case 9:
        TakeReport(controllers_[Random(2)]);
        break;
      case 10:
        TimeOutOne();
        break;
      case 11:
        if (Random(6) == 0)
          Restart();
        break;
    }
  }

  std::int64_t overcommits() const { return overcommits_; }
  std::int64_t loads() const { return loads_; }

 private:
  struct controller {
    std::int64_t term = 0;
    // The record as this controller last read or wrote it.
    server_reservation record;
    std::int64_t revision = 0;
    // Recorded and not sent yet; the controller may pause in between.
    std::vector<order> to_send;
  };
  struct sent_order {
    order sent;
    std::string run;
    int sender = 0;
    bool delivered = false;
    std::int64_t version = 0;
  };

  std::size_t Random(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
  }

  std::string Run() const { return "run" + std::to_string(run_); }

  bool Write(controller& one, server_reservation record) {
    if (one.term != term_ || one.revision != revision_)
      return false;
    stored_ = std::move(record);
    one.record = stored_;
    one.revision = ++revision_;
    return true;
  }

  void Read(controller& one) {
    one.record = stored_;
    one.revision = revision_;
  }

  void ChangeLeaseHolder() {
    controller& next = controllers_[Random(2)];
    next.term = ++term_;
    Read(next);
  }

  void RecordOrder(controller& one) {
    server_reservation record = one.record;
    const std::string artifact = "m" + std::to_string(Random(3)) + "@1";
    const std::string id = std::to_string(++orders_);
    std::optional<order> made;
    if (Random(3) == 0)
      made = RecordUnload(record, id, artifact);
    else if (CanLoad(record, artifact, kSize))
      made = RecordLoad(record, id, artifact, kSize);
    if (made && Write(one, std::move(record)))
      one.to_send.push_back(*made);
  }

  void SendNext(controller& one) {
    if (one.to_send.empty())
      return;
    const int sender = &one == &controllers_[0] ? 0 : 1;
    sent_orders_.push_back({one.to_send.front(), Run(), sender, false, 0});
    one.to_send.erase(one.to_send.begin());
  }

  void Execute(sent_order& each) {
    if (!memory_.TakeFence(each.sent.fence))
      return;
    if (each.sent.kind == order_kind::kLoad) {
      ++loads_;
      memory_.BeginLoad(each.sent.artifact, each.sent.memory_mb);
      memory_.FinishLoad(each.sent.artifact, each.sent.id);
    } else {
      memory_.Unload(each.sent.artifact, each.sent.id);
    }
    each.version = memory_.version();
    overcommits_ += memory_.overcommits();
    done_ids_.push_back(each.sent.id);
  }

  void DeliverOne() {
    if (sent_orders_.empty())
      return;
    sent_order& each = sent_orders_[Random(sent_orders_.size())];
    if (each.run != Run() || (each.delivered && !redelivery_))
      return;
    // An order is redelivered at most once.
    if (each.delivered && std::ranges::count(done_ids_, each.sent.id) > 1)
      return;
    each.delivered = true;
    Execute(each);
  }

  // Responses to delivered orders arrive in any order.
  void RespondToOne() {
    if (sent_orders_.empty())
      return;
    const std::size_t index = Random(sent_orders_.size());
    const sent_order each = sent_orders_[index];
    const bool accepted =
        std::ranges::find(done_ids_, each.sent.id) != done_ids_.end();
    if (!each.delivered)
      return;
    controller& one = controllers_[each.sender];
    server_reservation record = one.record;
    if (record.incarnation != each.run)
      return;
    Resolve(record, each.sent.id,
            accepted ? order_response::kDone : order_response::kRefused,
            counts_changes_ ? each.version : 0);
    if (Write(one, std::move(record)) && !redelivery_)
      sent_orders_.erase(sent_orders_.begin() + static_cast<long>(index));
  }

  // The sender's connection is lost and the order times out, though it may have
  // arrived and may take effect at any time.
  void TimeOutOne() {
    if (sent_orders_.empty())
      return;
    const sent_order& each = sent_orders_[Random(sent_orders_.size())];
    controller& one = controllers_[each.sender];
    server_reservation record = one.record;
    MarkFinished(record, each.sent.id);
    Write(one, std::move(record));
  }

  engine_report Report() const {
    return {Run(), counts_changes_ ? memory_.version() : 0, memory_.loaded(),
            memory_.orders_done()};
  }

  void TakeReport(controller& one) {
    server_reservation record = one.record;
    // Either an old report or a requested one with equal probability; the
    // contents of the latter may lag behind within the run.
    old_reports_.push_back(Report());
    const engine_report& any = old_reports_[Random(old_reports_.size())];
    const bool asked = Random(2) == 0;
    const bool lags = asked && any.incarnation == Run();
    const bool changed =
        asked ? ApplyRequestedReport(record, lags ? any : Report())
              : ApplyReport(record, any);
    if (changed)
      Write(one, std::move(record));
  }

  void Restart() {
    ++run_;
    memory_ = engine_memory(kind_);
    std::erase_if(sent_orders_,
                  [](const sent_order& each) { return each.delivered; });
  }

  engine_kind kind_;
  bool redelivery_;
  // Whether the engine counts its changes.
  bool counts_changes_;
  engine_memory memory_;
  server_reservation stored_;
  std::int64_t revision_ = 1;
  std::int64_t term_ = 0;
  std::int64_t run_ = 1;
  std::int64_t orders_ = 0;
  std::int64_t loads_ = 0;
  std::int64_t overcommits_ = 0;
  controller controllers_[2];
  std::vector<sent_order> sent_orders_;
  std::vector<std::string> done_ids_;
  std::vector<engine_report> old_reports_;
  std::mt19937_64 random_;
};

}  // namespace

BOOST_AUTO_TEST_CASE(no_schedule_of_failures_overcommits_memory) {
  std::int64_t loads = 0;
  for (unsigned flags = 0; flags < 16; ++flags) {
    for (unsigned seed = 0; seed < 400; ++seed) {
      failure_schedule run((flags & 1) != 0, (flags & 2) != 0, (flags & 4) != 0,
                           (flags & 8) != 0, seed);
      for (int step = 0; step < 300; ++step) {
        run.Step();
        BOOST_REQUIRE_MESSAGE(
            run.overcommits() == 0,
            "flags " << flags << " seed " << seed << " step " << step);
      }
      loads += run.loads();
    }
  }
  // The schedules have executed enough loads.
  BOOST_TEST(loads > 10'000);
}

BOOST_AUTO_TEST_CASE(an_unresolved_load_keeps_its_memory) {
  auto record = MakeRecord(false, true, false);
  RecordLoad(record, "1", "m@1", 6);
  BOOST_TEST(ReservedMemory(record) == 6);
  BOOST_TEST(!CanLoad(record, "n@1", 6));
  MarkFinished(record, "1");
  ApplyRequestedReport(record, {"run1", 1, {}, {}});
  BOOST_TEST(ReservedMemory(record) == 6);
  // The next run started after the last transmission of the order.
  ApplyRequestedReport(record, {"run2", 1, {}, {}});
  BOOST_TEST(ReservedMemory(record) == 0);
}

BOOST_AUTO_TEST_CASE(an_order_that_may_still_be_sent_outlives_a_new_run) {
  auto record = MakeRecord(false, true, false);
  RecordLoad(record, "1", "m@1", 6);
  ApplyRequestedReport(record, {"run2", 1, {}, {}});
  ApplyRequestedReport(record, {"run3", 1, {}, {}});
  BOOST_TEST(ReservedMemory(record) == 6);
}

BOOST_AUTO_TEST_CASE(an_order_that_may_have_reached_the_new_run_stays) {
  auto record = MakeRecord(false, true, false);
  RecordLoad(record, "1", "m@1", 6);
  MarkFinished(record, "1");
  // It may have reached run2, which was unknown when the order was sent.
  ApplyRequestedReport(record, {"run2", 1, {}, {}});
  BOOST_TEST(ReservedMemory(record) == 6);
}

BOOST_AUTO_TEST_CASE(a_report_between_two_loads_does_not_resolve_the_first) {
  // Regression of no_schedule_of_failures_overcommits_memory: the report does
  // not update m@1, which has a later response, so it must not resolve the
  // first load either.
  auto record = MakeRecord(true, true, false);
  record.capacity_mb = 100;
  RecordLoad(record, "1", "m@1", 4);
  RecordLoad(record, "2", "n@1", 4);
  Resolve(record, "2", order_response::kDone, 3);
  RecordLoad(record, "3", "m@1", 4);
  Resolve(record, "3", order_response::kDone, 4);
  ApplyReport(record, {"run1", 3, {{"m@1", 1}, {"n@1", 1}}, {}});
  BOOST_TEST(ReservedCopies(record, "m@1") == 2);
}

BOOST_AUTO_TEST_CASE(a_lagging_requested_report_frees_nothing) {
  auto record = MakeRecord(false, true, false);
  RecordLoad(record, "1", "m@1", 4);
  Resolve(record, "1", order_response::kDone, 5);
  ApplyRequestedReport(record, {"run1", 4, {}, {}});
  BOOST_TEST(ReservedMemory(record) == 4);
  // Neither does a report of an engine without change counts.
  ApplyRequestedReport(record, {"run1", 0, {}, {}});
  BOOST_TEST(ReservedMemory(record) == 4);
}

BOOST_AUTO_TEST_CASE(an_engine_without_change_counts_frees_by_its_response) {
  auto record = MakeRecord(false, true, false);
  RecordLoad(record, "1", "m@1", 4);
  Resolve(record, "1", order_response::kDone, 0);
  RecordUnload(record, "2", "m@1");
  Resolve(record, "2", order_response::kDone, 0);
  BOOST_TEST(ReservedMemory(record) == 0);
  // Nothing is freed if a load may have followed the unload.
  RecordUnload(record, "3", "m@1");
  RecordLoad(record, "4", "m@1", 4);
  Resolve(record, "4", order_response::kDone, 0);
  Resolve(record, "3", order_response::kDone, 0);
  BOOST_TEST(ReservedMemory(record) == 4);
}

BOOST_AUTO_TEST_CASE(a_late_unload_response_does_not_hide_a_load) {
  auto record = MakeRecord(false, true, false);
  RecordUnload(record, "1", "m@1");
  RecordLoad(record, "2", "m@1", 4);
  Resolve(record, "2", order_response::kDone, 3);
  Resolve(record, "1", order_response::kDone, 2);
  BOOST_TEST(ReservedMemory(record) == 4);
}

BOOST_AUTO_TEST_CASE(a_fencing_engine_resolves_earlier_orders) {
  auto record = MakeRecord(true, true, false);
  RecordLoad(record, "1", "m@1", 4);
  RecordLoad(record, "2", "n@1", 4);
  MarkFinished(record, "1");
  ApplyRequestedReport(record, {"run1", 1, {}, {}});
  Resolve(record, "2", order_response::kDone, 3);
  // The first may have been executed before; a report shows whether it was.
  BOOST_TEST(ReservedMemory(record) == 8);
  auto before = record;
  ApplyReport(before, {"run1", 3, {{"m@1", 1}, {"n@1", 1}}, {}});
  BOOST_TEST(ReservedMemory(before) == 8);
  ApplyReport(record, {"run1", 3, {{"n@1", 1}}, {}});
  BOOST_TEST(ReservedMemory(record) == 4);
}

BOOST_AUTO_TEST_CASE(fencing_does_not_resolve_unfinished_orders) {
  // Regression of no_schedule_of_failures_overcommits_memory: an order of a
  // paused sender, fenced off in one run, reached the next run before that run
  // was known.
  auto record = MakeRecord(true, true, false);
  RecordLoad(record, "1", "m@1", 4);
  RecordLoad(record, "2", "n@1", 4);
  Resolve(record, "2", order_response::kDone, 3);
  ApplyReport(record, {"run1", 3, {{"n@1", 1}}, {}});
  BOOST_TEST(ReservedCopies(record, "m@1") == 1);
}

BOOST_AUTO_TEST_CASE(a_report_older_than_the_later_order_resolves_nothing) {
  auto record = MakeRecord(true, true, false);
  RecordLoad(record, "1", "m@1", 4);
  RecordLoad(record, "2", "n@1", 4);
  Resolve(record, "2", order_response::kDone, 5);
  ApplyReport(record, {"run1", 4, {{"n@1", 1}}, {}});
  BOOST_TEST(ReservedMemory(record) == 8);
}

BOOST_AUTO_TEST_CASE(an_engine_without_fencing_may_still_execute_the_first) {
  auto record = MakeRecord(false, true, false);
  RecordLoad(record, "1", "m@1", 4);
  RecordLoad(record, "2", "n@1", 4);
  Resolve(record, "2", order_response::kDone, 2);
  BOOST_TEST(ReservedMemory(record) == 8);
}

BOOST_AUTO_TEST_CASE(retransmission_reserves_memory_if_doubled_loads_do) {
  auto doubled = MakeRecord(false, true, false);
  RecordLoad(doubled, "1", "m@1", 4);
  RecordLoad(doubled, "2", "m@1", 4);
  BOOST_TEST(ReservedMemory(doubled) == 8);
  auto single = MakeRecord(false, false, false);
  RecordLoad(single, "1", "m@1", 4);
  RecordLoad(single, "2", "m@1", 4);
  BOOST_TEST(ReservedMemory(single) == 4);
}

BOOST_AUTO_TEST_CASE(redelivery_counts_twice_until_a_later_order_is_accepted) {
  auto record = MakeRecord(true, true, true);
  RecordLoad(record, "1", "m@1", 4);
  BOOST_TEST(ReservedMemory(record) == 8);
  Resolve(record, "1", order_response::kDone, 2);
  BOOST_TEST(ReservedMemory(record) == 8);
  RecordUnload(record, "2", "n@1");
  Resolve(record, "2", order_response::kDone, 3);
  ApplyReport(record, {"run1", 3, {{"m@1", 1}}, {}});
  BOOST_TEST(ReservedMemory(record) == 4);
}

BOOST_AUTO_TEST_CASE(old_reports_neither_free_nor_revive) {
  auto record = MakeRecord(false, true, false);
  RecordLoad(record, "1", "m@1", 4);
  Resolve(record, "1", order_response::kDone, 5);
  ApplyReport(record, {"run1", 4, {}, {}});
  BOOST_TEST(ReservedMemory(record) == 4);
  ApplyReport(record, {"run0", 99, {}, {}});
  BOOST_TEST(record.incarnation == "run1");
  RecordUnload(record, "2", "m@1");
  BOOST_TEST(ReservedMemory(record) == 4);
  Resolve(record, "2", order_response::kDone, 6);
  BOOST_TEST(ReservedMemory(record) == 0);
}

BOOST_AUTO_TEST_CASE(an_unresolved_unload_makes_a_replica_unsteady) {
  auto record = MakeRecord(false, true, false);
  RecordLoad(record, "1", "m@1", 4);
  BOOST_TEST(!IsSteady(record, "m@1"));
  Resolve(record, "1", order_response::kDone, 2);
  BOOST_TEST(IsSteady(record, "m@1"));
  RecordUnload(record, "2", "m@1");
  BOOST_TEST(!IsSteady(record, "m@1"));
}

BOOST_AUTO_TEST_CASE(a_record_survives_serialization) {
  auto record = MakeRecord(true, false, true);
  RecordLoad(record, "1", "m@1", 4);
  Resolve(record, "1", order_response::kDone, 2);
  RecordLoad(record, "2", "n@1", 4);
  MarkFinished(record, "2");
  const auto read = DecodeReservation(EncodeReservation(record));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(EncodeReservation(*read) == EncodeReservation(record));
  BOOST_TEST(!DecodeReservation("{}").has_value());
}
