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
#include "core/scheduling/scheduler.h"
#include "fake_endpoint.h"

namespace dogwoodfall {

/** What a caller got. */
struct CallerResult {
  JobOutcome outcome;
  Millis waited;
};

/** One scheduler, its endpoints and its callers on a fake clock of 1 ms steps.
 */
class SchedulerWorld {
 public:
  SchedulerWorld();

  /** Adds an endpoint that the scheduler takes over. */
  FakeEndpoint& AddEndpoint(const std::string& id,
                            int64_t cores,
                            double slowness);

  /** Sends a job of one step.
   *
   * @param nominal run time of its tasks at slowness 1
   */
  void Submit(const std::string& id,
              uint32_t tasks,
              int64_t cores,
              Millis nominal,
              const std::string& route = "route");

  /** Sends a job as it is. */
  void SubmitJob(const JobSubmission& submission, Millis nominal);

  /** Gives the scheduler word of a former one. */
  void TakeWord(const JobProgress& progress);

  /** Lets time pass. */
  void Run(Millis time);

  /** Makes a job of one step with a limit of 1,500 ms. */
  static JobSubmission MakeSubmission(const std::string& id,
                                      uint32_t tasks,
                                      int64_t cores,
                                      Millis declared,
                                      const std::string& route);

  Scheduler scheduler;
  std::map<EndpointId, FakeEndpoint> endpoints;
  std::map<SubmissionId, CallerResult> results;
  /** Decides per order whether it is lost: carried out, but not answered. */
  std::function<bool(const EndpointCommand&)> loses_answer;
  /** Endpoints whose connections are reset at once, before anything arrives. */
  std::set<EndpointId> resetting;
  /** Orders given so far. */
  uint64_t orders = 0;
  /** Decides per order whether it never arrives. */
  std::function<bool(const EndpointCommand&)> loses_order;
  /** Tasks of which two runs were seen at the same time. */
  std::set<JobTask> overlaps;
  Millis now{1'000'000};

 private:
  struct Due {
    Millis at;
    EndpointReply reply;
  };

  void Deliver(const Actions& actions);
  void Carry(const EndpointCommand& command);
  void Step();
  void RecordOverlaps();
  void TakeResults();

  std::map<SubmissionId, Millis> nominal;
  std::map<SubmissionId, TaskResources> rooms;
  std::map<SubmissionId, Millis> submitted;
  std::vector<Due> due;
  /** Renewals that wait at endpoints. */
  std::vector<std::pair<Millis, EndpointCommand>> waiting;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_TESTS_SUPPORT_SCHEDULER_WORLD_H_
