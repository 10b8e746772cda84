#ifndef DOGWOODFALL_MODULES_CORE_NODE_REQUEST_ROUTING_H_
#define DOGWOODFALL_MODULES_CORE_NODE_REQUEST_ROUTING_H_

#include <cstdint>

#include "base/ids.h"
#include "base/millis.h"
#include "base/result_code.h"
#include "core/ledger/submission_id.h"
#include "core/node/node.h"
#include "core/node/pending_forward.h"
#include "model/daemon_ref.h"

/** @file
 * Finds the daemon that can answer a request about a submission.
 */

namespace dogwoodfall {

/** Maximum number of times that a request is forwarded. */
inline constexpr uint32_t kMaxHops = 4;

/** Where a request is to be handled. */
enum class RouteKind : uint8_t {
  kLocal,
  kPeer,
  /** This daemon serves the hash slot of the id, which is not claimed yet. */
  kClaimLocally,
  /** The request fails: the home is gone, or the id is too old. */
  kFinal,
  /** The home is gone; its successor record has to be read. */
  kLookUpSuccessor,
  /** The responsible daemon is unreachable or not known at present. */
  kUndecided,
};

struct Route {
  RouteKind kind = RouteKind::kUndecided;
  DaemonRef peer;
  ResultCode code = ResultCode::kHomeUnreachable;
  /** Incarnation that claimed a caller-chosen id; empty if not known. */
  DaemonRef claimant;
};

/** Returns the customer on whose behalf a request is made. */
const CustomerId& CustomerOf(const SubmissionRequest& request);

/** Returns the submission that a request refers to. */
const SubmissionId& IdOf(const SubmissionRequest& request);

/** Returns the incarnation that claimed the id, as stated by the sender of the
 * request.
 */
DaemonRef& ClaimantOf(SubmissionRequest& request);

/** Returns the number of times that the request was forwarded so far. */
uint32_t& HopsOf(SubmissionRequest& request);

/** Returns true once this daemon has begun to hand its submissions over to a
 * successor. Requests about them are then routed to the successor.
 */
bool HasBegunHandover(const Node& node);

/** Finds the daemon that can answer a request.
 *
 * @param id the parsed id of the request
 */
Route FindRoute(const Node& node,
                const SubmissionRequest& request,
                const ParsedId& id,
                Millis now);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_NODE_REQUEST_ROUTING_H_
