#ifndef DOGWOODFALL_MODULES_PORTS_ENDPOINT_COMMAND_H_
#define DOGWOODFALL_MODULES_PORTS_ENDPOINT_COMMAND_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "model/transient_job.h"

namespace dogwoodfall {

/** Starts one run of a task. */
struct StartRun {
  JobTask task;
  Attempt attempt;
  std::string payload;
  /** End of the lease, on the endpoint's own clock. */
  Millis lease_until;
};

/** Stops a run. If its start arrives later, the endpoint does not execute it.
 */
struct StopRun {
  JobTask task;
  Attempt attempt;
};

/** Renews the lease of all runs and lists the active and the ended runs. */
struct RenewRuns {
  /** New end of the lease, on the endpoint's own clock; none leaves the lease
   * unchanged.
   */
  std::optional<Millis> lease_until;
  /** Ended runs up to this number are acknowledged and need not be listed
   * again.
   */
  uint64_t acknowledged_ends = 0;
  /** Maximum time for which the endpoint may wait for a run to end before it
   * answers.
   */
  Millis wait;
};

/** Identifies a command within one incarnation of the daemon. */
using CommandId = StrongId<struct CommandTag, uint64_t>;

/** A command to an endpoint; answered by exactly one EndpointReply. */
struct EndpointCommand {
  CommandId id;
  EndpointId endpoint;
  std::string ip;
  uint16_t port = 0;
  uint64_t fencing_token = 0;
  /** Time after which the command counts as unanswered. */
  Millis timeout;
  std::variant<StartRun, StopRun, RenewRuns> command;
};

/** Outcome of a command. */
enum class CommandOutcome : uint8_t {
  kDone = 0,
  /** The endpoint has received commands with a higher fencing token. */
  kFenced = 1,
  /** A run of the task with this attempt or a higher one has ended there. */
  kStaleAttempt = 2,
  /** The lease had expired when the command arrived. */
  kLeaseExpired = 3,
  kInsufficientResources = 4,
  /** The endpoint is unhealthy and did not execute the command. */
  kUnhealthy = 5,
  /** Another incarnation of the endpoint answers at the address. */
  kOtherIncarnation = 6,
  /** The endpoint can't parse the command. */
  kMalformed = 7,
  /** The connection was refused: no process listens at the address. */
  kNoListener = 8,
  /** No answer; the command may still be executed, even seconds later. */
  kUnanswered = 9,
};

/** An active run that an endpoint lists. */
struct ListedRun {
  JobTask task;
  Attempt attempt;
  /** Completed share of its work, 0 to 100. */
  int percent = 0;
};

/** Result of a run. */
enum class RunResult : uint8_t {
  kDone = 0,
  kFailed = 1,
  kStopped = 2,
  /** The lease expired. */
  kLeaseEnded = 3,
  /** A result that is not known to this daemon. */
  kOther = 4,
};

/** A run that ended on an endpoint. */
struct EndedRun {
  /** Number of the ended run; starts at 1 after each endpoint restart. */
  uint64_t number = 0;
  JobTask task;
  Attempt attempt;
  RunResult result = RunResult::kOther;
};

/** Answer of an endpoint to a command. */
struct EndpointReply {
  CommandId id;
  CommandOutcome outcome = CommandOutcome::kUnanswered;
  /** The endpoint's monotonic clock, if it was reported. */
  std::optional<Millis> clock;
  /** Start of the endpoint's process in ms since 1970; 0 if not reported. */
  int64_t started_at_ms = 0;
  std::vector<ListedRun> running;
  std::vector<EndedRun> ended;
};

/** Returns the short name of an outcome, for logs. */
const char* NameOf(CommandOutcome outcome);

/** Returns the short name of a result, for logs. */
const char* NameOf(RunResult result);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_PORTS_ENDPOINT_COMMAND_H_
