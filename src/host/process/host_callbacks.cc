// SPDX-License-Identifier: MIT
#include "host/process/host_callbacks.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/endpoint.h"
#include "host/constants.h"
#include "store/constants.h"
#include "wire/codec.h"

namespace valeledge::host {

namespace {

using std::chrono::milliseconds;

// Candidates for reading the store on behalf of other hosts. One of them reads;
// the next one is tried if it does not respond.
constexpr std::string_view kStoreReaderSubject = "read/store";
constexpr std::size_t kReaders = 4;

// Subject of the hosts that watch the lease holder.
constexpr std::string_view kLeaseWitnessSubject = "lease/witness";

// Space for the header fields that hosts add to a relayed request.
constexpr std::int64_t kRelayFieldBytes = 4 * 1024;

// Any newer entry of a server is known within this time of the last response of
// the store.
constexpr milliseconds kMaxServerListAge{2000};

bool IsServerListCurrent(const host_core& core, const store_mirror& mirror) {
  const auto age = mirror.Age();
  return mirror.revision() > 0 && age && *age <= kMaxServerListAge &&
         !core.is_stale();
}

}  // namespace

store_update_callbacks MakeStoreUpdateCallbacks(
    net::http_server& callers,
    net::http_server& relays,
    peer_link& peers,
    quarantine_coordinator& quarantine,
    prompt_quarantine_coordinator& prompt_quarantine) {
  store_update_callbacks callbacks;
  callbacks.configuration_changed =
      [&callers, &relays](const catalog::configuration& newer) {
        net::http_limits limits;
        limits.header_bytes = newer.limits.header_bytes;
        limits.body_bytes = newer.limits.body_bytes;
        limits.receive_timeout = newer.limits.header_timeout;
        limits.idle_timeout = newer.limits.idle_timeout;
        callers.SetLimits(limits);
        // Other hosts keep idle connections for their own time.
        limits.idle_timeout = net::http_limits().idle_timeout;
        limits.header_bytes += kRelayFieldBytes;
        relays.SetLimits(limits);
      };
  // The lease holder is the seed by which hosts that read the store discover
  // the others.
  callbacks.lease_holder_changed = [&peers](const base::endpoint& holder) {
    peers.SetSeeds({holder});
  };
  callbacks.quarantine_key_put = [&quarantine,
                                  &prompt_quarantine](const std::string& key) {
    return quarantine.PutKey(key) || prompt_quarantine.PutKey(key);
  };
  callbacks.quarantine_key_removed = [&quarantine, &prompt_quarantine](
                                         const std::string& key, bool lapsed) {
    return quarantine.RemoveKey(key, lapsed) ||
           prompt_quarantine.RemoveKey(key, lapsed);
  };
  return callbacks;
}

server_limit_callbacks MakeServerLimitCallbacks(
    const store::lease_keeper& lease,
    lease_succession& succession,
    const placement_controller& placement,
    peer_link& peers) {
  server_limit_callbacks callbacks;
  callbacks.term = [&lease, &succession] {
    const std::int64_t term = lease.CertainTerm();
    return term != 0 && succession.MaySendOrders() ? term : 0;
  };
  callbacks.holder = [&placement] { return placement.holder(); };
  callbacks.call = [&peers](base::endpoint where, wire::envelope call,
                            std::chrono::microseconds timeout) {
    return peers.Call(std::move(where), std::move(call), timeout);
  };
  callbacks.broadcast = [&peers](wire::limit_news update) {
    peers.Broadcast(std::string(kLimitsRecord), [&update](bool hand_on) {
      update.hand_on = hand_on;
      update.__isset.hand_on = hand_on;
      return wire::Encode(update);
    });
  };
  callbacks.broadcast_in_zone = [&peers](const wire::limit_news& update) {
    peers.BroadcastInZone(std::string(kLimitsRecord), wire::Encode(update));
  };
  return callbacks;
}

path_callbacks MakePathCallbacks(peer_link& peers) {
  path_callbacks callbacks;
  callbacks.sample_peers = [&peers](bool same_zone, std::size_t count) {
    return peers.SampleServing(same_zone, count);
  };
  callbacks.call = [&peers](base::endpoint where, wire::envelope call,
                            std::chrono::microseconds timeout) {
    return peers.Call(std::move(where), std::move(call), timeout);
  };
  return callbacks;
}

stream_origin_callbacks MakeStreamOriginCallbacks(const host_core& core,
                                                  peer_link& peers,
                                                  const store_mirror& mirror) {
  stream_origin_callbacks callbacks;
  callbacks.send = [&peers](std::string value, const std::string& subject,
                            std::size_t count) {
    peers.Send(std::string(kOriginRecord), std::move(value),
               {count, subject, {}});
  };
  callbacks.owners = [&core, &peers](const std::string& subject,
                                     std::size_t count) {
    auto owners = peers.ChosenAddresses(subject, count);
    std::erase(owners, core.settings.peer_listen);
    return owners;
  };
  callbacks.call = [&peers](base::endpoint where, wire::envelope call,
                            std::chrono::microseconds timeout) {
    return peers.Call(std::move(where), std::move(call), timeout);
  };
  callbacks.is_view_current = [&core, &mirror] {
    return IsServerListCurrent(core, mirror);
  };
  callbacks.random_hosts = [&peers] {
    auto hosts = peers.SampleServing(true, 1);
    std::ranges::copy(peers.SampleServing(false, 1), std::back_inserter(hosts));
    return hosts;
  };
  return callbacks;
}

lease_succession_callbacks MakeLeaseSuccessionCallbacks(
    const store::lease_keeper& lease,
    peer_link& peers,
    const store_mirror& mirror) {
  lease_succession_callbacks callbacks;
  callbacks.term = [&lease] { return lease.CertainTerm(); };
  callbacks.selected = [&peers] {
    // The holder may be among the selected hosts, but is no witness.
    return peers.ChosenAddresses(std::string(kLeaseWitnessSubject),
                                 decisions::kLeaseWitnesses + 1);
  };
  callbacks.holder = [&mirror]() -> std::optional<base::endpoint> {
    const auto holder = mirror.Value(std::string(store::kLeaderKey));
    return holder ? base::ParseEndpoint(*holder) : std::nullopt;
  };
  callbacks.send = [&peers](const base::endpoint& to, std::string_view record,
                            std::string value) {
    peers.Send(std::string(record), std::move(value), {0, {}, to});
  };
  return callbacks;
}

engine_estimate_callbacks MakeEngineEstimateCallbacks(peer_link& peers) {
  engine_estimate_callbacks callbacks;
  callbacks.owner = [&peers](const std::string& instance) {
    return peers.FirstHealthy(instance, 0);
  };
  callbacks.send = [&peers](const base::endpoint& to,
                            const wire::engine_observations& update) {
    peers.Send(std::string(kObservationsRecord), wire::Encode(update),
               {0, {}, to});
  };
  callbacks.broadcast = [&peers](const wire::engine_estimates& update) {
    peers.BroadcastEvenly(std::string(kEstimatesRecord),
                          [&update](bool hand_on) {
                            wire::engine_estimates sent = update;
                            if (hand_on)
                              sent.__set_hand_on(true);
                            return wire::Encode(sent);
                          });
  };
  callbacks.broadcast_in_zone = [&peers](const wire::engine_estimates& update) {
    peers.BroadcastInZone(std::string(kEstimatesRecord), wire::Encode(update));
  };
  return callbacks;
}

prompt_quarantine_callbacks MakePromptQuarantineCallbacks(peer_link& peers) {
  prompt_quarantine_callbacks callbacks;
  callbacks.send = [&peers](const wire::prompt_quarantine_update& update) {
    peers.Send(std::string(kPromptCrashesRecord), wire::Encode(update),
               {kMaxReportRecipients, std::string(kPromptCrashesSubject), {}});
  };
  callbacks.broadcast = [&peers](const wire::prompt_quarantine_update& update) {
    peers.Broadcast(std::string(kPromptCrashesRecord), [&update](bool hand_on) {
      wire::prompt_quarantine_update sent = update;
      sent.hand_on = hand_on;
      return wire::Encode(sent);
    });
  };
  callbacks.is_first = [&peers] {
    return peers.IsChosen(std::string(kPromptCrashesSubject), 1,
                          peer_link::scope::kAll);
  };
  return callbacks;
}

quarantine_callbacks MakeQuarantineCallbacks(peer_link& peers) {
  quarantine_callbacks callbacks;
  callbacks.send = [&peers](const auto& value, const auto& recipients) {
    peers.Send(std::string(kCrashesRecord), value, recipients);
  };
  callbacks.is_first = [&peers](const std::string& subject) {
    return peers.IsChosen(subject, 1, peer_link::scope::kAll);
  };
  return callbacks;
}

key_freshness_callbacks MakeKeyFreshnessCallbacks(peer_link& peers,
                                                  const store_mirror& mirror) {
  key_freshness_callbacks callbacks;
  callbacks.send = [&peers](const base::endpoint& to, std::string_view record,
                            std::string value) {
    peers.Send(std::string(record), std::move(value), {0, {}, to});
  };
  callbacks.readers = [&peers] {
    return peers.ChosenAddresses(std::string(kStoreReaderSubject), kReaders,
                                 membership::kHighBandwidth);
  };
  callbacks.revision = [&mirror] { return mirror.revision(); };
  return callbacks;
}

}  // namespace valeledge::host
