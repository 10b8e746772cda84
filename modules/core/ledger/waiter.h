#ifndef DOGWOODFALL_MODULES_CORE_LEDGER_WAITER_H_
#define DOGWOODFALL_MODULES_CORE_LEDGER_WAITER_H_

#include <optional>
#include <variant>

#include "base/ids.h"
#include "base/millis.h"
#include "model/daemon_ref.h"

namespace dogwoodfall {

/** A request that was forwarded by another daemon. */
struct PeerWaiter {
  DaemonRef peer;
  ForwardId forward;
};

/** Recipient of a submission's answer. */
struct Waiter {
  std::variant<CallerToken, PeerWaiter> to;
  /** Time at which to answer that the submission is still running; none for the
   * request that submitted it.
   */
  std::optional<Millis> answer_by;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_LEDGER_WAITER_H_
