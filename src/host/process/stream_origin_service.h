// SPDX-License-Identifier: MIT
// Shares between hosts which service and software version began a stream, so
// that a caller can resume it through any host.
//
// The host that forwards the first event of a stream sends the origin to a few
// owner hosts, selected by rendezvous hashing of the attempt's digest. A host
// at which the stream is resumed queries the owners. Origins are
// kept in memory only: if all hosts that know an origin have ended, the stream
// is resumed only while its service has had a single version. A host that has
// just started learns the recent versions from others.
#ifndef VALELEDGE_HOST_PROCESS_STREAM_ORIGIN_SERVICE_H_
#define VALELEDGE_HOST_PROCESS_STREAM_ORIGIN_SERVICE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "base/endpoint.h"
#include "decisions/stream_origin.h"
#include "host/process/host_core.h"
#include "wire/generated/messages_types.h"

namespace valeledge::host {

// Key of the record with the origin of a stream.
inline constexpr std::string_view kOriginRecord = "origin";

// Dependencies on other components; called on the host's thread.
struct stream_origin_callbacks {
  // Sends an encoded record to up to `count` owners selected for a subject.
  std::function<
      void(std::string value, const std::string& subject, std::size_t count)>
      send;
  // Returns up to `count` owners selected for a subject, without this host, in
  // descending order of weight.
  std::function<std::vector<base::endpoint>(const std::string& subject,
                                            std::size_t count)>
      owners;
  std::function<boost::asio::awaitable<base::result<wire::envelope>>(
      base::endpoint where,
      wire::envelope call,
      std::chrono::microseconds timeout)>
      call;
  // Whether this host's list of servers is current.
  std::function<bool()> is_view_current;
  // Returns a random host of this host's availability zone and one of the
  // others, if there are any.
  std::function<std::vector<base::endpoint>()> random_hosts;
};

class stream_origin_service {
 public:
  // `core` must outlive this object. The constructor installs the service in
  // the core.
  stream_origin_service(host_core& core, stream_origin_callbacks callbacks);

  // Applies a record of another host.
  void HandleRecord(const wire::stream_origin& record);
  // Answers another host.
  wire::origin_reply HandleQuestion(
      const wire::origin_question& question) const;

  // This host has its first list of servers. `has_run_before`: the fleet has
  // run before, whatever this host's settings say.
  void OnFirstServerList(bool has_run_before);

  // Must be called several times a second.
  void Tick(base::time_point now);

 private:
  // The replies of other hosts to one question.
  struct pending_question;

  void Publish(std::uint64_t stream, const decisions::stream_origin& origin);
  boost::asio::awaitable<decisions::origin_evidence> Find(
      std::optional<std::uint64_t> stream,
      std::string service);
  // Asks the hosts that should know the origin, until one of them does; a few
  // random ones for the versions if the caller does not name the stream.
  boost::asio::awaitable<decisions::origin_evidence> AskOwners(
      std::optional<std::uint64_t> stream,
      std::string service);
  boost::asio::awaitable<void> AskOwner(
      std::shared_ptr<pending_question> pending,
      base::endpoint owner,
      wire::envelope call);
  // Asks another host for the recent versions of all services.
  boost::asio::awaitable<void> AskForVersions(base::endpoint where);
  // What this host itself knows.
  decisions::origin_evidence OwnEvidence(std::optional<std::uint64_t> stream,
                                         const std::string& service) const;

  host_core& core_;
  stream_origin_callbacks callbacks_;
  decisions::server_view view_;
  bool is_first_start_ = false;
  base::time_point next_question_at_;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_PROCESS_STREAM_ORIGIN_SERVICE_H_
