#ifndef DOGWOODFALL_MODULES_RECORDS_JOURNAL_SEGMENT_H_
#define DOGWOODFALL_MODULES_RECORDS_JOURNAL_SEGMENT_H_

#include <string>
#include <vector>

#include "base/millis.h"
#include "base/result.h"

namespace dogwoodfall {

/** One id that a daemon has claimed. */
struct Claim {
  /** The ledger's key of the submission. */
  std::string key;
  /** The time in the id. */
  Millis id_timestamp;
};

/** Claims written together. */
struct JournalSegment {
  std::vector<Claim> claims;
};

/** The text of a segment. */
std::string Encode(const JournalSegment& segment);

/** Reads a segment; fails with kInternal. */
Result<JournalSegment> DecodeJournalSegment(const std::string& text);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_RECORDS_JOURNAL_SEGMENT_H_
