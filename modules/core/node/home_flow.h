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
 * What a home does with its submissions: take or refuse them, assign their
 * tasks, collect the outcomes, and end them with one answer.
 */

namespace dogwoodfall {

/** Handles a request whose submission this daemon alone knows: its id was
 * minted here or claimed by this daemon, or by a home it has taken over.
 */
void HandleAtHome(Node& node,
                  Millis now,
                  const Waiter& waiter,
                  const SubmissionRequest& request,
                  Actions& actions);

/** Handles a request with a chosen id that nobody has claimed so far and whose
 * slot is served here.
 */
void HandleAtClaimOwner(Node& node,
                        Millis now,
                        const Waiter& waiter,
                        const SubmissionRequest& request,
                        Actions& actions);

/** The claims of these submissions are written: they may start. */
void TakeClaimed(Node& node,
                 Millis now,
                 const std::vector<SubmissionKey>& claimed,
                 Actions& actions);

/** It is not known whether these submissions are new: nothing starts. */
void GiveUpClaims(Node& node,
                  Millis now,
                  const std::vector<SubmissionKey>& undecided,
                  Actions& actions);

/** Gives up claims that took too long. */
void ExpireClaims(Node& node, Millis now, Actions& actions);

/** Takes a report of a task that was assigned to a daemon. */
void HandleReport(Node& node,
                  Millis now,
                  const DaemonRef& from,
                  const TaskReport& report,
                  Actions& actions);

/** Ends submissions whose deadline has passed. */
void ExpireSubmissions(Node& node, Millis now, Actions& actions);

/** Settles tasks that were assigned to a process life that has ended. */
void SettleTasksOf(Node& node,
                   Millis now,
                   const DaemonRef& ended,
                   Actions& actions);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_NODE_HOME_FLOW_H_
