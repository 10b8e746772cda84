#ifndef DOGWOODFALL_MODULES_CORE_CLAIMS_OWNERSHIP_H_
#define DOGWOODFALL_MODULES_CORE_CLAIMS_OWNERSHIP_H_

#include <optional>

#include "base/millis.h"
#include "core/claims/claim_registry.h"

namespace dogwoodfall {

/** Returns the next store call for the slot table, if one is due. */
std::optional<StoreCallRequest> NextOwnershipCall(ClaimRegistry& registry,
                                                  const ClaimLimits& limits,
                                                  Millis now);

/** Handles the reply to an ownership call; NextOwnershipCall then returns the
 * next step. Any failure ends the update of the slot table, and a later update
 * starts from the table that is then in the store.
 */
void HandleOwnershipReply(ClaimRegistry& registry,
                          const StoreReply& reply,
                          const OwnershipContext& context,
                          const ClaimLimits& limits,
                          Millis now);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_CLAIMS_OWNERSHIP_H_
