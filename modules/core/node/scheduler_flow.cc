#include "core/node/scheduler_flow.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "core/node/admission.h"
#include "core/node/home_flow.h"
#include "core/node/task_forwarding.h"
#include "core/routing/ownership.h"

namespace dogwoodfall {
namespace {

/** Maximum number of queued tasks of a customer that are examined to find one
 * that fits a free endpoint.
 */
constexpr size_t kMaxLookAhead = 8;
/** Size of collected outputs at which reports are sent before the job ends. */
constexpr size_t kMaxReportBytes = 1'000'000;
/** Maximum burst of starts: the number that the start rate allows in this time.
 */
constexpr double kStartBurstSeconds = 0.1;

RemoteJobKey RemoteJobKeyOf(const QueuedTask& task) {
  return {task.home, KeyOf(task.customer, task.submission)};
}

TaskReport MakeReport(const QueuedTask& task,
                      ResultCode code,
                      StartState state) {
  TaskReport report;
  report.submission = task.submission;
  report.customer = task.customer;
  report.outcome.task = task.task.id;
  report.outcome.code = code;
  report.outcome.state = state;
  report.first_attempt = task.first_attempt;
  report.last_attempt =
      Attempt(std::max(task.first_attempt.value, task.next_attempt.value - 1));
  report.waste = task.waste;
  return report;
}

/** Removes an open task of another home's job. Sends the collected reports with
 * the last task, when they reach kMaxReportBytes, or at once if a task failed,
 * since the job can't be complete then.
 */
void CloseRemoteTask(Node& node,
                     Millis now,
                     const RemoteJobKey& job,
                     const TaskReport* report,
                     Actions& actions) {
  const auto found = node.dispatch.remote_jobs.find(job);
  if (found == node.dispatch.remote_jobs.end())
    return;
  RemoteJob& remote_job = found->second;
  --remote_job.open_tasks;
  bool is_due = remote_job.open_tasks == 0;
  if (report != nullptr) {
    remote_job.reports.push_back(*report);
    remote_job.report_bytes += report->outcome.output.size();
    is_due = is_due || report->outcome.code != ResultCode::kOk ||
             remote_job.report_bytes >= kMaxReportBytes;
  }
  if (is_due && !remote_job.reports.empty()) {
    Send(node.sessions, job.first, TaskReports{std::move(remote_job.reports)},
         node.settings.sessions, now, actions);
    remote_job.reports.clear();
    remote_job.report_bytes = 0;
  }
  if (remote_job.open_tasks == 0)
    node.dispatch.remote_jobs.erase(found);
}

/** Reports the outcome of a task to its home. */
void ReportOutcome(Node& node,
                   Millis now,
                   const QueuedTask& task,
                   const TaskReport& report,
                   Actions& actions) {
  if (task.home == node.settings.self)
    HandleReport(node, now, node.settings.self, report, actions);
  else
    CloseRemoteTask(node, now, RemoteJobKeyOf(task), &report, actions);
}

/** Returns true if the customer already runs this daemon's share of its plan's
 * limit.
 */
bool IsAtTaskLimit(Node& node,
                   const CustomerId& customer,
                   const PlanLimits& limits,
                   Millis now) {
  const uint32_t running = CountRunning(node.dispatch, customer);
  return running >= ComputeConcurrentTaskShare(node, customer, limits, now);
}

void StartOnEndpoint(Node& node,
                     Millis now,
                     QueuedTask task,
                     PooledEndpoint& endpoint,
                     const PlanLimits& limits,
                     Actions& actions) {
  Charge(node.dispatch.queue, task.customer, task.expected_run_time,
         limits.weight);
  RunningTask running;
  running.endpoint = endpoint.member.id;
  running.attempt = task.next_attempt;
  running.started_at = now;
  running.lease_until = std::min(task.deadline, now + node.settings.max_lease);
  task.next_attempt = Attempt(task.next_attempt.value + 1);
  StartTask action;
  action.endpoint = running.endpoint;
  action.submission = task.submission;
  action.customer = task.customer;
  action.task = task.task;
  action.attempt = running.attempt;
  action.lease_length = running.lease_until - now;
  running.task = std::move(task);
  action.lease = AddRunning(node.dispatch, std::move(running));
  ++node.counters.starts;
  actions.push_back(std::move(action));
}

/** Finds the next task of a customer that can start on a free endpoint.
 *
 * @param endpoint set to that endpoint
 * @param expired receives the examined tasks whose deadline has passed
 */
const QueuedTask* FindStartableTask(Node& node,
                                    Millis now,
                                    const CustomerQueue& customer,
                                    const PlanLimits& limits,
                                    PooledEndpoint*& endpoint,
                                    std::vector<TaskKey>& expired) {
  size_t examined = 0;
  for (const auto& [rank, task] : customer.tasks) {
    if (task.deadline <= now) {
      expired.push_back(KeyOf(task));
      continue;
    }
    endpoint = ChooseEndpoint(node.dispatch.pool, limits, task.task, now);
    if (endpoint != nullptr)
      return &task;
    if (++examined >= kMaxLookAhead)
      return nullptr;
  }
  return nullptr;
}

void ReportExpiredTasks(Node& node,
                        Millis now,
                        const std::vector<TaskKey>& expired,
                        Actions& actions) {
  for (const TaskKey& key : expired) {
    const std::optional<QueuedTask> task = Remove(node.dispatch.queue, key);
    if (task) {
      ReportOutcome(node, now, *task,
                    MakeReport(*task, ResultCode::kDeadlineExceeded,
                               StartState::kNotStarted),
                    actions);
    }
  }
}

/** Starts one task and reports expired ones. Returns false if there was
 * neither.
 */
bool StartNextTask(Node& node, Millis now, Actions& actions) {
  if (node.dispatch.queue.index.empty() ||
      FreeSlots(node.dispatch.pool, now) == 0)
    return false;
  std::vector<TaskKey> expired;
  bool has_started = false;
  for (const CustomerId& customer : ServingOrder(node.dispatch.queue)) {
    const PlanLimits* limits = FindLimits(node.configuration, customer);
    if (limits == nullptr || IsAtTaskLimit(node, customer, *limits, now))
      continue;
    PooledEndpoint* endpoint = nullptr;
    const QueuedTask* task =
        FindStartableTask(node, now, node.dispatch.queue.customers.at(customer),
                          *limits, endpoint, expired);
    if (task == nullptr)
      continue;
    const double rate = ComputeStartRateShare(node, customer, *limits, now);
    if (!TakeToken(node.dispatch.start_buckets[customer], rate,
                   std::max(1.0, rate * kStartBurstSeconds), now))
      continue;
    std::optional<QueuedTask> dequeued =
        Remove(node.dispatch.queue, KeyOf(*task));
    StartOnEndpoint(node, now, std::move(*dequeued), *endpoint, *limits,
                    actions);
    has_started = true;
    break;
  }
  ReportExpiredTasks(node, now, expired, actions);
  return has_started || !expired.empty();
}

/** Returns the delay before the next start attempt of a task. The first retry
 * is immediate, since another endpoint may have a free slot; the delay then
 * doubles from kInitialDelay.
 *
 * @param attempts number of attempts made so far
 */
Millis DelayBeforeAttempt(uint32_t attempts) {
  constexpr uint32_t kMaxDoublings = 7;
  constexpr Millis kInitialDelay{10};
  if (attempts <= 1)
    return {};
  return {kInitialDelay.count << std::min(attempts - 2, kMaxDoublings)};
}

/** Retries a start that is known not to have run, or reports the task as not
 * started when its attempts are used up.
 */
void RetryOrReportNotStarted(Node& node,
                             Millis now,
                             QueuedTask task,
                             Actions& actions) {
  const uint32_t attempts = task.next_attempt.value - task.first_attempt.value;
  if (attempts >= node.settings.max_start_attempts) {
    ReportOutcome(node, now, task,
                  MakeReport(task, ResultCode::kNoEndpointReached,
                             StartState::kNotStarted),
                  actions);
    return;
  }
  PushPaused(node.dispatch.queue, std::move(task),
             now + DelayBeforeAttempt(attempts));
}

void HandleRunResult(Node& node,
                     Millis now,
                     const RunningTask& running,
                     const EndpointEvent& event,
                     PooledEndpoint* endpoint,
                     Actions& actions) {
  const bool has_succeeded = event.kind == EndpointEventKind::kSucceeded;
  const Millis run_time = now - running.started_at;
  if (endpoint != nullptr && has_succeeded) {
    RecordRunTime(node.dispatch.run_times, running.task.customer,
                  running.task.task.kind, run_time, endpoint->slowness);
    RecordSuccess(*endpoint, run_time, running.task.expected_run_time);
  } else if (endpoint != nullptr) {
    RecordFailure(node.dispatch.pool, *endpoint, node.settings.ejection, now);
  }
  TaskReport report = MakeReport(
      running.task, has_succeeded ? ResultCode::kOk : ResultCode::kTaskFailed,
      StartState::kStarted);
  report.outcome.endpoint = running.endpoint;
  report.outcome.run_time = run_time;
  if (event.output.size() > node.settings.max_output_bytes)
    report.outcome.code = ResultCode::kAnswerTooLarge;
  else if (has_succeeded)
    report.outcome.output = event.output;
  ReportOutcome(node, now, running.task, report, actions);
}

/** Returns true if the answer belongs to the start of the lease that it names.
 * Only answers of kind kSucceeded and kFailed repeat the task and the attempt.
 */
bool MatchesStart(const RunningTask& running, const EndpointEvent& event) {
  const bool has_echo = event.kind == EndpointEventKind::kSucceeded ||
                        event.kind == EndpointEventKind::kFailed;
  if (!has_echo)
    return running.endpoint == event.endpoint;
  return running.endpoint == event.endpoint &&
         running.task.task.id == event.task && running.attempt == event.attempt;
}

/** Finds the queued and paused tasks of the homes that satisfy a condition. */
template <typename Condition>
std::vector<TaskKey> FindWaitingTasks(const Node& node,
                                      Condition has_matching_home) {
  std::vector<TaskKey> keys;
  for (const auto& [id, customer] : node.dispatch.queue.customers) {
    for (const auto& [rank, task] : customer.tasks) {
      if (has_matching_home(task.home))
        keys.push_back(KeyOf(task));
    }
  }
  for (const auto& [key, paused_task] : node.dispatch.queue.paused) {
    if (has_matching_home(paused_task.task.home))
      keys.push_back(key);
  }
  return keys;
}

PooledEndpoint* FindPooledEndpoint(Node& node, const EndpointId& id) {
  const auto found = node.dispatch.pool.endpoints.find(id);
  return found == node.dispatch.pool.endpoints.end() ? nullptr : &found->second;
}

}  // namespace

void DispatchTasks(Node& node, Millis now, Actions& actions) {
  if (node.is_dispatching)
    return;
  node.is_dispatching = true;
  ResumePausedTasks(node.dispatch.queue, now);
  while (StartNextTask(node, now, actions)) {
  }
  ForwardTasks(node, now, actions);
  node.is_dispatching = false;
}

Withdrawal WithdrawTask(Node& node, const TaskKey& key, Actions& actions) {
  if (Remove(node.dispatch.queue, key))
    return Withdrawal::kFromQueue;
  const auto indexed = node.dispatch.running_index.find(key);
  if (indexed == node.dispatch.running_index.end())
    return Withdrawal::kNotHeld;
  RunningTask& running = node.dispatch.running.at(indexed->second);
  if (running.is_stop_requested)
    return Withdrawal::kNotHeld;
  running.is_stop_requested = true;
  ++node.counters.waste.stops;
  actions.push_back(StopTask{running.endpoint, running.task.submission,
                             running.task.task.id, running.attempt,
                             indexed->second});
  return Withdrawal::kStopped;
}

void AcceptTaskBatch(Node& node,
                     Millis now,
                     const DaemonRef& home,
                     const TaskBatch& batch,
                     Actions& actions) {
  for (const TaskAssignment& assignment : batch.tasks) {
    QueuedTask task;
    task.submission = assignment.submission;
    task.customer = assignment.customer;
    task.task = assignment.task;
    task.home = home;
    task.first_attempt = assignment.first_attempt;
    task.next_attempt = assignment.first_attempt;
    task.deadline = now + assignment.time_left;
    task.remaining_work = assignment.remaining_work;
    task.expected_run_time = EstimateRunTime(
        node.dispatch.run_times, assignment.customer, assignment.task);
    task.queued_at = now;
    const RemoteJobKey job = RemoteJobKeyOf(task);
    // A home reassigns a task only after its report. A task that is already
    // running or queued is therefore not added again.
    if (node.dispatch.running_index.count(KeyOf(task)) == 0 &&
        Push(node.dispatch.queue, std::move(task)))
      ++node.dispatch.remote_jobs[job].open_tasks;
  }
  if (node.drain.phase != DrainPhase::kServing)
    ReturnQueuedTasks(node, now, actions);
  DispatchTasks(node, now, actions);
}

void HandleTaskCancellation(Node& node,
                            Millis now,
                            const DaemonRef& home,
                            const TaskCancellation& cancellation,
                            Actions& actions) {
  const SubmissionKey submission =
      KeyOf(cancellation.customer, cancellation.submission);
  for (const TaskId& task : cancellation.tasks) {
    const Withdrawal withdrawal =
        WithdrawTask(node, {submission, task}, actions);
    if (withdrawal == Withdrawal::kFromQueue)
      CloseRemoteTask(node, now, {home, submission}, nullptr, actions);
  }
  DispatchTasks(node, now, actions);
}

void HandleEndpointEvent(Node& node,
                         Millis now,
                         const EndpointEvent& event,
                         Actions& actions) {
  const auto found = node.dispatch.running.find(event.lease);
  if (found == node.dispatch.running.end() ||
      !MatchesStart(found->second, event)) {
    ++node.counters.unmatched_endpoint_answers;
    ++node.counters.waste.dropped_answers;
    return;
  }
  if (event.leaving)
    MarkLeaving(node.membership, event.endpoint);
  RunningTask running = RemoveRunning(node.dispatch, event.lease);
  PooledEndpoint* endpoint = FindPooledEndpoint(node, running.endpoint);
  if (endpoint != nullptr && event.leaving)
    endpoint->member.leaving = true;
  if (running.is_stop_requested) {
    ++node.counters.waste.dropped_answers;
    CloseRemoteTask(node, now, RemoteJobKeyOf(running.task), nullptr, actions);
    DispatchTasks(node, now, actions);
    return;
  }
  switch (event.kind) {
    case EndpointEventKind::kSucceeded:
    case EndpointEventKind::kFailed:
      HandleRunResult(node, now, running, event, endpoint, actions);
      break;
    case EndpointEventKind::kRefused:
    case EndpointEventKind::kNotConnected: {
      const bool is_refused = event.kind == EndpointEventKind::kRefused;
      uint32_t& task_waste = is_refused ? running.task.waste.refused_starts
                                        : running.task.waste.failed_connections;
      uint32_t& total_waste = is_refused
                                  ? node.counters.waste.refused_starts
                                  : node.counters.waste.failed_connections;
      ++task_waste;
      ++total_waste;
      if (endpoint != nullptr)
        RecordFailure(node.dispatch.pool, *endpoint, node.settings.ejection,
                      now);
      RetryOrReportNotStarted(node, now, std::move(running.task), actions);
      break;
    }
    case EndpointEventKind::kLost:
      if (endpoint != nullptr)
        RecordFailure(node.dispatch.pool, *endpoint, node.settings.ejection,
                      now);
      ReportOutcome(node, now, running.task,
                    MakeReport(running.task, ResultCode::kEndpointLost,
                               StartState::kMayHaveStarted),
                    actions);
      break;
  }
  DispatchTasks(node, now, actions);
}

void ExpireLeases(Node& node, Millis now, Actions& actions) {
  std::vector<LeaseId> expired;
  for (const auto& [lease, running] : node.dispatch.running) {
    if (running.lease_until <= now)
      expired.push_back(lease);
  }
  for (const LeaseId& lease : expired) {
    const RunningTask running = RemoveRunning(node.dispatch, lease);
    PooledEndpoint* endpoint = FindPooledEndpoint(node, running.endpoint);
    if (endpoint != nullptr)
      RecordFailure(node.dispatch.pool, *endpoint, node.settings.ejection, now);
    if (running.is_stop_requested) {
      CloseRemoteTask(node, now, RemoteJobKeyOf(running.task), nullptr,
                      actions);
      continue;
    }
    ++node.counters.waste.stops;
    actions.push_back(StopTask{running.endpoint, running.task.submission,
                               running.task.task.id, running.attempt, lease});
    TaskReport report = MakeReport(running.task, ResultCode::kLeaseExpired,
                                   StartState::kMayHaveStarted);
    ++report.waste.stops;
    ReportOutcome(node, now, running.task, report, actions);
  }
}

void ReturnQueuedTasks(Node& node, Millis now, Actions& actions) {
  for (const TaskKey& key :
       FindWaitingTasks(node, [&node](const DaemonRef& home) {
         return home != node.settings.self;
       })) {
    QueuedTask task = *Remove(node.dispatch.queue, key);
    ++task.waste.bounced_forwards;
    ++node.counters.waste.bounced_forwards;
    ReportOutcome(
        node, now, task,
        MakeReport(task, ResultCode::kDraining, StartState::kNotStarted),
        actions);
  }
}

void DropTasksOf(Node& node, const DaemonRef& ended, Actions& actions) {
  std::vector<TaskKey> dropped = FindWaitingTasks(
      node, [&ended](const DaemonRef& home) { return home == ended; });
  for (const auto& [lease, running] : node.dispatch.running) {
    if (running.task.home == ended)
      dropped.push_back(KeyOf(running.task));
  }
  for (const TaskKey& key : dropped)
    WithdrawTask(node, key, actions);
  for (auto entry = node.dispatch.remote_jobs.begin();
       entry != node.dispatch.remote_jobs.end();) {
    entry = entry->first.first == ended ? node.dispatch.remote_jobs.erase(entry)
                                        : std::next(entry);
  }
}

void UpdateOwnedEndpoints(Node& node, Millis now) {
  const bool is_draining = node.drain.phase != DrainPhase::kServing;
  SetOwnedEndpoints(node.dispatch.pool,
                    OwnedEndpoints(node.membership, is_draining,
                                   node.settings.membership, now));
}

}  // namespace dogwoodfall
