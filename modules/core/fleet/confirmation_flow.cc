#include "core/fleet/confirmation_flow.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "core/fleet/announcement_flow.h"
#include "core/fleet/heartbeat_flow.h"
#include "core/scheduling/job_lease.h"

namespace dogwoodfall {
namespace {

/** Time without a confirmation after which one is requested. */
constexpr Millis kRequestAfter{200};
/** Minimum time between two heartbeats to a receiver that request it. */
constexpr Millis kRequestPeriod{100};
/** Longest time between two answers to a peer that sends heartbeats. The
 * answers tell it the difference of the clocks (peer_clock.h).
 */
constexpr Millis kAnswerPeriod{5'000};

/** Returns true when a daemon may run a job of a receiver: it is the scheduler,
 * or was the last one and has no successor yet.
 */
bool IsConfirmedTo(const PendingJob& pending, const DaemonRef& daemon) {
  const bool has_scheduler = pending.scheduler != DaemonRef();
  return daemon ==
         (has_scheduler ? pending.scheduler : pending.previous_scheduler);
}

/** Returns the pending jobs that a daemon runs, and records that their leases
 * are extended.
 */
std::vector<SubmissionId> RecordConfirmations(FleetNode& node,
                                              const DaemonRef& scheduler,
                                              Millis now) {
  std::vector<SubmissionId> confirmed;
  for (auto& [id, pending] : node.reception.pending) {
    if (!IsConfirmedTo(pending, scheduler) || pending.caller_deadline <= now)
      continue;
    pending.confirmed_at = now;
    confirmed.push_back(id);
  }
  return confirmed;
}

/** Adds the daemons that wait for a job that is or was scheduled here. */
void AddReceivers(const FleetNode& node,
                  const SubmissionId& id,
                  std::set<DaemonId>& receivers) {
  const auto job = node.scheduler.jobs.find(id);
  if (job != node.scheduler.jobs.end()) {
    receivers.insert(job->second.receiver.id);
    for (const DaemonRef& receiver : job->second.other_receivers)
      receivers.insert(receiver.id);
    return;
  }
  const auto forwarded = node.forwarded_jobs.find(id);
  if (forwarded == node.forwarded_jobs.end())
    return;
  for (const DaemonRef& receiver : forwarded->second.receivers)
    receivers.insert(receiver.id);
}

}  // namespace

void ConfirmJobs(FleetNode& node,
                 const Heartbeat& heartbeat,
                 Millis now,
                 Actions& actions) {
  std::vector<SubmissionId> confirmed =
      RecordConfirmations(node, heartbeat.from, now);
  std::vector<SubmissionId> acknowledged =
      FindAcknowledgedJobs(node, heartbeat);
  PeerStatus& peer_status = node.peers[heartbeat.from.id];
  const bool is_due = peer_status.answered_at + kAnswerPeriod <= now;
  if (confirmed.empty() && acknowledged.empty() && !is_due)
    return;
  peer_status.answered_at = now;
  Heartbeat confirmation;
  confirmation.from = node.self;
  confirmation.zone = node.zone;
  confirmation.sent_at = now;
  confirmation.confirmed_jobs = std::move(confirmed);
  confirmation.acknowledged_jobs = std::move(acknowledged);
  confirmation.answered_sent_at = heartbeat.sent_at;
  actions.push_back(SendHeartbeat{{heartbeat.from.id}, confirmation});
}

bool ApplyConfirmations(FleetNode& node,
                        const Heartbeat& confirmation,
                        Millis now) {
  const Millis confirmed_at = confirmation.answered_sent_at;
  Scheduler& scheduler = node.scheduler;
  bool has_resumed_job = false;
  for (const SubmissionId& id : confirmation.confirmed_jobs) {
    const bool had_to_wait = !MayStartTasks(scheduler, id, now);
    RenewJobLease(scheduler, id, confirmed_at);
    has_resumed_job |= had_to_wait && MayStartTasks(scheduler, id, now);
    for (EarlyJob& early : node.early_jobs) {
      if (early.submission.job.id == id)
        early.submission.sent_at =
            std::max(early.submission.sent_at, confirmed_at);
    }
  }
  ApplyAcknowledgements(node, confirmation);
  return ExtendAnnouncementLeases(node, now) || has_resumed_job;
}

void ConfirmOwnJobs(FleetNode& node, Millis now) {
  for (const SubmissionId& id : RecordConfirmations(node, node.self, now))
    RenewJobLease(node.scheduler, id, now);
}

void RequestConfirmations(FleetNode& node, Millis now, Actions& actions) {
  std::set<DaemonId> peers;
  for (const auto& [id, lease] : node.scheduler.job_lease_ends) {
    const Millis lease_end = lease.confirmed_until;
    const bool is_due = lease_end - kJobLease + kRequestAfter <= now;
    if (is_due && !IsOrphaned(node.scheduler, lease_end, now))
      AddReceivers(node, id, peers);
  }
  AddUninformedSchedulers(node, now, peers);
  for (const EarlyJob& early : node.early_jobs) {
    if (early.submission.sent_at + kRequestAfter <= now)
      peers.insert(early.receiver.id);
  }
  peers.erase(node.self.id);
  for (const DaemonId& id : peers) {
    const auto peer_status = node.peers.find(id);
    if (peer_status == node.peers.end() ||
        now - peer_status->second.heartbeat_sent_at < kRequestPeriod)
      continue;
    SendHeartbeatTo(node, {id}, now, actions);
  }
}

void RemoveUnconfirmedEarlyJobs(FleetNode& node, Millis now, Actions& actions) {
  std::vector<EarlyJob> kept;
  for (EarlyJob& early : std::exchange(node.early_jobs, {})) {
    const Millis lease_end = early.submission.sent_at + kJobLease;
    if (early.receiver == node.self ||
        !IsOrphaned(node.scheduler, lease_end, now)) {
      kept.push_back(std::move(early));
      continue;
    }
    actions.push_back(LogEvent{"early_job_cancelled",
                               {{"job", early.submission.job.id.value},
                                {"receiver", early.receiver.id.value},
                                {"reason", "receiver_gone"}}});
    node.scheduler.finished.push_back(
        FinishedJob::Ended(early.receiver, early.submission.job.id,
                           {JobResult::kAbandoned, {}, "receiver_gone"}));
  }
  node.early_jobs = std::move(kept);
}

}  // namespace dogwoodfall
