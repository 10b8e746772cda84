#include "core/fleet/announcement_flow.h"

#include <algorithm>
#include <string>

#include "core/fleet/heartbeat_flow.h"
#include "core/scheduling/job_lease.h"

namespace dogwoodfall {
namespace {

/** Lease of a job from the sending of an announcement that is acknowledged. */
constexpr Millis kAnnouncedJobLease =
    kAnnouncementValidity - kRunsEndedAfterLease;
/** Remaining lease below which jobs are announced outside of the usual period
 * of heartbeats.
 */
constexpr Millis kAnnounceAgainBelow{400};

/** Time for which a job is announced that was handed over: by then its next
 * scheduler announces it, or its runs have ended.
 */
constexpr Millis kReleasedJobAnnouncement =
    kHandedOverJobLease + kRunsEndedAfterLease;

bool IsAnnounced(const ScheduledJob& job, Millis now) {
  return now - job.received_at >= kAnnounceJobAfter;
}

/** Returns the daemons that might schedule a repeat, whichever zone it arrives
 * in: the other owners of groups, and those that replace an owner next.
 */
std::set<DaemonId> FindSchedulersOfRepeats(const FleetNode& node) {
  std::set<DaemonId> schedulers = node.view.owner_candidates;
  schedulers.erase(node.self.id);
  return schedulers;
}

/** Returns when the announcement was sent by which a peer knows of a job; zero
 * when it does not.
 */
Millis GetAcknowledgedAt(const FleetNode& node,
                         const DaemonId& peer,
                         const SubmissionId& job) {
  const auto found = node.peers.find(peer);
  if (found == node.peers.end() ||
      found->second.acknowledged_jobs.count(job) == 0)
    return {};
  return found->second.acknowledged_at;
}

/** Returns true when this daemon may start an announced job itself, or has sent
 * it to another group than the announced one, which may.
 */
bool MayBeStarted(const FleetNode& node, const JobInProgress& announced) {
  const auto is_announced = [&announced](const EarlyJob& early) {
    return early.submission.job.id == announced.job;
  };
  if (node.scheduler.jobs.count(announced.job) > 0 ||
      std::any_of(node.early_jobs.begin(), node.early_jobs.end(), is_announced))
    return true;
  const auto forwarded = node.forwarded_jobs.find(announced.job);
  return forwarded != node.forwarded_jobs.end() &&
         !forwarded->second.spillover_group.zone.value.empty() &&
         !(forwarded->second.spillover_group == announced.group);
}

}  // namespace

std::vector<JobInProgress> ListAnnouncedJobs(const FleetNode& node,
                                             Millis now) {
  std::vector<JobInProgress> announced;
  for (const auto& [id, job] : node.scheduler.jobs) {
    if (IsAnnounced(job, now))
      announced.push_back({id, job.group});
  }
  for (const auto& [id, job] : node.forwarded_jobs) {
    const bool is_released =
        !job.released_group.zone.value.empty() &&
        now - job.forwarded_at < kReleasedJobAnnouncement &&
        now - job.received_at >= kAnnounceJobAfter;
    if (is_released && node.scheduler.jobs.count(id) == 0)
      announced.push_back({id, job.released_group});
  }
  for (const auto& [id, job] : node.scheduler.ended_jobs) {
    if (!job.group.zone.value.empty() && now < job.runs_ended_at &&
        now - job.received_at >= kAnnounceJobAfter &&
        node.scheduler.jobs.count(id) == 0)
      announced.push_back({id, job.group});
  }
  return announced;
}

std::vector<SubmissionId> FindAcknowledgedJobs(const FleetNode& node,
                                               const Heartbeat& heartbeat) {
  std::vector<SubmissionId> acknowledged;
  for (const JobInProgress& announced : heartbeat.jobs_in_progress) {
    if (!MayBeStarted(node, announced))
      acknowledged.push_back(announced.job);
  }
  return acknowledged;
}

void ApplyAcknowledgements(FleetNode& node, const Heartbeat& acknowledgement) {
  PeerStatus& peer_status = node.peers[acknowledgement.from.id];
  if (acknowledgement.answered_sent_at < peer_status.acknowledged_at)
    return;
  peer_status.acknowledged_at = acknowledgement.answered_sent_at;
  peer_status.acknowledged_jobs = {acknowledgement.acknowledged_jobs.begin(),
                                   acknowledgement.acknowledged_jobs.end()};
}

bool ExtendAnnouncementLeases(FleetNode& node, Millis now) {
  Scheduler& scheduler = node.scheduler;
  const std::set<DaemonId> peers = FindSchedulersOfRepeats(node);
  bool has_resumed_job = false;
  for (const auto& [id, job] : scheduler.jobs) {
    if (!IsAnnounced(job, now))
      continue;
    Millis known_since = now;
    for (const DaemonId& peer : peers)
      known_since = std::min(known_since, GetAcknowledgedAt(node, peer, id));
    const bool had_to_wait = !MayStartTasks(scheduler, id, now);
    RenewAnnouncementLease(scheduler, id, known_since + kAnnouncedJobLease);
    has_resumed_job |= had_to_wait && MayStartTasks(scheduler, id, now);
  }
  return has_resumed_job;
}

void AddUninformedSchedulers(const FleetNode& node,
                             Millis now,
                             std::set<DaemonId>& peers) {
  const std::set<DaemonId> schedulers = FindSchedulersOfRepeats(node);
  for (const auto& [id, job] : node.scheduler.jobs) {
    if (!IsAnnounced(job, now))
      continue;
    for (const DaemonId& peer : schedulers) {
      if (GetAcknowledgedAt(node, peer, id) + kAnnouncedJobLease <
          now + kAnnounceAgainBelow)
        peers.insert(peer);
    }
  }
}

void AnnounceOldJob(FleetNode& node,
                    const SubmissionId& job,
                    Millis now,
                    Actions& actions) {
  const auto found = node.scheduler.jobs.find(job);
  if (found == node.scheduler.jobs.end() || !IsAnnounced(found->second, now))
    return;
  const std::set<DaemonId> schedulers = FindSchedulersOfRepeats(node);
  if (!schedulers.empty())
    SendHeartbeatTo(node, {schedulers.begin(), schedulers.end()}, now, actions);
}

void ReportJobsScheduledTwice(FleetNode& node,
                              const Heartbeat& heartbeat,
                              Millis now,
                              Actions& actions) {
  for (const JobInProgress& announced : heartbeat.jobs_in_progress) {
    const auto found = node.scheduler.jobs.find(announced.job);
    if (found == node.scheduler.jobs.end())
      continue;
    ScheduledJob& job = found->second;
    if (job.is_scheduled_twice || job.group == announced.group ||
        !IsOwnerOf(node.view, heartbeat.from, announced.group))
      continue;
    job.is_scheduled_twice = true;
    ++node.scheduler.counters.jobs_scheduled_twice;
    actions.push_back(
        LogEvent{"job_scheduled_twice",
                 {{"job", announced.job.value},
                  {"group", NameOf(job.group)},
                  {"age_ms", std::to_string((now - job.received_at).count)},
                  {"started", job.has_started ? "true" : "false"},
                  {"receiver", job.receiver.id.value},
                  {"other_scheduler", heartbeat.from.id.value},
                  {"other_group", NameOf(announced.group)}}});
  }
}

}  // namespace dogwoodfall
