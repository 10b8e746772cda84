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

/** Tasks of a customer looked at for one that fits a free endpoint. */
constexpr size_t kLookAhead = 8;
/** Bytes of outputs that wait for the rest of a job's reports. */
constexpr size_t kMostReportBytes = 1'000'000;
/** Part of a second's starts that may be made at once. */
constexpr double kStartBurst = 0.1;

HomeJobKey JobOf(const QueuedTask& task) {
  return {task.home, KeyOf(task.customer, task.submission)};
}

TaskReport ReportFor(const QueuedTask& task,
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

/** Forgets an open task of another home's job and sends its reports when they
 * are due: with the last task, or at once when the job can't be complete.
 */
void CloseShare(Node& node,
                Millis now,
                const HomeJobKey& job,
                const TaskReport* report,
                Actions& actions) {
  const auto found = node.dispatch.remote_jobs.find(job);
  if (found == node.dispatch.remote_jobs.end())
    return;
  RemoteJob& share = found->second;
  --share.open_tasks;
  bool is_due = share.open_tasks == 0;
  if (report != nullptr) {
    share.reports.push_back(*report);
    share.report_bytes += report->outcome.output.size();
    is_due = is_due || report->outcome.code != ResultCode::kOk ||
             share.report_bytes >= kMostReportBytes;
  }
  if (is_due && !share.reports.empty()) {
    Send(node.sessions, job.first, TaskReports{std::move(share.reports)},
         node.settings.sessions, now, actions);
    share.reports.clear();
    share.report_bytes = 0;
  }
  if (share.open_tasks == 0)
    node.dispatch.remote_jobs.erase(found);
}

/** Tells the home of a task how it ended. */
void Report(Node& node,
            Millis now,
            const QueuedTask& task,
            const TaskReport& report,
            Actions& actions) {
  if (task.home == node.settings.self)
    HandleReport(node, now, node.settings.self, report, actions);
  else
    CloseShare(node, now, JobOf(task), &report, actions);
}

/** True when a limit of the customer's plan holds its next start back. */
bool IsHeldBack(Node& node,
                const CustomerId& customer,
                const PlanLimits& limits,
                Millis now) {
  const uint32_t running = CountRunning(node.dispatch, customer);
  return running >= ShareOfTasksAtOnce(node, customer, limits, now);
}

void Start(Node& node,
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

/** The next task of a customer that a free endpoint can take. Tasks whose
 * deadline has passed are added to expired.
 */
const QueuedTask* FindStartable(Node& node,
                                Millis now,
                                const CustomerQueue& customer,
                                const PlanLimits& limits,
                                PooledEndpoint*& endpoint,
                                std::vector<TaskKey>& expired) {
  size_t looked_at = 0;
  for (const auto& [rank, task] : customer.tasks) {
    if (task.deadline <= now) {
      expired.push_back(KeyOf(task));
      continue;
    }
    endpoint = ChooseEndpoint(node.dispatch.pool, limits, task.task, now);
    if (endpoint != nullptr)
      return &task;
    if (++looked_at >= kLookAhead)
      return nullptr;
  }
  return nullptr;
}

void ReportExpired(Node& node,
                   Millis now,
                   const std::vector<TaskKey>& expired,
                   Actions& actions) {
  for (const TaskKey& key : expired) {
    const std::optional<QueuedTask> task = Remove(node.dispatch.queue, key);
    if (task) {
      Report(node, now, *task,
             ReportFor(*task, ResultCode::kDeadlineExceeded,
                       StartState::kNotStarted),
             actions);
    }
  }
}

/** Starts one task. Returns false when none can be started. */
bool StartNext(Node& node, Millis now, Actions& actions) {
  if (node.dispatch.queue.index.empty() ||
      FreeSlots(node.dispatch.pool, now) == 0)
    return false;
  std::vector<TaskKey> expired;
  bool started = false;
  for (const CustomerId& customer : ServingOrder(node.dispatch.queue)) {
    const PlanLimits* limits = FindLimits(node.configuration, customer);
    if (limits == nullptr || IsHeldBack(node, customer, *limits, now))
      continue;
    PooledEndpoint* endpoint = nullptr;
    const QueuedTask* task =
        FindStartable(node, now, node.dispatch.queue.customers.at(customer),
                      *limits, endpoint, expired);
    if (task == nullptr)
      continue;
    const double rate = ShareOfStarts(node, customer, *limits, now);
    if (!TakeToken(node.dispatch.start_buckets[customer], rate,
                   std::max(1.0, rate * kStartBurst), now))
      continue;
    std::optional<QueuedTask> taken = Remove(node.dispatch.queue, KeyOf(*task));
    Start(node, now, std::move(*taken), *endpoint, *limits, actions);
    started = true;
    break;
  }
  ReportExpired(node, now, expired, actions);
  return started || !expired.empty();
}

/** Pause before the next try of a task: none before the first repeat, since
 * another endpoint may well have room, then doubling.
 */
Millis PauseBeforeTry(uint32_t tries) {
  constexpr uint32_t kMostDoublings = 7;
  constexpr Millis kFirstPause{10};
  if (tries <= 1)
    return {};
  return {kFirstPause.count << std::min(tries - 2, kMostDoublings)};
}

/** Takes a start that certainly did not run: tries again, or reports it. */
void TakeNotStarted(Node& node, Millis now, QueuedTask task, Actions& actions) {
  const uint32_t tries = task.next_attempt.value - task.first_attempt.value;
  if (tries >= node.settings.max_start_attempts) {
    Report(node, now, task,
           ReportFor(task, ResultCode::kNoEndpointReached,
                     StartState::kNotStarted),
           actions);
    return;
  }
  PushPaused(node.dispatch.queue, std::move(task), now + PauseBeforeTry(tries));
}

void TakeRun(Node& node,
             Millis now,
             const RunningTask& running,
             const EndpointEvent& event,
             PooledEndpoint* endpoint,
             Actions& actions) {
  const bool succeeded = event.kind == EndpointEventKind::kSucceeded;
  const Millis run_time = now - running.started_at;
  if (endpoint != nullptr && succeeded) {
    RecordRunTime(node.dispatch.run_times, running.task.customer,
                  running.task.task.kind, run_time, endpoint->slowness);
    RecordSuccess(*endpoint, run_time, running.task.expected_run_time);
  } else if (endpoint != nullptr) {
    RecordFailure(node.dispatch.pool, *endpoint, node.settings.ejection, now);
  }
  TaskReport report = ReportFor(
      running.task, succeeded ? ResultCode::kOk : ResultCode::kTaskFailed,
      StartState::kStarted);
  report.outcome.endpoint = running.endpoint;
  report.outcome.run_time = run_time;
  if (event.output.size() > node.settings.max_output_bytes)
    report.outcome.code = ResultCode::kAnswerTooLarge;
  else if (succeeded)
    report.outcome.output = event.output;
  Report(node, now, running.task, report, actions);
}

/** True when the answer is to the start whose lease it came back on. */
bool MatchesStart(const RunningTask& running, const EndpointEvent& event) {
  const bool has_echo = event.kind == EndpointEventKind::kSucceeded ||
                        event.kind == EndpointEventKind::kFailed;
  if (!has_echo)
    return running.endpoint == event.endpoint;
  return running.endpoint == event.endpoint &&
         running.task.task.id == event.task && running.attempt == event.attempt;
}

/** Waiting tasks of the homes that a condition holds for. */
template <typename Condition>
std::vector<TaskKey> WaitingKeys(const Node& node, Condition holds) {
  std::vector<TaskKey> keys;
  for (const auto& [id, customer] : node.dispatch.queue.customers) {
    for (const auto& [rank, task] : customer.tasks) {
      if (holds(task.home))
        keys.push_back(KeyOf(task));
    }
  }
  for (const auto& [key, task] : node.dispatch.queue.paused) {
    if (holds(task.home))
      keys.push_back(key);
  }
  return keys;
}

PooledEndpoint* FindPooled(Node& node, const EndpointId& id) {
  const auto found = node.dispatch.pool.endpoints.find(id);
  return found == node.dispatch.pool.endpoints.end() ? nullptr : &found->second;
}

}  // namespace

void Pump(Node& node, Millis now, Actions& actions) {
  if (node.is_pumping)
    return;
  node.is_pumping = true;
  ResumePausedTasks(node.dispatch.queue, now);
  while (StartNext(node, now, actions)) {
  }
  PassOn(node, now, actions);
  node.is_pumping = false;
}

Withdrawal Withdraw(Node& node, const TaskKey& key, Actions& actions) {
  if (Remove(node.dispatch.queue, key))
    return Withdrawal::kFromQueue;
  const auto indexed = node.dispatch.running_index.find(key);
  if (indexed == node.dispatch.running_index.end())
    return Withdrawal::kNotHere;
  RunningTask& running = node.dispatch.running.at(indexed->second);
  if (running.is_stop_requested)
    return Withdrawal::kNotHere;
  running.is_stop_requested = true;
  ++node.counters.waste.stops;
  actions.push_back(StopTask{running.endpoint, running.task.submission,
                             running.task.task.id, running.attempt,
                             indexed->second});
  return Withdrawal::kStopped;
}

void TakeBatch(Node& node,
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
    task.expected_run_time = ExpectedRunTime(
        node.dispatch.run_times, assignment.customer, assignment.task);
    task.queued_at = now;
    const HomeJobKey job = JobOf(task);
    // The same task is only assigned again once it was reported.
    if (node.dispatch.running_index.count(KeyOf(task)) == 0 &&
        Push(node.dispatch.queue, std::move(task)))
      ++node.dispatch.remote_jobs[job].open_tasks;
  }
  if (node.drain.phase != DrainPhase::kServing)
    ReturnQueuedTasks(node, now, actions);
  Pump(node, now, actions);
}

