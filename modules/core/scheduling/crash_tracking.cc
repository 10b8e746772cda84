#include "core/scheduling/crash_tracking.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "base/erase_if.h"
#include "core/scheduling/endpoint_commands.h"
#include "core/scheduling/job_flow.h"

namespace dogwoodfall {
namespace {

/** Number of lost endpoints at which a task is given up when no other suspected
 * task was lost with the last one.
 */
constexpr size_t kMaxLossesOfSoleSuspect = 2;
/** Number of lost endpoints at which a task is given up in any case. */
constexpr size_t kMaxLosses = 3;
/** Losses within this time may have one cause: it covers a lease and the time
 * in which silence is noticed.
 */
constexpr Millis kGroupLossWindow{1'000};
/** Number of other endpoints of the rack, lost at the same time without a
 * suspected job, from which on a loss is no evidence against the tasks that ran
 * there.
 */
constexpr size_t kMinGroupLosses = 2;
/** Time after the last loss for which a record is kept. Callers may send a job
 * again after its failure.
 */
constexpr Millis kCrashRecordRetention{60'000};
/** Time for which the record of a task that was given up is kept after its job
 * was last sent again. Callers may send a job again much later.
 */
constexpr Millis kGivenUpRetention{600'000};
/** Time for which a task stays given up after two losses, however often its job
 * is sent again. It doubles with each further loss.
 */
constexpr Millis kMinGivenUpTime{1'200'000};
/** Number of losses after which it doubles no more. */
constexpr size_t kMaxDoublingLosses = 8;

Millis ComputeGivenUpTime(const CrashRecord& record) {
  const size_t losses = std::clamp(record.endpoints.size(),
                                   kMaxLossesOfSoleSuspect, kMaxDoublingLosses);
  return Millis{kMinGivenUpTime.count << (losses - kMaxLossesOfSoleSuspect)};
}

bool WasGivenUp(const CrashRecord& record) {
  return record.given_up_until != Millis();
}

void MarkGivenUp(CrashRecord& record, Millis now) {
  record.is_given_up = true;
  record.given_up_until = now + ComputeGivenUpTime(record);
}

bool AddEndpoint(CrashRecord& record,
                 const EndpointIncarnation& endpoint,
                 Millis now) {
  std::vector<EndpointIncarnation>& known = record.endpoints;
  if (std::find(known.begin(), known.end(), endpoint) != known.end())
    return false;
  known.push_back(endpoint);
  record.updated_at = now;
  return true;
}

/** Returns the start of the latest known incarnation of an endpoint, in ms
 * since 1970; 0 if none is known.
 */
int64_t FindLatestStart(const Scheduler& scheduler, const EndpointId& id) {
  int64_t started_at_ms = 0;
  const auto managed = scheduler.endpoints.find(id);
  if (managed != scheduler.endpoints.end())
    started_at_ms = managed->second.started_at_ms;
  const auto listed = scheduler.endpoint_history.find(id);
  if (listed != scheduler.endpoint_history.end())
    started_at_ms =
        std::max(started_at_ms, listed->second.largest_entry.started_at_ms);
  return started_at_ms;
}

/** Returns true when a later incarnation of a lost endpoint is known. */
bool HasRestarted(const Scheduler& scheduler, const EndpointIncarnation& lost) {
  return lost.started_at_ms != 0 &&
         FindLatestStart(scheduler, lost.id) > lost.started_at_ms;
}

/** Formats lost endpoints as ID@START, with >START of a later incarnation that
 * is known, for logs.
 */
std::string FormatLosses(const Scheduler& scheduler,
                         const CrashRecord& record) {
  std::string text;
  for (const EndpointIncarnation& lost : record.endpoints) {
    if (!text.empty())
      text += ",";
    text += lost.id.value + "@" + std::to_string(lost.started_at_ms);
    if (HasRestarted(scheduler, lost))
      text += ">" + std::to_string(FindLatestStart(scheduler, lost.id));
  }
  return text;
}

void GiveUpTask(Scheduler& scheduler,
                const JobTask& task,
                CrashRecord& record,
                Millis now,
                Actions& actions) {
  MarkGivenUp(record, now);
  ++scheduler.counters.given_up_tasks;
  actions.push_back(
      LogEvent{"task_given_up",
               {{"job", task.job.value},
                {"task", FormatTaskPosition(task)},
                {"endpoints_lost", std::to_string(record.endpoints.size())},
                {"last", record.endpoints.back().id.value},
                {"for_ms", std::to_string((record.given_up_until - now).count)},
                {"lost", FormatLosses(scheduler, record)}}});
  EndJob(scheduler, task.job, MakeGivenUpOutcome(), now, actions);
}

/** Returns true when an endpoint has become silent recently, without a run of a
 * suspected job.
 */
bool IsSilentWithoutSuspect(const Scheduler& scheduler,
                            const ManagedEndpoint& endpoint,
                            Millis now) {
  return endpoint.status == EndpointStatus::kUnresponsive &&
         now - endpoint.status_since <= kGroupLossWindow &&
         !endpoint.runs.empty() &&
         std::none_of(endpoint.runs.begin(), endpoint.runs.end(),
                      [&scheduler](const auto& run) {
                        return HasSuspect(scheduler, run.first.first.job);
                      });
}

/** Returns the endpoints of a rack that were lost recently, or have become
 * silent, though they ran no suspected job.
 */
std::set<EndpointId> FindOtherLosses(const Scheduler& scheduler,
                                     const RackId& rack,
                                     Millis now) {
  std::set<EndpointId> others;
  for (const EndpointLoss& loss : scheduler.recent_losses) {
    if (loss.rack == rack && !loss.has_suspect &&
        now - loss.lost_at <= kGroupLossWindow)
      others.insert(loss.endpoint.id);
  }
  for (const auto& [id, endpoint] : scheduler.endpoints) {
    if (endpoint.entry.rack == rack &&
        IsSilentWithoutSuspect(scheduler, endpoint, now))
      others.insert(id);
  }
  return others;
}

/** Returns true when the last endpoint of a record was lost together with other
 * endpoints of its rack: a failure that they have in common is likelier than a
 * task that crashes its endpoint.
 */
bool IsPartOfRackLoss(const Scheduler& scheduler,
                      const CrashRecord& record,
                      const RackId& rack,
                      Millis now) {
  if (rack.value.empty())
    return false;
  std::set<EndpointId> others = FindOtherLosses(scheduler, rack, now);
  for (const EndpointIncarnation& lost : record.endpoints)
    others.erase(lost.id);
  return others.size() >= kMinGroupLosses;
}

/** Lists the runs of an endpoint that another daemon has lost, as it may answer
 * this one.
 */
void CheckReportedLoss(Scheduler& scheduler,
                       const EndpointIncarnation& lost,
                       Millis now,
                       Actions& actions) {
  const auto known = scheduler.endpoints.find(lost.id);
  if (known == scheduler.endpoints.end() ||
      known->second.status != EndpointStatus::kUsable ||
      known->second.started_at_ms != lost.started_at_ms)
    return;
  known->second.is_reported_lost = true;
  PollEndpoint(scheduler, known->second, now, actions);
}

/** Removes an endpoint from all records.
 * @return true when a record has changed
 */
bool RemoveLoss(Scheduler& scheduler, const EndpointIncarnation& endpoint) {
  bool has_changed = false;
  for (auto& [task, record] : scheduler.crash_records) {
    std::vector<EndpointIncarnation>& known = record.endpoints;
    const auto retracted = std::find(known.begin(), known.end(), endpoint);
    if (retracted == known.end())
      continue;
    known.erase(retracted);
    has_changed = true;
    if (known.size() < kMaxLossesOfSoleSuspect) {
      record.is_given_up = false;
      record.given_up_until = Millis();
    }
  }
  return has_changed;
}

}  // namespace

void RecordEndpointLoss(Scheduler& scheduler,
                        const EndpointEntry& endpoint,
                        int64_t started_at_ms,
                        const std::vector<JobTask>& tasks,
                        Millis now,
                        Actions& actions) {
  if (endpoint.draining)
    return;
  std::vector<JobTask> suspects;
  for (const JobTask& task : tasks) {
    if (IsSuspect(scheduler, task))
      suspects.push_back(task);
  }
  const bool has_suspect_job =
      std::any_of(tasks.begin(), tasks.end(), [&scheduler](const auto& task) {
        return HasSuspect(scheduler, task.job);
      });
  std::vector<JobTask> newly_hit;
  for (const JobTask& task : tasks) {
    if (AddEndpoint(scheduler.crash_records[task], {endpoint.id, started_at_ms},
                    now))
      newly_hit.push_back(task);
  }
  if (!newly_hit.empty())
    scheduler.recent_losses.push_back(
        {{endpoint.id, started_at_ms}, endpoint.rack, now, has_suspect_job});
  for (const JobTask& task : newly_hit) {
    CrashRecord& record = scheduler.crash_records[task];
    if (record.is_given_up)
      continue;
    const bool is_sole_suspect =
        suspects.size() == 1 && suspects.front() == task;
    const size_t losses = record.endpoints.size();
    if (losses >= kMaxLosses ||
        (losses >= kMaxLossesOfSoleSuspect && is_sole_suspect &&
         !IsPartOfRackLoss(scheduler, record, endpoint.rack, now)))
      GiveUpTask(scheduler, task, record, now, actions);
  }
  for (const JobTask& task : tasks) {
    if (scheduler.jobs.count(task.job) == 0)
      scheduler.unannounced_losses.insert(task.job);
  }
}

void RetractEndpointLoss(Scheduler& scheduler,
                         const EndpointIncarnation& endpoint) {
  if (RemoveLoss(scheduler, endpoint))
    scheduler.unannounced_retractions.push_back(endpoint);
}

bool IsSuspect(const Scheduler& scheduler, const JobTask& task) {
  const auto record = scheduler.crash_records.find(task);
  return record != scheduler.crash_records.end() &&
         !record->second.endpoints.empty();
}

bool HasSuspect(const Scheduler& scheduler, const SubmissionId& job) {
  auto record = scheduler.crash_records.lower_bound({job, 0, 0});
  for (; record != scheduler.crash_records.end() && record->first.job == job;
       ++record) {
    if (!record->second.endpoints.empty())
      return true;
  }
  return false;
}

bool HasSuspectRun(const Scheduler& scheduler,
                   const ManagedEndpoint& endpoint) {
  if (scheduler.crash_records.empty())
    return false;
  return std::any_of(endpoint.runs.begin(), endpoint.runs.end(),
                     [&scheduler](const auto& entry) {
                       return IsSuspect(scheduler, entry.first.first);
                     });
}

bool HasGivenUpTask(const Scheduler& scheduler, const SubmissionId& job) {
  auto record = scheduler.crash_records.lower_bound({job, 0, 0});
  for (; record != scheduler.crash_records.end() && record->first.job == job;
       ++record) {
    if (record->second.is_given_up)
      return true;
  }
  return false;
}

void RenewCrashRecords(Scheduler& scheduler,
                       const SubmissionId& job,
                       Millis now) {
  auto record = scheduler.crash_records.lower_bound({job, 0, 0});
  for (; record != scheduler.crash_records.end() && record->first.job == job;
       ++record)
    record->second.updated_at = now;
}

JobOutcome MakeGivenUpOutcome() {
  return {JobResult::kAbandoned, {}, "task_crashes_endpoints"};
}

std::string DescribeGivenUpTasks(const Scheduler& scheduler,
                                 const SubmissionId& job) {
  std::string text;
  auto record = scheduler.crash_records.lower_bound({job, 0, 0});
  for (; record != scheduler.crash_records.end() && record->first.job == job;
       ++record) {
    if (!record->second.is_given_up)
      continue;
    if (!text.empty())
      text += ";";
    text += FormatTaskPosition(record->first) + ":" +
            FormatLosses(scheduler, record->second);
  }
  return text;
}

std::optional<LostEndpointsReport> MakeLostEndpointsReport(
    const Scheduler& scheduler,
    const SubmissionId& job) {
  LostEndpointsReport report;
  report.job = job;
  auto record = scheduler.crash_records.lower_bound({job, 0, 0});
  for (; record != scheduler.crash_records.end() && record->first.job == job;
       ++record) {
    report.tasks.push_back({record->first.step, record->first.index,
                            record->second.endpoints,
                            record->second.is_given_up});
  }
  if (report.tasks.empty())
    return std::nullopt;
  return report;
}

void ApplyLostEndpointsReport(Scheduler& scheduler,
                              const LostEndpointsReport& report,
                              Millis now,
                              Actions& actions) {
  for (const EndpointIncarnation& endpoint : report.answered_again)
    RemoveLoss(scheduler, endpoint);
  for (const TaskEndpointLosses& reported : report.tasks) {
    CrashRecord& record =
        scheduler.crash_records[{report.job, reported.step, reported.index}];
    bool has_new_loss = false;
    for (const EndpointIncarnation& endpoint : reported.endpoints) {
      if (!AddEndpoint(record, endpoint, now))
        continue;
      has_new_loss = true;
      CheckReportedLoss(scheduler, endpoint, now, actions);
    }
    if (reported.is_given_up && (has_new_loss || !WasGivenUp(record)))
      MarkGivenUp(record, now);
    record.updated_at = now;
  }
  if (HasGivenUpTask(scheduler, report.job))
    EndJob(scheduler, report.job, MakeGivenUpOutcome(), now, actions);
}

void RemoveExpiredCrashRecords(Scheduler& scheduler, Millis now) {
  std::vector<EndpointLoss>& losses = scheduler.recent_losses;
  losses.erase(std::remove_if(losses.begin(), losses.end(),
                              [now](const EndpointLoss& loss) {
                                return now - loss.lost_at > kGroupLossWindow;
                              }),
               losses.end());
  EraseIf(scheduler.crash_records, [now](const CrashRecord& record) {
    return now - record.updated_at >
           (WasGivenUp(record) ? kGivenUpRetention : kCrashRecordRetention);
  });
  for (auto& [task, record] : scheduler.crash_records)
    record.is_given_up &= now < record.given_up_until;
}

}  // namespace dogwoodfall
