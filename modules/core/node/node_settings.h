#ifndef DOGWOODFALL_MODULES_CORE_NODE_NODE_SETTINGS_H_
#define DOGWOODFALL_MODULES_CORE_NODE_NODE_SETTINGS_H_

#include <cstdint>

#include "base/millis.h"
#include "core/claims/claim_book.h"
#include "core/dispatch/endpoint_pool.h"
#include "core/ledger/ledger.h"
#include "core/membership/membership.h"
#include "core/peers/peer_session.h"
#include "model/daemon_ref.h"

namespace dogwoodfall {

/** Everything about a core that settings decide. */
struct NodeSettings {
  DaemonRef self;
  ZoneId zone;
  LedgerLimits ledger;
  RetryLimits retries;
  SessionLimits sessions;
  MembershipTimeouts membership;
  EjectionLimits ejection;
  ClaimLimits claims;
  /** Period of heartbeats. */
  Millis heartbeat_period{100};
  /** Period of reading the lists from the store. */
  Millis configuration_period{1'000};
  /** Longest lease of one task. */
  Millis max_lease{60'000};
  /** Starts of one task that may be refused or not connected. */
  uint32_t max_start_attempts = 16;
  /** Bytes of the outputs of one submission; more would not fit a message
   * between daemons.
   */
  size_t max_output_bytes = 4'000'000;
  /** Longest wait for a peer that is out of reach. */
  Millis forward_patience{2'000};
  /** Longest planned stop. */
  Millis drain_timeout{120'000};
  /** Longest wait for the store in a planned stop. */
  Millis drain_store_timeout{5'000};
  /** Pause a refused caller is told to make. */
  Millis retry_pause{200};
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_NODE_NODE_SETTINGS_H_
