#ifndef DOGWOODFALL_MODULES_RECORDS_JOURNAL_HEAD_H_
#define DOGWOODFALL_MODULES_RECORDS_JOURNAL_HEAD_H_

#include <string>

#include "base/millis.h"
#include "base/result.h"

namespace dogwoodfall {

/** Head of a journal of claims. Every append is conditional on the head's
 * revision. Sealing the head therefore makes all further appends fail,
 * including those of an owner that was paused while the journal was sealed.
 */
struct JournalHead {
  bool sealed = false;
  /** Claims with a lower id timestamp were removed from the journal. */
  Millis low_watermark;
};

/** Returns the JSON text of a head. */
std::string Encode(const JournalHead& head);

/** Parses a head; fails with kInternal. */
Result<JournalHead> DecodeJournalHead(const std::string& text);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_RECORDS_JOURNAL_HEAD_H_
