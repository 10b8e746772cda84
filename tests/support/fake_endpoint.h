#ifndef DOGWOODFALL_TESTS_SUPPORT_FAKE_ENDPOINT_H_
#define DOGWOODFALL_TESTS_SUPPORT_FAKE_ENDPOINT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/scheduling/managed_endpoint.h"
#include "ports/endpoint_order.h"

namespace dogwoodfall {

/** An endpoint as its published protocol describes it, on a fake clock. */
struct FakeEndpoint {
  struct FakeRun {
    Millis started_at;
    Millis run_time;
    TaskResources resources;
    RunResult end = RunResult::kDone;
  };

  EndpointEntry entry;
  /** Run times finished the nominal_run_time ones. */
  double slowness = 1;
  /** True while it fails all that it starts, after 25 ms. */
  bool fails_all = false;
  /** Jobs whose ids begin so fail in the same way; empty for none. */
  std::string failing_job_prefix;
  int64_t started_at_ms = 1;
  uint64_t max_fencing_token = 0;
  uint64_t last_end_number = 0;
  Millis lease_until;
  std::map<RunKey, FakeRun> running;
  std::map<JobTask, uint32_t> closed_attempts;
  std::vector<EndedRun> ended;
  /** Runs that failed to be alone: two of one task at a time, seen outside. */
  uint64_t starts = 0;
};

/** Ends what is finished by a time: done, or its lease has ended. */
void AdvanceFakeEndpoint(FakeEndpoint& endpoint, Millis now);

/** Carries out an order.
 *
 * @param nominal_run_time how long a started_at run takes at slowness 1
 */
EndpointReply ExecuteCommand(FakeEndpoint& endpoint,
                             const EndpointCommand& command,
                             Millis nominal_run_time,
                             const TaskResources& resources,
                             Millis now);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_TESTS_SUPPORT_FAKE_ENDPOINT_H_
