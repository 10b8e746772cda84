#include "adapters/peers/peer_codec.h"

#include <cereal/types/common.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cmath>
#include <utility>

#include "adapters/peers/bounded_archive.h"

namespace dogwoodfall {
namespace {

/** Larger times are rejected, so that sums of the times of a job can't
 * overflow.
 */
constexpr int64_t kMaxMillis = 1'000'000'000'000'000;

void CheckStretch(double stretch) {
  if (!(std::abs(stretch) <= kMaxStretch))
    throw cereal::Exception("stretch out of range");
}

}  // namespace

template <class Archive, typename Tag, typename Value>
void serialize(Archive& archive, StrongId<Tag, Value>& id) {
  archive(id.value);
}

template <class Archive>
void serialize(Archive& archive, Millis& millis) {
  archive(millis.count);
  if (millis.count > kMaxMillis || millis.count < -kMaxMillis)
    throw cereal::Exception("time out of range");
}

template <class Archive>
void serialize(Archive& archive, DaemonRef& daemon) {
  archive(daemon.id, daemon.incarnation);
}

template <class Archive>
void serialize(Archive& archive, TaskSpec& task) {
  archive(task.id, task.kind, task.declared_run_time, task.declared_memory_mb,
          task.payload, task.idempotent);
}

template <class Archive>
void serialize(Archive& archive, Submission& submission) {
  archive(submission.id, submission.customer, submission.time_allowed,
          submission.single_request, submission.tasks);
}

template <class Archive>
void serialize(Archive& archive, Waste& waste) {
  archive(waste.refused_starts, waste.failed_connections,
          waste.bounced_forwards, waste.repeats, waste.dropped_answers,
          waste.stops);
}

template <class Archive>
void serialize(Archive& archive, TaskOutcome& outcome) {
  archive(outcome.task, outcome.code, outcome.state, outcome.output,
          outcome.endpoint, outcome.run_time);
  if (outcome.state > StartState::kStarted)
    throw cereal::Exception("invalid start state");
}

template <class Archive>
void serialize(Archive& archive, Answer& answer) {
  archive(answer.id, answer.status, answer.code, answer.state,
          answer.retry_after, answer.outcomes, answer.starts, answer.waste,
          answer.response_time, answer.ideal_time);
  if (answer.state > StartState::kStarted ||
      answer.status > AnswerStatus::kPending)
    throw cereal::Exception("invalid answer status or start state");
}

template <class Archive>
void serialize(Archive& archive, TaskAssignment& assignment) {
  archive(assignment.submission, assignment.customer, assignment.task,
          assignment.first_attempt, assignment.time_left,
          assignment.remaining_work);
}

template <class Archive>
void serialize(Archive& archive, TaskReport& report) {
  archive(report.submission, report.customer, report.outcome,
          report.first_attempt, report.last_attempt, report.waste);
}

template <class Archive>
void serialize(Archive& archive, SubmitForward& message) {
  archive(message.forward, message.submission, message.claimant, message.hops);
}

template <class Archive>
void serialize(Archive& archive, StatusForward& message) {
  archive(message.forward, message.customer, message.submission, message.wait,
          message.claimant, message.hops);
}

template <class Archive>
void serialize(Archive& archive, CancelForward& message) {
  archive(message.forward, message.customer, message.submission,
          message.claimant, message.hops);
}

template <class Archive>
void serialize(Archive& archive, ForwardAnswer& message) {
  archive(message.forward, message.answer);
}

template <class Archive>
void serialize(Archive& archive, TaskBatch& message) {
  archive(message.tasks);
}

template <class Archive>
void serialize(Archive& archive, TaskReports& message) {
  archive(message.reports);
}

template <class Archive>
void serialize(Archive& archive, TaskCancellation& message) {
  archive(message.customer, message.submission, message.tasks);
}

template <class Archive>
void serialize(Archive& archive, KnownSubmission& known) {
  archive(known.id, known.customer, known.fingerprint, known.answer);
}

template <class Archive>
void serialize(Archive& archive, LedgerHandover& message) {
  archive(message.home, message.low_watermark, message.chosen_low_watermark,
          message.submissions, message.last);
}

template <class Archive>
void serialize(Archive& archive, LedgerHandoverAccepted& message) {
  archive(message.home);
}

template <class Archive>
void serialize(Archive& archive, HomeSuccessorNotice& message) {
  archive(message.home, message.successor);
}

template <class Archive>
void serialize(Archive& archive, ConfigurationRequest& message) {
  archive(message.known_revision);
}

template <class Archive>
void serialize(Archive& archive, ConfigurationNotice& message) {
  archive(message.text);
}

template <class Archive>
void serialize(Archive& archive, TaskResources& resources) {
  archive(resources.cpu_millicores, resources.memory_mb,
          resources.accelerators);
}

template <class Archive>
void serialize(Archive& archive, JobStep& step) {
  archive(step.task_count, step.resources, step.declared_run_time, step.after,
          step.required_label, step.preferred_rack, step.max_per_endpoint);
}

template <class Archive>
void serialize(Archive& archive, TransientJob& job) {
  archive(job.id, job.route, job.service, job.payload, job.steps, job.priority,
          job.max_attempts, job.stretch, job.target_latency, job.age,
          job.time_left, job.uncertain_age);
  CheckStretch(job.stretch);
}

template <class Archive>
void serialize(Archive& archive, JobOutcome& outcome) {
  archive(outcome.result, outcome.retry_after, outcome.reason);
  if (outcome.result > JobResult::kAbandoned)
    throw cereal::Exception("invalid job result");
}

template <class Archive>
void serialize(Archive& archive, EndpointGroup& group) {
  archive(group.zone, group.index);
}

template <class Archive>
void serialize(Archive& archive, JobInProgress& job_in_progress) {
  archive(job_in_progress.job, job_in_progress.group);
}

template <class Archive>
void serialize(Archive& archive, GroupLoad& load) {
  archive(load.group, load.task_capacity, load.free_task_capacity,
          load.tasks_waiting);
}

template <class Archive>
void serialize(Archive& archive, JobSubmission& message) {
  archive(message.job, message.group, message.sent_at, message.may_forward,
          message.may_have_started, message.view_revision,
          message.previous_scheduler, message.max_progress_wait);
}

template <class Archive>
void serialize(Archive& archive, JobReleaseRequest& message) {
  archive(message.job, message.to, message.view_revision);
}

template <class Archive>
void serialize(Archive& archive, EndpointEntry& entry) {
  archive(entry.id, entry.service, entry.ip, entry.port, entry.zone, entry.kind,
          entry.rack, entry.labels, entry.capacity, entry.draining,
          entry.started_at_ms);
}

template <class Archive>
void serialize(Archive& archive, ActiveRun& run) {
  archive(run.step, run.index, run.attempt, run.endpoint);
}

template <class Archive>
void serialize(Archive& archive, JobCancellation& message) {
  archive(message.job);
}

template <class Archive>
void serialize(Archive& archive, JobReport& message) {
  archive(message.job, message.outcome);
}

template <class Archive>
void serialize(Archive& archive, JobRedirect& message) {
  archive(message.job, message.to, message.group, message.may_have_started,
          message.view_revision, message.is_progress_sent, message.is_spillover,
          message.submission_sent_at);
}

template <class Archive>
void serialize(Archive& archive, JobProgress& message) {
  archive(message.job, message.done, message.active_runs,
          message.remaining_wait, message.remaining_lease, message.sent_at,
          message.former_runs_wait);
}

template <class Archive>
void serialize(Archive& archive, DaemonMember& member) {
  archive(member.id, member.zone, member.ip, member.peer_tcp_port,
          member.peer_udp_port, member.weight, member.leaving);
}

template <class Archive>
void serialize(Archive& archive, FleetMember& member) {
  archive(member.address, member.incarnation, member.created_revision,
          member.revision);
}

template <class Archive>
void serialize(Archive& archive, ViewNotice& message) {
  archive(message.revision, message.members);
}

template <class Archive>
void serialize(Archive& archive, JobRoute& route) {
  archive(route.name, route.host, route.prefix, route.service, route.priority,
          route.max_attempts, route.stretch, route.target_latency,
          route.timeout);
  CheckStretch(route.stretch);
}

template <class Archive>
void serialize(Archive& archive, RoutesNotice& message) {
  archive(message.routes.version, message.routes.routes);
}

template <class Archive>
void serialize(Archive& archive, EndpointIncarnation& incarnation) {
  archive(incarnation.id, incarnation.started_at_ms);
}

template <class Archive>
void serialize(Archive& archive, TaskEndpointLosses& losses) {
  archive(losses.step, losses.index, losses.endpoints, losses.is_given_up);
}

template <class Archive>
void serialize(Archive& archive, LostEndpointsReport& message) {
  archive(message.job, message.tasks, message.answered_again);
}

template <class Archive>
void serialize(Archive& archive, ZoneEvacuation& evacuation) {
  archive(evacuation.zone, evacuation.revision);
}

template <class Archive>
void serialize(Archive& archive, EvacuationNotice& message) {
  archive(message.revision, message.zones);
}

template <class Archive>
void serialize(Archive& archive, PeerFrame& frame) {
  archive(frame.from, frame.to, frame.sequence, frame.acknowledged,
          frame.message);
}

template <class Archive>
void serialize(Archive& archive, CustomerDemand& demand) {
  archive(demand.customer, demand.running, demand.queued);
}

template <class Archive>
void serialize(Archive& archive, Heartbeat& heartbeat) {
  archive(heartbeat.from, heartbeat.zone, heartbeat.number, heartbeat.revision,
          heartbeat.table_revision, heartbeat.store_revision,
          heartbeat.store_cluster_id, heartbeat.can_claim, heartbeat.free_slots,
          heartbeat.queued_tasks, heartbeat.draining, heartbeat.ended_receiver,
          heartbeat.leaving_endpoints, heartbeat.demands,
          heartbeat.jobs_in_progress, heartbeat.group_loads, heartbeat.sent_at,
          heartbeat.confirmed_jobs, heartbeat.answered_sent_at,
          heartbeat.acknowledged_jobs, heartbeat.evacuation_revision);
}

namespace {

/** First four bytes of every frame and heartbeat ("DOWF"). */
constexpr uint32_t kMagic = 0x46574f44;

template <typename Value>
std::string Encode(const Value& value) {
  std::string bytes;
  BoundedOutputArchive archive(bytes);
  archive(kMagic, kPeerProtocolVersion, value);
  return bytes;
}

template <typename Value>
std::optional<Value> Decode(std::string_view bytes) {
  BoundedInputArchive archive(bytes);
  uint32_t magic = 0;
  uint16_t version = 0;
  Value value;
  try {
    archive(magic, version);
    if (magic != kMagic || version != kPeerProtocolVersion)
      return std::nullopt;
    archive(value);
  } catch (const cereal::Exception&) {
    return std::nullopt;
  }
  if (archive.BytesLeft() > 0)
    return std::nullopt;
  return value;
}

}  // namespace

std::string EncodeFrame(const PeerFrame& frame) {
  return Encode(frame);
}

std::optional<PeerFrame> DecodeFrame(std::string_view bytes) {
  return Decode<PeerFrame>(bytes);
}

std::string EncodeHeartbeat(const Heartbeat& heartbeat) {
  return Encode(heartbeat);
}

std::optional<Heartbeat> DecodeHeartbeat(std::string_view bytes) {
  return Decode<Heartbeat>(bytes);
}

}  // namespace dogwoodfall
