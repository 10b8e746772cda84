#ifndef DOGWOODFALL_MODULES_CORE_LEDGER_WAITER_H_
#define DOGWOODFALL_MODULES_CORE_LEDGER_WAITER_H_

#include <optional>
#include <variant>

#include "base/ids.h"
#include "base/millis.h"
#include "model/daemon_ref.h"

namespace dogwoodfall {

/** A request that another daemon passed on. */
struct PeerWaiter {
  DaemonRef peer;
  ForwardId forward;
};

/** Who is to get the answer of a submission. */
struct Waiter {
  std::variant<CallerToken, PeerWaiter> to;
  /** When to answer that it is still running; none for a submission. */
  std::optional<Millis> answer_by;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_LEDGER_WAITER_H_
