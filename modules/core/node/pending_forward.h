#ifndef DOGWOODFALL_MODULES_CORE_NODE_PENDING_FORWARD_H_
#define DOGWOODFALL_MODULES_CORE_NODE_PENDING_FORWARD_H_

#include <variant>

#include "base/millis.h"
#include "core/ledger/waiter.h"
#include "model/daemon_ref.h"
#include "model/peer_message.h"

namespace dogwoodfall {

/** A request about a submission. */
using SubmissionRequest =
    std::variant<SubmitForward, StatusForward, CancelForward>;

/** A request that was forwarded to another daemon. */
struct PendingForward {
  /** Receives the answer. */
  Waiter waiter;
  DaemonRef to;
  SubmissionRequest request;
  Millis sent_at;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_NODE_PENDING_FORWARD_H_
