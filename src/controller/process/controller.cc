// SPDX-License-Identifier: MIT
#include "controller/process/controller.h"

#include <algorithm>
#include <future>
#include <utility>

#include "controller/process/order_end_wire.h"
#include "membership/member.h"
#include "membership/ownership.h"

namespace valeledge::controller {

namespace {

namespace asio = boost::asio;

// Controllers per availability zone that compete for the lease.
constexpr std::size_t kCandidatesPerZone = 2;

// The status omits the planner's part if it takes longer than this to collect.
constexpr auto kStatusTimeout = std::chrono::milliseconds(200);

}  // namespace

controller::controller(controller_settings settings)
    : settings_(std::move(settings)),
      node_(settings_.shared, membership::role::kController) {}

base::result<void> controller::Start() {
  node_.SetCallHandler(
      [this](wire::envelope call) { return HandleCall(std::move(call)); });
  node_.AddStatusSource(
      [this](boost::json::object& status) { AddStatus(status); });
  const auto started = node_.Start();
  if (!started)
    return started;
  lease_.emplace(node_.platform().context(), node_.key_value(), node_.id(),
                 settings_.lease_duration, [this] { return IsCandidate(); });
  reservations_.emplace(node_.platform(), node_.key_value());
  sender_.emplace(orders_, settings_.order_timeout, [this](order_end end) {
    planning_.Submit([this, end] { planner_->HandleOrderEnd(end); });
  });
  planner_.emplace(planning_, orders_, node_, *lease_, *reservations_, *sender_,
                   settings_);
  lease_->Start();
  planner_->Start();
  node_.Run();
  planning_.Start();
  orders_.Start();
  return {};
}

asio::awaitable<wire::envelope> controller::HandleCall(wire::envelope call) {
  wire::acknowledgement done;
  done.code = static_cast<std::int32_t>(base::result_code::kNotOwner);
  if (call.__isset.report) {
    auto take = [this,
                 report = std::move(call.report)]() -> asio::awaitable<bool> {
      co_return planner_->HandleReport(report);
    };
    const auto accepted =
        co_await base::RunOn<bool>(planning_, std::move(take));
    if (accepted && *accepted)
      done.code = 0;
  }
  if (call.__isset.order_end) {
    auto take = [this,
                 end = Decode(call.order_end)]() -> asio::awaitable<bool> {
      co_return planner_->HandleForwardedOrderEnd(end);
    };
    const auto accepted =
        co_await base::RunOn<bool>(planning_, std::move(take));
    if (accepted && *accepted)
      done.code = 0;
  }
  wire::envelope reply;
  reply.__set_done(done);
  co_return reply;
}

void controller::AddStatus(boost::json::object& status) {
  auto part = std::make_shared<std::promise<boost::json::object>>();
  auto filled = part->get_future();
  const bool submitted = planning_.Submit([this, part] {
    boost::json::object planner_status;
    planner_->AddStatus(planner_status);
    part->set_value(std::move(planner_status));
  });
  const bool filled_in_time =
      submitted && filled.wait_for(kStatusTimeout) == std::future_status::ready;
  if (!filled_in_time)
    return;
  for (auto& [key, value] : filled.get())
    status[key] = std::move(value);
}

bool controller::IsCandidate() const {
  const auto view = node_.View();
  const std::string& zone = settings_.shared.zone;
  const auto chosen = membership::ChooseOwners(
      view->members, "controller/" + zone, membership::role::kController, zone,
      kCandidatesPerZone);
  return std::ranges::any_of(chosen, [this](const membership::member* each) {
    return each->id == node_.id();
  });
}

void controller::Leave() {
  node_.AnnounceLeaving();
  lease_->Resign();
}

void controller::RefuseNewWork() {}

bool controller::IsIdle() const {
  return lease_->term() == 0;
}

void controller::Stop() {
  planning_.Stop();
  orders_.Stop();
  node_.Stop();
}

}  // namespace valeledge::controller
