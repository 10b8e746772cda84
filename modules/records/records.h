#ifndef DOGWOODFALL_MODULES_RECORDS_RECORDS_H_
#define DOGWOODFALL_MODULES_RECORDS_RECORDS_H_

/** @file
 * Module records: the values that daemons keep in the platform's store, and
 * their text form.
 *
 * The values are JSON, which only the .cc files of this module depend on.
 * Depends on base and model.
 */

#include "records/journal_head.h"
#include "records/journal_ref.h"
#include "records/journal_segment.h"
#include "records/slot_table.h"
#include "records/successor_record.h"

#endif  // DOGWOODFALL_MODULES_RECORDS_RECORDS_H_
