#include "core/fleet/assignment_flow.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "core/fleet/handover_flow.h"
#include "core/fleet/reception_flow.h"
#include "core/scheduling/endpoint_orders.h"

namespace dogwoodfall {
namespace {

/** Times a job may be passed from one scheduler to another. */
constexpr uint32_t kMostRedirects = 3;
/** Time beyond the lease of its runs in which a former scheduler's word may
 * come, or in which its last renewals may still arrive.
 */
constexpr Millis kFormerSlack{150};
/** Time for which a peer's word on what it runs holds; heartbeats come each
 * 100 ms, and leases end 500 ms after the last one.
 */
constexpr Millis kWordHolds{600};
/** How long word from a job's former scheduler may take: as long as runs may go
 * on that it has started, counted from when it was last heard, or was given the
 * job: one that was cut off from here lives and was not heard.
 */
Millis FormerWait(const FleetNode& node,
                  const PendingJob& pending,
                  Millis now) {
  const DaemonRef& previous = pending.previous;
  const auto peer_status = node.peers.find(previous.id);
  if (previous == DaemonRef() || previous == node.self ||
      peer_status == node.peers.end())
    return {};
  const Millis last_received_at = HasSession(node.sessions, previous)
                                      ? peer_status->second.last_received_at
                                      : peer_status->second.former_heard;
  const Millis left = std::max(last_received_at, pending.former_since) +
                      kRunLease + kFormerSlack - now;
  return std::max(left, Millis());
}

/** The present process life of a daemon; none when it is not known. */
DaemonRef RefTo(const FleetNode& node, const DaemonId& id) {
  for (const auto* members : {&node.view.members, &node.unregistered_daemons}) {
    const auto member = members->find(id);
    if (member != members->end())
      return RefOf(member->second);
  }
  return {};
}

/** Has a job's progress passed to its next scheduler by a daemon that was told
 * of it and is not that scheduler.
 */
void CallInProgress(FleetNode& node,
                    PendingJob& pending,
                    const DaemonRef& next,
                    Millis now,
                    Actions& actions) {
  const DaemonRef holder = std::exchange(pending.progress_holder, DaemonRef());
  if (holder == DaemonRef() || holder == next)
    return;
  if (holder != node.self) {
    pending.previous = holder;
    pending.former_since = now;
  }
  AskForJob(node, holder, pending.job.id, next, now, actions);
}

/** Gives a pending job to the scheduler of a group of endpoints.
 * @return false when there is none, or it can't be sent
 */
bool GiveToGroup(FleetNode& node,
                 PendingJob& pending,
                 const EndpointGroup& group,
                 Millis now,
                 Actions& actions) {
  const FleetMember* scheduler = OwnerOfGroup(node.view, group);
  if (scheduler == nullptr)
    return false;
  pending.group = group;
  CallInProgress(node, pending, RefOf(*scheduler), now, actions);
  JobSubmission submission;
  submission.job = pending.job;
  submission.group = group;
  submission.may_forward = !pending.was_passed_on;
  submission.sent_at = now;
  submission.job.age = now - pending.received;
  submission.job.time_left = pending.caller_deadline - now;
  submission.may_have_started = pending.may_have_started;

  submission.view_revision = node.view.revision;
  submission.previous = pending.previous;
  submission.max_progress_wait = FormerWait(node, pending, now);
  const DaemonRef to = RefOf(*scheduler);
  pending.given_at = now;
  if (to == node.self) {
    pending.scheduler = to;
    ScheduleHere(node, now, node.self, submission, actions);
    return true;
  }
  if (!Send(node.sessions, to, submission, SessionLimits(), now, actions))
    return false;
  pending.scheduler = to;
  return true;
}

/** The group whose scheduler says that it runs a job already, as a caller sends
 * a job again to any daemon; else the job's group in the own zone.
 */
EndpointGroup GroupThatRuns(const FleetNode& node,
                            const SubmissionId& job,
                            Millis now) {
  for (const auto& [id, peer_status] : node.peers) {
    if (now - peer_status.last_received_at >= kWordHolds)
      continue;
    for (const JobInProgress& running : peer_status.last.jobs_in_progress) {
      if (running.job == job)
        return running.group;
    }
  }
  return GroupOfJob(node.view, node.zone, job);
}

/** Has a job handed over by its scheduler, which is no longer its owner. */
void AskForRelease(FleetNode& node,
                   PendingJob& pending,
                   Millis now,
                   Actions& actions) {
  const FleetMember* next = OwnerOfGroup(node.view, pending.group);
  pending.previous = pending.scheduler;
  pending.former_since = pending.given_at;
  pending.scheduler = DaemonRef();
  pending.may_have_started = true;
  if (next == nullptr || RefOf(*next) == pending.previous)
    return;
  AskForJob(node, pending.previous, pending.job.id, RefOf(*next), now, actions);
}

/** True when another daemon owns the endpoints that run a job. */
bool HasLostScheduler(const FleetNode& node, const PendingJob& pending) {
  const FleetMember* owner = OwnerOfGroup(node.view, pending.group);
  return owner != nullptr && RefOf(*owner) != pending.scheduler;
}

}  // namespace

void AssignNewJob(FleetNode& node,
                  PendingJob& pending,
                  Millis now,
                  Actions& actions) {
  GiveToGroup(node, pending, GroupThatRuns(node, pending.job.id, now), now,
              actions);
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
  pending.scheduler = DaemonRef();
  pending.may_have_started |= redirect.may_have_started;
  if (redirect.may_have_started) {
    pending.previous = from;
    pending.former_since = now;
    pending.progress_holder =
        redirect.is_progress_sent ? RefTo(node, redirect.to) : from;
  }
  if (++pending.redirects > kMostRedirects) {
    GiveUpJob(node, now, redirect.job, "passed_on_too_often", actions);
    return;
  }
  pending.group = redirect.group;
  pending.was_passed_on |= redirect.is_spillover;
  pending.view_needed = redirect.view_revision;
  if (node.view.revision >= redirect.view_revision)
    GiveToGroup(node, pending, redirect.group, now, actions);
}

void AssignJobs(FleetNode& node, Millis now, Actions& actions) {
  std::vector<SubmissionId> expired;
  for (auto& [id, pending] : node.reception.pending) {
    if (pending.caller_deadline <= now) {
      expired.push_back(id);
      continue;
    }
    if (pending.view_needed > node.view.revision)
      continue;
    const bool has_scheduler = pending.scheduler != DaemonRef();
    if (has_scheduler && !HasLostScheduler(node, pending))
      continue;
    if (has_scheduler) {
      actions.push_back(LogEvent{
          "scheduler_lost",
          {{"job", id.value}, {"scheduler", pending.scheduler.id.value}}});
      AskForRelease(node, pending, now, actions);
    }
    const bool has_group = !pending.group.zone.value.empty();
    GiveToGroup(
        node, pending,
        has_group ? pending.group : GroupOfJob(node.view, node.zone, id), now,
        actions);
  }
  for (const SubmissionId& id : expired)
    GiveUpJob(node, now, id, "time_limit", actions);
}

}  // namespace dogwoodfall
