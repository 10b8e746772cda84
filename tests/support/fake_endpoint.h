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
    Millis started;
    Millis length;
    TaskResources resources;
    RunResult end = RunResult::kDone;
  };

  EndpointEntry entry;
  /** Run times over the nominal ones. */
  double slowness = 1;
  /** True while it fails all that it starts, after 25 ms. */
  bool fails_all = false;
  /** Jobs whose ids begin so fail in the same way; empty for none. */
  std::string failing_jobs;
  int64_t started_at_ms = 1;
  uint64_t highest_token = 0;
  uint64_t last_end = 0;
  Millis lease_until;
  std::map<RunKey, FakeRun> running;
  std::map<JobTask, uint32_t> closed_attempts;
  std::vector<EndedRun> ended;
  /** Runs that failed to be alone: two of one task at a time, seen outside. */
  uint64_t starts = 0;
};

/** Ends what is over by a time: done, or its lease has ended. */
void AdvanceFakeEndpoint(FakeEndpoint& endpoint, Millis now);

/** Carries out an order.
 *
 * @param nominal how long a started run takes at slowness 1
 */
EndpointReply ExecuteCommand(FakeEndpoint& endpoint,
                             const EndpointCommand& command,
                             Millis nominal,
                             const TaskResources& resources,
                             Millis now);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_TESTS_SUPPORT_FAKE_ENDPOINT_H_
