#ifndef DOGWOODFALL_MODULES_RECORDS_JOURNAL_SEGMENT_H_
#define DOGWOODFALL_MODULES_RECORDS_JOURNAL_SEGMENT_H_

#include <string>
#include <vector>

#include "base/millis.h"
#include "base/result.h"

namespace dogwoodfall {

/** One id that a daemon has claimed. */
struct Claim {
  /** Key of the submission in the ledger. */
  std::string key;
  Millis id_timestamp;
};

/** Claims that are written to the store in one value. */
struct JournalSegment {
  std::vector<Claim> claims;
};

/** Returns the JSON text of a segment. */
std::string Encode(const JournalSegment& segment);

/** Parses a segment; fails with kInternal. */
Result<JournalSegment> DecodeJournalSegment(const std::string& text);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_RECORDS_JOURNAL_SEGMENT_H_
