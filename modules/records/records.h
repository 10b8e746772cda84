#ifndef DOGWOODFALL_MODULES_RECORDS_RECORDS_H_
#define DOGWOODFALL_MODULES_RECORDS_RECORDS_H_

/** @file
 * Module records: what daemons keep in the platform's store, and the text form
 * of each value.
 *
 * The values are JSON; only the .cc files of this module know that. Depends on
 * base and model.
 */

#include "records/journal_head.h"
#include "records/journal_ref.h"
#include "records/journal_segment.h"
#include "records/slot_table.h"
#include "records/successor_record.h"

#endif  // DOGWOODFALL_MODULES_RECORDS_RECORDS_H_
