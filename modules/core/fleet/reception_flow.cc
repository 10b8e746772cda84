#include "core/fleet/reception_flow.h"

#include <algorithm>
#include <utility>

#include "core/scheduling/endpoint_flow.h"
#include "core/scheduling/job_flow.h"

namespace dogwoodfall {
namespace {

/** Times a job may be passed from one scheduler to another. */
constexpr uint32_t kMostRedirects = 3;
/** Retry-After of a job that nobody could take. */
constexpr Millis kNobodyRetryAfter{1'000};
/** A scheduler that was not heard for this long has lost the leases of what it
 * started: its peers count it as silent, or its runs have ended.
 */
constexpr Millis kAbandonAfter{1'100};

const FleetMember* MemberOf(const FleetNode& node, const DaemonRef& daemon) {
  const auto found = node.view.members.find(daemon.id);
  if (found == node.view.members.end() || RefOf(found->second) != daemon)
    return nullptr;
  return &found->second;
}

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

/** Gives a pending job to a scheduler. @return false when it can't be sent */
bool GiveTo(FleetNode& node,
            PendingJob& pending,
            const FleetMember& scheduler,
            Millis now,
            Actions& actions) {
  JobSubmission submission;
  submission.job = pending.job;
  submission.job.age = now - pending.received;
  submission.job.time_left = pending.gives_up_at - now;
  submission.may_have_started = pending.may_have_started;
  submission.redirects = pending.redirects;
  submission.view_revision = node.view.revision;
  const DaemonRef to = RefOf(scheduler);
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

/** True when a job's scheduler can no longer end it. */
bool HasLostScheduler(const FleetNode& node, const PendingJob& pending) {
  const FleetMember* member = MemberOf(node, pending.scheduler);
  if (member == nullptr)
    return true;
  const auto schedulers = SchedulersOfZone(node.view, member->address.zone);
  return std::find(schedulers.begin(), schedulers.end(), member) ==
             schedulers.end() &&
         !member->address.leaving;
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
  const FleetMember* scheduler = SchedulerForJob(node.view, node.zone, job.id);
  if (scheduler != nullptr)
    GiveTo(node, added, *scheduler, now, actions);
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
  if (scheduler == node.self)
    CancelJob(node.scheduler, id, "caller_gone", now, actions);
  else
    Send(node.sessions, scheduler, JobCancellation{id}, SessionLimits(), now,
         actions);
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
  if (++pending.redirects > kMostRedirects) {
    AnswerCallers(
        node, now, redirect.job,
        {pending.may_have_started ? JobEnd::kAbandoned : JobEnd::kRefused,
         kNobodyRetryAfter, "passed_on_too_often"},
        actions);
    return;
  }
  const auto target = node.view.members.find(redirect.to);
  if (target != node.view.members.end())
    GiveTo(node, pending, target->second, now, actions);
}

void AssignJobs(FleetNode& node, Millis now, Actions& actions) {
  std::vector<SubmissionId> expired;
  for (auto& [id, pending] : node.reception.pending) {
    if (pending.gives_up_at <= now) {
      expired.push_back(id);
      continue;
    }
    const bool has_scheduler = pending.scheduler != DaemonRef();
    if (has_scheduler && !HasLostScheduler(node, pending))
      continue;
    if (has_scheduler) {
      actions.push_back(LogEvent{
          "scheduler_lost",
          {{"job", id.value}, {"scheduler", pending.scheduler.id.value}}});
      pending.scheduler = DaemonRef();
      pending.may_have_started = true;
    }
    const FleetMember* scheduler = SchedulerForJob(node.view, node.zone, id);
    if (scheduler != nullptr)
      GiveTo(node, pending, *scheduler, now, actions);
  }
  for (const SubmissionId& id : expired) {
    const PendingJob& pending = node.reception.pending.at(id);
    const bool may_run =
        pending.may_have_started || pending.scheduler != DaemonRef();
    AnswerCallers(node, now, id,
                  {may_run ? JobEnd::kAbandoned : JobEnd::kRefused,
                   kNobodyRetryAfter, "time_limit"},
                  actions);
  }
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
  TakeJob(node.scheduler, receiver, submission.job, submission.may_have_started,
          submission.redirects, now, actions);
}

void ReportFinished(FleetNode& node, Millis now, Actions& actions) {
  while (!node.scheduler.finished.empty()) {
    const std::vector<FinishedJob> finished =
        std::exchange(node.scheduler.finished, {});
    for (const FinishedJob& job : finished) {
      const bool is_redirect = !job.redirect_to.value.empty();
      const JobRedirect redirect{job.job, job.redirect_to, job.may_have_started,
                                 node.view.revision};
      if (job.receiver != node.self) {
        PeerMessage message = JobReport{job.job, job.outcome};
        if (is_redirect)
          message = redirect;
        Send(node.sessions, job.receiver, std::move(message), SessionLimits(),
             now, actions);
      } else if (is_redirect) {
        RedirectJob(node, now, node.self, redirect, actions);
      } else {
        AnswerCallers(node, now, job.job, job.outcome, actions);
      }
    }
  }
}

}  // namespace dogwoodfall
