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
#include "model/lost_endpoints_report.h"
#include "model/route_table.h"
#include "model/submission.h"
#include "model/task_assignment.h"
#include "model/task_report.h"
#include "model/transient_job.h"
#include "model/zone_evacuation.h"

namespace dogwoodfall {

/** A caller's submission, forwarded to the home of its id. */
struct SubmitForward {
  ForwardId forward;
  Submission submission;
  /** For a caller-chosen id whose claim is written: the incarnation that
   * claimed it, which alone may start the submission; none otherwise.
   */
  DaemonRef claimant;
  /** Number of daemons that have forwarded it so far. */
  uint32_t hops = 0;
};

/** A caller's request for the state of a submission. */
struct StatusForward {
  ForwardId forward;
  CustomerId customer;
  SubmissionId submission;
  /** Maximum time to wait for the end of the submission before answering. */
  Millis wait;
  /** @see SubmitForward::claimant */
  DaemonRef claimant;
  uint32_t hops = 0;
};

/** A caller's request to cancel a submission. */
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

/** Reports on tasks of one home, in one message. */
struct TaskReports {
  std::vector<TaskReport> reports;
};

/** Tasks of one submission that the receiver must cancel. */
struct TaskCancellation {
  CustomerId customer;
  SubmissionId submission;
  std::vector<TaskId> tasks;
};

/** A submission that ended, as transferred to a successor. */
struct KnownSubmission {
  SubmissionId id;
  CustomerId customer;
  uint64_t fingerprint = 0;
  Answer answer;
};

/** Submissions that the sender hands over to the receiver while it stops. */
struct LedgerHandover {
  /** Home of the submissions until now. */
  DaemonRef home;
  /** Ids that the home minted before this time are no longer known. */
  Millis low_watermark;
  /** Caller-chosen ids with an id timestamp below this are no longer known. */
  Millis chosen_low_watermark;
  std::vector<KnownSubmission> submissions;
  /** True in the last message for this home. */
  bool last = false;
};

/** Confirms that the submissions of a home were handed over completely. */
struct LedgerHandoverAccepted {
  DaemonRef home;
};

/** Names the successor that has adopted the submissions of a home that has
 * ended.
 */
struct HomeSuccessorNotice {
  DaemonRef home;
  DaemonRef successor;
};

/** Requests the configuration that is active at the receiver. */
struct ConfigurationRequest {
  uint64_t known_revision = 0;
};

/** The configuration that is active at the sender, as text in the store's form.
 */
struct ConfigurationNotice {
  std::string text;
};

/** Assigns a job to the receiver's endpoints. */
struct JobSubmission {
  TransientJob job;
  /** Endpoints that are to run it. */
  EndpointGroup group;
  /** Time of sending, on the sender's clock; after its reception, on that of
   * the receiver.
   */
  Millis sent_at;
  /** Time of sending, on the sender's clock; set by its receiver. */
  Millis sent_at_sender;
  /** True when the receiver may forward it to a group with more free capacity.
   */
  bool may_forward = false;
  /** True when another daemon may have started some of its tasks. */
  bool may_have_started = false;
  /** Revision of the view that made the receiver its scheduler. */
  uint64_t view_revision = 0;
  /** Previous scheduler, which still has to send the job's progress; none when
   * it is gone or has sent the progress.
   */
  DaemonRef previous_scheduler;
  /** Maximum time to wait for that progress. After it, all runs of the previous
   * scheduler have ended if it is gone.
   */
  Millis max_progress_wait;
};

/** Requests that a job's previous scheduler hands it over to the next one. */
struct JobReleaseRequest {
  /** Value of view_revision that no view of the receiver is newer than. */
  static constexpr uint64_t kAnyView = UINT64_MAX;

  SubmissionId job;
  DaemonRef to;
  /** Revision of the view by which that daemon is the next scheduler. */
  uint64_t view_revision = 0;
};

/** Cancels a job whose caller no longer waits. */
struct JobCancellation {
  SubmissionId job;
};

/** Reports that a job ended. */
struct JobReport {
  SubmissionId job;
  JobOutcome outcome;
};

/** Redirects a job to another daemon, which can serve it sooner or has taken
 * ownership of the endpoints.
 */
struct JobRedirect {
  SubmissionId job;
  DaemonId to;
  /** Endpoints that are to run it. */
  EndpointGroup group;
  bool may_have_started = false;
  uint64_t view_revision = 0;
  /** True when the sender has sent the job's progress to that daemon. */
  bool is_progress_sent = false;
  /** True when the job goes to another group with more free capacity. */
  bool is_spillover = false;
  /** When the submission was sent that it answers, on its receiver's clock;
   * only set with is_spillover.
   */
  Millis submission_sent_at;
};

/** An unfinished run of a task on an endpoint. */
struct ActiveRun {
  uint32_t step = 0;
  uint32_t index = 0;
  Attempt attempt;
  EndpointEntry endpoint;
};

/** Progress of a job, sent by its previous scheduler to the next one. */
struct JobProgress {
  SubmissionId job;
  /** Step and index of tasks that have succeeded. */
  std::vector<std::pair<uint32_t, uint32_t>> done;
  /** Unfinished runs, including those on endpoints that may be unknown to the
   * receiver.
   */
  std::vector<ActiveRun> active_runs;
  /** Time for which the sender still waits for the progress from an earlier
   * scheduler; zero when this progress is complete.
   */
  Millis remaining_wait;
  /** Time for which the job may still run without being announced anew. */
  Millis remaining_lease;
  /** Time of sending, on the sender's clock. */
  Millis sent_at;
  /** Time for which runs of an earlier submission may last that has ended. */
  Millis former_runs_wait;
};

/** The sender's membership view, for a peer whose view has a lower revision.
 */
struct ViewNotice {
  uint64_t revision = 0;
  std::vector<FleetMember> members;
};

/** The routes active at the sender, for a peer that has an older version. */
struct RoutesNotice {
  RouteTable routes;
};

/** The evacuated zones known to the sender, for a peer that knows an older
 * state of them.
 */
struct EvacuationNotice {
  /** Revision of the latest change of the requests. */
  uint64_t revision = 0;
  std::vector<ZoneEvacuation> zones;
};

/** Any message that daemons send each other over TCP. */
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
                                 RoutesNotice,
                                 LostEndpointsReport,
                                 EvacuationNotice>;

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_MODEL_PEER_MESSAGE_H_
