#ifndef DOGWOODFALL_MODULES_PORTS_ENDPOINT_ORDER_H_
#define DOGWOODFALL_MODULES_PORTS_ENDPOINT_ORDER_H_

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

/** Stops a run; one that has not arrived yet will not start any more. */
struct StopRun {
  JobTask task;
  Attempt attempt;
};

/** Renews the lease of all that runs and lists what runs and what ended. */
struct RenewRuns {
  /** On the endpoint's own clock; none leaves the lease as it is. */
  std::optional<Millis> lease_until;
  /** Ends up to this number are taken note of and need not be listed again. */
  uint64_t acknowledged_ends = 0;
  /** The answer may wait this long for a run to end. */
  Millis wait;
};

/** Names one order of this daemon life. */
using CommandId = StrongId<struct OrderTag, uint64_t>;

/** An order to an endpoint; answered by exactly one EndpointReply. */
struct EndpointCommand {
  CommandId id;
  EndpointId endpoint;
  std::string ip;
  uint16_t port = 0;
  uint64_t fencing_token = 0;
  /** Time without an answer after which it counts as unanswered. */
  Millis timeout;
  std::variant<StartRun, StopRun, RenewRuns> command;
};

/** How an order ended. */
enum class CommandOutcome : uint8_t {
  kDone = 0,
  /** Another daemon with a higher fencing token gives the orders. */
  kFenced = 1,
  /** A run with this attempt or a higher one has ended there. */
  kStaleAttempt = 2,
  /** The lease had ended when the order arrived. */
  kLeaseExpired = 3,
  kInsufficientResources = 4,
  /** The endpoint is unhealthy and has done nothing. */
  kUnhealthy = 5,
  /** Another life of the endpoint answers at the address. */
  kOtherIncarnation = 6,
  /** The endpoint can't read the order. */
  kMalformed = 7,
  /** The connection was refused: no process listens there. */
  kNoListener = 8,
  /** No answer; the order may be carried out, even seconds later. */
  kUnanswered = 9,
};

/** A run that is on an endpoint. */
struct ListedRun {
  JobTask task;
  Attempt attempt;
  /** Share of its work that is done, 0 to 100. */
  int percent = 0;
};

/** How a run ended. */
enum class RunResult : uint8_t {
  kDone = 0,
  kFailed = 1,
  kStopped = 2,
  /** The lease ended. */
  kLeaseEnded = 3,
  kOther = 4,
};

/** A run that ended on an endpoint. */
struct EndedRun {
  /** Counts upwards from 1 in each life of the endpoint. */
  uint64_t number = 0;
  JobTask task;
  Attempt attempt;
  RunResult end = RunResult::kOther;
};

/** What an endpoint answered. */
struct EndpointReply {
  CommandId id;
  CommandOutcome outcome = CommandOutcome::kUnanswered;
  /** The endpoint's steady clock, when it told it. */
  std::optional<Millis> clock;
  /** Start of the endpoint's life in ms since 1970; 0 when not told. */
  int64_t started_at_ms = 0;
  std::vector<ListedRun> running;
  std::vector<EndedRun> ended;
};

/** Short name of an outcome for logs. */
const char* NameOf(CommandOutcome outcome);

/** Short name of an end for logs. */
const char* NameOf(RunResult end);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_PORTS_ENDPOINT_ORDER_H_
