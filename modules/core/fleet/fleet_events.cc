#include "core/fleet/fleet_events.h"

#include <algorithm>
#include <utility>

#include "core/fleet/announcement_flow.h"
#include "core/fleet/assignment_flow.h"
#include "core/fleet/cancellation_flow.h"
#include "core/fleet/confirmation_flow.h"
#include "core/fleet/cut_off_flow.h"
#include "core/fleet/endpoint_speed_flow.h"
#include "core/fleet/evacuation_flow.h"
#include "core/fleet/handover_flow.h"
#include "core/fleet/heartbeat_flow.h"
#include "core/fleet/interference_flow.h"
#include "core/fleet/ownership_flow.h"
#include "core/fleet/pause_flow.h"
#include "core/fleet/reception_flow.h"
#include "core/fleet/zone_evacuation.h"
#include "core/scheduling/crash_tracking.h"
#include "core/scheduling/endpoint_flow.h"
#include "core/scheduling/endpoint_kinds.h"
#include "core/scheduling/endpoint_replies.h"
#include "core/scheduling/interference.h"
#include "core/scheduling/job_flow.h"
#include "core/scheduling/job_order.h"

namespace dogwoodfall {
namespace {

/** Time without a message from any of its daemons after which a zone counts as
 * unreachable.
 */
constexpr Millis kZoneTimeout{800};
/** Period of the checks of peers, queue, endpoints and pending jobs. */
constexpr Millis kReviewPeriod{20};
/** Minimum time of a graceful shutdown: the platform checks readiness twice, a
 * second apart, before it stops sending callers to this daemon.
 */
constexpr Millis kMinShutdownTime{2'500};
/** Maximum time of a graceful shutdown; the platform kills the process after
 * 6 s.
 */
constexpr Millis kMaxShutdownTime{5'500};
/** Time before kMaxShutdownTime at which waiting callers get a final answer, so
 * that no connection is closed without one.
 */
constexpr Millis kFinalAnswerMargin{200};
/** Factor on a job's estimated run time for the decision whether a job received
 * during a graceful shutdown can still be answered; jobs take up to twice as
 * long as estimated.
 */
constexpr int64_t kRunTimeMarginFactor = 2;
/** Retry-After of jobs refused during a graceful shutdown. Other daemons accept
 * them at once.
 */
constexpr Millis kStoppingRetryAfter{1'000};
/** Time for which a peer's view, routes or evacuated zones may be outdated
 * before this daemon sends its own. A peer that reaches the store has them
 * within 400 ms.
 */
constexpr Millis kUpdatePeerAfter{600};

/** Time without a message after which an unregistered daemon is removed. */
constexpr Millis kUnregisteredDaemonTimeout{5'000};

/** Requests removal of the store items of unreachable peers in the own zone. */
void EvictUnreachablePeers(FleetNode& node, Millis now, Actions& actions) {
  for (auto& [id, peer_status] : node.peers) {
    const auto member = node.view.members.find(id);
    if (member == node.view.members.end() ||
        member->second.address.zone != node.zone ||
        peer_status.heartbeat_period == Millis())
      continue;
    const bool is_unreachable = now - peer_status.last_received_at >=
                                GetPeerTimeout(peer_status.heartbeat_period);
    if (!is_unreachable || peer_status.is_eviction_requested ||
        !node.store.is_reachable)
      continue;
    peer_status.is_eviction_requested = true;
    actions.push_back(LogEvent{
        "peer_silent",
        {{"daemon", id.value},
         {"silent_ms",
          std::to_string((now - peer_status.last_received_at).count)}}});
    EvictMember(node.store, member->second, actions);
  }
}

void RemoveUnreachableUnregisteredDaemons(FleetNode& node,
                                          Millis now,
                                          Actions& actions) {
  bool has_removed = false;
  for (auto daemon = node.unregistered_daemons.begin();
       daemon != node.unregistered_daemons.end();) {
    const auto peer_status = node.peers.find(daemon->first);
    const bool is_reachable =
        peer_status != node.peers.end() &&
        now - peer_status->second.last_received_at < kUnregisteredDaemonTimeout;
    has_removed |= !is_reachable;
    daemon = is_reachable ? std::next(daemon)
                          : node.unregistered_daemons.erase(daemon);
  }
  if (has_removed)
    SendPeerList(node, actions);
}

/** Returns true when a message from any daemon of a zone was received recently.
 */
bool IsZoneReachable(const FleetNode& node, const ZoneId& zone, Millis now) {
  return std::any_of(node.peers.begin(), node.peers.end(),
                     [&](const auto& entry) {
                       const PeerStatus& peer_status = entry.second;
                       return peer_status.last_heartbeat.zone == zone &&
                              now - peer_status.last_received_at < kZoneTimeout;
                     });
}

/** Returns true when a receiver has ended or is unreachable. In a large fleet
 * not all daemons send heartbeats to this one; the others count as ended when
 * their store item is removed, and as unreachable when their whole zone is.
 */
bool IsReceiverLost(const FleetNode& node,
                    const DaemonRef& receiver,
                    Millis now) {
  if (!HasSession(node.sessions, receiver))
    return true;
  const auto peer_status = node.peers.find(receiver.id);
  if (peer_status == node.peers.end() ||
      now - peer_status->second.last_received_at <
          GetPeerTimeout(
              std::max(peer_status->second.heartbeat_period, kHeartbeatPeriod)))
    return false;
  const auto member = node.view.members.find(receiver.id);
  if (member == node.view.members.end() || IsSmallFleet(node.view))
    return true;
  const ZoneId& zone = member->second.address.zone;
  return zone == node.zone || !IsZoneReachable(node, zone, now);
}

/** Logs the daemons that wait for jobs here and have been silent for a while,
 * whether or not heartbeats are expected from them.
 */
void LogSilentReceivers(FleetNode& node, Millis now, Actions& actions) {
  for (const auto& [id, job] : node.scheduler.jobs) {
    const auto found = node.peers.find(job.receiver.id);
    if (found == node.peers.end() || found->second.is_silence_logged)
      continue;
    PeerStatus& peer_status = found->second;
    const Millis silence = now - peer_status.last_received_at;
    if (silence < GetPeerTimeout(kHeartbeatPeriod))
      continue;
    peer_status.is_silence_logged = true;
    actions.push_back(LogEvent{
        "receiver_silent",
        {{"daemon", job.receiver.id.value},
         {"silent_ms", std::to_string(silence.count)},
         {"heartbeat_ms", std::to_string(peer_status.heartbeat_period.count)},
         {"job", id.value}}});
  }
}

/** Stops the runs here of jobs that were handed over and whose receivers, or
 * whose next scheduler, are lost.
 */
void StopOrphanedRuns(FleetNode& node, Millis now, Actions& actions) {
  const auto is_lost = [&node, now](const DaemonRef& receiver) {
    return receiver != node.self && IsReceiverLost(node, receiver, now);
  };
  std::vector<SubmissionId> without_receiver;
  std::vector<SubmissionId> without_scheduler;
  for (auto& [id, job] : node.forwarded_jobs) {
    if (!job.is_scheduler_lost && is_lost(job.to)) {
      job.is_scheduler_lost = true;
      without_scheduler.push_back(id);
    }
    if (job.receivers.empty() ||
        !std::all_of(job.receivers.begin(), job.receivers.end(), is_lost))
      continue;
    without_receiver.push_back(id);
    job.receivers.clear();
  }
  for (const SubmissionId& id : without_receiver)
    StopLeftRuns(node.scheduler, id, "receiver_gone", now, actions);
  for (const SubmissionId& id : without_scheduler)
    StopLeftRuns(node.scheduler, id, "scheduler_gone", now, actions);
}

/** Returns true when a job received now can be answered before a graceful
 * shutdown ends. Callers keep using open connections until the process has
 * exited.
 */
bool CanBeAnswered(const FleetNode& node, const TransientJob& job, Millis now) {
  if (!node.is_stopping)
    return true;
  if (node.is_exit_requested)
    return false;
  const Millis expected = EstimateJobRunTime(node.scheduler.run_times, job);
  const Millis needed =
      std::min(Millis{kRunTimeMarginFactor * expected.count}, job.time_left);
  return now + needed <
         node.shutdown_started_at + kMaxShutdownTime - kFinalAnswerMargin;
}

/** Answers the callers that still wait at the end of a graceful shutdown. */
void AbandonPendingJobs(FleetNode& node, Millis now, Actions& actions) {
  std::vector<SubmissionId> waiting;
  for (const auto& [id, pending] : node.reception.pending)
    waiting.push_back(id);
  for (const SubmissionId& id : waiting)
    AbandonJob(node, now, id, "stopping", actions);
}

void FinishShutdown(FleetNode& node, Millis now, Actions& actions) {
  if (!node.is_stopping || node.is_exit_requested)
    return;
  const Millis elapsed = now - node.shutdown_started_at;
  if (elapsed >= kMaxShutdownTime - kFinalAnswerMargin)
    AbandonPendingJobs(node, now, actions);
  const bool is_idle =
      node.reception.pending.empty() && node.scheduler.jobs.empty();
  if (elapsed < kMaxShutdownTime && (elapsed < kMinShutdownTime || !is_idle))
    return;
  node.is_exit_requested = true;
  DeregisterFromStore(node.store, actions);
  actions.push_back(
      LogEvent{"stop_over",
               {{"pending", std::to_string(node.reception.pending.size())},
                {"took_ms", std::to_string(elapsed.count)}}});
  actions.push_back(ExitProcess{is_idle});
}

/** Sends a peer the view, routes or evacuated zones that it has lacked for
 * kUpdatePeerAfter: it may not get them from the store, which may be rejecting
 * its calls.
 */
void SendMissingUpdates(FleetNode& node,
                        PeerStatus& peer_status,
                        Millis now,
                        Actions& actions) {
  const bool lacks_view =
      peer_status.last_heartbeat.store_revision < node.view.revision;
  const bool lacks_routes =
      peer_status.last_heartbeat.revision < node.routes.version;
  const bool lacks_evacuations =
      peer_status.last_heartbeat.evacuation_revision < node.evacuation.revision;
  if (!lacks_view && !lacks_routes && !lacks_evacuations) {
    peer_status.outdated_since = Millis();
    return;
  }
  if (peer_status.outdated_since == Millis())
    peer_status.outdated_since = now;
  if (now - peer_status.outdated_since < kUpdatePeerAfter)
    return;
  peer_status.outdated_since = now;
  if (lacks_view)
    SendView(node, peer_status.last_heartbeat.from, now, actions);
  if (lacks_routes)
    Send(node.sessions, peer_status.last_heartbeat.from,
         RoutesNotice{node.routes}, SessionLimits(), now, actions);
  if (lacks_evacuations)
    Send(node.sessions, peer_status.last_heartbeat.from,
         MakeEvacuationNotice(node.evacuation), SessionLimits(), now, actions);
}

void HandlePeerMessage(FleetNode& node,
                       const DaemonRef& from,
                       const PeerMessage& message,
                       Millis now,
                       Actions& actions) {
  if (const auto* submission = std::get_if<JobSubmission>(&message)) {
    HandleJobSubmission(node, now, from, *submission, actions);
  } else if (const auto* cancel = std::get_if<JobCancellation>(&message)) {
    CancelReceivedJob(node, cancel->job, from, "caller_gone", now, actions);
  } else if (const auto* report = std::get_if<JobReport>(&message)) {
    HandleReport(node, now, from, *report, actions);
  } else if (const auto* request = std::get_if<JobReleaseRequest>(&message)) {
    if (request->view_revision < node.view.revision)
      SendView(node, from, now, actions);
    ReleaseJob(node, *request, now, actions);
  } else if (const auto* view = std::get_if<ViewNotice>(&message)) {
    ApplyViewNotice(node, *view, now, actions);
  } else if (const auto* routes = std::get_if<RoutesNotice>(&message)) {
    ApplyRoutesNotice(node, *routes, actions);
  } else if (const auto* notice = std::get_if<EvacuationNotice>(&message)) {
    HandleEvacuationNotice(node, *notice, now, actions);
  } else if (const auto* progress = std::get_if<JobProgress>(&message)) {
    HandleJobProgress(node, from, *progress, now, actions);
  } else if (const auto* redirect = std::get_if<JobRedirect>(&message)) {
    RedirectJob(node, now, from, *redirect, actions);
  } else if (const auto* request = std::get_if<CancelForward>(&message)) {
    HandleCancelForward(node, now, from, *request, actions);
  } else if (const auto* answer = std::get_if<ForwardAnswer>(&message)) {
    HandleCancelAnswer(node, from, *answer, actions);
  } else if (const auto* losses = std::get_if<LostEndpointsReport>(&message)) {
    ApplyLostEndpointsReport(node.scheduler, *losses, now, actions);
  } else if (const auto* speeds = std::get_if<EndpointSpeedsNotice>(&message)) {
    ReceiveEndpointSpeeds(node.scheduler, *speeds, now);
  } else if (const auto* found = std::get_if<InterferenceNotice>(&message)) {
    ApplyInterferenceNotice(node.scheduler, *found, now);
  }
  ReportFinishedJobs(node, now, actions);
}

}  // namespace

FleetNode CreateFleetNode(const DaemonMember& self, Incarnation incarnation) {
  FleetNode node;
  node.self = {self.id, incarnation};
  node.zone = self.zone;
  node.sessions.self = node.self;
  node.store.self.address = self;
  node.store.self.incarnation = incarnation;
  node.scheduler.are_evacuations_known = false;
  return node;
}

bool IsReady(const FleetNode& node) {
  return node.routes.version > 0 && !node.view.members.empty() &&
         !node.is_stopping;
}

void OnJob(FleetNode& node,
           Millis now,
           CallerToken caller,
           const TransientJob& job,
           std::optional<Millis> measured_age,
           Actions& actions) {
  HandlePause(node, now, actions);
  node.has_received_job = true;
  RecordCallerRequest(node, now);
  if (!CanBeAnswered(node, job, now)) {
    actions.push_back(LogEvent{
        "job_refused", {{"job", job.id.value}, {"reason", "stopping"}}});
    actions.push_back(AnswerJob{
        caller, {JobResult::kRefused, kStoppingRetryAfter, "stopping"}});
    return;
  }
  const Millis age = measured_age ? *measured_age : GetMaxRequestAge(node, now);
  ReceiveJob(node, now, caller, job,
             std::max(age, EstimateReadingDelay(node, now)),
             GetMaxHeldUpTime(node, now), actions);
}

void OnCancelJob(FleetNode& node,
                 Millis now,
                 CallerToken caller,
                 const SubmissionId& job,
                 Actions& actions) {
  HandlePause(node, now, actions);
  RecordCallerRequest(node, now);
  CancelJobOfCaller(node, now, caller, job, actions);
  PlaceTasks(node.scheduler, now, actions);
}

void OnCallerDisconnected(FleetNode& node,
                          Millis now,
                          CallerToken caller,
                          Actions& actions) {
  HandlePause(node, now, actions);
  RemoveCaller(node, now, caller, actions);
  PlaceTasks(node.scheduler, now, actions);
}

void OnEndpointReply(FleetNode& node,
                     Millis now,
                     const EndpointReply& reply,
                     Actions& actions) {
  HandlePause(node, now, actions);
  HandleEndpointReply(node.scheduler, reply, now, actions);
  ReportFinishedJobs(node, now, actions);
}

void OnKeyValueReplyArriving(FleetNode& node, StoreToken token) {
  NoteReplyArriving(node.store, token);
}

void OnKeyValueReply(FleetNode& node,
                     Millis now,
                     StoreToken token,
                     const KeyValueReply& reply,
                     Actions& actions) {
  HandlePause(node, now, actions);
  if (reply.outcome != KeyValueOutcome::kUnanswered)
    RecordStoreAnswer(node, now, actions);
  const StoreUpdate update =
      HandleKeyValueReply(node.store, token, reply, now, actions);
  ApplyStoreUpdate(node, update, now, actions);
  if (update.is_membership_confirmed)
    HandleMembershipConfirmation(node, now, actions);
}

void OnPeerFrame(FleetNode& node,
                 Millis now,
                 const PeerFrame& frame,
                 Actions& actions) {
  HandlePause(node, now, actions);
  const std::optional<PeerMessage> message = Receive(node.sessions, frame, now);
  const auto peer_status = node.peers.find(frame.from.id);
  if (peer_status != node.peers.end() &&
      HasSession(node.sessions, frame.from)) {
    peer_status->second.last_received_at = now;
    peer_status->second.is_silence_logged = false;
  }
  if (message)
    HandlePeerMessage(node, frame.from, *message, now, actions);
}

void OnFrameNotSendable(FleetNode& node,
                        Millis now,
                        const PeerFrame& frame,
                        Actions& actions) {
  const std::optional<PeerMessage> message =
      DropMessage(node.sessions, frame.to, frame.sequence, actions);
  if (!message)
    return;
  actions.push_back(LogEvent{"message_dropped",
                             {{"peer", frame.to.id.value},
                              {"kind", std::to_string(message->index())},
                              {"sequence", std::to_string(frame.sequence)}}});
  if (const auto* submission = std::get_if<JobSubmission>(&*message))
    AbandonUnsentJob(node, now, submission->job.id, frame.to, actions);
}

void OnHeartbeat(FleetNode& node,
                 Millis now,
                 const Heartbeat& heartbeat,
                 Actions& actions) {
  HandlePause(node, now, actions);
  if (!HasSession(node.sessions, heartbeat.from))
    return;
  RecordPeerHeard(node, heartbeat.zone, now, actions);
  PeerStatus& peer_status = node.peers[heartbeat.from.id];
  if (IsAnswer(heartbeat)) {
    peer_status.last_received_at = now;
    peer_status.is_silence_logged = false;
    // Heartbeats of a former process may still be answered.
    if (heartbeat.answered_sent_at < node.first_heartbeat_at ||
        heartbeat.answered_sent_at > now)
      return;
    RecordRoundTrip(peer_status.clock, heartbeat.answered_sent_at,
                    heartbeat.sent_at, now);
    RecordHeartbeatAge(peer_status, heartbeat, now);
    const bool has_early_job = DetermineAgeOfEarlyJobs(node, heartbeat.from);
    if (ApplyConfirmations(node, heartbeat, now))
      PlaceTasks(node.scheduler, now, actions);
    if (has_early_job)
      ScheduleEarlyJobs(node, now, actions);
    ReportFinishedJobs(node, now, actions);
    return;
  }
  if (heartbeat.number <= peer_status.last_heartbeat.number)
    return;
  if (peer_status.is_eviction_requested) {
    actions.push_back(
        LogEvent{"peer_heard_again", {{"daemon", heartbeat.from.id.value}}});
  }
  peer_status.last_received_at = now;
  peer_status.is_silence_logged = false;
  RecordHeartbeatAge(peer_status, heartbeat, now);
  peer_status.last_heartbeat = heartbeat;
  peer_status.is_eviction_requested = false;
  ApplyKindReports(node, heartbeat, actions);
  ReportJobsScheduledTwice(node, heartbeat, now, actions);
  ConfirmJobs(node, heartbeat, now, actions);
  SendMissingUpdates(node, peer_status, now, actions);
}

void OnTick(FleetNode& node, Millis now, Actions& actions) {
  HandlePause(node, now, actions);
  UpdateBacklog(node, now);
  AdvanceStoreSession(node.store, now, actions);
  SendDueFrames(node.sessions, SessionLimits(), now, actions);
  SendHeartbeats(node, now, actions);
  if (now < node.next_review_at)
    return;
  node.next_review_at = now + kReviewPeriod;
  EvictUnreachablePeers(node, now, actions);
  RemoveUnreachableUnregisteredDaemons(node, now, actions);
  RemoveExpiredForwardedJobs(node, now);
  LogSilentReceivers(node, now, actions);
  ConfirmOwnJobs(node, now);
  ExtendAnnouncementLeases(node, now);
  RequestConfirmations(node, now, actions);
  RemoveUnconfirmedEarlyJobs(node, now, actions);
  StopOrphanedRuns(node, now, actions);
  ReviewEvacuatedJobs(node, now, actions);
  ReviewQueue(node.scheduler, now, actions);
  ReviewEndpoints(node.scheduler, now, actions);
  AssignJobs(node, now, actions);
  ReportFinishedJobs(node, now, actions);
  AnnounceLosses(node, now, actions);
  SendInterference(node, now, actions);
  ReviewCancellations(node, now, actions);
  FinishShutdown(node, now, actions);
}

void OnStop(FleetNode& node, Millis now, Actions& actions) {
  HandlePause(node, now, actions);
  if (node.is_stopping)
    return;
  node.is_stopping = true;
  node.shutdown_started_at = now;
  node.store.self.address.leaving = true;
  RequestRegistration(node.store, now);
  actions.push_back(
      LogEvent{"stop_began",
               {{"pending", std::to_string(node.reception.pending.size())},
                {"jobs", std::to_string(node.scheduler.jobs.size())}}});
}

}  // namespace dogwoodfall
