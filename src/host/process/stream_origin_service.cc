// SPDX-License-Identifier: MIT
#include "host/process/stream_origin_service.h"

#include <set>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "wire/codec.h"

namespace valeledge::host {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// Hosts that are alive reply within a few milliseconds.
constexpr milliseconds kQuestionTimeout{150};

wire::stream_origin ToWire(std::uint64_t stream,
                           const decisions::stream_origin& origin) {
  wire::stream_origin out;
  out.stream = static_cast<std::int64_t>(stream);
  out.service_name = origin.service;
  out.software = origin.software;
  return out;
}

decisions::stream_origin FromWire(const wire::stream_origin& record) {
  return {record.service_name, record.software};
}

decisions::origin_evidence FromWire(const wire::origin_reply& reply) {
  decisions::origin_evidence out;
  if (reply.__isset.origin)
    out.recorded = FromWire(reply.origin);
  out.software.insert(reply.software.begin(), reply.software.end());
  out.is_complete = reply.is_complete;
  return out;
}

}  // namespace

struct stream_origin_service::pending_question {
  explicit pending_question(asio::io_context& context) : done(context) {}

  decisions::origin_evidence evidence;
  std::size_t replies_missing = 0;
  // Expires at the timeout; cancelled as soon as nothing more is awaited.
  asio::steady_timer done;
};

stream_origin_service::stream_origin_service(host_core& core,
                                             stream_origin_callbacks callbacks)
    : core_(core), callbacks_(std::move(callbacks)) {
  core_.publish_origin = [this](std::uint64_t stream,
                                const decisions::stream_origin& origin) {
    Publish(stream, origin);
  };
  core_.find_origin = [this](std::optional<std::uint64_t> stream,
                             std::string service) {
    return Find(stream, std::move(service));
  };
}

void stream_origin_service::Publish(std::uint64_t stream,
                                    const decisions::stream_origin& origin) {
  callbacks_.send(wire::Encode(ToWire(stream, origin)),
                  decisions::OriginSubject(stream), decisions::kOriginOwners);
}

void stream_origin_service::HandleRecord(const wire::stream_origin& record) {
  decisions::RecordOrigin(core_.origins,
                          static_cast<std::uint64_t>(record.stream),
                          FromWire(record), std::chrono::steady_clock::now());
}

wire::origin_reply stream_origin_service::HandleQuestion(
    const wire::origin_question& question) const {
  std::optional<std::uint64_t> stream;
  if (question.stream != 0)
    stream = static_cast<std::uint64_t>(question.stream);
  const auto evidence = OwnEvidence(stream, question.service_name);
  wire::origin_reply reply;
  reply.is_complete = evidence.is_complete;
  if (question.all_services && evidence.is_complete) {
    const auto versions = core_.servers.VersionsSince(
        std::chrono::steady_clock::now() - decisions::kOriginLifetime);
    reply.__isset.versions = true;
    for (const auto& [service, software] : versions)
      reply.versions.push_back(ToWire(0, {service, software}));
  }
  if (evidence.recorded)
    reply.__set_origin(ToWire(*stream, *evidence.recorded));
  reply.software.assign(evidence.software.begin(), evidence.software.end());
  return reply;
}

void stream_origin_service::OnFirstServerList(bool has_run_before) {
  is_first_start_ = core_.settings.first_start && !has_run_before;
}

void stream_origin_service::Tick(base::time_point now) {
  const bool is_current = callbacks_.is_view_current();
  decisions::ObserveServerView(view_, is_current, is_first_start_, now);
  const bool asks = is_current && now >= next_question_at_ &&
                    !decisions::CoversAllStreams(view_, is_current, now);
  if (!asks)
    return;
  const bool is_early = now - core_.started < decisions::kFirstQuestionsPeriod;
  next_question_at_ = now + (is_early ? decisions::kFirstVersionQuestions
                                      : decisions::kLaterVersionQuestions);
  for (const base::endpoint& each : callbacks_.random_hosts())
    asio::co_spawn(core_.context, AskForVersions(each), asio::detached);
}

asio::awaitable<void> stream_origin_service::AskForVersions(
    base::endpoint where) {
  wire::origin_question question;
  question.__set_all_services(true);
  wire::envelope call;
  call.__set_origin_wanted(question);
  const auto reply = co_await callbacks_.call(std::move(where), std::move(call),
                                              kQuestionTimeout);
  const bool is_stated = reply && reply->__isset.origin &&
                         reply->origin.is_complete &&
                         reply->origin.__isset.versions;
  // Versions that came while the list was not current are unknown to both.
  if (!is_stated || !callbacks_.is_view_current())
    co_return;
  const auto now = std::chrono::steady_clock::now();
  for (const wire::stream_origin& each : reply->origin.versions)
    core_.servers.RecordListedVersion({each.service_name, each.software}, now);
  decisions::RecordStatedVersions(view_, now);
}

decisions::origin_evidence stream_origin_service::OwnEvidence(
    std::optional<std::uint64_t> stream,
    const std::string& service) const {
  const auto now = std::chrono::steady_clock::now();
  decisions::origin_evidence evidence;
  if (stream)
    evidence.recorded = decisions::FindOrigin(core_.origins, *stream, now);
  evidence.software =
      core_.servers.SoftwareSince(service, now - decisions::kOriginLifetime);
  evidence.is_complete =
      decisions::CoversAllStreams(view_, callbacks_.is_view_current(), now);
  return evidence;
}

asio::awaitable<decisions::origin_evidence> stream_origin_service::Find(
    std::optional<std::uint64_t> stream,
    std::string service) {
  decisions::origin_evidence evidence =
      decisions::WithoutOwnCertainty(OwnEvidence(stream, service));
  if (evidence.recorded)
    co_return evidence;
  const auto replies = co_await AskOwners(stream, std::move(service));
  decisions::AddReply(evidence, replies);
  co_return evidence;
}

asio::awaitable<decisions::origin_evidence> stream_origin_service::AskOwners(
    std::optional<std::uint64_t> stream,
    std::string service) {
  const auto owners = callbacks_.owners(
      decisions::OriginSubject(stream.value_or(core_.random())),
      stream ? decisions::kAskedOwners : decisions::kAskedForVersions);
  if (owners.empty())
    co_return decisions::origin_evidence();
  wire::origin_question question;
  if (stream)
    question.stream = static_cast<std::int64_t>(*stream);
  question.service_name = std::move(service);
  wire::envelope call;
  call.__set_origin_wanted(question);
  const auto pending = std::make_shared<pending_question>(core_.context);
  pending->replies_missing = owners.size();
  pending->done.expires_after(kQuestionTimeout);
  for (const base::endpoint& owner : owners) {
    asio::co_spawn(core_.context, AskOwner(pending, owner, call),
                   asio::detached);
  }
  const bool is_waiting =
      !pending->evidence.recorded && pending->replies_missing > 0;
  if (is_waiting)
    co_await pending->done.async_wait(kAwait);
  co_return pending->evidence;
}

asio::awaitable<void> stream_origin_service::AskOwner(
    std::shared_ptr<pending_question> pending,
    base::endpoint owner,
    wire::envelope call) {
  const auto reply = co_await callbacks_.call(std::move(owner), std::move(call),
                                              kQuestionTimeout);
  --pending->replies_missing;
  decisions::origin_evidence& evidence = pending->evidence;
  if (reply && reply->__isset.origin) {
    decisions::AddReply(evidence, FromWire(reply->origin));
  }
  if (evidence.recorded || pending->replies_missing == 0)
    pending->done.cancel();
}

}  // namespace valeledge::host
