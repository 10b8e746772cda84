#ifndef DOGWOODFALL_MODULES_CORE_CLAIMS_OWNERSHIP_H_
#define DOGWOODFALL_MODULES_CORE_CLAIMS_OWNERSHIP_H_

#include <optional>

#include "base/millis.h"
#include "core/claims/claim_book.h"

namespace dogwoodfall {

/** The next call for the table of slots, if one is due. */
std::optional<PendingStoreCall> NextOwnershipCall(ClaimRegistry& book,
                                                  const ClaimLimits& limits,
                                                  Millis now);

/** Takes the reply to an ownership call; NextOwnershipCall then gives the
 * following step. Whatever goes wrong ends the job, and a later one starts
 * from the table as it then stands.
 */
void HandleOwnershipReply(ClaimRegistry& book,
                          const StoreReply& reply,
                          const OwnershipContext& view,
                          const ClaimLimits& limits,
                          Millis now);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_CLAIMS_OWNERSHIP_H_
