#include "scheduler_world.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace dogwoodfall {
namespace {

constexpr Millis kWay{1};
constexpr Millis kReviewPeriod{20};
const EndpointGroup kGroup{ZoneId("north"), 0};
const DaemonRef kReceiver{DaemonId("d1"), Incarnation(1)};

}  // namespace

SchedulerWorld::SchedulerWorld()
    : loses_answer([](const EndpointCommand&) { return false; }),
      loses_order([](const EndpointCommand&) { return false; }) {}

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

JobSubmission SchedulerWorld::MakeSubmission(const std::string& id,
                                             uint32_t tasks,
                                             int64_t cores,
                                             Millis declared,
                                             const std::string& route) {
  constexpr int64_t kMillicores = 1'000;
  JobStep step;
  step.task_count = tasks;
  step.resources = {cores * kMillicores, 64, 0};
  step.declared_run_time = declared;
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
                            Millis nominal,
                            const std::string& route) {
  this->SubmitJob(MakeSubmission(id, tasks, cores, nominal, route), nominal);
}

void SchedulerWorld::SubmitJob(const JobSubmission& submission,
                               Millis nominal) {
  this->nominal[submission.job.id] = nominal;
  this->rooms[submission.job.id] = submission.job.steps.front().resources;
  this->submitted.emplace(submission.job.id, this->now);
  Actions actions;
  AcceptJob(this->scheduler, kReceiver, kGroup, submission, this->now, actions);
  this->Deliver(actions);
  this->TakeResults();
}

void SchedulerWorld::TakeWord(const JobProgress& progress) {
  constexpr uint64_t kToken = 5;
  Actions actions;
  ApplyJobProgress(this->scheduler, progress, kToken, this->now, actions);
  this->Deliver(actions);
}

void SchedulerWorld::Run(Millis time) {
  const Millis end = this->now + time;
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
    for (auto& [until, command] : this->waiting) {
      if (command.endpoint == id)
        until = this->now;
    }
  }
  std::vector<std::pair<Millis, EndpointCommand>> still;
  for (auto& [until, command] : std::exchange(this->waiting, {})) {
    if (until > this->now)
      still.emplace_back(until, command);
    else
      this->Carry(command);
  }
  this->waiting.insert(this->waiting.end(), still.begin(), still.end());
  std::vector<Due> later;
  for (Due& entry : std::exchange(this->due, {})) {
    if (entry.at > this->now) {
      later.push_back(std::move(entry));
      continue;
    }
    Actions actions;
    HandleEndpointReply(this->scheduler, entry.reply, this->now, actions);
    this->Deliver(actions);
  }
  this->due.insert(this->due.end(), later.begin(), later.end());
  if (this->now.count % kReviewPeriod.count == 0) {
    Actions actions;
    ReviewQueue(this->scheduler, this->now, actions);
    ReviewEndpoints(this->scheduler, this->now, actions);
    this->Deliver(actions);
  }
  this->RecordOverlaps();
  this->TakeResults();
}

void SchedulerWorld::Deliver(const Actions& actions) {
  for (const Action& action : actions) {
    const auto* call = std::get_if<CallEndpoint>(&action);
    if (call == nullptr)
      continue;
    const auto* renewal = std::get_if<RenewRuns>(&call->command.command);
    if (renewal != nullptr && renewal->wait > Millis())
      this->waiting.emplace_back(this->now + renewal->wait, call->command);
    else
      this->Carry(call->command);
  }
}

void SchedulerWorld::Carry(const EndpointCommand& command) {
  EndpointReply lost;
  lost.id = command.id;
  ++this->orders;
  if (this->resetting.count(command.endpoint) > 0) {
    this->due.push_back({this->now + kWay + kWay, lost});
    return;
  }
  const auto endpoint = this->endpoints.find(command.endpoint);
  const bool arrives =
      endpoint != this->endpoints.end() && !this->loses_order(command);
  if (!arrives) {
    this->due.push_back({this->now + command.timeout, lost});
    return;
  }
  Millis nominal;
  TaskResources resources;
  if (const auto* start = std::get_if<StartRun>(&command.command)) {
    nominal = this->nominal[start->task.job];
    resources = this->rooms[start->task.job];
  }
  const EndpointReply reply =
      ExecuteCommand(endpoint->second, command, nominal, resources, this->now);
  if (this->loses_answer(command))
    this->due.push_back({this->now + command.timeout, lost});
  else
    this->due.push_back({this->now + kWay + kWay, reply});
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

void SchedulerWorld::TakeResults() {
  for (const FinishedJob& job : std::exchange(this->scheduler.finished, {}))
    this->results[job.job] = {job.outcome,
                              this->now - this->submitted[job.job]};
}

}  // namespace dogwoodfall
