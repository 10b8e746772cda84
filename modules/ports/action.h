#ifndef DOGWOODFALL_MODULES_PORTS_ACTION_H_
#define DOGWOODFALL_MODULES_PORTS_ACTION_H_

#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "model/answer.h"
#include "model/daemon_member.h"
#include "model/daemon_ref.h"
#include "model/heartbeat.h"
#include "model/peer_frame.h"
#include "model/task_spec.h"
#include "model/transient_job.h"
#include "ports/endpoint_order.h"
#include "ports/key_value_call.h"
#include "ports/log_event.h"
#include "ports/store_call.h"

namespace dogwoodfall {

/** Sends a frame to a peer over TCP; may be lost without a notice. */
struct SendFrame {
  PeerFrame frame;
};

/** Sends a heartbeat to a peer over UDP; may be lost without a notice. */
struct SendHeartbeat {
  DaemonId to;
  Heartbeat heartbeat;
};

/** Closes the connection to a peer, which is opened again when it is needed. */
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

/** Asks an endpoint to stop a task; not answered. */
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
  /** A freshly minted id for the caller's next submission. */
  SubmissionId spare_id;
};

/** Calls the store; answered by exactly one StoreReply with this token. */
struct CallStore {
  StoreToken token;
  StorePurpose purpose;
  StoreRequest request;
};

/** Sends an order to an endpoint; answered by exactly one EndpointReply. */
struct CallEndpoint {
  EndpointCommand command;
};

/** Calls the platform's store; answered by exactly one KeyValueReply. */
struct CallKeyValue {
  StoreToken token;
  KeyValueCall call;
  /** Time without an answer after which it counts as unanswered. */
  Millis timeout;
};

/** Answers the request that brought a job. */
struct AnswerJob {
  CallerToken caller;
  JobOutcome outcome;
};

/** Tells the network who the other daemons are. */
struct UpdatePeers {
  std::vector<DaemonMember> members;
};

/** Ends the process: the planned stop is over. */
struct ExitProcess {
  /** True when everything was handed on. */
  bool is_clean = true;
};

/** What the core wants done. */
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
                            UpdatePeers,
                            ExitProcess>;

/** Actions in the order in which they are to be carried out. */
using Actions = std::vector<Action>;

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_PORTS_ACTION_H_
