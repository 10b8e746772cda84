#include "fleet_world.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <utility>
#include <variant>

namespace dogwoodfall {
namespace {

constexpr Millis kNetworkLatency{1};
constexpr Millis kStoreLatency{4};
constexpr int64_t kTickPeriodMs = 10;

ItemScope ScopeOf(const StoreChange& change) {
  if (std::holds_alternative<MemberChanged>(change) ||
      std::holds_alternative<MemberRemoved>(change))
    return ItemScope::kDaemons;
  const bool is_of_operators =
      std::holds_alternative<RoutesChanged>(change) ||
      std::holds_alternative<EvacuationRequested>(change) ||
      std::holds_alternative<EvacuationWithdrawn>(change);
  return is_of_operators ? ItemScope::kRoutes : ItemScope::kEndpoints;
}

}  // namespace

FleetWorld::FleetWorld()
    : prints_log(std::getenv("FLEET_WORLD_LOG") != nullptr),
      is_partitioned([](const DaemonId&, const DaemonId&) { return false; }),
      is_frame_sendable([](const PeerFrame&) { return true; }),
      message_delay([](const DaemonId&, const DaemonId&) { return Millis(); }),
      is_heartbeat_lost([](const DaemonId&, const DaemonId&) { return false; }),
      caller_delay([](const DaemonId&) { return Millis(); }),
      command_delay([](const DaemonId&) { return Millis(); }),
      command_execution_delay([](const EndpointCommand&) { return Millis(); }),
      is_endpoint_unreachable(
          [](const DaemonId&, const EndpointId&) { return false; }),
      is_answer_lost([](const EndpointCommand&) { return false; }),
      store_delay([](const DaemonId&) { return Millis(); }),
      member_news_delay([](const DaemonId&) { return Millis(); }),
      store_execution_delay(
          [](const DaemonId&, const KeyValueCall&) { return Millis(); }),
      alter_store_reply(
          [](const DaemonId&, const KeyValueCall&, KeyValueReply&) {}),
      is_store_unreachable([](const DaemonId&) { return false; }),
      is_renewed_while_paused([](const std::string&) { return false; }) {
  RouteTable routes;
  routes.version = 3;
  this->history.emplace_back(++this->revision, RoutesChanged{routes});
}

void FleetWorld::StartDaemon(const std::string& id, const std::string& zone) {
  DaemonMember self;
  self.id = DaemonId(id);
  self.zone = ZoneId(zone);
  self.ip = "10.0.0." + id;
  this->incarnations[id] = ++this->last_incarnation;
  this->nodes[id] = CreateFleetNode(
      self, Incarnation(static_cast<uint64_t>(this->now.count)));
}

void FleetWorld::KillDaemon(const std::string& id) {
  this->nodes.erase(id);
  this->incarnations.erase(id);
}

void FleetWorld::StopDaemon(const std::string& id) {
  this->DeliverEvent(id, this->incarnations.at(id),
                     [this](FleetNode& node, Actions& actions) {
                       OnStop(node, this->now, actions);
                     });
}

bool FleetWorld::IsRunning(const std::string& id) const {
  return this->incarnations.count(id) > 0;
}

void FleetWorld::AddEndpoint(const std::string& id, const std::string& zone) {
  FakeEndpoint& endpoint = this->endpoints[EndpointId(id)];
  endpoint.entry.id = EndpointId(id);
  endpoint.entry.service = "service";
  endpoint.entry.zone = ZoneId(zone);
  endpoint.entry.capacity = {16'000, 64'000, 0};
  this->WriteEntry(endpoint.entry);
}

void FleetWorld::ChangeRoutes(uint64_t version) {
  RouteTable routes;
  routes.version = version;
  this->history.emplace_back(++this->revision, RoutesChanged{routes});
}

void FleetWorld::EvacuateZone(const std::string& zone) {
  EvacuationRequested request{ZoneId(zone), ++this->revision, true};
  this->evacuations[request.zone] = request;
  this->history.emplace_back(this->revision, request);
}

void FleetWorld::TakeZoneBack(const std::string& zone) {
  this->evacuations.erase(ZoneId(zone));
  ++this->revision;
  this->history.emplace_back(this->revision,
                             EvacuationWithdrawn{ZoneId(zone), this->revision});
}

std::map<std::string, uint64_t> FleetWorld::CountStartsByZone() const {
  std::map<std::string, uint64_t> starts;
  for (const auto& [id, endpoint] : this->endpoints)
    starts[endpoint.entry.zone.value] += endpoint.starts;
  return starts;
}

void FleetWorld::SilenceStoreConnections(int idle_connections) {
  for (const Watch& watch : std::exchange(this->watches, {})) {
    this->LeaveStoreCallUnanswered(watch.daemon, watch.incarnation, watch.token,
                                   watch.timeout_at);
  }
  for (const auto& [daemon, incarnation] : this->incarnations)
    this->silent_connections[daemon] = idle_connections;
}

void FleetWorld::RemoveAllMembers() {
  const std::map<DaemonId, StoredMember> all = this->members;
  for (const auto& [id, stored] : all)
    this->RemoveMember(id);
}

void FleetWorld::ReplaceMember(const FleetMember& member) {
  FleetMember& stored = this->members.at(member.address.id).member;
  const uint64_t created_revision = stored.created_revision;
  stored = member;
  stored.created_revision = created_revision;
  stored.revision = ++this->revision;
  this->history.emplace_back(this->revision, MemberChanged{stored});
}

void FleetWorld::DeregisterDaemon(const std::string& id) {
  this->RemoveMember(DaemonId(id));
}

void FleetWorld::DeregisterEndpoint(const std::string& id) {
  this->endpoint_entries.erase(EndpointId(id));
  ++this->revision;
  this->history.emplace_back(this->revision,
                             EndpointRemoved{EndpointId(id), this->revision});
}

void FleetWorld::RestartEndpoint(const std::string& id,
                                 Millis back_at,
                                 Millis listed_at) {
  RestartFakeEndpoint(this->endpoints.at(EndpointId(id)), back_at);
  this->Schedule(listed_at - this->now, [this, id]() {
    FakeEndpoint& endpoint = this->endpoints.at(EndpointId(id));
    endpoint.entry.started_at_ms = endpoint.started_at_ms;
    this->WriteEntry(endpoint.entry);
  });
}

void FleetWorld::ChangeEndpointCapacity(const std::string& id,
                                        const TaskResources& capacity) {
  FakeEndpoint& endpoint = this->endpoints.at(EndpointId(id));
  ChangeCapacity(endpoint, capacity, this->now);
  this->WriteEntry(endpoint.entry);
}

void FleetWorld::WriteEntry(EndpointEntry entry) {
  entry.revision = ++this->revision;
  this->endpoint_entries[entry.id] = entry;
  this->history.emplace_back(this->revision, EndpointChanged{entry});
}

CallerToken FleetWorld::Submit(const std::string& daemon,
                               const std::string& job,
                               uint32_t tasks,
                               Millis nominal_run_time) {
  JobStep step;
  step.task_count = tasks;
  step.resources = {7'000, 64, 0};
  step.declared_run_time = nominal_run_time;
  TransientJob submitted;
  submitted.id = SubmissionId(job);
  submitted.route = "route";
  submitted.service = "service";
  submitted.steps = {step};
  submitted.max_attempts = 3;
  submitted.stretch = 1.6;
  submitted.target_latency = {60};
  submitted.time_left = {1'500};
  this->nominal_run_times[submitted.id] = nominal_run_time;
  this->resources_by_job[submitted.id] = step.resources;
  const CallerToken caller(++this->last_caller);
  this->callers[caller] = job;
  this->DeliverCallerEvent(
      daemon, [=, sent_at = this->now](FleetNode& node, Actions& actions) {
        std::optional<Millis> measured_age;
        if (this->measures_request_age)
          measured_age = this->now - sent_at;
        OnJob(node, this->now, caller, submitted, measured_age, actions);
      });
  return caller;
}

CallerToken FleetWorld::Cancel(const std::string& daemon,
                               const std::string& job) {
  const CallerToken caller(++this->last_caller);
  this->DeliverCallerEvent(daemon, [=](FleetNode& node, Actions& actions) {
    OnCancelJob(node, this->now, caller, SubmissionId(job), actions);
  });
  return caller;
}

void FleetWorld::SendMessage(const std::string& from,
                             const std::string& to,
                             const PeerMessage& message) {
  this->DeliverEvent(from, this->incarnations.at(from),
                     [&](FleetNode& node, Actions& actions) {
                       Send(node.sessions, this->Node(to).self, message,
                            SessionLimits(), this->now, actions);
                     });
}

void FleetWorld::Disconnect(const std::string& daemon, CallerToken caller) {
  if (!this->IsRunning(daemon))
    return;
  this->DeliverCallerEvent(daemon, [=](FleetNode& node, Actions& actions) {
    OnCallerDisconnected(node, this->now, caller, actions);
  });
}

FleetNode& FleetWorld::Node(const std::string& id) {
  return this->nodes.at(id);
}

std::string FleetWorld::OwnerOf(const std::string& zone) {
  std::set<std::string> owners;
  for (const auto& [id, node] : this->nodes) {
    const FleetMember* owner =
        OwnerOfGroup(node.view, EndpointGroup{ZoneId(zone), 0});
    owners.insert(owner == nullptr ? "" : owner->address.id.value);
  }
  return owners.size() == 1 ? *owners.begin() : "";
}

void FleetWorld::Schedule(Millis delay, std::function<void()> callback) {
  this->events.insert(
      {this->now + delay, ++this->last_event, std::move(callback)});
}

size_t FleetWorld::CountRuns(const std::string& job) const {
  size_t count = 0;
  for (const auto& [id, endpoint] : this->endpoints) {
    for (const auto& [key, run] : endpoint.running)
      count += key.first.job == SubmissionId(job) ? 1 : 0;
  }
  return count;
}

void FleetWorld::RunFor(Millis duration) {
  const Millis end = this->now + duration;
  while (this->now < end) {
    this->now = this->now + Millis{1};
    this->Step();
  }
}

void FleetWorld::Step() {
  for (auto& [id, endpoint] : this->endpoints)
    AdvanceFakeEndpoint(endpoint, this->now);
  this->RenewLeasesOfPausedDaemons();
  this->ExpireLeases();
  this->AnswerWatches();
  while (!this->events.empty() && this->events.begin()->at <= this->now) {
    const std::function<void()> callback = this->events.begin()->callback;
    this->events.erase(this->events.begin());
    callback();
  }
  if (this->now.count % kTickPeriodMs == 0) {
    const std::map<std::string, uint64_t> running = this->incarnations;
    for (const auto& [id, incarnation] : running) {
      this->DeliverEvent(id, incarnation,
                         [this](FleetNode& node, Actions& actions) {
                           OnTick(node, this->now, actions);
                         });
    }
  }
  this->RecordOverlaps();
}

void FleetWorld::DeliverCallerEvent(
    const std::string& daemon,
    const std::function<void(FleetNode&, Actions&)>& event) {
  const uint64_t incarnation = this->incarnations.at(daemon);
  const Millis delay = this->caller_delay(DaemonId(daemon));
  if (delay == Millis()) {
    this->DeliverEvent(daemon, incarnation, event);
    return;
  }
  this->Schedule(delay, [this, daemon, incarnation, event]() {
    this->DeliverEvent(daemon, incarnation, event);
  });
}

void FleetWorld::DeliverEvent(
    const std::string& daemon,
    uint64_t incarnation,
    const std::function<void(FleetNode&, Actions&)>& event) {
  const auto current = this->incarnations.find(daemon);
  if (current == this->incarnations.end() || current->second != incarnation)
    return;
  if (this->paused_daemons.count(daemon) > 0) {
    this->Schedule(Millis{5}, [this, daemon, incarnation, event]() {
      this->DeliverEvent(daemon, incarnation, event);
    });
    return;
  }
  Actions actions;
  event(this->nodes.at(daemon), actions);
  this->ExecuteActions(daemon, actions);
}

void FleetWorld::ExecuteActions(const std::string& daemon,
                                const Actions& actions) {
  const DaemonId from(daemon);
  for (const Action& action : actions) {
    if (const auto* frame = std::get_if<SendFrame>(&action)) {
      if (!this->is_frame_sendable(frame->frame)) {
        Actions reaction;
        OnFrameNotSendable(this->nodes.at(daemon), this->now, frame->frame,
                           reaction);
        this->ExecuteActions(daemon, reaction);
        continue;
      }
      const std::string to = frame->frame.to.id.value;
      if (this->incarnations.count(to) == 0 ||
          this->is_partitioned(from, DaemonId(to)))
        continue;
      const Millis delay =
          kNetworkLatency + this->message_delay(from, DaemonId(to));
      this->Schedule(delay, [this, to, incarnation = this->incarnations.at(to),
                             sent = frame->frame]() {
        this->DeliverEvent(to, incarnation, [=](FleetNode& node, Actions& out) {
          OnPeerFrame(node, this->now, sent, out);
        });
      });
    } else if (const auto* send_heartbeat =
                   std::get_if<SendHeartbeat>(&action)) {
      for (const DaemonId& to : send_heartbeat->to)
        this->DeliverHeartbeat(from, to, send_heartbeat->heartbeat);
    } else if (const auto* call = std::get_if<CallEndpoint>(&action)) {
      this->Schedule(kNetworkLatency + this->command_delay(from),
                     [this, daemon, command = call->command]() {
                       this->ExecuteEndpointCommand(daemon, command);
                     });
    } else if (const auto* store = std::get_if<CallKeyValue>(&action)) {
      this->CallStore(daemon, *store);
    } else if (const auto* answer = std::get_if<AnswerJob>(&action)) {
      this->results[this->callers[answer->caller]] = answer->outcome.result;
      this->outcomes[this->callers[answer->caller]] = answer->outcome;
    } else if (const auto* cancellation =
                   std::get_if<AnswerCancellation>(&action)) {
      this->cancellations[cancellation->caller] = cancellation->result;
    } else if (const auto* log = std::get_if<LogEvent>(&action)) {
      if (!this->prints_log)
        continue;
      std::printf("%ld %s %s", static_cast<long>(this->now.count),
                  daemon.c_str(), log->name.c_str());
      for (const auto& [key, value] : log->fields)
        std::printf(" %s=%s", key.c_str(), value.c_str());
      std::printf("\n");
    } else if (std::holds_alternative<ExitProcess>(action)) {
      this->Schedule(Millis{1}, [this, daemon]() { this->KillDaemon(daemon); });
    }
  }
}

void FleetWorld::DeliverHeartbeat(const DaemonId& from,
                                  const DaemonId& to,
                                  const Heartbeat& heartbeat) {
  ++this->heartbeat_count;
  const auto incarnation = this->incarnations.find(to.value);
  if (incarnation == this->incarnations.end() ||
      this->is_partitioned(from, to) || this->is_heartbeat_lost(from, to))
    return;
  const Millis delay = kNetworkLatency + this->message_delay(from, to);
  this->Schedule(delay, [this, to = to.value, incarnation = incarnation->second,
                         heartbeat]() {
    this->DeliverEvent(to, incarnation, [=](FleetNode& node, Actions& out) {
      OnHeartbeat(node, this->now, heartbeat, out);
    });
  });
}

void FleetWorld::ExecuteEndpointCommand(const std::string& daemon,
                                        const EndpointCommand& command) {
  const auto incarnation = this->incarnations.find(daemon);
  if (incarnation == this->incarnations.end())
    return;
  FakeEndpoint& endpoint = this->endpoints.at(command.endpoint);
  const bool is_down =
      endpoint.down_until > this->now ||
      this->is_endpoint_unreachable(DaemonId(daemon), command.endpoint);
  const Millis late =
      is_down ? Millis() : this->command_execution_delay(command);
  if (late > Millis()) {
    this->Schedule(late, [this, command, life = endpoint.started_at_ms]() {
      FakeEndpoint& endpoint = this->endpoints.at(command.endpoint);
      if (endpoint.started_at_ms == life)
        this->ExecuteOnEndpoint(endpoint, command);
    });
  }
  EndpointReply reply;
  if (!is_down && late == Millis())
    reply = this->ExecuteOnEndpoint(endpoint, command);
  if (is_down || late > Millis() || this->is_answer_lost(command)) {
    this->LeaveUnanswered(daemon, command);
    return;
  }
  const auto* renewal = std::get_if<RenewRuns>(&command.command);
  // A renewal that may wait and has no ended runs to report is answered later,
  // by polling the endpoint without renewing the lease again.
  constexpr Millis kPollPeriod{5};
  if (renewal != nullptr && renewal->wait > kPollPeriod &&
      reply.ended.empty() && reply.outcome == CommandOutcome::kDone) {
    EndpointCommand poll = command;
    auto& waiting = std::get<RenewRuns>(poll.command);
    waiting.wait = waiting.wait - kPollPeriod;
    waiting.lease_until.reset();
    this->Schedule(
        kPollPeriod, [this, daemon, poll, life = endpoint.started_at_ms]() {
          if (!this->IsRunning(daemon))
            return;
          if (this->endpoints.at(poll.endpoint).started_at_ms == life)
            this->ExecuteEndpointCommand(daemon, poll);
          else
            this->LeaveUnanswered(daemon, poll);
        });
    return;
  }
  this->Schedule(kNetworkLatency, [this, daemon,
                                   incarnation = incarnation->second, reply]() {
    this->DeliverEvent(daemon, incarnation, [=](FleetNode& node, Actions& out) {
      OnEndpointReply(node, this->now, reply, out);
    });
  });
}

EndpointReply FleetWorld::ExecuteOnEndpoint(FakeEndpoint& endpoint,
                                            const EndpointCommand& command) {
  Millis nominal_run_time;
  TaskResources resources;
  if (const auto* start = std::get_if<StartRun>(&command.command)) {
    nominal_run_time = this->nominal_run_times[start->task.job];
    resources = this->resources_by_job[start->task.job];
  }
  return ExecuteCommand(endpoint, command, nominal_run_time, resources,
                        this->now);
}

void FleetWorld::LeaveUnanswered(const std::string& daemon,
                                 const EndpointCommand& command) {
  EndpointReply unanswered;
  unanswered.id = command.id;
  this->Schedule(command.timeout, [this, daemon,
                                   incarnation = this->incarnations.at(daemon),
                                   unanswered]() {
    this->DeliverEvent(daemon, incarnation, [=](FleetNode& node, Actions& out) {
      OnEndpointReply(node, this->now, unanswered, out);
    });
  });
}

void FleetWorld::CallStore(const std::string& daemon,
                           const CallKeyValue& call) {
  ++this->store_call_count;
  const uint64_t incarnation = this->incarnations.at(daemon);
  const Millis timeout_at = this->now + call.timeout;
  int& silent = this->silent_connections[daemon];
  if (silent > 0 || this->is_store_unreachable(DaemonId(daemon))) {
    silent = std::max(silent - 1, 0);
    this->LeaveStoreCallUnanswered(daemon, incarnation, call.token, timeout_at);
    return;
  }
  if (const auto* watch = std::get_if<WatchItems>(&call.call)) {
    this->watches.push_back({daemon, incarnation, call.token, *watch,
                             this->now + watch->wait, timeout_at});
    return;
  }
  const Millis late = this->store_execution_delay(DaemonId(daemon), call.call);
  if (late > Millis()) {
    this->Schedule(late, [this, call]() { this->AnswerStoreCall(call); });
    this->LeaveStoreCallUnanswered(daemon, incarnation, call.token, timeout_at);
    return;
  }
  const Millis delay = kStoreLatency + this->store_delay(DaemonId(daemon));
  this->Schedule(delay, [this, daemon, incarnation, call]() {
    KeyValueReply reply = this->AnswerStoreCall(call);
    this->alter_store_reply(DaemonId(daemon), call.call, reply);
    this->DeliverStoreReply(daemon, incarnation, call.token, reply);
  });
}

void FleetWorld::LeaveStoreCallUnanswered(const std::string& daemon,
                                          uint64_t incarnation,
                                          StoreToken token,
                                          Millis timeout_at) {
  this->Schedule(timeout_at - this->now, [this, daemon, incarnation, token]() {
    this->DeliverStoreReply(daemon, incarnation, token, KeyValueReply());
  });
}

void FleetWorld::DeliverStoreReply(const std::string& daemon,
                                   uint64_t incarnation,
                                   StoreToken token,
                                   const KeyValueReply& reply) {
  this->DeliverEvent(daemon, incarnation, [=](FleetNode& node, Actions& out) {
    OnKeyValueReply(node, this->now, token, reply, out);
  });
}

KeyValueReply FleetWorld::AnswerStoreCall(const CallKeyValue& call) {
  KeyValueReply reply;
  reply.outcome = KeyValueOutcome::kDone;
  if (const auto* read = std::get_if<ReadItems>(&call.call)) {
    for (const auto& [id, stored] : this->members) {
      if (read->scope == ItemScope::kDaemons)
        reply.changes.push_back(MemberChanged{stored.member});
    }
    if (read->scope == ItemScope::kEndpoints) {
      for (const auto& [id, entry] : this->endpoint_entries)
        reply.changes.push_back(EndpointChanged{entry});
    }
    if (read->scope == ItemScope::kRoutes) {
      reply.changes.push_back(this->history.front().second);
      for (const auto& [zone, request] : this->evacuations)
        reply.changes.push_back(request);
    }
  } else if (const auto* open = std::get_if<OpenLease>(&call.call)) {
    reply.lease = ++this->last_lease;
    this->leases[reply.lease] = this->now + open->length;
    this->lease_lengths[reply.lease] = open->length;
  } else if (const auto* renew = std::get_if<RenewLease>(&call.call)) {
    const auto lease = this->leases.find(renew->lease);
    if (lease == this->leases.end())
      reply.outcome = KeyValueOutcome::kConditionFailed;
    else
      lease->second = this->now + this->lease_lengths[renew->lease];
  } else if (const auto* write = std::get_if<WriteMember>(&call.call)) {
    if (this->leases.count(write->lease) == 0) {
      reply.outcome = KeyValueOutcome::kConditionFailed;
    } else if (this->RevisionOfMember(write->member.address.id) !=
               write->expected_revision) {
      reply.outcome = KeyValueOutcome::kConditionFailed;
      reply.conflicting_revision =
          this->RevisionOfMember(write->member.address.id);
    } else {
      const DaemonId id = write->member.address.id;
      const auto known = this->members.find(id);
      FleetMember member = write->member;
      member.revision = ++this->revision;
      member.created_revision = known == this->members.end()
                                    ? member.revision
                                    : known->second.member.created_revision;
      this->members[id] = {member, write->lease};
      this->history.emplace_back(this->revision, MemberChanged{member});
    }
  } else if (const auto* end = std::get_if<EndLease>(&call.call)) {
    this->leases[end->lease] = this->now;
  } else if (const auto* remove =
                 std::get_if<dogwoodfall::RemoveMember>(&call.call)) {
    const auto known = this->members.find(remove->id);
    if (known != this->members.end() &&
        known->second.member.revision == remove->revision)
      this->RemoveMember(remove->id);
    else
      reply.outcome = KeyValueOutcome::kConditionFailed;
  }
  reply.store_revision = this->revision;
  return reply;
}

uint64_t FleetWorld::RevisionOfMember(const DaemonId& id) const {
  const auto known = this->members.find(id);
  return known == this->members.end() ? 0 : known->second.member.revision;
}

void FleetWorld::RemoveMember(const DaemonId& id) {
  this->members.erase(id);
  ++this->revision;
  this->history.emplace_back(this->revision, MemberRemoved{id, this->revision});
}

void FleetWorld::RenewLeasesOfPausedDaemons() {
  for (const std::string& daemon : this->paused_daemons) {
    const auto stored = this->members.find(DaemonId(daemon));
    if (stored == this->members.end() || !this->is_renewed_while_paused(daemon))
      continue;
    const uint64_t lease = stored->second.lease;
    if (this->leases.count(lease) > 0)
      this->leases[lease] = this->now + this->lease_lengths[lease];
  }
}

void FleetWorld::ExpireLeases() {
  for (auto lease = this->leases.begin(); lease != this->leases.end();) {
    if (lease->second > this->now) {
      ++lease;
      continue;
    }
    std::vector<DaemonId> expired;
    for (const auto& [id, stored] : this->members) {
      if (stored.lease == lease->first)
        expired.push_back(id);
    }
    for (const DaemonId& id : expired)
      this->RemoveMember(id);
    lease = this->leases.erase(lease);
  }
}

void FleetWorld::AnswerWatches() {
  std::vector<Watch> pending;
  for (const Watch& watch : std::exchange(this->watches, {})) {
    KeyValueReply reply;
    reply.outcome = KeyValueOutcome::kDone;
    reply.store_revision = this->revision;
    for (const auto& [change_revision, change] : this->history) {
      const bool matches_scope = ScopeOf(change) == watch.request.scope;
      if (change_revision > watch.request.after_revision && matches_scope)
        reply.changes.push_back(change);
    }
    if (this->is_store_unreachable(DaemonId(watch.daemon))) {
      reply = KeyValueReply();
      if (watch.deadline > this->now) {
        pending.push_back(watch);
        continue;
      }
    } else if (reply.changes.empty() && watch.deadline > this->now) {
      pending.push_back(watch);
      continue;
    }
    this->alter_store_reply(DaemonId(watch.daemon), watch.request, reply);
    Millis delay = kStoreLatency + this->store_delay(DaemonId(watch.daemon));
    if (watch.request.scope == ItemScope::kDaemons && !reply.changes.empty())
      delay = delay + this->member_news_delay(DaemonId(watch.daemon));
    this->Schedule(delay, [this, watch, reply]() {
      this->DeliverStoreReply(watch.daemon, watch.incarnation, watch.token,
                              reply);
    });
  }
  this->watches.insert(this->watches.end(), pending.begin(), pending.end());
}

void FleetWorld::RecordOverlaps() {
  std::map<JobTask, EndpointId> seen;
  for (const auto& [id, endpoint] : this->endpoints) {
    for (const auto& [key, run] : endpoint.running) {
      const auto [first, is_only_run] = seen.emplace(key.first, id);
      if (is_only_run || !this->overlaps.insert(key.first).second)
        continue;
      if (this->prints_log)
        std::printf("%ld two runs of %s %s on %s and %s\n",
                    static_cast<long>(this->now.count),
                    key.first.job.value.c_str(),
                    FormatTaskPosition(key.first).c_str(),
                    first->second.value.c_str(), id.value.c_str());
    }
  }
}

void SetUpTwoZones(FleetWorld& world) {
  for (const char* zone : {"north", "south"}) {
    for (int i = 0; i < 2; ++i)
      world.StartDaemon(std::string(zone) + std::to_string(i), zone);
    for (int i = 0; i < 4; ++i)
      world.AddEndpoint(std::string(zone) + "-e" + std::to_string(i), zone);
  }
  world.RunFor({3'000});
}

std::string OtherDaemonInZone(const std::string& daemon) {
  std::string other = daemon;
  other.back() = other.back() == '0' ? '1' : '0';
  return other;
}

Actions Deliver(FleetWorld& world,
                const std::string& from,
                const std::string& to,
                PeerMessage message) {
  Actions sent;
  Send(world.Node(from).sessions, world.Node(to).self, std::move(message),
       SessionLimits(), world.now, sent);
  Actions actions;
  for (const Action& action : sent) {
    if (const auto* frame = std::get_if<SendFrame>(&action))
      OnPeerFrame(world.Node(to), world.now, frame->frame, actions);
  }
  return actions;
}

Actions AnswerClockReadings(FleetWorld& world,
                            const std::string& daemon,
                            const Actions& actions,
                            Millis now) {
  Actions all = actions;
  for (const Action& action : actions) {
    const auto* call = std::get_if<CallEndpoint>(&action);
    if (call == nullptr ||
        !std::holds_alternative<RenewRuns>(call->command.command))
      continue;
    FakeEndpoint& endpoint = world.endpoints.at(call->command.endpoint);
    OnEndpointReply(world.Node(daemon), now,
                    ExecuteCommand(endpoint, call->command, {}, {}, now), all);
  }
  return all;
}

}  // namespace dogwoodfall
