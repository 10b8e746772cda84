#ifndef DOGWOODFALL_MODULES_CORE_NODE_SUCCESSOR_RECORD_WAITER_H_
#define DOGWOODFALL_MODULES_CORE_NODE_SUCCESSOR_RECORD_WAITER_H_

#include "core/ledger/waiter.h"
#include "core/node/pending_forward.h"

namespace dogwoodfall {

/** A request about a submission of a home that is gone. It waits for the home's
 * successor record, which names the daemon that adopted the submission.
 */
struct SuccessorRecordWaiter {
  Waiter waiter;
  SubmissionRequest request;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_NODE_SUCCESSOR_RECORD_WAITER_H_