void TakeCancels(Node& node,
                 Millis now,
                 const DaemonRef& home,
                 const TaskCancellation& cancels,
                 Actions& actions) {
  const SubmissionKey submission = KeyOf(cancels.customer, cancels.submission);
  for (const TaskId& task : cancels.tasks) {
    const Withdrawal withdrawal = Withdraw(node, {submission, task}, actions);
    if (withdrawal == Withdrawal::kFromQueue)
      CloseShare(node, now, {home, submission}, nullptr, actions);
  }
  Pump(node, now, actions);
}

void TakeEndpointEvent(Node& node,
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
  PooledEndpoint* endpoint = FindPooled(node, running.endpoint);
  if (endpoint != nullptr && event.leaving)
    endpoint->member.leaving = true;
  if (running.is_stop_requested) {
    ++node.counters.waste.dropped_answers;
    CloseShare(node, now, JobOf(running.task), nullptr, actions);
    Pump(node, now, actions);
    return;
  }
  switch (event.kind) {
    case EndpointEventKind::kSucceeded:
    case EndpointEventKind::kFailed:
      TakeRun(node, now, running, event, endpoint, actions);
      break;
    case EndpointEventKind::kRefused:
    case EndpointEventKind::kNotConnected: {
      const bool refused = event.kind == EndpointEventKind::kRefused;
      uint32_t& own = refused ? running.task.waste.refused_starts
                              : running.task.waste.failed_connections;
      uint32_t& all = refused ? node.counters.waste.refused_starts
                              : node.counters.waste.failed_connections;
      ++own;
      ++all;
      if (endpoint != nullptr)
        RecordFailure(node.dispatch.pool, *endpoint, node.settings.ejection,
                      now);
      TakeNotStarted(node, now, std::move(running.task), actions);
      break;
    }
    case EndpointEventKind::kLost:
      if (endpoint != nullptr)
        RecordFailure(node.dispatch.pool, *endpoint, node.settings.ejection,
                      now);
      Report(node, now, running.task,
             ReportFor(running.task, ResultCode::kEndpointLost,
                       StartState::kMayHaveStarted),
             actions);
      break;
  }
  Pump(node, now, actions);
}

