#include "core/fleet/announcement_flow.h"

#include <string>

namespace dogwoodfall {

std::vector<JobInProgress> ListAnnouncedJobs(const FleetNode& node,
                                             Millis now) {
  std::vector<JobInProgress> announced;
  for (const auto& [id, job] : node.scheduler.jobs) {
    if (now - job.received_at >= kAnnounceJobAfter)
      announced.push_back({id, job.group});
  }
  return announced;
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
    if (job.is_scheduled_twice || job.group == announced.group)
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
