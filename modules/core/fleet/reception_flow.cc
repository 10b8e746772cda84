#include "core/fleet/reception_flow.h"

#include <algorithm>
#include <utility>

#include "core/fleet/handover_flow.h"
#include "core/fleet/ownership_flow.h"
#include "core/fleet/room_flow.h"
#include "core/scheduling/endpoint_orders.h"
#include "core/scheduling/job_flow.h"

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
/** Lateness from which on a submission is sent back: its receiver would count
 * as silent, and the job as lost with it.
 */
constexpr Millis kTooLate{500};
/** Retry-After of a job that nobody could take. */
constexpr Millis kNobodyRetryAfter{1'000};

void CountAnswer(ReceptionCounters& counters, JobEnd end, Millis waited) {
  const auto row = static_cast<size_t>(end);
  size_t bucket = 0;
  while (bucket + 1 < ReceptionCounters::kBuckets &&
         waited.count > ReceptionCounters::kLatencyBounds[bucket])
    ++bucket;
  ++counters.answers[row];
  ++counters.latency[row][bucket];
  counters.latency_sum_ms[row] += static_cast<double>(waited.count);
}

/** How long word from a job's former scheduler may take: as long as runs may go
 * on that it has started, counted from when it was last heard, or was given the
 * job: one that was cut off from here lives and was not heard.
 */
Millis FormerWait(const FleetNode& node,
                  const PendingJob& pending,
                  Millis now) {
  const DaemonRef& former = pending.former;
  const auto sight = node.peers.find(former.id);
  if (former == DaemonRef() || former == node.self || sight == node.peers.end())
    return {};
  const Millis heard = HasSession(node.sessions, former)
                           ? sight->second.heard
                           : sight->second.former_heard;
  const Millis left =
      std::max(heard, pending.former_since) + kRunLease + kFormerSlack - now;
  return std::max(left, Millis());
}

/** The present process life of a daemon; none when it is not known. */
DaemonRef RefTo(const FleetNode& node, const DaemonId& id) {
  for (const auto* members : {&node.view.members, &node.guests}) {
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
  const JobRelease release{pending.job.id, next, node.view.revision};
  if (holder == node.self) {
    ReleaseJob(node, release, now, actions);
    return;
  }
  pending.former = holder;
  pending.former_since = now;
  Send(node.sessions, holder, release, SessionLimits(), now, actions);
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
  submission.may_pass_on = !pending.was_passed_on;
  submission.sent_at = now;
  submission.job.age = now - pending.received;
  submission.job.time_left = pending.gives_up_at - now;
  submission.may_have_started = pending.may_have_started;

  submission.view_revision = node.view.revision;
  submission.former = pending.former;
  submission.former_wait = FormerWait(node, pending, now);
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
  for (const auto& [id, sight] : node.peers) {
    if (now - sight.heard >= kWordHolds)
      continue;
    for (const JobInProgress& running : sight.last.jobs_in_progress) {
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
  pending.former = pending.scheduler;
  pending.former_since = pending.given_at;
  pending.scheduler = DaemonRef();
  pending.may_have_started = true;
  if (next == nullptr || RefOf(*next) == pending.former)
    return;
  const JobRelease release{pending.job.id, RefOf(*next), node.view.revision};
  if (pending.former == node.self)
    ReleaseJob(node, release, now, actions);
  else
    Send(node.sessions, pending.former, release, SessionLimits(), now, actions);
}

/** Tells a scheduler that nobody waits for a job here any more. */
void WithdrawJob(FleetNode& node,
                 const SubmissionId& id,
                 const DaemonRef& scheduler,
                 Millis now,
                 Actions& actions) {
  if (scheduler == node.self)
    CancelJob(node.scheduler, id, node.self, "caller_gone", now, actions);
  else
    Send(node.sessions, scheduler, JobCancellation{id}, SessionLimits(), now,
         actions);
}

/** True when another daemon owns the endpoints that run a job. */
bool HasLostScheduler(const FleetNode& node, const PendingJob& pending) {
  const FleetMember* owner = OwnerOfGroup(node.view, pending.group);
  return owner != nullptr && RefOf(*owner) != pending.scheduler;
}

}  // namespace

void ReceiveJob(FleetNode& node,
                Millis now,
                CallerToken caller,
                const TransientJob& job,
                Actions& actions) {
  ++node.reception.counters.jobs;
  node.reception.by_caller[caller] = job.id;
  const auto known = node.reception.pending.find(job.id);
  if (known != node.reception.pending.end()) {
    known->second.callers.push_back(caller);
    known->second.gives_up_at =
        std::max(known->second.gives_up_at, now + job.time_left);
    return;
  }
  PendingJob pending;
  pending.job = job;
  pending.callers = {caller};
  pending.received = now;
  pending.gives_up_at = now + job.time_left;
  node.reception.pending.emplace(job.id, std::move(pending));
  PendingJob& added = node.reception.pending.at(job.id);
  GiveToGroup(node, added, GroupThatRuns(node, job.id, now), now, actions);
  ReportFinished(node, now, actions);
}

void ForgetCaller(FleetNode& node,
                  Millis now,
                  CallerToken caller,
                  Actions& actions) {
  const auto found = node.reception.by_caller.find(caller);
  if (found == node.reception.by_caller.end())
    return;
  ++node.reception.counters.callers_gone;
  const SubmissionId id = found->second;
  node.reception.by_caller.erase(found);
  const auto entry = node.reception.pending.find(id);
  if (entry == node.reception.pending.end())
    return;
  PendingJob& pending = entry->second;
  pending.callers.erase(
      std::remove(pending.callers.begin(), pending.callers.end(), caller),
      pending.callers.end());
  if (!pending.callers.empty())
    return;
  const DaemonRef scheduler = pending.scheduler;
  actions.push_back(LogEvent{
      "caller_gone",
      {{"job", id.value},
       {"scheduler", scheduler.id.value},
       {"waited_ms", std::to_string((now - pending.received).count)}}});
  node.reception.pending.erase(entry);
  WithdrawJob(node, id, scheduler, now, actions);
}

void TakeReport(FleetNode& node,
                Millis now,
                const DaemonRef& from,
                const JobReport& report,
                Actions& actions) {
  const auto entry = node.reception.pending.find(report.job);
  if (entry == node.reception.pending.end())
    return;
  const DaemonRef scheduler = entry->second.scheduler;
  const bool is_settled = report.outcome.end == JobEnd::kCompleted ||
                          report.outcome.end == JobEnd::kFailed;
  const bool is_formers = entry->second.former == from && is_settled;
  if (scheduler != from && !is_formers)
    return;
  AnswerCallers(node, now, report.job, report.outcome, actions);
  if (scheduler != from)
    WithdrawJob(node, report.job, scheduler, now, actions);
}

void AnswerCallers(FleetNode& node,
                   Millis now,
                   const SubmissionId& job,
                   const JobOutcome& outcome,
                   Actions& actions) {
  const auto entry = node.reception.pending.find(job);
  if (entry == node.reception.pending.end())
    return;
  const PendingJob pending = std::move(entry->second);
  node.reception.pending.erase(entry);
  CountAnswer(node.reception.counters, outcome.end, now - pending.received);
  actions.push_back(LogEvent{
      "job_answered",
      {{"job", job.value},
       {"route", pending.job.route},
       {"scheduler", pending.scheduler.id.value},
       {"end", std::to_string(static_cast<int>(outcome.end))},
       {"reason", outcome.reason},
       {"waited_ms", std::to_string((now - pending.received).count)}}});
  for (const CallerToken& caller : pending.callers) {
    node.reception.by_caller.erase(caller);
    actions.push_back(AnswerJob{caller, outcome});
  }
}

void GiveUpJob(FleetNode& node,
               Millis now,
               const SubmissionId& job,
               const char* reason,
               Actions& actions) {
  const auto entry = node.reception.pending.find(job);
  if (entry == node.reception.pending.end())
    return;
  const DaemonRef scheduler = entry->second.scheduler;
  const bool may_run =
      entry->second.may_have_started || scheduler != DaemonRef();
  AnswerCallers(node, now, job,
                {may_run ? JobEnd::kAbandoned : JobEnd::kRefused,
                 kNobodyRetryAfter, reason},
                actions);
  WithdrawJob(node, job, scheduler, now, actions);
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
    pending.former = from;
    pending.former_since = now;
    pending.progress_holder =
        redirect.is_progress_told ? RefTo(node, redirect.to) : from;
  }
  if (++pending.redirects > kMostRedirects) {
    AnswerCallers(
        node, now, redirect.job,
        {pending.may_have_started ? JobEnd::kAbandoned : JobEnd::kRefused,
         kNobodyRetryAfter, "passed_on_too_often"},
        actions);
    return;
  }
  pending.group = redirect.group;
  pending.was_passed_on |= redirect.has_room;
  pending.view_needed = redirect.view_revision;
  if (node.view.revision >= redirect.view_revision)
    GiveToGroup(node, pending, redirect.group, now, actions);
}

void AssignJobs(FleetNode& node, Millis now, Actions& actions) {
  std::vector<SubmissionId> expired;
  for (auto& [id, pending] : node.reception.pending) {
    if (pending.gives_up_at <= now) {
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

void TakeSubmission(FleetNode& node,
                    Millis now,
                    const DaemonRef& from,
                    const JobSubmission& submission,
                    Actions& actions) {
  const Millis late =
      NoteDelay(node.peers[from.id].delay, submission.sent_at, now);
  if (late < kTooLate) {
    ScheduleHere(node, now, from, submission, actions);
    return;
  }
  actions.push_back(LogEvent{"job_came_late",
                             {{"job", submission.job.id.value},
                              {"receiver", from.id.value},
                              {"late_ms", std::to_string(late.count)}}});
  JobRedirect redirect;
  redirect.job = submission.job.id;
  redirect.to = node.self.id;
  redirect.group = submission.group;
  redirect.may_have_started = submission.may_have_started;
  redirect.view_revision = node.view.revision;
  node.scheduler.finished.push_back(FinishedJob::PassedOn(from, redirect));
}

void ScheduleHere(FleetNode& node,
                  Millis now,
                  const DaemonRef& receiver,
                  const JobSubmission& submission,
                  Actions& actions) {
  if (submission.view_revision > node.view.revision) {
    node.early_jobs.push_back({receiver, submission, now});
    return;
  }
  const EndpointGroup& group = submission.group;
  const FleetMember* owner = OtherOwnerOf(node, group);
  const bool is_known = node.scheduler.jobs.count(submission.job.id) > 0;
  if (!is_known && owner != nullptr) {
    // The sender does not know the present owner yet.
    JobRedirect redirect;
    redirect.job = submission.job.id;
    redirect.to = owner->address.id;
    redirect.group = group;
    redirect.may_have_started = submission.may_have_started;
    redirect.view_revision = node.view.revision;
    node.scheduler.finished.push_back(
        FinishedJob::PassedOn(receiver, redirect));
    NotePassedJob(node, submission, RefOf(*owner), now);
    return;
  }
  if (!is_known && PassToRoom(node, receiver, submission, now, actions))
    return;
  node.passed_jobs.erase(submission.job.id);
  TakeJob(node.scheduler, receiver, group, submission, now, actions);
}

void ReportFinished(FleetNode& node, Millis now, Actions& actions) {
  while (!node.scheduler.finished.empty()) {
    const std::vector<FinishedJob> finished =
        std::exchange(node.scheduler.finished, {});
    for (const FinishedJob& job : finished) {
      if (job.receiver != node.self) {
        PeerMessage message = JobReport{job.job, job.outcome};
        if (job.redirect)
          message = *job.redirect;
        Send(node.sessions, job.receiver, std::move(message), SessionLimits(),
             now, actions);
      } else if (job.redirect) {
        RedirectJob(node, now, node.self, *job.redirect, actions);
      } else {
        AnswerCallers(node, now, job.job, job.outcome, actions);
      }
    }
  }
}

}  // namespace dogwoodfall
