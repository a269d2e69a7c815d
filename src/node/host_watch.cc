// SPDX-License-Identifier: MIT
#include "node/host_watch.h"

#include <sstream>
#include <utility>

#include "membership/constants.h"
#include "node/node.h"
#include "store/host_list.h"

namespace valeledge::node {

namespace {

namespace asio = boost::asio;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

std::string Join(const std::set<std::string>& lines) {
  std::string out;
  for (const std::string& line : lines)
    out.append(line).append("\n");
  return out;
}

}  // namespace

host_watch::host_watch(base::duty& platform,
                       const node_settings& settings,
                       std::function<bool()> is_watcher,
                       std::function<void(std::string)> announce)
    : platform_(platform),
      settings_(settings),
      is_watcher_(std::move(is_watcher)),
      announce_(std::move(announce)),
      http_(platform.context()) {}

void host_watch::Start() {
  if (settings_.host_list.port != 0)
    asio::co_spawn(platform_.context(), Loop(), asio::detached);
}

asio::awaitable<void> host_watch::Loop() {
  asio::steady_timer timer(platform_.context());
  while (true) {
    timer.expires_after(settings_.host_list_interval);
    co_await timer.async_wait(kAwait);
    if (!is_watcher_())
      continue;
    const auto list = co_await store::ReadHostList(http_, settings_.host_list,
                                                   settings_.platform_timeout);
    if (!list)
      continue;
    std::string value = Join(list->leaving);
    if (value == last_)
      continue;
    last_ = value;
    announce_(std::move(value));
  }
}

std::set<std::string> LeavingHosts(const member_view& view) {
  std::set<std::string> out;
  const auto record = view.records.find(membership::kLeavingHostsRecord);
  if (record == view.records.end())
    return out;
  std::istringstream lines(record->second.value);
  std::string line;
  while (std::getline(lines, line)) {
    if (!line.empty())
      out.insert(line);
  }
  return out;
}

}  // namespace valeledge::node
