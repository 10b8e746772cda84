#include "core/fleet/assignment_flow.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "core/fleet/announcement_flow.h"
#include "core/fleet/cut_off_flow.h"
#include "core/fleet/evacuation_flow.h"
#include "core/fleet/handover_flow.h"
#include "core/fleet/heartbeat_flow.h"
#include "core/fleet/reception_flow.h"
#include "core/scheduling/job_lease.h"

namespace dogwoodfall {
namespace {

/** Number of times a job may be redirected to another scheduler. */
constexpr uint32_t kMaxRedirects = 3;
/** Age from which a job is refused that no scheduler has announced. Its caller
 * may send it again from 1,300 ms on, and by then the heartbeat of its
 * scheduler has to reach the other daemons. A job that only may be that old is
 * assigned; its scheduler announces it before its first start.
 */
constexpr Millis kMaxUnannouncedAge{1'000};
/** Reason of that refusal. */
constexpr const char* kTooOld = "too_old";
/** Reason of the end of a job whose callers have stopped waiting. */
constexpr const char* kTimeLimit = "time_limit";
/** Reason of the refusal of a job while all zones are evacuated. */
constexpr const char* kAllZonesEvacuated = "all_zones_evacuated";

/** Computes the maximum wait for the progress of a job from its previous
 * scheduler: the time for which runs that it has started may go on. It is
 * counted from the last confirmation of the job to any scheduler, and from the
 * last message of the previous one, which may have the job from another
 * receiver. It also applies when this daemon is the previous scheduler, because
 * other daemons may forward the progress.
 */
Millis ComputeMaxProgressWait(const FleetNode& node,
                              const PendingJob& pending,
                              Millis now) {
  const DaemonRef& previous = pending.previous_scheduler;
  if (previous == DaemonRef())
    return {};
  const Millis remaining =
      std::max({GetLastKnownAlive(node, previous, now),
                pending.previous_assumed_alive_at, pending.confirmed_at}) +
      kRunsEndedAfter - now;
  return std::max(remaining, Millis());
}

/** Returns the current incarnation of a daemon; none when it is not known. */
DaemonRef FindDaemonRef(const FleetNode& node, const DaemonId& id) {
  for (const auto* members : {&node.view.members, &node.unregistered_daemons}) {
    const auto member = members->find(id);
    if (member != members->end())
      return RefOf(member->second);
  }
  return {};
}

/** Returns true when the caller of a job may have sent it again and no
 * scheduler may have announced it yet, so that its repeat may run elsewhere.
 */
bool MayRunElsewhere(const PendingJob& pending, Millis now) {
  return !pending.may_have_started &&
         now - pending.received_by >= kMaxUnannouncedAge;
}

void AddHolder(PendingJob& pending, const DaemonRef& holder) {
  std::vector<DaemonRef>& holders = pending.holders;
  if (holder != DaemonRef() &&
      std::find(holders.begin(), holders.end(), holder) == holders.end())
    holders.push_back(holder);
}

/** Returns the view revision for a request to release a job. A daemon whose
 * view is newer keeps a job of its own group, but another owner gets the job by
 * that view if the job has another group here.
 */
uint64_t GetReleaseRevision(const FleetNode& node, const PendingJob& pending) {
  return pending.group == pending.announced_group ? node.view.revision
                                                  : JobReleaseRequest::kAnyView;
}

/** Requests the transfer of a job's progress to its next scheduler from the
 * daemon that holds the progress. Does nothing when no daemon holds it or the
 * next scheduler itself does.
 */
void RequestProgressTransfer(FleetNode& node,
                             PendingJob& pending,
                             const DaemonRef& next,
                             Millis now,
                             Actions& actions) {
  const DaemonRef holder = std::exchange(pending.progress_holder, DaemonRef());
  if (holder == DaemonRef() || holder == next)
    return;
  if (holder != node.self) {
    pending.previous_scheduler = holder;
    pending.previous_assumed_alive_at = now;
  }
  RequestJobRelease(node, holder,
                    {pending.job.id, next, GetReleaseRevision(node, pending)},
                    now, actions);
}

/** Assigns a pending job to the scheduler of a group of endpoints.
 * @return false when there is none, or the job can't be sent to it
 */
bool AssignToGroup(FleetNode& node,
                   PendingJob& pending,
                   const EndpointGroup& requested_group,
                   Millis now,
                   Actions& actions) {
  const EndpointGroup group =
      CurrentGroupOfJob(node.view, requested_group, pending.job.id);
  const FleetMember* scheduler = OwnerOfGroup(node.view, group);
  if (scheduler == nullptr)
    return false;
  pending.group = group;
  const DaemonRef to = RefOf(*scheduler);
  AddHolder(pending, to);
  RequestProgressTransfer(node, pending, to, now, actions);
  pending.announced_group = group;
  JobSubmission submission;
  submission.job = pending.job;
  submission.group = group;
  submission.may_forward = !pending.was_spilled_over;
  submission.sent_at = now;
  submission.sent_at_sender = now;
  submission.job.age = now - pending.received_at;
  submission.job.uncertain_age = pending.received_by - pending.received_at;
  submission.job.time_left = pending.caller_deadline - now;
  submission.may_have_started = pending.may_have_started;
  submission.view_revision = node.view.revision;
  submission.previous_scheduler = pending.previous_scheduler;
  submission.max_progress_wait = ComputeMaxProgressWait(node, pending, now);
  pending.assigned_at = now;
  pending.confirmed_at = now;
  if (to == node.self) {
    pending.scheduler = to;
    ScheduleLocally(node, now, node.self, submission, actions);
    return true;
  }
  if (!Send(node.sessions, to, submission, SessionLimits(), now, actions))
    return false;
  pending.scheduler = to;
  return true;
}

/** Assigns a pending job to a group or, when that is in an evacuated zone and
 * nothing of the job has started, to a group of another zone.
 *
 * @return false when all zones are evacuated
 */
bool AssignOutsideEvacuation(FleetNode& node,
                             PendingJob& pending,
                             const EndpointGroup& requested_group,
                             Millis now,
                             Actions& actions) {
  if (pending.may_have_started || !IsEvacuated(node, requested_group.zone)) {
    AssignToGroup(node, pending, requested_group, now, actions);
    return true;
  }
  const std::optional<EndpointGroup> group =
      ChooseGroupOutsideEvacuation(node, pending.job.id, now);
  if (!group) {
    ++node.evacuation_counters.refused;
    return false;
  }
  if (AssignToGroup(node, pending, *group, now, actions))
    ++node.evacuation_counters.assigned_elsewhere;
  return true;
}

/** Requests the handover of a job from a scheduler that no longer owns its
 * group.
 */
void RequestHandover(FleetNode& node,
                     PendingJob& pending,
                     Millis now,
                     Actions& actions) {
  const FleetMember* next = OwnerOfGroup(node.view, pending.group);
  pending.previous_scheduler = pending.scheduler;
  pending.previous_assumed_alive_at = pending.assigned_at;
  pending.scheduler = DaemonRef();
  pending.may_have_started = true;
  if (next == nullptr || RefOf(*next) == pending.previous_scheduler)
    return;
  RequestJobRelease(
      node, pending.previous_scheduler,
      {pending.job.id, RefOf(*next), GetReleaseRevision(node, pending)}, now,
      actions);
}

/** Returns true when a job's group has an owner other than its scheduler. */
bool HasLostScheduler(const FleetNode& node, const PendingJob& pending) {
  const FleetMember* owner = OwnerOfGroup(node.view, pending.group);
  return owner != nullptr && RefOf(*owner) != pending.scheduler;
}

/** Returns a job that a daemon has announced before it started anew, while runs
 * of it may go on.
 */
std::optional<RunningJob> FindJobOfEndedDaemon(const FleetNode& node,
                                               const SubmissionId& job,
                                               Millis now) {
  for (const auto& [id, peer_status] : node.peers) {
    if (now - peer_status.previous_incarnation_received_at >=
        kAnnouncementValidity)
      continue;
    const Heartbeat& last = peer_status.previous_incarnation_heartbeat;
    for (const JobInProgress& announced : last.jobs_in_progress) {
      if (announced.job == job)
        return RunningJob{last.from, announced.group};
    }
  }
  return std::nullopt;
}

}  // namespace

std::optional<RunningJob> FindRunningJob(const FleetNode& node,
                                         const SubmissionId& job,
                                         Millis now) {
  std::optional<RunningJob> found;
  for (const auto& [id, peer_status] : node.peers) {
    if (now - peer_status.last_received_at >= kAnnouncementValidity)
      continue;
    for (const JobInProgress& running :
         peer_status.last_heartbeat.jobs_in_progress) {
      if (running.job != job)
        continue;
      found = RunningJob{peer_status.last_heartbeat.from, running.group};
      // Other daemons announce a job that they have handed over.
      if (IsOwnerOf(node.view, found->scheduler, found->group))
        return found;
    }
  }
  return found ? found : FindJobOfEndedDaemon(node, job, now);
}

void AssignNewJob(FleetNode& node,
                  PendingJob& pending,
                  Millis now,
                  Actions& actions) {
  const SubmissionId job = pending.job.id;
  const bool is_too_old = MayRunElsewhere(pending, now);
  const std::optional<RunningJob> running = FindRunningJob(node, job, now);
  if (running) {
    pending.may_have_started = true;
    if (!IsOwnerOf(node.view, running->scheduler, running->group))
      pending.previous_scheduler = running->scheduler;
  }
  if (is_too_old || pending.caller_deadline <= now) {
    AbandonJob(node, now, job, is_too_old ? kTooOld : kTimeLimit, actions);
    return;
  }
  const EndpointGroup group =
      running ? running->group : GroupOfJob(node.view, node.zone, job);
  if (!AssignOutsideEvacuation(node, pending, group, now, actions))
    AbandonJob(node, now, job, kAllZonesEvacuated, actions);
}

void RedirectJob(FleetNode& node,
                 Millis now,
                 const DaemonRef& from,
                 const JobRedirect& redirect,
                 Actions& actions) {
  const auto entry = node.reception.pending.find(redirect.job);
  if (entry == node.reception.pending.end() || entry->second.scheduler != from)
    return;
  PendingJob& pending = entry->second;
  // A redirect of the latest submission repeats that the job may have started.
  const bool lacks_start =
      pending.may_have_started && !redirect.may_have_started;
  // The sender may still accept the latest submission in its own group.
  const bool answers_earlier_submission =
      redirect.is_spillover &&
      redirect.submission_sent_at != pending.assigned_at;
  if (lacks_start || answers_earlier_submission) {
    actions.push_back(
        LogEvent{"redirect_outdated",
                 {{"job", redirect.job.value}, {"scheduler", from.id.value}}});
    return;
  }
  pending.scheduler = DaemonRef();
  pending.may_have_started |= redirect.may_have_started;
  if (!pending.may_have_started)
    pending.holders.clear();
  if (redirect.may_have_started) {
    pending.previous_scheduler = from;
    pending.previous_assumed_alive_at = now;
    pending.progress_holder =
        redirect.is_progress_sent ? FindDaemonRef(node, redirect.to) : from;
    AddHolder(pending, pending.progress_holder);
  }
  if (++pending.redirects > kMaxRedirects) {
    AbandonJob(node, now, redirect.job, "passed_on_too_often", actions);
    return;
  }
  pending.group = redirect.group;
  pending.announced_group = redirect.group;
  pending.was_spilled_over |= redirect.is_spillover;
  pending.required_view_revision = redirect.view_revision;
  if (MayRunElsewhere(pending, now)) {
    AbandonJob(node, now, redirect.job, kTooOld, actions);
    return;
  }
  if (node.view.revision < redirect.view_revision)
    return;
  if (!AssignOutsideEvacuation(node, pending, redirect.group, now, actions))
    AbandonJob(node, now, redirect.job, kAllZonesEvacuated, actions);
}

void AssignJobs(FleetNode& node, Millis now, Actions& actions) {
  std::vector<std::pair<SubmissionId, const char*>> ended;
  std::vector<SubmissionId> kept;
  for (auto& [id, pending] : node.reception.pending) {
    if (pending.caller_deadline <= now) {
      ended.emplace_back(id, kTimeLimit);
      continue;
    }
    if (pending.scheduler == DaemonRef() && MayRunElsewhere(pending, now)) {
      ended.emplace_back(id, kTooOld);
      continue;
    }
    if (pending.cut_awaited_until != Millis()) {
      const bool is_cut_off = IsCutOff(node, now);
      if (is_cut_off && now < pending.cut_awaited_until)
        continue;
      // The cut has not held up what is read so long before its end.
      if (is_cut_off)
        pending.received_at = pending.received_by;
      pending.cut_awaited_until = Millis();
      kept.push_back(id);
      continue;
    }
    if (pending.required_view_revision > node.view.revision)
      continue;
    pending.group = CurrentGroupOfJob(node.view, pending.group, id);
    const bool has_scheduler = pending.scheduler != DaemonRef();
    if (has_scheduler && !HasLostScheduler(node, pending))
      continue;
    if (has_scheduler) {
      actions.push_back(LogEvent{
          "scheduler_lost",
          {{"job", id.value}, {"scheduler", pending.scheduler.id.value}}});
      RequestHandover(node, pending, now, actions);
    }
    const bool has_group = !pending.group.zone.value.empty();
    const EndpointGroup group =
        has_group ? pending.group : GroupOfJob(node.view, node.zone, id);
    if (!AssignOutsideEvacuation(node, pending, group, now, actions))
      ended.emplace_back(id, kAllZonesEvacuated);
  }
  for (const auto& [id, reason] : ended)
    AbandonJob(node, now, id, reason, actions);
  for (const SubmissionId& id : kept)
    AssignNewJob(node, node.reception.pending.at(id), now, actions);
}

}  // namespace dogwoodfall
