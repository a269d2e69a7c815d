// SPDX-License-Identifier: MIT
// Reads the platform's host list in the few processes that watch, and tells
// the others which hosts are leaving.
#ifndef VALELEDGE_NODE_HOST_WATCH_H_
#define VALELEDGE_NODE_HOST_WATCH_H_

#include <functional>
#include <set>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "base/duty.h"
#include "net/http_client.h"
#include "node/node_settings.h"

namespace valeledge::node {

struct member_view;

// Repeats the list as a soft record when it has changed. Lives on the
// platform's thread.
class host_watch {
 public:
  // `is_watcher` says whether this process reads the list; `announce` tells
  // the others the value of the record.
  host_watch(base::duty& platform,
             const node_settings& settings,
             std::function<bool()> is_watcher,
             std::function<void(std::string)> announce);

  // Does nothing if the settings name no host list.
  void Start();

 private:
  boost::asio::awaitable<void> Loop();

  base::duty& platform_;
  const node_settings& settings_;
  std::function<bool()> is_watcher_;
  std::function<void(std::string)> announce_;
  net::http_client http_;
  std::string last_;
};

// IP numbers of the hosts that the platform's list calls leaving.
std::set<std::string> LeavingHosts(const member_view& view);

}  // namespace valeledge::node

#endif  // VALELEDGE_NODE_HOST_WATCH_H_