void ExpireLeases(Node& node, Millis now, Actions& actions) {
  std::vector<LeaseId> expired;
  for (const auto& [lease, running] : node.dispatch.running) {
    if (running.lease_until <= now)
      expired.push_back(lease);
  }
  for (const LeaseId& lease : expired) {
    const RunningTask running = RemoveRunning(node.dispatch, lease);
    PooledEndpoint* endpoint = FindPooled(node, running.endpoint);
    if (endpoint != nullptr)
      RecordFailure(node.dispatch.pool, *endpoint, node.settings.ejection, now);
    if (running.is_stop_requested) {
      CloseShare(node, now, JobOf(running.task), nullptr, actions);
      continue;
    }
    ++node.counters.waste.stops;
    actions.push_back(StopTask{running.endpoint, running.task.submission,
                               running.task.task.id, running.attempt, lease});
    TaskReport report = ReportFor(running.task, ResultCode::kLeaseExpired,
                                  StartState::kMayHaveStarted);
    ++report.waste.stops;
    Report(node, now, running.task, report, actions);
  }
}

void ReturnQueuedTasks(Node& node, Millis now, Actions& actions) {
  for (const TaskKey& key : WaitingKeys(node, [&node](const DaemonRef& home) {
         return home != node.settings.self;
       })) {
    QueuedTask task = *Remove(node.dispatch.queue, key);
    ++task.waste.bounced_forwards;
    ++node.counters.waste.bounced_forwards;
    Report(node, now, task,
           ReportFor(task, ResultCode::kDraining, StartState::kNotStarted),
           actions);
  }
}

void DropTasksOf(Node& node, const DaemonRef& ended, Actions& actions) {
  std::vector<TaskKey> dropped = WaitingKeys(
      node, [&ended](const DaemonRef& home) { return home == ended; });
  for (const auto& [lease, running] : node.dispatch.running) {
    if (running.task.home == ended)
      dropped.push_back(KeyOf(running.task));
  }
  for (const TaskKey& key : dropped)
    Withdraw(node, key, actions);
  for (auto share = node.dispatch.remote_jobs.begin();
       share != node.dispatch.remote_jobs.end();) {
    share = share->first.first == ended ? node.dispatch.remote_jobs.erase(share)
                                        : std::next(share);
  }
}

void UpdateOwnedEndpoints(Node& node, Millis now) {
  const bool draining = node.drain.phase != DrainPhase::kServing;
  SetOwnedEndpoints(
      node.dispatch.pool,
      OwnedEndpoints(node.membership, draining, node.settings.membership, now));
}

}  // namespace dogwoodfall
