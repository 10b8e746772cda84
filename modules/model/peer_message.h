#ifndef DOGWOODFALL_MODULES_MODEL_PEER_MESSAGE_H_
#define DOGWOODFALL_MODULES_MODEL_PEER_MESSAGE_H_

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "model/answer.h"
#include "model/daemon_ref.h"
#include "model/endpoint_entry.h"
#include "model/endpoint_group.h"
#include "model/fleet_member.h"
#include "model/route_table.h"
#include "model/submission.h"
#include "model/task_assignment.h"
#include "model/task_report.h"
#include "model/transient_job.h"

namespace dogwoodfall {

/** A caller's submission, passed on to the home of its id. */
struct SubmitForward {
  ForwardId forward;
  Submission submission;
  /** For a chosen id whose claim is written: the process life that claimed it
   * and alone may start it; none otherwise.
   */
  DaemonRef claimant;
  /** Daemons that have passed it on so far. */
  uint32_t hops = 0;
};

/** A caller's question for the state of a submission. */
struct StatusForward {
  ForwardId forward;
  CustomerId customer;
  SubmissionId submission;
  /** How long to wait for the end before answering. */
  Millis wait;
  /** @see SubmitForward::claimant */
  DaemonRef claimant;
  uint32_t hops = 0;
};

/** A caller's wish to cancel a submission. */
struct CancelForward {
  ForwardId forward;
  CustomerId customer;
  SubmissionId submission;
  /** @see SubmitForward::claimant */
  DaemonRef claimant;
  uint32_t hops = 0;
};

/** Answer to a forwarded request. */
struct ForwardAnswer {
  ForwardId forward;
  Answer answer;
};

/** Tasks for the receiver to start, in one message per job. */
struct TaskBatch {
  std::vector<TaskAssignment> tasks;
};

/** What became of tasks of one home, in one message. */
struct TaskReports {
  std::vector<TaskReport> reports;
};

/** Tasks of one submission that are no longer wanted. */
struct TaskCancellation {
  CustomerId customer;
  SubmissionId submission;
  std::vector<TaskId> tasks;
};

/** A submission that ended, as it is handed to a successor. */
struct KnownSubmission {
  SubmissionId id;
  CustomerId customer;
  uint64_t fingerprint = 0;
  Answer answer;
};

/** Submissions that the sender, which is stopping, hands to the receiver. */
struct LedgerHandover {
  /** Whose submissions these were. */
  DaemonRef home;
  /** Ids of the home minted before this time are not known any more. */
  Millis low_watermark;
  /** Chosen ids with a time below this one are not known any more. */
  Millis chosen_low_watermark;
  std::vector<KnownSubmission> submissions;
  /** True in the last message for this home. */
  bool last = false;
};

/** The receiver has taken over the submissions of a home. */
struct LedgerHandoverAccepted {
  DaemonRef home;
};

/** Submissions of a home that ended are known by a successor. */
struct HomeSuccessorNotice {
  DaemonRef home;
  DaemonRef successor;
};

/** Asks for the lists in force at the receiver. */
struct ConfigurationRequest {
  uint64_t known_revision = 0;
};

/** The lists in force at the sender, as they stand in the store. */
struct ConfigurationNotice {
  std::string text;
};

/** A job for the receiver's endpoints. */
struct JobSubmission {
  TransientJob job;
  /** Endpoints that are to run it. */
  EndpointGroup group;
  /** When it was sent, on the sender's clock. */
  Millis sent_at;
  /** True when the receiver may have another group run it that has more room.
   */
  bool may_forward = false;
  /** True when another daemon may have started some of it. */
  bool may_have_started = false;
  /** Revision of the view that made the receiver its scheduler. */
  uint64_t view_revision = 0;
  /** Who had it before and will tell its progress; none when that daemon is
   * gone or has told it.
   */
  DaemonRef previous;
  /** Longest wait for that; by then all that it ran has ended if it is gone. */
  Millis max_progress_wait;
};

/** Asks a job's former scheduler to hand it to its next one. */
struct JobReleaseRequest {
  SubmissionId job;
  DaemonRef to;
  /** Revision of the view by which that daemon is the next one. */
  uint64_t view_revision = 0;
};

/** A job whose caller no longer waits. */
struct JobCancellation {
  SubmissionId job;
};

/** A job that ended. */
struct JobReport {
  SubmissionId job;
  JobOutcome outcome;
};

/** A job that another daemon should get: it can serve it sooner, or has taken
 * over the endpoints.
 */
struct JobRedirect {
  SubmissionId job;
  DaemonId to;
  /** Endpoints that are to run it. */
  EndpointGroup group;
  bool may_have_started = false;
  uint64_t view_revision = 0;
  /** True when the sender has told that daemon of the job's progress. */
  bool is_progress_sent = false;
  /** True when it is sent to another group since that one has more room. */
  bool is_spillover = false;
};

/** A run of a job on an endpoint. */
struct ActiveRun {
  uint32_t step = 0;
  uint32_t index = 0;
  Attempt attempt;
  EndpointEntry endpoint;
};

/** What a job's former scheduler knows of it, for its next one. */
struct JobProgress {
  SubmissionId job;
  /** Step and index of tasks that have ended well. */
  std::vector<std::pair<uint32_t, uint32_t>> done;
  /** Runs that go on, also on endpoints that the next one may not know. */
  std::vector<ActiveRun> active_runs;
  /** How long the sender still waits for word of a scheduler before it; zero
   * when this is all there is to know.
   */
  Millis remaining_wait;
};

/** The daemons as the sender knows them from the store, for a peer that knows
 * older ones.
 */
struct ViewNotice {
  uint64_t revision = 0;
  std::vector<FleetMember> members;
};

/** The routes in force at the sender, for a peer that knows older ones. */
struct RoutesNotice {
  RouteTable routes;
};

/** Everything that daemons send each other over TCP. */
using PeerMessage = std::variant<SubmitForward,
                                 StatusForward,
                                 CancelForward,
                                 ForwardAnswer,
                                 TaskBatch,
                                 TaskReports,
                                 TaskCancellation,
                                 LedgerHandover,
                                 LedgerHandoverAccepted,
                                 HomeSuccessorNotice,
                                 ConfigurationRequest,
                                 ConfigurationNotice,
                                 JobSubmission,
                                 JobCancellation,
                                 JobReport,
                                 JobRedirect,
                                 JobReleaseRequest,
                                 JobProgress,
                                 ViewNotice,
                                 RoutesNotice>;

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_MODEL_PEER_MESSAGE_H_
