#ifndef DOGWOODFALL_MODULES_CORE_CLAIMS_SLOT_PLANNING_H_
#define DOGWOODFALL_MODULES_CORE_CLAIMS_SLOT_PLANNING_H_

#include "base/millis.h"
#include "core/claims/claim_registry.h"
#include "records/journal_ref.h"
#include "records/slot_table.h"

/** @file
 * Plans changes of the slot table: which slots to acquire or release, which
 * journals must be sealed and read first, and the resulting table. Makes no
 * store call.
 */

namespace dogwoodfall {

/** Returns a table in which no slot has an owner. */
SlotTable MakeEmptyTable(const ClaimRegistry& registry);

/** Returns true for the journal this daemon appends to. */
bool IsOwnJournal(const ClaimRegistry& registry, const JournalRef& owner);

/** Plans which free slots to acquire and which journals must be sealed and read
 * for them.
 */
void PlanAcquisition(ClaimRegistry& registry, const OwnershipContext& context);

/** Plans which own slots to release and stops serving them. Releases none while
 * claims are open.
 */
void PlanRelease(ClaimRegistry& registry, const OwnershipContext& context);

/** Builds the table after the planned change. Also lists the journals that no
 * slot refers to any more and whose owner is gone.
 */
void BuildNewTable(ClaimRegistry& registry,
                   const OwnershipContext& context,
                   const ClaimLimits& limits,
                   Millis now);

/** Returns true when a store restore may have lost claims and no table has been
 * written since that makes the affected ids count as too old.
 */
bool NeedsRecovery(const ClaimRegistry& registry);

/** Plans a table in which every id that may have been claimed before a store
 * restore counts as too old, because its claim may be lost.
 */
void PlanRecovery(ClaimRegistry& registry,
                  const ClaimLimits& limits,
                  Millis now);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_CLAIMS_SLOT_PLANNING_H_
