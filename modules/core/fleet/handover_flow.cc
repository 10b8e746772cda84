#include "core/fleet/handover_flow.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "core/scheduling/job_flow.h"

namespace dogwoodfall {
namespace {

/** Time for which it is known where a job went: callers wait 1,500 ms, and a
 * job that is sent again later is a new one for its schedulers.
 */
constexpr Millis kKeepPassedJobs{2'000};

/** Takes out what is known of a job; none when nothing is. */
std::optional<JobProgress> TakeOutProgress(FleetNode& node,
                                           const SubmissionId& id,
                                           Millis now) {
  if (const auto job = RemoveJob(node.scheduler, id))
    return MakeJobProgress(node.scheduler, *job, now);
  const auto early = node.scheduler.early_progress.find(id);
  if (early != node.scheduler.early_progress.end()) {
    JobProgress progress = std::move(early->second.progress);
    node.scheduler.early_progress.erase(early);
    return progress;
  }
  const auto waiting = std::find_if(
      node.early_jobs.begin(), node.early_jobs.end(),
      [&id](const EarlyJob& job) { return job.submission.job.id == id; });
  if (waiting == node.early_jobs.end())
    return std::nullopt;
  const bool is_untouched = !waiting->submission.may_have_started;
  node.early_jobs.erase(waiting);
  if (!is_untouched)
    return std::nullopt;
  JobProgress nothing;
  nothing.job = id;
  return nothing;
}

/** True when a release was asked for by an older view, and this daemon still
 * gives orders to the job's endpoints by its own.
 */
bool IsOutdated(const FleetNode& node, const JobReleaseRequest& release) {
  const auto job = node.scheduler.jobs.find(release.job);
  if (job == node.scheduler.jobs.end() ||
      release.view_revision >= node.view.revision)
    return false;
  return IsOwnerOf(node.view, node.self, job->second.group);
}

void TellProgress(FleetNode& node,
                  const DaemonRef& to,
                  const JobProgress& progress,
                  Millis now,
                  Actions& actions) {
  if (to == node.self) {
    ApplyJobProgress(node.scheduler, progress, node.view.revision, now,
                     actions);
    return;
  }
  actions.push_back(
      LogEvent{"job_released",
               {{"job", progress.job.value},
                {"to", to.id.value},
                {"view", std::to_string(node.view.revision)},
                {"done", std::to_string(progress.done.size())},
                {"running", std::to_string(progress.active_runs.size())}}});
  Send(node.sessions, to, progress, SessionLimits(), now, actions);
}

}  // namespace

void ReleaseJob(FleetNode& node,
                const JobReleaseRequest& release,
                Millis now,
                Actions& actions) {
  if (IsOutdated(node, release)) {
    actions.push_back(
        LogEvent{"job_release_outdated",
                 {{"job", release.job.value},
                  {"to", release.to.id.value},
                  {"asked_by_view", std::to_string(release.view_revision)},
                  {"view", std::to_string(node.view.revision)}}});
    TellView(node, release.to, now, actions);
    return;
  }
  std::optional<JobProgress> progress = TakeOutProgress(node, release.job, now);
  const auto known = node.passed_jobs.find(release.job);
  const bool is_passed = known != node.passed_jobs.end();
  if (!progress && is_passed && known->second.is_untouched) {
    progress.emplace();
    progress->job = release.job;
  }
  const DaemonRef holder = is_passed ? known->second.to : DaemonRef();
  node.passed_jobs[release.job] = {release.to, false, now};
  if (progress) {
    TellProgress(node, release.to, *progress, now, actions);
    return;
  }
  actions.push_back(LogEvent{"job_release_unknown",
                             {{"job", release.job.value},
                              {"to", release.to.id.value},
                              {"holder", holder.id.value}}});
  const bool is_elsewhere =
      holder != DaemonRef() && holder != release.to && holder != node.self;
  if (is_elsewhere)
    Send(node.sessions, holder, release, SessionLimits(), now, actions);
}

void AskForJob(FleetNode& node,
               const DaemonRef& holder,
               const SubmissionId& job,
               const DaemonRef& next,
               Millis now,
               Actions& actions) {
  const JobReleaseRequest release{job, next, node.view.revision};
  if (holder == node.self)
    ReleaseJob(node, release, now, actions);
  else
    Send(node.sessions, holder, release, SessionLimits(), now, actions);
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

void TellView(FleetNode& node,
              const DaemonRef& to,
              Millis now,
              Actions& actions) {
  ViewNotice notice;
  notice.revision = node.view.revision;
  for (const auto& [id, member] : node.view.members)
    notice.members.push_back(member);
  Send(node.sessions, to, std::move(notice), SessionLimits(), now, actions);
}

void TakeToldProgress(FleetNode& node,
                      const DaemonRef& from,
                      const JobProgress& progress,
                      Millis now,
                      Actions& actions) {
  const auto passed = node.passed_jobs.find(progress.job);
  const bool is_elsewhere =
      passed != node.passed_jobs.end() && passed->second.to != node.self &&
      passed->second.to != from && node.scheduler.jobs.count(progress.job) == 0;
  TellProgress(node, is_elsewhere ? passed->second.to : node.self, progress,
               now, actions);
}

void NotePassedJob(FleetNode& node,
                   const JobSubmission& submission,
                   const DaemonRef& owner,
                   Millis now) {
  const SubmissionId& id = submission.job.id;
  if (node.passed_jobs.count(id) == 0 && !submission.may_have_started)
    node.passed_jobs[id] = {owner, true, now};
}

void ForgetPassedJobs(FleetNode& node, Millis now) {
  for (auto job = node.passed_jobs.begin(); job != node.passed_jobs.end();) {
    const bool is_old = now - job->second.at > kKeepPassedJobs;
    job = is_old ? node.passed_jobs.erase(job) : std::next(job);
  }
}

}  // namespace dogwoodfall
