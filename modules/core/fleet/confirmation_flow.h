#ifndef DOGWOODFALL_MODULES_CORE_FLEET_CONFIRMATION_FLOW_H_
#define DOGWOODFALL_MODULES_CORE_FLEET_CONFIRMATION_FLOW_H_

#include "core/fleet/fleet_node.h"
#include "model/heartbeat.h"

namespace dogwoodfall {

/** @file
 * Receivers confirm the jobs that they wait for to the schedulers that run
 * them, which extends the leases of the jobs (core/scheduling/job_lease.h).
 *
 * A confirmation answers a heartbeat of the scheduler and counts from the
 * sending of that heartbeat, so that no clocks are compared and a delayed
 * message extends nothing for too long. A receiver confirms a job only to the
 * daemon that it takes for its scheduler, and to the last one while there is no
 * next one. When it assigns the job to another one, the runs of the previous
 * one end within kRunsEndedAfter, whether or not that one can be reached.
 */

/** Answers a scheduler's heartbeat with the jobs that this daemon waits for,
 * and with the announced jobs that it knows of now (announcement_flow.h).
 * Without any, one heartbeat in some seconds is answered.
 */
void ConfirmJobs(FleetNode& node,
                 const Heartbeat& heartbeat,
                 Millis now,
                 Actions& actions);

/** Extends the leases of the jobs that a peer has confirmed or acknowledged.
 * @return true when tasks may be started that had to wait for it
 */
bool ApplyConfirmations(FleetNode& node,
                        const Heartbeat& confirmation,
                        Millis now);

/** Confirms the jobs that this daemon both waits for and schedules. */
void ConfirmOwnJobs(FleetNode& node, Millis now);

/** Sends heartbeats to the receivers of jobs whose leases have not been
 * extended for a while, and to peers that have not acknowledged an announced
 * job. Other heartbeats may be rarer, get lost or not be exchanged.
 */
void RequestConfirmations(FleetNode& node, Millis now, Actions& actions);

/** Removes early jobs that no receiver has confirmed for a while. */
void RemoveUnconfirmedEarlyJobs(FleetNode& node, Millis now, Actions& actions);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_FLEET_CONFIRMATION_FLOW_H_
