// SPDX-License-Identifier: MIT
#include "tools/ctl/quarantine_command.h"

#include <iostream>
#include <utility>
#include <vector>

#include "store/constants.h"
#include "store/etcd_client.h"
#include "tools/ctl/read_keys.h"
#include "tools/ctl/run_to_end.h"

namespace valeledge::ctl {

namespace {

namespace asio = boost::asio;

// Removes the key. Returns false if the store does not contain it.
asio::awaitable<base::result<bool>> Remove(store::kv_client& service,
                                           std::string key) {
  store::kv_transaction removal;
  removal.conditions.push_back(store::Absent(key));
  removal.on_failure.push_back(store::Delete(key));
  const auto done = co_await service.Run(std::move(removal));
  if (!done)
    co_return tl::make_unexpected(done.error());
  co_return !done->succeeded;
}

}  // namespace

exit_status ShowQuarantines(const base::endpoint& platform,
                            std::chrono::microseconds timeout,
                            output_format format) {
  asio::io_context context(1);
  store::etcd_client service(context, {platform, timeout}, nullptr);
  const auto pairs =
      RunToEnd(context, ReadKeys(service, std::string(store::kHeldPrefix)));
  if (!pairs)
    return Report(pairs.error());
  listing out{{"name", "evidence"}, {}};
  for (const store::kv_pair& pair : *pairs)
    out.rows.push_back(
        {pair.key.substr(store::kHeldPrefix.size()), pair.value});
  Print(out, format);
  return exit_status::kOk;
}

exit_status LiftQuarantine(const base::endpoint& platform,
                           const std::string& name,
                           std::chrono::microseconds timeout) {
  asio::io_context context(1);
  store::etcd_client service(context, {platform, timeout}, nullptr);
  const auto removed = RunToEnd(
      context, Remove(service, std::string(store::kHeldPrefix) + name));
  if (!removed)
    return Report(removed.error());
  if (!*removed) {
    std::cerr << name
              << " is not quarantined; \"valeledgectl quarantine show\" "
              << "lists what is\n";
    return exit_status::kRefused;
  }
  std::cout << name << " is no longer quarantined\n";
  return exit_status::kOk;
}

}  // namespace valeledge::ctl
