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
 * Which daemon can answer a request about a submission.
 */

namespace dogwoodfall {

/** Daemons that may pass a request on, one after another. */
inline constexpr uint32_t kMaxHops = 4;

/** Where a request is to be handled. */
enum class RouteKind : uint8_t {
  kLocal,
  kPeer,
  /** Claims of the id are decided here. */
  kClaimLocally,
  /** The answer is known: the home is gone, or the id too old. */
  kFinal,
  /** The home is gone; its stop note has to be read. */
  kLookUpSuccessor,
  /** Nobody can say now. */
  kUndecided,
};

struct Route {
  RouteKind kind = RouteKind::kUndecided;
  DaemonRef peer;
  ResultCode code = ResultCode::kHomeUnreachable;
  /** The process life that claimed a chosen id; none when not known. */
  DaemonRef claimant;
};

/** The customer a request is made for. */
const CustomerId& CustomerOf(const SubmissionRequest& request);

/** The submission a request is about. */
const SubmissionId& IdOf(const SubmissionRequest& request);

/** The process life that claimed the id, as far as the sender knows. */
DaemonRef& ClaimantOf(SubmissionRequest& request);

/** Daemons that have passed the request on so far. */
uint32_t& HopsOf(SubmissionRequest& request);

/** True once a stopping daemon has given its submissions to a successor. */
bool HasHandedOver(const Node& node);

/** Finds the daemon that can answer a request.
 *
 * @param id what the request's id says
 */
Route FindRoute(const Node& node,
                const SubmissionRequest& request,
                const ParsedId& id,
                Millis now);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_NODE_REQUEST_ROUTING_H_
