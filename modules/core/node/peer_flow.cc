#include "core/node/peer_flow.h"

#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "config/configuration_text.h"
#include "core/node/drain_flow.h"
#include "core/node/home_flow.h"
#include "core/node/node_events.h"
#include "core/node/request_flow.h"
#include "core/node/scheduler_flow.h"

namespace dogwoodfall {
namespace {

void HandlePeerMessage(Node& node,
                       Millis now,
                       const DaemonRef& from,
                       const PeerMessage& message,
                       Actions& actions) {
  if (const auto* answer = std::get_if<ForwardAnswer>(&message)) {
    HandleForwardAnswer(node, now, from, *answer, actions);
  } else if (const auto* submit = std::get_if<SubmitForward>(&message)) {
    const Waiter waiter{PeerWaiter{from, submit->forward}, std::nullopt};
    HandleRequest(node, now, waiter, *submit, actions);
  } else if (const auto* status = std::get_if<StatusForward>(&message)) {
    const Waiter waiter{PeerWaiter{from, status->forward}, std::nullopt};
    HandleRequest(node, now, waiter, *status, actions);
  } else if (const auto* cancel = std::get_if<CancelForward>(&message)) {
    const Waiter waiter{PeerWaiter{from, cancel->forward}, std::nullopt};
    HandleRequest(node, now, waiter, *cancel, actions);
  } else if (const auto* batch = std::get_if<TaskBatch>(&message)) {
    AcceptTaskBatch(node, now, from, *batch, actions);
  } else if (const auto* reports = std::get_if<TaskReports>(&message)) {
    for (const TaskReport& report : reports->reports)
      HandleReport(node, now, from, report, actions);
  } else if (const auto* cancellation =
                 std::get_if<TaskCancellation>(&message)) {
    HandleTaskCancellation(node, now, from, *cancellation, actions);
  } else if (const auto* handover = std::get_if<LedgerHandover>(&message)) {
    ApplyHandover(node, now, from, *handover, actions);
  } else if (const auto* accepted =
                 std::get_if<LedgerHandoverAccepted>(&message)) {
    HandleHandoverAccepted(node, from, *accepted);
  } else if (const auto* successor_notice =
                 std::get_if<HomeSuccessorNotice>(&message)) {
    node.successors[successor_notice->home] = successor_notice->successor;
  } else if (std::holds_alternative<ConfigurationRequest>(message)) {
    if (node.configuration.revision > 0) {
      Send(node.sessions, from, ConfigurationNotice{node.configuration_text},
           node.settings.sessions, now, actions);
    }
  } else if (const auto* configuration =
                 std::get_if<ConfigurationNotice>(&message)) {
    ApplyConfiguration(node, configuration->text, actions);
    DispatchTasks(node, now, actions);
  }
}

/** Notifies an incarnation that it was declared ended. */
void NotifyEndedIncarnation(Node& node,
                            Millis now,
                            const DaemonRef& ended,
                            Actions& actions) {
  Heartbeat heartbeat = MakeHeartbeat(node, now);
  heartbeat.ended_receiver = ended.incarnation;
  actions.push_back(SendHeartbeat{{ended.id}, heartbeat});
}

/** Handles the notification that peers have declared this incarnation ended.
 * Resolves all tasks and requests that depend on the peers, and begins the
 * shutdown, since the peers have closed their sessions with this incarnation.
 */
void HandleExpulsion(Node& node, Millis now, Actions& actions) {
  if (node.is_expelled)
    return;
  node.is_expelled = true;
  LogEvent event;
  event.name = "declared_ended_by_peers";
  actions.push_back(std::move(event));
  std::vector<DaemonRef> peers;
  for (const auto& [id, session] : node.sessions.sessions)
    peers.push_back(session.peer);
  node.sessions.sessions.clear();
  OnDrain(node, now, actions);
  for (const DaemonRef& peer : peers)
    ResolveEndedIncarnation(node, now, peer, actions);
}

/** Applies the leaving endpoints and the revisions that a heartbeat reports. */
void ApplyHeartbeatContents(Node& node,
                            Millis now,
                            const Heartbeat& heartbeat,
                            Actions& actions) {
  for (const EndpointId& endpoint : heartbeat.leaving_endpoints)
    MarkLeaving(node.membership, endpoint);
  if (heartbeat.table_revision > node.claims.table_revision)
    node.claims.peer_table_revision = heartbeat.table_revision;
  RecordPeerRevision(node.claims, heartbeat.store_revision,
                     heartbeat.store_cluster_id);
  if (heartbeat.revision > node.configuration.revision) {
    Send(node.sessions, heartbeat.from,
         ConfigurationRequest{node.configuration.revision},
         node.settings.sessions, now, actions);
  }
}

}  // namespace

Heartbeat MakeHeartbeat(Node& node, Millis now) {
  Heartbeat heartbeat;
  heartbeat.from = node.settings.self;
  heartbeat.zone = node.settings.zone;
  heartbeat.number = ++node.heartbeat_number;
  heartbeat.revision = node.configuration.revision;
  heartbeat.table_revision = node.claims.table_revision;
  heartbeat.store_revision = node.claims.store_revision;
  heartbeat.store_cluster_id = node.claims.cluster_id;
  heartbeat.can_claim = node.claims.phase == JournalPhase::kOpen;
  heartbeat.free_slots = FreeSlots(node.dispatch.pool, now);
  heartbeat.queued_tasks = static_cast<uint32_t>(SizeOf(node.dispatch.queue));
  heartbeat.draining = node.drain.phase != DrainPhase::kServing;
  for (const auto& [id, known] : node.membership.endpoints) {
    if (known.leaving && known.listed)
      heartbeat.leaving_endpoints.push_back(id);
  }
  for (const auto& [id, plan] : node.configuration.customers) {
    const auto queued = static_cast<uint32_t>(SizeOf(node.dispatch.queue, id));
    const uint32_t running = CountRunning(node.dispatch, id);
    if (queued + running > 0)
      heartbeat.demands.push_back({id, running, queued});
  }
  return heartbeat;
}

void SendHeartbeats(Node& node, Millis now, Actions& actions) {
  SendHeartbeat sent;
  sent.heartbeat = MakeHeartbeat(node, now);
  for (const auto& [id, known] : node.membership.daemons) {
    if (known.listed)
      sent.to.push_back(id);
  }
  actions.push_back(std::move(sent));
}

void ResolveEndedIncarnation(Node& node,
                             Millis now,
                             const DaemonRef& ended,
                             Actions& actions) {
  LogEvent event;
  event.name = "daemon_life_ended";
  event.fields = {{"daemon", ended.id.value},
                  {"incarnation", std::to_string(ended.incarnation.value)}};
  actions.push_back(std::move(event));
  node.claims.next_table_read_at = Millis{};
  DropTasksOf(node, ended, actions);
  ResolveTasksOf(node, now, ended, actions);
  RerouteForwardsTo(node, now, ended, actions);
  UpdateOwnedEndpoints(node, now);
  DispatchTasks(node, now, actions);
}

void DetectEndedIncarnations(Node& node, Millis now, Actions& actions) {
  std::vector<DaemonRef> ended;
  for (const auto& [id, known] : node.membership.daemons) {
    if (!known.incarnation)
      continue;
    const DaemonRef daemon{id, *known.incarnation};
    if (node.membership.ended.count(daemon) == 0 &&
        IsGone(node.membership, daemon, node.settings.membership, now))
      ended.push_back(daemon);
  }
  for (const DaemonRef& daemon : ended) {
    node.membership.ended.insert(daemon);
    node.sessions.sessions.erase(daemon.id);
    ResolveEndedIncarnation(node, now, daemon, actions);
  }
}

void ApplyConfiguration(Node& node, const std::string& text, Actions& actions) {
  ParsedConfiguration parsed = ParseConfiguration(text);
  LogEvent event;
  if (const auto* errors =
          std::get_if<std::vector<ConfigurationError>>(&parsed)) {
    event.name = "configuration_refused";
    event.fields = {{"faults", std::to_string(errors->size())},
                    {"first", errors->front().path}};
    actions.push_back(std::move(event));
    return;
  }
  auto& configuration = std::get<Configuration>(parsed);
  if (configuration.revision <= node.configuration.revision)
    return;
  event.name = "configuration_in_force";
  event.fields = {{"revision", std::to_string(configuration.revision)}};
  actions.push_back(std::move(event));
  node.configuration = std::move(configuration);
  node.configuration_text = text;
}

void OnFrameNotSendable(Node& node,
                        Millis,
                        const PeerFrame& frame,
                        Actions& actions) {
  if (!DropMessage(node.sessions, frame.to, frame.sequence, actions))
    return;
  actions.push_back(LogEvent{"message_dropped",
                             {{"peer", frame.to.id.value},
                              {"sequence", std::to_string(frame.sequence)}}});
}

void OnPeerFrame(Node& node,
                 Millis now,
                 const PeerFrame& frame,
                 Actions& actions) {
  const std::optional<PeerMessage> message = Receive(node.sessions, frame, now);
  if (message)
    HandlePeerMessage(node, now, frame.from, *message, actions);
}

void OnHeartbeat(Node& node,
                 Millis now,
                 const Heartbeat& heartbeat,
                 Actions& actions) {
  std::optional<DaemonRef> replaced;
  const HeartbeatEffect effect =
      ApplyHeartbeat(node.membership, heartbeat, now, replaced);
  if (effect == HeartbeatEffect::kNonMember) {
    ++node.counters.non_member_heartbeats;
    return;
  }
  if (effect == HeartbeatEffect::kEnded)
    NotifyEndedIncarnation(node, now, heartbeat.from, actions);
  if (effect == HeartbeatEffect::kStale || effect == HeartbeatEffect::kEnded)
    return;
  if (heartbeat.ended_receiver == node.settings.self.incarnation)
    HandleExpulsion(node, now, actions);
  if (effect == HeartbeatEffect::kNewIncarnation && !node.is_expelled) {
    StartSession(node.sessions, heartbeat.from);
    if (replaced)
      ResolveEndedIncarnation(node, now, *replaced, actions);
    UpdateOwnedEndpoints(node, now);
  }
  ApplyHeartbeatContents(node, now, heartbeat, actions);
  DispatchTasks(node, now, actions);
}

}  // namespace dogwoodfall
