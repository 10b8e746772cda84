#ifndef DOGWOODFALL_MODULES_CORE_NODE_HOME_FLOW_H_
#define DOGWOODFALL_MODULES_CORE_NODE_HOME_FLOW_H_

#include <vector>

#include "base/millis.h"
#include "core/ledger/waiter.h"
#include "core/node/node.h"
#include "core/node/pending_forward.h"
#include "model/task_report.h"
#include "ports/action.h"

/** @file
 * The handling of submissions at their home: accept or refuse them, assign
 * their tasks, collect the outcomes, and end them with a single answer.
 */

namespace dogwoodfall {

/** Handles a request about a submission whose home is this daemon: the id was
 * minted or claimed by this daemon or by a home that it has adopted.
 */
void HandleAtHome(Node& node,
                  Millis now,
                  const Waiter& waiter,
                  const SubmissionRequest& request,
                  Actions& actions);

/** Handles a request with a caller-chosen id that no daemon has claimed yet and
 * whose hash slot this daemon serves.
 */
void HandleAtClaimOwner(Node& node,
                        Millis now,
                        const Waiter& waiter,
                        const SubmissionRequest& request,
                        Actions& actions);

/** Admits submissions whose claims were written to the store. */
void AdmitClaimed(Node& node,
                  Millis now,
                  const std::vector<SubmissionKey>& claimed,
                  Actions& actions);

/** Answers submissions whose claims are undecided. None of them is started,
 * since it is not known whether their ids are new.
 */
void AbandonClaims(Node& node,
                   Millis now,
                   const std::vector<SubmissionKey>& undecided,
                   Actions& actions);

/** Abandons claims that took longer than ClaimLimits::max_wait. */
void ExpireClaims(Node& node, Millis now, Actions& actions);

/** Handles the report of a daemon on a task that was assigned to it. */
void HandleReport(Node& node,
                  Millis now,
                  const DaemonRef& from,
                  const TaskReport& report,
                  Actions& actions);

/** Fails submissions whose deadline has passed. */
void ExpireSubmissions(Node& node, Millis now, Actions& actions);

/** Resolves tasks that were assigned to an incarnation that has ended. */
void ResolveTasksOf(Node& node,
                    Millis now,
                    const DaemonRef& ended,
                    Actions& actions);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_NODE_HOME_FLOW_H_
