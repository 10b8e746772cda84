#include "fleet_world.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <utility>
#include <variant>

namespace dogwoodfall {
namespace {

constexpr Millis kWay{1};
constexpr Millis kStoreWay{4};
constexpr int64_t kTickPeriod = 10;

bool IsAboutDaemon(const StoreChange& change) {
  return std::holds_alternative<MemberChanged>(change) ||
         std::holds_alternative<MemberRemoved>(change);
}

}  // namespace

FleetWorld::FleetWorld()
    : prints_log(std::getenv("FLEET_WORLD_LOG") != nullptr),
      is_cut([](const DaemonId&, const DaemonId&) { return false; }),
      is_cut_from_store([](const DaemonId&) { return false; }) {
  RouteTable routes;
  routes.version = 3;
  this->history.emplace_back(++this->revision, RoutesChanged{routes});
}

void FleetWorld::StartDaemon(const std::string& id, const std::string& zone) {
  DaemonMember self;
  self.id = DaemonId(id);
  self.zone = ZoneId(zone);
  self.ip = "10.0.0." + id;
  this->lives[id] = ++this->last_life;
  this->nodes[id] =
      OpenFleetNode(self, Incarnation(static_cast<uint64_t>(this->now.count)));
}

void FleetWorld::KillDaemon(const std::string& id) {
  this->nodes.erase(id);
  this->lives.erase(id);
}

void FleetWorld::StopDaemon(const std::string& id) {
  this->Feed(id, this->lives.at(id), [this](FleetNode& node, Actions& actions) {
    OnStop(node, this->now, actions);
  });
}

bool FleetWorld::IsRunning(const std::string& id) const {
  return this->lives.count(id) > 0;
}

void FleetWorld::AddEndpoint(const std::string& id, const std::string& zone) {
  FakeEndpoint& endpoint = this->endpoints[EndpointId(id)];
  endpoint.entry.id = EndpointId(id);
  endpoint.entry.service = "service";
  endpoint.entry.zone = ZoneId(zone);
  endpoint.entry.capacity = {16'000, 64'000, 0};
  this->items[endpoint.entry.id] = endpoint.entry;
  this->history.emplace_back(++this->revision, EndpointChanged{endpoint.entry});
}

void FleetWorld::RemoveAllMembers() {
  const std::map<DaemonId, StoredMember> all = this->members;
  for (const auto& [id, stored] : all)
    this->RemoveMember(id);
}

void FleetWorld::DeregisterEndpoint(const std::string& id) {
  this->items.erase(EndpointId(id));
  this->history.emplace_back(++this->revision, EndpointRemoved{EndpointId(id)});
}

CallerToken FleetWorld::Submit(const std::string& daemon,
                               const std::string& job,
                               uint32_t tasks,
                               Millis nominal) {
  JobStep step;
  step.task_count = tasks;
  step.resources = {7'000, 64, 0};
  step.declared_run_time = nominal;
  TransientJob submitted;
  submitted.id = SubmissionId(job);
  submitted.route = "route";
  submitted.service = "service";
  submitted.steps = {step};
  submitted.max_attempts = 3;
  submitted.stretch = 1.6;
  submitted.target_latency = {60};
  submitted.time_left = {1'500};
  this->nominal[submitted.id] = nominal;
  this->rooms[submitted.id] = step.resources;
  const CallerToken caller(++this->last_caller);
  this->callers[caller] = job;
  this->Feed(daemon, this->lives.at(daemon),
             [=](FleetNode& node, Actions& actions) {
               OnJob(node, this->now, caller, submitted, actions);
             });
  return caller;
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

void FleetWorld::At(Millis delay, std::function<void()> run) {
  this->events.insert({this->now + delay, ++this->last_event, std::move(run)});
}

void FleetWorld::Run(Millis time) {
  const Millis end = this->now + time;
  while (this->now < end) {
    this->now = this->now + Millis{1};
    this->Step();
  }
}

void FleetWorld::Step() {
  for (auto& [id, endpoint] : this->endpoints)
    AdvanceFakeEndpoint(endpoint, this->now);
  this->ExpireLeases();
  this->AnswerWatches();
  while (!this->events.empty() && this->events.begin()->at <= this->now) {
    const std::function<void()> run = this->events.begin()->run;
    this->events.erase(this->events.begin());
    run();
  }
  if (this->now.count % kTickPeriod == 0) {
    const std::map<std::string, uint64_t> living = this->lives;
    for (const auto& [id, life] : living) {
      this->Feed(id, life, [this](FleetNode& node, Actions& actions) {
        OnTick(node, this->now, actions);
      });
    }
  }
  this->RecordOverlaps();
}

void FleetWorld::Feed(const std::string& daemon,
                      uint64_t life,
                      const std::function<void(FleetNode&, Actions&)>& event) {
  const auto alive = this->lives.find(daemon);
  if (alive == this->lives.end() || alive->second != life)
    return;
  if (this->frozen.count(daemon) > 0) {
    this->At(Millis{5}, [this, daemon, life, event]() {
      this->Feed(daemon, life, event);
    });
    return;
  }
  Actions actions;
  event(this->nodes.at(daemon), actions);
  this->Deliver(daemon, actions);
}

void FleetWorld::Deliver(const std::string& daemon, const Actions& actions) {
  const DaemonId from(daemon);
  for (const Action& action : actions) {
    if (const auto* frame = std::get_if<SendFrame>(&action)) {
      const std::string to = frame->frame.to.id.value;
      if (this->lives.count(to) == 0 || this->is_cut(from, DaemonId(to)))
        continue;
      this->At(kWay,
               [this, to, life = this->lives.at(to), sent = frame->frame]() {
                 this->Feed(to, life, [=](FleetNode& node, Actions& out) {
                   OnPeerFrame(node, this->now, sent, out);
                 });
               });
    } else if (const auto* beat = std::get_if<SendHeartbeat>(&action)) {
      const std::string to = beat->to.value;
      if (this->lives.count(to) == 0 || this->is_cut(from, beat->to))
        continue;
      this->At(kWay,
               [this, to, life = this->lives.at(to), sent = beat->heartbeat]() {
                 this->Feed(to, life, [=](FleetNode& node, Actions& out) {
                   OnHeartbeat(node, this->now, sent, out);
                 });
               });
    } else if (const auto* call = std::get_if<CallEndpoint>(&action)) {
      this->At(kWay, [this, daemon, command = call->command]() {
        this->CarryOrder(daemon, command);
      });
    } else if (const auto* store = std::get_if<CallKeyValue>(&action)) {
      this->CallStore(daemon, *store);
    } else if (const auto* answer = std::get_if<AnswerJob>(&action)) {
      this->ends[this->callers[answer->caller]] = answer->outcome.end;
    } else if (const auto* log = std::get_if<LogEvent>(&action)) {
      if (!this->prints_log)
        continue;
      std::printf("%ld %s %s", static_cast<long>(this->now.count),
                  daemon.c_str(), log->name.c_str());
      for (const auto& [key, value] : log->fields)
        std::printf(" %s=%s", key.c_str(), value.c_str());
      std::printf("\n");
    } else if (std::holds_alternative<ExitProcess>(action)) {
      this->At(Millis{1}, [this, daemon]() { this->KillDaemon(daemon); });
    }
  }
}

void FleetWorld::CarryOrder(const std::string& daemon,
                            const EndpointCommand& command) {
  const auto life = this->lives.find(daemon);
  if (life == this->lives.end())
    return;
  Millis nominal;
  TaskResources resources;
  if (const auto* start = std::get_if<StartRun>(&command.command)) {
    nominal = this->nominal[start->task.job];
    resources = this->rooms[start->task.job];
  }
  const EndpointReply reply =
      ExecuteCommand(this->endpoints.at(command.endpoint), command, nominal,
                     resources, this->now);
  const auto* renewal = std::get_if<RenewRuns>(&command.command);
  // A renewal that may wait and has nothing to tell is answered later, by a
  // look that takes no new lease.
  constexpr Millis kPoll{5};
  if (renewal != nullptr && renewal->wait > kPoll && reply.ended.empty() &&
      reply.outcome == CommandOutcome::kDone) {
    EndpointCommand again = command;
    auto& waiting = std::get<RenewRuns>(again.command);
    waiting.wait = waiting.wait - kPoll;
    waiting.lease_until.reset();
    this->At(kPoll,
             [this, daemon, again]() { this->CarryOrder(daemon, again); });
    return;
  }
  this->At(kWay, [this, daemon, life = life->second, reply]() {
    this->Feed(daemon, life, [=](FleetNode& node, Actions& out) {
      OnEndpointReply(node, this->now, reply, out);
    });
  });
}

void FleetWorld::CallStore(const std::string& daemon,
                           const CallKeyValue& call) {
  const uint64_t life = this->lives.at(daemon);
  if (this->is_cut_from_store(DaemonId(daemon))) {
    this->At(call.timeout, [this, daemon, life, token = call.token]() {
      this->Reply(daemon, life, token, KeyValueReply());
    });
    return;
  }
  if (const auto* watch = std::get_if<WatchItems>(&call.call)) {
    this->watches.push_back(
        {daemon, life, call.token, *watch, this->now + watch->wait});
    return;
  }
  this->At(kStoreWay, [this, daemon, life, call]() {
    this->Reply(daemon, life, call.token, this->Answer(call));
  });
}

void FleetWorld::Reply(const std::string& daemon,
                       uint64_t life,
                       StoreToken token,
                       const KeyValueReply& reply) {
  this->Feed(daemon, life, [=](FleetNode& node, Actions& out) {
    OnKeyValueReply(node, this->now, token, reply, out);
  });
}

KeyValueReply FleetWorld::Answer(const CallKeyValue& call) {
  KeyValueReply reply;
  reply.outcome = KeyValueOutcome::kDone;
  if (const auto* read = std::get_if<ReadItems>(&call.call)) {
    for (const auto& [id, stored] : this->members) {
      if (read->scope == ItemScope::kDaemons)
        reply.changes.push_back(MemberChanged{stored.member});
    }
    if (read->scope == ItemScope::kEverything) {
      for (const auto& [id, entry] : this->items)
        reply.changes.push_back(EndpointChanged{entry});
      reply.changes.push_back(this->history.front().second);
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

void FleetWorld::RemoveMember(const DaemonId& id) {
  this->members.erase(id);
  ++this->revision;
  this->history.emplace_back(this->revision, MemberRemoved{id, this->revision});
}

void FleetWorld::ExpireLeases() {
  for (auto lease = this->leases.begin(); lease != this->leases.end();) {
    if (lease->second > this->now) {
      ++lease;
      continue;
    }
    std::vector<DaemonId> gone;
    for (const auto& [id, stored] : this->members) {
      if (stored.lease == lease->first)
        gone.push_back(id);
    }
    for (const DaemonId& id : gone)
      this->RemoveMember(id);
    lease = this->leases.erase(lease);
  }
}

void FleetWorld::AnswerWatches() {
  std::vector<Watch> still;
  for (const Watch& watch : std::exchange(this->watches, {})) {
    KeyValueReply reply;
    reply.outcome = KeyValueOutcome::kDone;
    reply.store_revision = this->revision;
    for (const auto& [at, change] : this->history) {
      const bool is_wanted =
          watch.watch.scope == ItemScope::kEverything || IsAboutDaemon(change);
      if (at > watch.watch.after_revision && is_wanted)
        reply.changes.push_back(change);
    }
    if (this->is_cut_from_store(DaemonId(watch.daemon))) {
      reply = KeyValueReply();
      if (watch.until > this->now) {
        still.push_back(watch);
        continue;
      }
    } else if (reply.changes.empty() && watch.until > this->now) {
      still.push_back(watch);
      continue;
    }
    this->At(kStoreWay, [this, watch, reply]() {
      this->Reply(watch.daemon, watch.life, watch.token, reply);
    });
  }
  this->watches.insert(this->watches.end(), still.begin(), still.end());
}

void FleetWorld::RecordOverlaps() {
  std::set<JobTask> seen;
  for (const auto& [id, endpoint] : this->endpoints) {
    for (const auto& [key, run] : endpoint.running) {
      if (!seen.insert(key.first).second)
        this->overlaps.insert(key.first);
    }
  }
}

}  // namespace dogwoodfall
