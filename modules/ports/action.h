#ifndef DOGWOODFALL_MODULES_PORTS_ACTION_H_
#define DOGWOODFALL_MODULES_PORTS_ACTION_H_

#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "model/answer.h"
#include "model/cancellation_result.h"
#include "model/daemon_member.h"
#include "model/daemon_ref.h"
#include "model/heartbeat.h"
#include "model/peer_frame.h"
#include "model/task_spec.h"
#include "model/transient_job.h"
#include "ports/endpoint_command.h"
#include "ports/key_value_call.h"
#include "ports/log_event.h"
#include "ports/store_call.h"

namespace dogwoodfall {

/** Sends a frame to a peer over TCP. A loss is not reported. */
struct SendFrame {
  PeerFrame frame;
};

/** Sends a heartbeat to peers over UDP. A loss is not reported. */
struct SendHeartbeat {
  std::vector<DaemonId> to;
  Heartbeat heartbeat;
};

/** Closes the connection to a peer; it is reopened when needed. */
struct ResetPeerLink {
  DaemonId peer;
};

/** Starts a task; answered by exactly one EndpointEvent with this lease. */
struct StartTask {
  EndpointId endpoint;
  SubmissionId submission;
  CustomerId customer;
  TaskSpec task;
  Attempt attempt;
  LeaseId lease;
  Millis lease_length;
};

/** Requests an endpoint to stop a task; there is no reply. */
struct StopTask {
  EndpointId endpoint;
  SubmissionId submission;
  TaskId task;
  Attempt attempt;
  LeaseId lease;
};

/** Answers a caller's open request. */
struct AnswerCaller {
  CallerToken caller;
  Answer answer;
  /** A newly minted id for the caller's next submission. */
  SubmissionId spare_id;
};

/** Calls the store; answered by exactly one StoreReply with this token. */
struct CallStore {
  StoreToken token;
  StorePurpose purpose;
  StoreRequest request;
};

/** Sends a command to an endpoint; answered by exactly one EndpointReply. */
struct CallEndpoint {
  EndpointCommand command;
};

/** Calls the platform's store; answered by exactly one KeyValueReply. */
struct CallKeyValue {
  StoreToken token;
  KeyValueCall call;
  /** Time after which the call counts as unanswered. */
  Millis timeout;
};

/** Answers the request that submitted a job. */
struct AnswerJob {
  CallerToken caller;
  JobOutcome outcome;
};

/** Answers the request of a caller to cancel a job. */
struct AnswerCancellation {
  CallerToken caller;
  CancellationResult result = CancellationResult::kUndecided;
};

/** Updates the addresses of the other daemons in the network adapter. */
struct UpdatePeers {
  std::vector<DaemonMember> members;
};

/** Ends the process at the end of a graceful shutdown. */
struct ExitProcess {
  /** True when everything was handed over. */
  bool is_clean = true;
};

/** A side effect that the core requests from its adapters. */
using Action = std::variant<SendFrame,
                            SendHeartbeat,
                            ResetPeerLink,
                            StartTask,
                            StopTask,
                            AnswerCaller,
                            CallStore,
                            LogEvent,
                            CallEndpoint,
                            CallKeyValue,
                            AnswerJob,
                            AnswerCancellation,
                            UpdatePeers,
                            ExitProcess>;

/** Actions in the order in which they must be executed. */
using Actions = std::vector<Action>;

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_PORTS_ACTION_H_
