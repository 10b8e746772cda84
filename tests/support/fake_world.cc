#include "fake_world.h"

#include <algorithm>

#include "config/configuration_text.h"

namespace dogwoodfall {
namespace {

constexpr Millis kTickPeriod{20};
constexpr Millis kListPeriod{500};
constexpr Millis kNetworkDelay{1};
/** Delay of the frames that DelayFrames() delays. */
constexpr Millis kDelayedFrameDelay{450};
constexpr Millis kStoreDelay{2};
constexpr Millis kSlowStoreDelay{400};
constexpr Millis kStoreTimeout{1'000};
/** Delay in StoreMode::kLate; longer than kStoreTimeout. */
constexpr Millis kLateStoreDelay{1'700};
/** Time after the end of its lease at which a task in
 * EndpointMode::kNeverAnswers is reported as lost.
 */
constexpr Millis kLostAfterLeaseDelay{1'000};
constexpr size_t kEndpointsPerZone = 2;

Configuration MakeTestConfiguration() {
  Configuration configuration;
  configuration.revision = 1;
  configuration.plans[PlanId("plan")] = {1, 1000, 100'000, 100'000, {"*"}};
  configuration.customers[CustomerId("alpha")] = PlanId("plan");
  configuration.customers[CustomerId("beta")] = PlanId("plan");
  return configuration;
}

NodeSettings MakeSettings(size_t index, const std::string& zone) {
  NodeSettings settings;
  settings.self.id = DaemonId("d" + std::to_string(index));
  settings.zone = ZoneId(zone);
  settings.claims.slots = 8;
  settings.claims.table_period = {2'000};
  settings.max_lease = {3'000};
  settings.drain_timeout = {60'000};
  settings.drain_store_timeout = {3'000};
  return settings;
}

}  // namespace

FakeWorld::FakeWorld(const std::vector<std::string>& zones, uint64_t seed)
    : random(seed) {
  Apply(this->store,
        StoreTransaction{
            {},
            {{kConfigurationKey, FormatConfiguration(MakeTestConfiguration())}},
            {}});
  std::set<std::string> distinct_zones(zones.begin(), zones.end());
  for (const std::string& zone : distinct_zones) {
    for (size_t i = 0; i < kEndpointsPerZone; ++i) {
      EndpointMember endpoint;
      endpoint.id = EndpointId("e" + std::to_string(this->endpoints.size()));
      endpoint.zone = ZoneId(zone);
      endpoint.slots = 2;
      endpoint.memory_mb = 1'000;
      this->endpoints.push_back(endpoint);
      this->endpoint_modes.push_back(EndpointMode::kOk);
    }
  }
  for (size_t i = 0; i < zones.size(); ++i) {
    FakeDaemon daemon;
    daemon.settings = MakeSettings(i, zones[i]);
    this->daemons.push_back(std::move(daemon));
  }
  for (size_t i = 0; i < zones.size(); ++i)
    this->Restart(i);
  this->saved_store = this->store;
  this->ScheduleAt(this->now + kTickPeriod, [this] { this->TickAll(); });
  this->DeliverInstanceLists();
}

void FakeWorld::ScheduleAt(Millis time, std::function<void()> callback) {
  this->events.emplace(time, std::move(callback));
}

void FakeWorld::Advance(Millis duration) {
  const Millis end = this->now + duration;
  while (!this->events.empty() && this->events.begin()->first <= end) {
    this->now = std::max(this->now, this->events.begin()->first);
    const std::function<void()> callback =
        std::move(this->events.begin()->second);
    this->events.erase(this->events.begin());
    callback();
  }
  this->now = end;
}

void FakeWorld::WaitUntilReady() {
  this->Advance({3'000});
}

void FakeWorld::TickAll() {
  for (size_t i = 0; i < this->daemons.size(); ++i) {
    // A paused process gets one tick when it resumes, not all that it missed.
    if (this->IsAlive(i) && !this->daemons[i].paused) {
      this->HandleEvent(i, [this](Node& node, Actions& actions) {
        OnTick(node, this->now, actions);
      });
    }
  }
  this->ScheduleAt(this->now + kTickPeriod, [this] { this->TickAll(); });
}

void FakeWorld::DeliverInstanceLists() {
  InstanceList list;
  list.endpoints = this->endpoints;
  for (const FakeDaemon& daemon : this->daemons) {
    DaemonMember member;
    member.id = daemon.settings.self.id;
    member.zone = daemon.settings.zone;
    if (daemon.listed)
      list.daemons.push_back(member);
  }
  for (size_t i = 0; i < this->daemons.size(); ++i) {
    if (!this->daemons[i].can_reach_platform)
      continue;
    this->DeliverEvent(i, this->IncarnationOf(i),
                       [this, list](Node& node, Actions& actions) {
                         OnInstanceList(node, this->now, list, actions);
                       });
  }
  this->ScheduleAt(this->now + kListPeriod,
                   [this] { this->DeliverInstanceLists(); });
}

void FakeWorld::DeliverEvent(size_t daemon,
                             Incarnation incarnation,
                             const Handler& handler) {
  FakeDaemon& target = this->daemons[daemon];
  if (!target.node || this->IncarnationOf(daemon) != incarnation)
    return;
  if (target.paused) {
    target.backlog.push_back([this, daemon, incarnation, handler] {
      this->DeliverEvent(daemon, incarnation, handler);
    });
    return;
  }
  this->HandleEvent(daemon, handler);
}

void FakeWorld::HandleEvent(size_t daemon, const Handler& handler) {
  Actions actions;
  handler(*this->daemons[daemon].node, actions);
  for (const Action& action : actions)
    this->Perform(daemon, action);
}

void FakeWorld::Perform(size_t daemon, const Action& action) {
  if (const auto* frame = std::get_if<SendFrame>(&action)) {
    this->DeliverFrame(daemon, frame->frame);
  } else if (const auto* heartbeat = std::get_if<SendHeartbeat>(&action)) {
    for (const DaemonId& to : heartbeat->to)
      this->DeliverHeartbeat(daemon, to, heartbeat->heartbeat);
  } else if (const auto* start = std::get_if<StartTask>(&action)) {
    this->SimulateStart(daemon, *start);
  } else if (const auto* answer = std::get_if<AnswerCaller>(&action)) {
    RecordAnswer(this->oracle, *answer);
  } else if (const auto* call = std::get_if<CallStore>(&action)) {
    this->SimulateStoreCall(daemon, *call);
  } else if (const auto* exit = std::get_if<ExitProcess>(&action)) {
    this->daemons[daemon].exited_cleanly = exit->is_clean;
    if (!this->daemons[daemon].node->forwards.empty())
      this->oracle.violations.push_back("exit with callers waiting");
    this->Kill(daemon);
  }
}

bool FakeWorld::IsPartitioned(size_t from, size_t to) const {
  const std::string& a = this->daemons[from].settings.zone.value;
  const std::string& b = this->daemons[to].settings.zone.value;
  return a != b &&
         this->partitioned_zones.count(a) + this->partitioned_zones.count(b) >
             0;
}

std::optional<size_t> FakeWorld::IndexOf(const DaemonId& id) const {
  for (size_t i = 0; i < this->daemons.size(); ++i) {
    if (this->daemons[i].settings.self.id == id)
      return i;
  }
  return std::nullopt;
}

void FakeWorld::DeliverFrame(size_t from, const PeerFrame& frame) {
  const std::optional<size_t> to = this->IndexOf(frame.to.id);
  if (!to || this->IsPartitioned(from, *to))
    return;
  if (this->frames_to_lose > 0) {
    --this->frames_to_lose;
    return;
  }
  const auto deliver = [this, to = *to, frame] {
    this->DeliverEvent(to, this->IncarnationOf(to),
                       [this, frame](Node& node, Actions& actions) {
                         OnPeerFrame(node, this->now, frame, actions);
                       });
  };
  Millis delay = kNetworkDelay;
  if (this->frames_to_delay > 0) {
    --this->frames_to_delay;
    delay = kDelayedFrameDelay;
  }
  this->ScheduleAt(this->now + delay, deliver);
  if (this->frames_to_duplicate > 0) {
    --this->frames_to_duplicate;
    this->ScheduleAt(this->now + delay + kNetworkDelay, deliver);
  }
}

void FakeWorld::DeliverHeartbeat(size_t from,
                                 const DaemonId& receiver,
                                 const Heartbeat& sent) {
  const std::optional<size_t> to = this->IndexOf(receiver);
  if (!to || this->IsPartitioned(from, *to))
    return;
  this->ScheduleAt(
      this->now + kNetworkDelay, [this, to = *to, heartbeat = sent] {
        this->DeliverEvent(to, this->IncarnationOf(to),
                           [this, heartbeat](Node& node, Actions& actions) {
                             OnHeartbeat(node, this->now, heartbeat, actions);
                           });
      });
}

void FakeWorld::SimulateStart(size_t daemon, const StartTask& start) {
  size_t index = 0;
  while (this->endpoints[index].id != start.endpoint)
    ++index;
  const EndpointMode mode = this->endpoint_modes[index];
  EndpointEvent event;
  event.endpoint = start.endpoint;
  event.lease = start.lease;
  event.task = start.task.id;
  event.attempt = start.attempt;
  event.output = start.customer.value + "/" + start.submission.value + "#" +
                 start.task.id.value;
  const Incarnation incarnation = this->IncarnationOf(daemon);
  const auto send_event = [this, daemon, incarnation, index](
                              Millis delay, EndpointEvent answer) {
    this->ScheduleAt(this->now + delay, [this, daemon, incarnation, index,
                                         answer]() mutable {
      // A task is lost if its endpoint was lost after the start.
      if (this->endpoint_modes[index] == EndpointMode::kLostAfterStart)
        answer.kind = EndpointEventKind::kLost;
      this->DeliverEvent(daemon, incarnation,
                         [this, answer](Node& node, Actions& actions) {
                           OnEndpointEvent(node, this->now, answer, actions);
                         });
    });
  };
  const bool has_started = mode != EndpointMode::kRefuses &&
                           mode != EndpointMode::kDown &&
                           mode != EndpointMode::kLostBeforeStart;
  if (has_started)
    RecordStart(this->oracle, start);
  const Millis run_time = start.task.declared_run_time;
  switch (mode) {
    case EndpointMode::kOk:
    case EndpointMode::kAnswersTwice:
      event.kind = EndpointEventKind::kSucceeded;
      send_event(run_time, event);
      if (mode == EndpointMode::kAnswersTwice)
        send_event(run_time + kNetworkDelay, event);
      return;
    case EndpointMode::kAnswersForOtherTask: {
      event.kind = EndpointEventKind::kSucceeded;
      EndpointEvent crossed = event;
      crossed.task = TaskId("another");
      crossed.output = "another";
      send_event(run_time, crossed);
      send_event(run_time + kNetworkDelay, event);
      return;
    }
    case EndpointMode::kFails:
      event.kind = EndpointEventKind::kFailed;
      send_event(kNetworkDelay, event);
      return;
    case EndpointMode::kRefuses:
      event.kind = EndpointEventKind::kRefused;
      send_event(kNetworkDelay, event);
      return;
    case EndpointMode::kDown:
      event.kind = EndpointEventKind::kNotConnected;
      send_event(kNetworkDelay, event);
      return;
    case EndpointMode::kLostAfterStart:
    case EndpointMode::kLostBeforeStart:
      event.kind = EndpointEventKind::kLost;
      send_event(kNetworkDelay, event);
      return;
    case EndpointMode::kNeverAnswers:
      event.kind = EndpointEventKind::kLost;
      send_event(start.lease_length + kLostAfterLeaseDelay, event);
      return;
  }
}

void FakeWorld::SimulateStoreCall(size_t daemon, const CallStore& call) {
  const Incarnation incarnation = this->IncarnationOf(daemon);
  const auto send_reply = [this, daemon, incarnation, token = call.token](
                              Millis delay, const StoreReply& reply) {
    this->ScheduleAt(this->now + delay, [this, daemon, incarnation, token,
                                         reply] {
      this->DeliverEvent(daemon, incarnation,
                         [this, token, reply](Node& node, Actions& actions) {
                           OnStoreReply(node, this->now, token, reply, actions);
                         });
    });
  };
  const StoreMode mode = this->daemons[daemon].can_reach_platform
                             ? this->store_mode
                             : StoreMode::kDown;
  const bool is_answered = mode == StoreMode::kOk || mode == StoreMode::kSlow;
  if (!is_answered)
    send_reply(kStoreTimeout, StoreReply{});
  if (mode == StoreMode::kDown)
    return;
  const Millis delay = mode == StoreMode::kLate   ? kLateStoreDelay
                       : mode == StoreMode::kSlow ? kSlowStoreDelay
                                                  : kStoreDelay;
  this->ScheduleAt(this->now + delay, [this, request = call.request,
                                       is_answered, send_reply, delay] {
    const StoreReply result = Apply(this->store, request);
    if (is_answered)
      send_reply(delay, result);
  });
}

void FakeWorld::Submit(size_t daemon, const Submission& submission) {
  const CallerToken caller(++this->last_caller);
  RecordCall(this->oracle, caller.value, {daemon, submission, this->now});
  this->DeliverEvent(daemon, this->IncarnationOf(daemon),
                     [this, caller, submission](Node& node, Actions& actions) {
                       OnSubmit(node, this->now, caller, submission, actions);
                     });
}

void FakeWorld::Cancel(size_t daemon,
                       const CustomerId& customer,
                       SubmissionId id) {
  const CallerToken caller(++this->last_caller);
  Submission cancelled_submission;
  cancelled_submission.customer = customer;
  cancelled_submission.id = id;
  RecordCall(this->oracle, caller.value,
             {daemon, cancelled_submission, this->now});
  this->DeliverEvent(
      daemon, this->IncarnationOf(daemon),
      [this, caller, customer, id](Node& node, Actions& actions) {
        OnCancel(node, this->now, caller, customer, id, actions);
      });
}

SubmissionId FakeWorld::Mint(size_t daemon) {
  return OnMint(this->NodeAt(daemon), this->now);
}

void FakeWorld::Kill(size_t daemon) {
  RecordDaemonDeath(this->oracle, daemon);
  this->daemons[daemon].node.reset();
  this->daemons[daemon].paused = false;
  this->daemons[daemon].backlog.clear();
}

void FakeWorld::Restart(size_t daemon) {
  FakeDaemon& target = this->daemons[daemon];
  target.settings.self.incarnation =
      Incarnation(static_cast<uint64_t>(this->now.count) + 1);
  target.node = CreateNode(target.settings);
  target.exited_cleanly.reset();
}

void FakeWorld::Pause(size_t daemon) {
  this->daemons[daemon].paused = true;
}

void FakeWorld::Resume(size_t daemon) {
  FakeDaemon& target = this->daemons[daemon];
  target.paused = false;
  const auto backlog = std::move(target.backlog);
  target.backlog.clear();
  for (const auto& event : backlog)
    event();
}

void FakeWorld::Drain(size_t daemon) {
  this->HandleEvent(daemon, [this](Node& node, Actions& actions) {
    OnDrain(node, this->now, actions);
  });
}

void FakeWorld::SetListed(size_t daemon, bool listed) {
  this->daemons[daemon].listed = listed;
}

void FakeWorld::PartitionZone(const std::string& zone, bool from_platform) {
  this->partitioned_zones.insert(zone);
  for (FakeDaemon& daemon : this->daemons) {
    if (daemon.settings.zone.value == zone && from_platform)
      daemon.can_reach_platform = false;
  }
}

void FakeWorld::HealPartitions() {
  this->partitioned_zones.clear();
  for (FakeDaemon& daemon : this->daemons)
    daemon.can_reach_platform = true;
}

void FakeWorld::RollBackStore() {
  const uint64_t cluster_id = this->store.cluster_id;
  this->store = this->saved_store;
  this->store.cluster_id = cluster_id;
}

void FakeWorld::RestoreStore() {
  this->RollBackStore();
  ++this->store.cluster_id;
}

void FakeWorld::SetEndpoint(size_t endpoint, EndpointMode mode) {
  this->endpoint_modes[endpoint] = mode;
}

void FakeWorld::SetLeaving(size_t endpoint) {
  this->endpoints[endpoint].leaving = true;
}

void FakeWorld::ClearFaults() {
  this->HealPartitions();
  this->store_mode = StoreMode::kOk;
  for (EndpointMode& mode : this->endpoint_modes)
    mode = EndpointMode::kOk;
  this->frames_to_lose = 0;
  this->frames_to_duplicate = 0;
  this->frames_to_delay = 0;
  for (size_t i = 0; i < this->daemons.size(); ++i) {
    if (this->daemons[i].paused)
      this->Resume(i);
  }
}

bool FakeWorld::IsAlive(size_t daemon) const {
  return this->daemons[daemon].node.has_value();
}

Incarnation FakeWorld::IncarnationOf(size_t daemon) const {
  return this->daemons[daemon].settings.self.incarnation;
}

Submission FakeWorld::MakeSubmission(const SubmissionId& id,
                                     size_t tasks,
                                     Millis run_time) const {
  Submission submission;
  submission.id = id;
  submission.customer = CustomerId("alpha");
  submission.time_allowed = {10'000};
  for (size_t i = 0; i < tasks; ++i) {
    TaskSpec task;
    task.id = TaskId("t" + std::to_string(i));
    task.kind = "kind";
    task.declared_run_time = run_time;
    task.declared_memory_mb = 1;
    submission.tasks.push_back(std::move(task));
  }
  return submission;
}

SubmissionId FakeWorld::ChosenId(const std::string& name) const {
  return SubmissionId(name + "@" + std::to_string(this->now.count));
}

}  // namespace dogwoodfall
