#include "core/fleet/handover_flow.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "base/erase_if.h"
#include "core/fleet/announcement_flow.h"
#include "core/scheduling/crash_tracking.h"
#include "core/scheduling/ended_jobs.h"
#include "core/scheduling/job_flow.h"

namespace dogwoodfall {
namespace {

/** Time for which forwarded jobs are recorded. Callers wait 1,500 ms, and
 * schedulers treat a job that is sent again later as a new one.
 */
constexpr Millis kForwardedJobRetention{2'000};

/** Removes the early jobs with an id.
 * @return true when there were some and none of them may have started
 */
bool RemoveEarlyJobs(FleetNode& node, const SubmissionId& id) {
  std::vector<EarlyJob>& jobs = node.early_jobs;
  const auto removed = std::stable_partition(
      jobs.begin(), jobs.end(),
      [&id](const EarlyJob& job) { return job.submission.job.id != id; });
  const bool is_known_unstarted =
      removed != jobs.end() &&
      std::none_of(removed, jobs.end(), [](const EarlyJob& job) {
        return job.submission.may_have_started;
      });
  jobs.erase(removed, jobs.end());
  return is_known_unstarted;
}

/** Removes a job from the scheduler and from the early jobs and returns its
 * progress; none when its progress is unknown.
 */
std::optional<JobProgress> ExtractProgress(FleetNode& node,
                                           const SubmissionId& id,
                                           Millis now) {
  const bool is_known_unstarted = RemoveEarlyJobs(node, id);
  if (const auto job = RemoveJob(node.scheduler, id))
    return MakeJobProgress(node.scheduler, *job, now);
  const auto early_progress = node.scheduler.early_progress.find(id);
  if (early_progress != node.scheduler.early_progress.end()) {
    JobProgress progress = std::move(early_progress->second.progress);
    node.scheduler.early_progress.erase(early_progress);
    return progress;
  }
  const auto forwarded = node.forwarded_jobs.find(id);
  const bool was_released = forwarded != node.forwarded_jobs.end() &&
                            !forwarded->second.is_known_unstarted;
  if (!is_known_unstarted || was_released)
    return std::nullopt;
  JobProgress no_progress;
  no_progress.job = id;
  return no_progress;
}

/** Returns the daemons that wait for a job's result, or that did when it was
 * released here.
 */
std::vector<DaemonRef> FindReceivers(const FleetNode& node,
                                     const SubmissionId& id) {
  const auto job = node.scheduler.jobs.find(id);
  if (job != node.scheduler.jobs.end()) {
    std::vector<DaemonRef> receivers = job->second.other_receivers;
    receivers.push_back(job->second.receiver);
    return receivers;
  }
  const auto forwarded = node.forwarded_jobs.find(id);
  return forwarded == node.forwarded_jobs.end() ? std::vector<DaemonRef>()
                                                : forwarded->second.receivers;
}

/** Makes the record of a job that is released now, maybe not for the first
 * time.
 */
ForwardedJob MakeReleaseRecord(const FleetNode& node,
                               const JobReleaseRequest& request,
                               Millis now) {
  ForwardedJob record;
  record.to = request.to;
  record.forwarded_at = now;
  record.receivers = FindReceivers(node, request.job);
  const auto job = node.scheduler.jobs.find(request.job);
  const auto former = node.forwarded_jobs.find(request.job);
  if (job != node.scheduler.jobs.end()) {
    record.released_group = job->second.group;
    record.received_at = job->second.received_at;
  } else if (former != node.forwarded_jobs.end()) {
    record.released_group = former->second.released_group;
    record.received_at = former->second.received_at;
  }
  return record;
}

/** Sends a daemon the endpoints that were lost with tasks of a job. */
void SendLostEndpoints(FleetNode& node,
                       const DaemonRef& to,
                       const SubmissionId& job,
                       Millis now,
                       Actions& actions) {
  if (auto report = MakeLostEndpointsReport(node.scheduler, job))
    Send(node.sessions, to, *std::move(report), SessionLimits(), now, actions);
}

/** Returns true when a release request is based on an older view, and in its
 * own view this daemon still owns the job's group and the next scheduler owns
 * none, so that it will send the job back: it sends it to the owner of the
 * group that the receiver has named.
 */
bool IsOutdated(const FleetNode& node, const JobReleaseRequest& request) {
  const auto job = node.scheduler.jobs.find(request.job);
  if (job == node.scheduler.jobs.end() ||
      request.view_revision >= node.view.revision ||
      IsOwner(node.view, request.to.id) || job->second.has_changed_group)
    return false;
  return IsOwnerOf(node.view, node.self, job->second.group);
}

/** Returns true for daemons that schedule jobs, or are next to. */
bool MaySchedule(const FleetView& view, const DaemonId& daemon) {
  return IsSmallFleet(view) || IsOwnerCandidate(view, daemon);
}

/** Redirects the early jobs with an id to the daemon that gets the job. */
void RedirectEarlyJobs(FleetNode& node, const JobReleaseRequest& request) {
  for (const EarlyJob& job : node.early_jobs) {
    if (job.submission.job.id != request.job)
      continue;
    JobRedirect redirect;
    redirect.job = request.job;
    redirect.to = request.to.id;
    redirect.group = job.submission.group;
    redirect.may_have_started = true;
    redirect.view_revision =
        std::max(node.view.revision, job.submission.view_revision);
    redirect.is_progress_sent = true;
    node.scheduler.finished.push_back(
        FinishedJob::Forwarded(job.receiver, redirect));
  }
}

/** Removes progress that says no more than that a job was unstarted before it
 * was forwarded.
 */
void RemoveEmptyProgress(FleetNode& node, const SubmissionId& job) {
  auto& early = node.scheduler.early_progress;
  const auto found = early.find(job);
  if (found != early.end() && found->second.progress.done.empty() &&
      found->second.progress.active_runs.empty())
    early.erase(found);
}

void DeliverProgress(FleetNode& node,
                     const DaemonRef& to,
                     const JobProgress& progress,
                     Millis now,
                     Actions& actions) {
  if (to == node.self || !HasSession(node.sessions, to)) {
    ApplyJobProgress(node.scheduler, progress, node.view.revision, now,
                     actions);
    AnnounceOldJob(node, progress.job, now, actions);
    return;
  }
  actions.push_back(
      LogEvent{"job_released",
               {{"job", progress.job.value},
                {"to", to.id.value},
                {"view", std::to_string(node.view.revision)},
                {"done", std::to_string(progress.done.size())},
                {"running", std::to_string(progress.active_runs.size())}}});
  SendLostEndpoints(node, to, progress.job, now, actions);
  JobProgress message = progress;
  message.sent_at = now;
  message.former_runs_wait = std::max(
      GetFormerRunsEnd(node.scheduler, progress.job, now) - now, Millis());
  Send(node.sessions, to, std::move(message), SessionLimits(), now, actions);
}

}  // namespace

void ReleaseJob(FleetNode& node,
                const JobReleaseRequest& request,
                Millis now,
                Actions& actions) {
  if (IsOutdated(node, request)) {
    actions.push_back(
        LogEvent{"job_release_outdated",
                 {{"job", request.job.value},
                  {"to", request.to.id.value},
                  {"asked_by_view", std::to_string(request.view_revision)},
                  {"view", std::to_string(node.view.revision)}}});
    SendView(node, request.to, now, actions);
    return;
  }
  ForwardedJob record = MakeReleaseRecord(node, request, now);
  RedirectEarlyJobs(node, request);
  std::optional<JobProgress> progress = ExtractProgress(node, request.job, now);
  const auto known = node.forwarded_jobs.find(request.job);
  const bool is_forwarded = known != node.forwarded_jobs.end();
  if (!progress && is_forwarded && known->second.is_known_unstarted) {
    progress.emplace();
    progress->job = request.job;
  }
  const DaemonRef holder = is_forwarded ? known->second.to : DaemonRef();
  node.forwarded_jobs[request.job] = std::move(record);
  if (progress) {
    DeliverProgress(node, request.to, *progress, now, actions);
    return;
  }
  actions.push_back(LogEvent{"job_release_unknown",
                             {{"job", request.job.value},
                              {"to", request.to.id.value},
                              {"holder", holder.id.value}}});
  const bool is_elsewhere =
      holder != DaemonRef() && holder != request.to && holder != node.self;
  if (is_elsewhere)
    Send(node.sessions, holder, request, SessionLimits(), now, actions);
}

void RequestJobRelease(FleetNode& node,
                       const DaemonRef& holder,
                       const JobReleaseRequest& request,
                       Millis now,
                       Actions& actions) {
  if (holder == node.self)
    ReleaseJob(node, request, now, actions);
  else
    Send(node.sessions, holder, request, SessionLimits(), now, actions);
}

JobRedirect MakeRedirect(const FleetNode& node,
                         const SubmissionId& job,
                         const FleetMember& owner,
                         const EndpointGroup& group,
                         bool may_have_started) {
  JobRedirect redirect;
  redirect.job = job;
  redirect.to = owner.address.id;
  redirect.group = group;
  redirect.may_have_started = may_have_started;
  redirect.view_revision = node.view.revision;
  return redirect;
}

void SendView(FleetNode& node,
              const DaemonRef& to,
              Millis now,
              Actions& actions) {
  ViewNotice notice;
  notice.revision = node.view.revision;
  for (const auto& [id, member] : node.view.members)
    notice.members.push_back(member);
  Send(node.sessions, to, std::move(notice), SessionLimits(), now, actions);
}

void AnnounceLosses(FleetNode& node, Millis now, Actions& actions) {
  const std::set<SubmissionId> jobs =
      std::exchange(node.scheduler.unannounced_losses, {});
  LostEndpointsReport retractions;
  retractions.answered_again =
      std::exchange(node.scheduler.unannounced_retractions, {});
  for (const auto* members : {&node.view.members, &node.unregistered_daemons}) {
    for (const auto& [id, member] : *members) {
      if (id == node.self.id || !MaySchedule(node.view, id))
        continue;
      for (const SubmissionId& job : jobs)
        SendLostEndpoints(node, RefOf(member), job, now, actions);
      if (!retractions.answered_again.empty())
        Send(node.sessions, RefOf(member), retractions, SessionLimits(), now,
             actions);
    }
  }
}

void SendAllLosses(FleetNode& node,
                   const DaemonRef& to,
                   Millis now,
                   Actions& actions) {
  if (!MaySchedule(node.view, node.self.id))
    return;
  std::set<SubmissionId> jobs;
  for (const auto& [task, record] : node.scheduler.crash_records)
    jobs.insert(task.job);
  for (const SubmissionId& job : jobs)
    SendLostEndpoints(node, to, job, now, actions);
}

void HandleJobProgress(FleetNode& node,
                       const DaemonRef& from,
                       const JobProgress& progress,
                       Millis now,
                       Actions& actions) {
  RecordPossibleStart(node, progress.job);
  const auto forwarded = node.forwarded_jobs.find(progress.job);
  const bool is_elsewhere = forwarded != node.forwarded_jobs.end() &&
                            forwarded->second.to != node.self &&
                            forwarded->second.to != from &&
                            node.scheduler.jobs.count(progress.job) == 0;
  const std::optional<Millis> delay =
      ComputeMaxAge(node.peers[from.id].clock, progress.sent_at, now);
  if (progress.former_runs_wait > Millis())
    RecordFormerRuns(node.scheduler, progress.job,
                     now + progress.former_runs_wait);
  JobProgress received = progress;
  received.remaining_lease =
      delay ? std::max(progress.remaining_lease - *delay, Millis()) : Millis();
  DeliverProgress(node, is_elsewhere ? forwarded->second.to : node.self,
                  received, now, actions);
}

void RecordPossibleStart(FleetNode& node, const SubmissionId& job) {
  const auto known = node.forwarded_jobs.find(job);
  if (known != node.forwarded_jobs.end())
    known->second.is_known_unstarted = false;
}

void RecordForwardedJob(FleetNode& node,
                        const JobSubmission& submission,
                        const DaemonRef& owner,
                        Millis now) {
  if (submission.may_have_started) {
    RecordPossibleStart(node, submission.job.id);
    return;
  }
  RemoveEmptyProgress(node, submission.job.id);
  ForwardedJob record;
  record.to = owner;
  record.is_known_unstarted = true;
  record.forwarded_at = now;
  node.forwarded_jobs.try_emplace(submission.job.id, std::move(record));
}

void RecordSpillover(FleetNode& node,
                     const SubmissionId& job,
                     const DaemonRef& owner,
                     const EndpointGroup& group,
                     Millis now) {
  RemoveEmptyProgress(node, job);
  const auto [entry, is_first] = node.forwarded_jobs.try_emplace(job);
  ForwardedJob& record = entry->second;
  record.is_known_unstarted |= is_first;
  record.to = owner;
  record.spillover_group = group;
  record.forwarded_at = now;
}

void RemoveExpiredForwardedJobs(FleetNode& node, Millis now) {
  EraseIf(node.forwarded_jobs, [now](const ForwardedJob& job) {
    return now - job.forwarded_at > kForwardedJobRetention;
  });
}

}  // namespace dogwoodfall
