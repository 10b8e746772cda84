#ifndef DOGWOODFALL_MODULES_CORE_NODE_NODE_SETTINGS_H_
#define DOGWOODFALL_MODULES_CORE_NODE_NODE_SETTINGS_H_

#include <cstdint>

#include "base/millis.h"
#include "core/claims/claim_registry.h"
#include "core/dispatch/endpoint_pool.h"
#include "core/ledger/ledger.h"
#include "core/membership/membership.h"
#include "core/peers/peer_session.h"
#include "model/daemon_ref.h"

namespace dogwoodfall {

/** Settings of a core. */
struct NodeSettings {
  DaemonRef self;
  ZoneId zone;
  LedgerLimits ledger;
  RetryLimits retries;
  SessionLimits sessions;
  MembershipTimeouts membership;
  EjectionLimits ejection;
  ClaimLimits claims;
  Millis heartbeat_period{100};
  /** Period of reading the configuration from the store. */
  Millis configuration_period{1'000};
  /** Maximum lease of a task. */
  Millis max_lease{60'000};
  /** Start attempts after which a task is reported as not started, when
   * endpoints refuse it or can't be connected to.
   */
  uint32_t max_start_attempts = 16;
  /** Maximum total size of the outputs of a submission. Larger outputs would
   * not fit into a message between daemons.
   */
  size_t max_output_bytes = 4'000'000;
  /** Maximum wait for the answer of a peer that is unreachable. */
  Millis forward_timeout{2'000};
  /** Maximum duration of a graceful shutdown. */
  Millis drain_timeout{120'000};
  /** Maximum wait for the store in a graceful shutdown. */
  Millis drain_store_timeout{5'000};
  /** Retry delay sent to callers with refused and pending answers. */
  Millis retry_delay{200};
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_NODE_NODE_SETTINGS_H_
