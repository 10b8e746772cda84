#ifndef DOGWOODFALL_MODULES_RECORDS_JOURNAL_HEAD_H_
#define DOGWOODFALL_MODULES_RECORDS_JOURNAL_HEAD_H_

#include <string>

#include "base/millis.h"
#include "base/result.h"

namespace dogwoodfall {

/** Head of a journal of claims. Every append compares its revision, so that
 * changing it to sealed ends all appends, whatever a paused owner believes.
 */
struct JournalHead {
  bool sealed = false;
  /** Claims with a time below this one were removed from the journal. */
  Millis low_watermark;
};

/** The text of a head. */
std::string Encode(const JournalHead& head);

/** Reads a head; fails with kInternal. */
Result<JournalHead> DecodeJournalHead(const std::string& text);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_RECORDS_JOURNAL_HEAD_H_
