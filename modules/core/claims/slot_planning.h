#ifndef DOGWOODFALL_MODULES_CORE_CLAIMS_SLOT_PLANNING_H_
#define DOGWOODFALL_MODULES_CORE_CLAIMS_SLOT_PLANNING_H_

#include "base/millis.h"
#include "core/claims/claim_book.h"
#include "records/journal_ref.h"
#include "records/slot_table.h"

/** @file
 * What the table of slots should become: which slots to take or give away,
 * what that needs, and the table after it. Makes no store call.
 */

namespace dogwoodfall {

/** A table in which no slot has an owner. */
SlotTable EmptyTable(const ClaimRegistry& book);

/** True for the journal this daemon appends to. */
bool IsOwn(const ClaimRegistry& book, const JournalRef& owner);

/** Plans which free slots to take and which journals that needs. */
void PlanTakeover(ClaimRegistry& book, const OwnershipContext& view);

/** Plans which own slots to give away; none while claims are under way. They
 * are not served from here on.
 */
void PlanRelease(ClaimRegistry& book, const OwnershipContext& view);

/** Builds the table after the planned change, and names the journals that no
 * slot refers to any more and whose owner is gone.
 */
void BuildNewTable(ClaimRegistry& book,
                   const OwnershipContext& view,
                   const ClaimLimits& limits,
                   Millis now);

/** True when claims may have vanished from the store and nobody has made sure
 * since that the ids concerned are not taken for new.
 */
bool NeedsRecovery(const ClaimRegistry& book);

/** Plans a table under which every id that may have been claimed before a
 * restore of the store counts as too old: claims of it may be lost.
 */
void PlanRecovery(ClaimRegistry& book, const ClaimLimits& limits, Millis now);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_CLAIMS_SLOT_PLANNING_H_
