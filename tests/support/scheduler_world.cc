#include "scheduler_world.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace dogwoodfall {
namespace {

constexpr Millis kOneWayLatency{1};
constexpr Millis kReviewPeriod{20};
const EndpointGroup kGroup{ZoneId("north"), 0};
const DaemonRef kReceiver{DaemonId("d1"), Incarnation(1)};

}  // namespace

SchedulerWorld::SchedulerWorld()
    : is_answer_lost([](const EndpointCommand&) { return false; }),
      is_command_lost([](const EndpointCommand&) { return false; }) {
  this->scheduler.are_endpoints_known = true;
}

FakeEndpoint& SchedulerWorld::AddEndpoint(const std::string& id,
                                          int64_t cores,
                                          double slowness) {
  constexpr int64_t kMillicores = 1'000;
  FakeEndpoint& endpoint = this->endpoints[EndpointId(id)];
  endpoint.entry.id = EndpointId(id);
  endpoint.entry.service = "service";
  endpoint.entry.zone = kGroup.zone;
  endpoint.entry.capacity = {cores * kMillicores, 64'000, 0};
  endpoint.slowness = slowness;
  Actions actions;
  TakeOwnershipOfEndpoint(this->scheduler, endpoint.entry, kGroup, 5, this->now,
                          actions);
  this->Deliver(actions);
  return endpoint;
}

void SchedulerWorld::ReportCapacity(const std::string& id,
                                    const TaskResources& capacity) {
  FakeEndpoint& endpoint = this->endpoints.at(EndpointId(id));
  ChangeCapacity(endpoint, capacity, this->now);
  Actions actions;
  UpdateEndpoint(this->scheduler, endpoint.entry, this->now, actions);
  this->Deliver(actions);
}

void SchedulerWorld::DeregisterEndpoint(const std::string& id) {
  Actions actions;
  dogwoodfall::DeregisterEndpoint(this->scheduler, EndpointId(id), this->now,
                                  actions);
  this->Deliver(actions);
}

JobSubmission SchedulerWorld::MakeSubmission(const std::string& id,
                                             uint32_t tasks,
                                             int64_t cores,
                                             Millis declared_run_time,
                                             const std::string& route) {
  constexpr int64_t kMillicores = 1'000;
  JobStep step;
  step.task_count = tasks;
  step.resources = {cores * kMillicores, 64, 0};
  step.declared_run_time = declared_run_time;
  JobSubmission submission;
  submission.group = kGroup;
  submission.job.id = SubmissionId(id);
  submission.job.route = route;
  submission.job.service = "service";
  submission.job.steps = {step};
  submission.job.max_attempts = 3;
  submission.job.stretch = 1.6;
  submission.job.target_latency = {60};
  submission.job.time_left = {1'500};
  return submission;
}

void SchedulerWorld::Submit(const std::string& id,
                            uint32_t tasks,
                            int64_t cores,
                            Millis nominal_run_time,
                            const std::string& route) {
  this->SubmitJob(MakeSubmission(id, tasks, cores, nominal_run_time, route),
                  nominal_run_time);
}

void SchedulerWorld::SubmitJob(const JobSubmission& submission,
                               Millis nominal_run_time) {
  this->nominal_run_times[submission.job.id] = nominal_run_time;
  this->task_resources[submission.job.id] =
      submission.job.steps.front().resources;
  this->submitted_at.emplace(submission.job.id, this->now);
  JobSubmission received = submission;
  received.sent_at = this->now;
  Actions actions;
  AcceptJob(this->scheduler, kReceiver, kGroup, received, this->now, actions);
  this->Deliver(actions);
  this->CollectResults();
}

void SchedulerWorld::SubmitProgress(const JobProgress& progress) {
  constexpr uint64_t kFencingToken = 5;
  Actions actions;
  ApplyJobProgress(this->scheduler, progress, kFencingToken, this->now,
                   actions);
  this->Deliver(actions);
}

void SchedulerWorld::Run(Millis duration) {
  const Millis end = this->now + duration;
  while (this->now < end) {
    this->now = this->now + Millis{1};
    this->Step();
  }
}

void SchedulerWorld::Step() {
  for (auto& [id, endpoint] : this->endpoints) {
    const size_t before = endpoint.ended.size();
    AdvanceFakeEndpoint(endpoint, this->now);
    if (endpoint.ended.size() == before)
      continue;
    for (auto& [until, command] : this->waiting_renewals) {
      if (command.endpoint == id)
        until = this->now;
    }
  }
  std::vector<std::pair<Millis, EndpointCommand>> still_waiting;
  for (auto& [until, command] : std::exchange(this->waiting_renewals, {})) {
    if (until > this->now)
      still_waiting.emplace_back(until, command);
    else
      this->TransmitCommand(command);
  }
  this->waiting_renewals.insert(this->waiting_renewals.end(),
                                still_waiting.begin(), still_waiting.end());
  std::vector<DueReply> later;
  for (DueReply& entry : std::exchange(this->due_replies, {})) {
    if (entry.arrives_at > this->now) {
      later.push_back(std::move(entry));
      continue;
    }
    Actions actions;
    HandleEndpointReply(this->scheduler, entry.reply, this->now, actions);
    this->Deliver(actions);
  }
  this->due_replies.insert(this->due_replies.end(), later.begin(), later.end());
  if (this->now.count % kReviewPeriod.count == 0) {
    // The receivers wait for all jobs, and other daemons know of them.
    for (const auto& [id, job] : this->scheduler.jobs) {
      RenewJobLease(this->scheduler, id, this->now);
      RenewAnnouncementLease(this->scheduler, id, this->now + kJobLease);
    }
    Actions actions;
    ReviewQueue(this->scheduler, this->now, actions);
    ReviewEndpoints(this->scheduler, this->now, actions);
    this->Deliver(actions);
  }
  this->RecordOverlaps();
  this->CollectResults();
}

void SchedulerWorld::Deliver(const Actions& actions) {
  for (const Action& action : actions) {
    const auto* call = std::get_if<CallEndpoint>(&action);
    if (call == nullptr)
      continue;
    const auto* renewal = std::get_if<RenewRuns>(&call->command.command);
    if (renewal != nullptr && renewal->wait > Millis())
      this->waiting_renewals.emplace_back(this->now + renewal->wait,
                                          call->command);
    else
      this->TransmitCommand(call->command);
  }
}

void SchedulerWorld::TransmitCommand(const EndpointCommand& command) {
  EndpointReply unanswered;
  unanswered.id = command.id;
  // The timeout of a renewal runs from its sending, not from its answer.
  const auto* renewal = std::get_if<RenewRuns>(&command.command);
  const Millis timeout =
      command.timeout - (renewal == nullptr ? Millis() : renewal->wait);
  ++this->command_count;
  if (this->resetting_endpoints.count(command.endpoint) > 0) {
    this->due_replies.push_back(
        {this->now + kOneWayLatency + kOneWayLatency, unanswered});
    return;
  }
  const auto endpoint = this->endpoints.find(command.endpoint);
  const bool is_delivered = endpoint != this->endpoints.end() &&
                            !this->is_command_lost(command) &&
                            endpoint->second.down_until <= this->now;
  if (!is_delivered) {
    this->due_replies.push_back({this->now + timeout, unanswered});
    return;
  }
  Millis nominal_run_time;
  TaskResources resources;
  if (const auto* start = std::get_if<StartRun>(&command.command)) {
    nominal_run_time = this->nominal_run_times[start->task.job];
    resources = this->task_resources[start->task.job];
  }
  const EndpointReply reply = ExecuteCommand(
      endpoint->second, command, nominal_run_time, resources, this->now);
  if (this->is_answer_lost(command))
    this->due_replies.push_back({this->now + timeout, unanswered});
  else
    this->due_replies.push_back(
        {this->now + kOneWayLatency + kOneWayLatency, reply});
}

void SchedulerWorld::RecordOverlaps() {
  std::set<JobTask> seen;
  for (const auto& [id, endpoint] : this->endpoints) {
    for (const auto& [key, run] : endpoint.running) {
      if (!seen.insert(key.first).second)
        this->overlaps.insert(key.first);
    }
  }
}

void SchedulerWorld::CollectResults() {
  for (const FinishedJob& job : std::exchange(this->scheduler.finished, {}))
    this->results[job.job] = {job.outcome,
                              this->now - this->submitted_at[job.job]};
}

}  // namespace dogwoodfall
