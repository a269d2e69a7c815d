// SPDX-License-Identifier: MIT
// What the status of a response states about the request and its server.
#ifndef VALELEDGE_DECISIONS_RESPONSE_STATUS_H_
#define VALELEDGE_DECISIONS_RESPONSE_STATUS_H_

namespace valeledge::decisions {

// Whether callers take a response with this HTTP status as a promise that the
// request has not run and never will.
bool PromisesNotRun(int status);

// Whether a server with this HTTP status has failed the request, rather than
// responded to what it asks for. Another server may respond otherwise.
bool IsServerFailure(int status);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_RESPONSE_STATUS_H_
