#ifndef DOGWOODFALL_MODULES_CORE_NODE_REQUEST_FLOW_H_
#define DOGWOODFALL_MODULES_CORE_NODE_REQUEST_FLOW_H_

#include "base/millis.h"
#include "core/ledger/waiter.h"
#include "core/node/node.h"
#include "core/node/pending_forward.h"
#include "model/answer.h"
#include "ports/action.h"

/** @file
 * The way of a request: to the daemon that knows its submission, and of the
 * answer back to whoever asked.
 */

namespace dogwoodfall {

/** Handles a request here, or passes it on to the daemon that can. */
void HandleRequest(Node& node,
                   Millis now,
                   const Waiter& waiter,
                   SubmissionRequest request,
                   Actions& actions);

/** Gives an answer to whoever waits for it. */
void Deliver(Node& node,
             Millis now,
             const Waiter& waiter,
             const Answer& answer,
             Actions& actions);

/** Tells whoever waits that it is not decided yet and to ask again. The
 * submission may have started.
 */
void DeliverPending(Node& node,
                    Millis now,
                    const Waiter& waiter,
                    const SubmissionId& id,
                    ResultCode code,
                    Actions& actions);

/** Handles again what was passed on to a process life that has ended. */
void RerouteForwardsTo(Node& node,
                       Millis now,
                       const DaemonRef& ended,
                       Actions& actions);

/** Handles again what waited for the stop note of a home.
 *
 * @param is_known false when the store gave no answer
 */
void ResumeSuccessorRecordWaiters(Node& node,
                                  Millis now,
                                  const DaemonRef& home,
                                  bool is_known,
                                  Actions& actions);

/** Answers requests that wait for a peer that is out of reach. */
void ExpireForwards(Node& node, Millis now, Actions& actions);

/** Answers long polls whose time is over. */
void ExpirePolls(Node& node, Millis now, Actions& actions);

/** A peer answered a request that was passed on to it. */
void HandleForwardAnswer(Node& node,
                         Millis now,
                         const DaemonRef& from,
                         const ForwardAnswer& message,
                         Actions& actions);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_NODE_REQUEST_FLOW_H_
