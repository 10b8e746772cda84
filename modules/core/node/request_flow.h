#ifndef DOGWOODFALL_MODULES_CORE_NODE_REQUEST_FLOW_H_
#define DOGWOODFALL_MODULES_CORE_NODE_REQUEST_FLOW_H_

#include "base/millis.h"
#include "core/ledger/waiter.h"
#include "core/node/node.h"
#include "core/node/pending_forward.h"
#include "model/answer.h"
#include "ports/action.h"

/** @file
 * Forwards a request to the daemon that holds its submission, and delivers the
 * answer to the caller or peer that sent the request.
 */

namespace dogwoodfall {

/** Handles a request locally or forwards it to the daemon that can. */
void HandleRequest(Node& node,
                   Millis now,
                   const Waiter& waiter,
                   SubmissionRequest request,
                   Actions& actions);

/** Delivers an answer to the caller or peer that waits for it. */
void Deliver(Node& node,
             Millis now,
             const Waiter& waiter,
             const Answer& answer,
             Actions& actions);

/** Delivers a pending answer, on which the caller has to retry later. The
 * submission may have started.
 */
void DeliverPending(Node& node,
                    Millis now,
                    const Waiter& waiter,
                    const SubmissionId& id,
                    ResultCode code,
                    Actions& actions);

/** Routes requests again that were forwarded to an ended incarnation. */
void RerouteForwardsTo(Node& node,
                       Millis now,
                       const DaemonRef& ended,
                       Actions& actions);

/** Handles the requests that waited for the successor record of a home.
 *
 * @param has_reply false if the record could not be read from the store
 */
void ResumeSuccessorRecordWaiters(Node& node,
                                  Millis now,
                                  const DaemonRef& home,
                                  bool has_reply,
                                  Actions& actions);

/** Answers forwarded requests whose peer is unreachable and that are older than
 * forward_timeout.
 */
void ExpireForwards(Node& node, Millis now, Actions& actions);

/** Answers long polls whose wait time has passed. */
void ExpirePolls(Node& node, Millis now, Actions& actions);

/** Handles the answer of a peer to a forwarded request. */
void HandleForwardAnswer(Node& node,
                         Millis now,
                         const DaemonRef& from,
                         const ForwardAnswer& message,
                         Actions& actions);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_NODE_REQUEST_FLOW_H_
