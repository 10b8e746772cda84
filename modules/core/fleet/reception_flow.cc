#include "core/fleet/reception_flow.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "core/fleet/announcement_flow.h"
#include "core/fleet/assignment_flow.h"
#include "core/fleet/cancellation_flow.h"
#include "core/fleet/cut_off_flow.h"
#include "core/fleet/evacuation_flow.h"
#include "core/fleet/handover_flow.h"
#include "core/fleet/heartbeat_flow.h"
#include "core/fleet/ownership_flow.h"
#include "core/fleet/pause_flow.h"
#include "core/fleet/spillover_flow.h"
#include "core/scheduling/ended_jobs.h"
#include "core/scheduling/job_flow.h"
#include "core/scheduling/job_lease.h"

namespace dogwoodfall {
namespace {

/** Age of a submission above which its lease is too short for a start, so that
 * a confirmation has to arrive first.
 */
constexpr Millis kMaxAgeForStart = kJobLease - kUnconfirmedJobLease;
/** Time for which a request is kept that may have been held up, and that is
 * read while this daemon still is cut off: after a cut, peers are heard within
 * it.
 */
constexpr Millis kMaxCutWait{200};
/** Retry-After of a job that was abandoned or could not be assigned. */
constexpr Millis kAbandonedRetryAfter{1'000};

void CountAnswer(ReceptionCounters& counters, JobResult result, Millis waited) {
  const auto row = static_cast<size_t>(result);
  size_t bucket = 0;
  while (bucket + 1 < ReceptionCounters::kLatencyBucketCount &&
         waited.count > ReceptionCounters::kLatencyBoundsMs[bucket])
    ++bucket;
  ++counters.answers[row];
  ++counters.latency[row][bucket];
  counters.latency_sum_ms[row] += static_cast<double>(waited.count);
}

/** Notifies the daemons that may run a job that no caller waits for it here.
 * @param ended_by the daemon that has reported its end; none if it has not
 * ended
 */
void WithdrawJob(FleetNode& node,
                 const PendingJob& pending,
                 const DaemonRef& ended_by,
                 Millis now,
                 Actions& actions) {
  const SubmissionId& id = pending.job.id;
  for (const DaemonRef& holder : pending.holders) {
    if (holder == ended_by)
      continue;
    if (holder == node.self)
      CancelReceivedJob(node, id, node.self, "caller_gone", now, actions);
    else
      Send(node.sessions, holder, JobCancellation{id}, SessionLimits(), now,
           actions);
  }
}

/** Keeps a job until a round trip with its receiver has shown its age. */
void KeepJobOfUnknownAge(FleetNode& node,
                         const DaemonRef& receiver,
                         const JobSubmission& submission,
                         Millis now,
                         Actions& actions) {
  ++node.scheduler.counters.submissions_of_unknown_age;
  actions.push_back(LogEvent{
      "job_waits_for_age",
      {{"job", submission.job.id.value}, {"receiver", receiver.id.value}}});
  if (submission.may_have_started)
    RecordPossibleStart(node, submission.job.id);
  EarlyJob early{receiver, submission, now, false};
  early.submission.sent_at = now - kMaxAgeForStart;
  node.early_jobs.push_back(std::move(early));
  SendHeartbeatTo(node, {receiver.id}, now, actions);
}

/** Converts the times of a submission to this daemon's clock. */
void ApplyDelay(JobSubmission& submission, Millis delay, Millis received_at) {
  submission.sent_at = received_at - delay;
  submission.job.age = submission.job.age + delay;
  submission.job.time_left = submission.job.time_left - delay;
}

}  // namespace

void ReceiveJob(FleetNode& node,
                Millis now,
                CallerToken caller,
                const TransientJob& job,
                Millis request_age,
                Millis max_held_up_time,
                Actions& actions) {
  ++node.reception.counters.jobs;
  if (WasCancelled(node, job.id)) {
    actions.push_back(LogEvent{
        "job_refused", {{"job", job.id.value}, {"reason", "cancelled"}}});
    CountAnswer(node.reception.counters, JobResult::kCancelled, Millis());
    actions.push_back(
        AnswerJob{caller, {JobResult::kCancelled, {}, "cancelled"}});
    return;
  }
  node.reception.by_caller[caller] = job.id;
  const auto known = node.reception.pending.find(job.id);
  const Millis caller_deadline = now - request_age + job.time_left;
  if (known != node.reception.pending.end()) {
    known->second.callers.push_back(caller);
    known->second.caller_deadline =
        std::max(known->second.caller_deadline, caller_deadline);
    return;
  }
  PendingJob pending;
  pending.job = job;
  pending.callers = {caller};
  pending.received_by = now - request_age;
  pending.received_at = now - std::max(request_age, max_held_up_time);
  pending.caller_deadline = caller_deadline;
  node.reception.pending.emplace(job.id, std::move(pending));
  PendingJob& added = node.reception.pending.at(job.id);
  if (max_held_up_time > request_age) {
    actions.push_back(
        LogEvent{"request_held_up",
                 {{"job", job.id.value},
                  {"max_ms", std::to_string(max_held_up_time.count)},
                  {"cut_off", IsCutOff(node, now) ? "true" : "false"}}});
    if (IsCutOff(node, now)) {
      added.cut_awaited_until = now + kMaxCutWait;
      return;
    }
  }
  AssignNewJob(node, added, now, actions);
  ReportFinishedJobs(node, now, actions);
}

void RemoveCaller(FleetNode& node,
                  Millis now,
                  CallerToken caller,
                  Actions& actions) {
  const auto found = node.reception.by_caller.find(caller);
  if (found == node.reception.by_caller.end())
    return;
  ++node.reception.counters.callers_disconnected;
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
  const PendingJob withdrawn = std::move(pending);
  node.reception.pending.erase(entry);
  actions.push_back(LogEvent{
      "caller_gone",
      {{"job", id.value},
       {"scheduler", withdrawn.scheduler.id.value},
       {"waited_ms", std::to_string((now - withdrawn.received_at).count)}}});
  WithdrawJob(node, withdrawn, DaemonRef(), now, actions);
}

void HandleReport(FleetNode& node,
                  Millis now,
                  const DaemonRef& from,
                  const JobReport& report,
                  Actions& actions) {
  const auto entry = node.reception.pending.find(report.job);
  if (entry == node.reception.pending.end())
    return;
  // Such a job is abandoned, not refused, unless the report is of an earlier
  // submission.
  if (report.outcome.result == JobResult::kRefused &&
      entry->second.may_have_started)
    return;
  const bool is_final = report.outcome.result == JobResult::kCompleted ||
                        report.outcome.result == JobResult::kFailed;
  const bool is_from_previous_scheduler =
      entry->second.previous_scheduler == from && is_final;
  if (entry->second.scheduler != from && !is_from_previous_scheduler)
    return;
  AnswerCallers(node, now, from, report.job, report.outcome, actions);
}

void AnswerCallers(FleetNode& node,
                   Millis now,
                   const DaemonRef& ended_by,
                   const SubmissionId& job,
                   const JobOutcome& outcome,
                   Actions& actions) {
  const auto entry = node.reception.pending.find(job);
  if (entry == node.reception.pending.end())
    return;
  const PendingJob pending = std::move(entry->second);
  node.reception.pending.erase(entry);
  CountAnswer(node.reception.counters, outcome.result,
              now - pending.received_at);
  actions.push_back(LogEvent{
      "job_answered",
      {{"job", job.value},
       {"route", pending.job.route},
       {"scheduler", pending.scheduler.id.value},
       {"end", std::to_string(static_cast<int>(outcome.result))},
       {"reason", outcome.reason},
       {"waited_ms", std::to_string((now - pending.received_at).count)}}});
  for (const CallerToken& caller : pending.callers) {
    node.reception.by_caller.erase(caller);
    actions.push_back(AnswerJob{caller, outcome});
  }
  WithdrawJob(node, pending, ended_by, now, actions);
}

void AbandonJob(FleetNode& node,
                Millis now,
                const SubmissionId& job,
                const char* reason,
                Actions& actions) {
  const auto entry = node.reception.pending.find(job);
  if (entry == node.reception.pending.end())
    return;
  const bool may_run =
      entry->second.may_have_started || entry->second.scheduler != DaemonRef();
  AnswerCallers(node, now, DaemonRef(), job,
                {may_run ? JobResult::kAbandoned : JobResult::kRefused,
                 kAbandonedRetryAfter, reason},
                actions);
}

void AbandonUnsentJob(FleetNode& node,
                      Millis now,
                      const SubmissionId& job,
                      const DaemonRef& scheduler,
                      Actions& actions) {
  const auto entry = node.reception.pending.find(job);
  if (entry == node.reception.pending.end() ||
      entry->second.scheduler != scheduler)
    return;
  entry->second.scheduler = DaemonRef();
  AbandonJob(node, now, job, "not_sendable", actions);
}

void HandleJobSubmission(FleetNode& node,
                         Millis now,
                         const DaemonRef& from,
                         const JobSubmission& submission,
                         Actions& actions) {
  const std::optional<Millis> delay =
      ComputeMaxAge(node.peers[from.id].clock, submission.sent_at, now);
  JobSubmission received = submission;
  received.sent_at_sender = submission.sent_at;
  if (!delay) {
    KeepJobOfUnknownAge(node, from, received, now, actions);
    return;
  }
  ApplyDelay(received, *delay, now);
  ScheduleLocally(node, now, from, received, actions);
  if (*delay > kMaxAgeForStart) {
    actions.push_back(LogEvent{"job_came_late",
                               {{"job", submission.job.id.value},
                                {"receiver", from.id.value},
                                {"late_ms", std::to_string(delay->count)}}});
    SendHeartbeatTo(node, {from.id}, now, actions);
  }
}

bool DetermineAgeOfEarlyJobs(FleetNode& node, const DaemonRef& receiver) {
  bool has_found_one = false;
  for (EarlyJob& early : node.early_jobs) {
    if (early.is_age_known || early.receiver != receiver)
      continue;
    const std::optional<Millis> delay =
        ComputeMaxAge(node.peers[receiver.id].clock,
                      early.submission.sent_at_sender, early.received_at);
    if (!delay)
      continue;
    ApplyDelay(early.submission, *delay, early.received_at);
    early.is_age_known = true;
    has_found_one = true;
  }
  return has_found_one;
}

void ScheduleEarlyJobs(FleetNode& node, Millis now, Actions& actions) {
  for (EarlyJob& early : std::exchange(node.early_jobs, {})) {
    if (!early.is_age_known) {
      node.early_jobs.push_back(std::move(early));
      continue;
    }
    JobSubmission submission = std::move(early.submission);
    submission.job.age = submission.job.age + (now - early.received_at);
    submission.job.time_left =
        submission.job.time_left - (now - early.received_at);
    if (submission.job.time_left > Millis())
      ScheduleLocally(node, now, early.receiver, submission, actions);
  }
}

void ScheduleLocally(FleetNode& node,
                     Millis now,
                     const DaemonRef& receiver,
                     const JobSubmission& received_submission,
                     Actions& actions) {
  JobSubmission submission = received_submission;
  submission.may_have_started |=
      GetFormerRunsEnd(node.scheduler, submission.job.id, now) != Millis();
  if (submission.may_have_started)
    RecordPossibleStart(node, submission.job.id);
  if (submission.view_revision > node.view.revision) {
    actions.push_back(
        LogEvent{"job_waits_for_view",
                 {{"job", submission.job.id.value},
                  {"receiver", receiver.id.value},
                  {"needed", std::to_string(submission.view_revision)},
                  {"view", std::to_string(node.view.revision)}}});
    node.early_jobs.push_back({receiver, submission, now});
    return;
  }
  const EndpointGroup group =
      CurrentGroupOfJob(node.view, submission.group, submission.job.id);
  const FleetMember* owner = OtherOwnerOf(node, group);
  const bool is_known = node.scheduler.jobs.count(submission.job.id) > 0;
  if (!is_known && owner != nullptr) {
    // The sender's view does not contain the current owner yet.
    const JobRedirect redirect = MakeRedirect(
        node, submission.job.id, *owner, group, submission.may_have_started);
    node.scheduler.finished.push_back(
        FinishedJob::Forwarded(receiver, redirect));
    RecordForwardedJob(node, submission, RefOf(*owner), now);
    return;
  }
  if (!is_known && RedirectToRunningGroup(node, receiver, submission, now))
    return;
  if (!is_known &&
      RedirectFromEvacuatedZone(node, receiver, submission, now, actions))
    return;
  if (!is_known &&
      ForwardToLessLoadedGroup(node, receiver, submission, now, actions))
    return;
  node.forwarded_jobs.erase(submission.job.id);
  AcceptJob(node.scheduler, receiver, group, submission, now, actions);
  if (!is_known)
    AnnounceOldJob(node, submission.job.id, now, actions);
}

void CancelReceivedJob(FleetNode& node,
                       const SubmissionId& id,
                       const DaemonRef& receiver,
                       const char* reason,
                       Millis now,
                       Actions& actions) {
  std::vector<EarlyJob>& early = node.early_jobs;
  const auto cancelled = std::remove_if(
      early.begin(), early.end(), [&id, &receiver](const EarlyJob& job) {
        return job.submission.job.id == id && job.receiver == receiver;
      });
  if (cancelled != early.end()) {
    early.erase(cancelled, early.end());
    actions.push_back(LogEvent{"early_job_cancelled",
                               {{"job", id.value},
                                {"receiver", receiver.id.value},
                                {"reason", reason}}});
  }
  CancelJob(node.scheduler, id, receiver, reason, now, actions);
}

void ReportFinishedJobs(FleetNode& node, Millis now, Actions& actions) {
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
        AnswerCallers(node, now, node.self, job.job, job.outcome, actions);
      }
    }
  }
}

}  // namespace dogwoodfall
