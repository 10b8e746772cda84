#ifndef DOGWOODFALL_TESTS_SUPPORT_SCHEDULER_WORLD_H_
#define DOGWOODFALL_TESTS_SUPPORT_SCHEDULER_WORLD_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/scheduling/endpoint_flow.h"
#include "core/scheduling/endpoint_replies.h"
#include "core/scheduling/job_flow.h"
#include "core/scheduling/job_lease.h"
#include "core/scheduling/scheduler.h"
#include "fake_endpoint.h"

namespace dogwoodfall {

/** Result of a job, as its caller received it. */
struct CallerResult {
  JobOutcome outcome;
  Millis waited;
};

/** Simulates one scheduler with its endpoints and callers, on a fake clock that
 * advances in steps of 1 ms.
 */
class SchedulerWorld {
 public:
  SchedulerWorld();

  /** Adds an endpoint and makes the scheduler its owner. */
  FakeEndpoint& AddEndpoint(const std::string& id,
                            int64_t cores,
                            double slowness);

  /** Changes the capacity of an endpoint and reports its new entry. */
  void ReportCapacity(const std::string& id, const TaskResources& capacity);

  /** Removes an endpoint's entry; the endpoint keeps running. */
  void DeregisterEndpoint(const std::string& id);

  /** Submits a job of one step.
   *
   * @param nominal_run_time run time of its tasks at slowness 1
   */
  void Submit(const std::string& id,
              uint32_t tasks,
              int64_t cores,
              Millis nominal_run_time,
              const std::string& route = "route");

  /** Submits a given job. */
  void SubmitJob(const JobSubmission& submission, Millis nominal_run_time);

  /** Delivers progress from a previous scheduler of a job. */
  void SubmitProgress(const JobProgress& progress);

  /** Advances the clock by a duration, step by step. */
  void Run(Millis duration);

  /** Makes a job of one step whose caller waits for 1,500 ms. */
  static JobSubmission MakeSubmission(const std::string& id,
                                      uint32_t tasks,
                                      int64_t cores,
                                      Millis declared_run_time,
                                      const std::string& route);

  Scheduler scheduler;
  std::map<EndpointId, FakeEndpoint> endpoints;
  std::map<SubmissionId, CallerResult> results;
  /** Decides for each command whether its answer is lost: the command is
   * executed, but the scheduler gets no reply.
   */
  std::function<bool(const EndpointCommand&)> is_answer_lost;
  /** Endpoints whose connections are reset before a command arrives. */
  std::set<EndpointId> resetting_endpoints;
  /** Number of commands sent so far. */
  uint64_t command_count = 0;
  /** Decides for each command whether it never arrives. */
  std::function<bool(const EndpointCommand&)> is_command_lost;
  /** Tasks that had two active runs at the same time. */
  std::set<JobTask> overlaps;
  Millis now{1'000'000};

 private:
  struct DueReply {
    Millis arrives_at;
    EndpointReply reply;
  };

  void Deliver(const Actions& actions);
  void TransmitCommand(const EndpointCommand& command);
  void Step();
  void RecordOverlaps();
  void CollectResults();

  std::map<SubmissionId, Millis> nominal_run_times;
  std::map<SubmissionId, TaskResources> task_resources;
  std::map<SubmissionId, Millis> submitted_at;
  std::vector<DueReply> due_replies;
  /** Renewals whose reply is delayed by the endpoint, with the time until which
   * it waits for a run to end.
   */
  std::vector<std::pair<Millis, EndpointCommand>> waiting_renewals;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_TESTS_SUPPORT_SCHEDULER_WORLD_H_
