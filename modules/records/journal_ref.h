#ifndef DOGWOODFALL_MODULES_RECORDS_JOURNAL_REF_H_
#define DOGWOODFALL_MODULES_RECORDS_JOURNAL_REF_H_

#include <cstdint>
#include <string>
#include <tuple>

#include "model/daemon_ref.h"

namespace dogwoodfall {

/** Identifies a journal of claims. An incarnation may have several, one after
 * another, since a sealed journal can't be used again.
 */
struct JournalRef {
  DaemonRef daemon;
  uint64_t generation = 0;

  friend bool operator==(const JournalRef& a, const JournalRef& b) {
    return a.daemon == b.daemon && a.generation == b.generation;
  }
  friend bool operator!=(const JournalRef& a, const JournalRef& b) {
    return !(a == b);
  }
  friend bool operator<(const JournalRef& a, const JournalRef& b) {
    return std::tie(a.daemon, a.generation) < std::tie(b.daemon, b.generation);
  }
};

/** Returns true for the default value, which names no journal. */
bool IsNone(const JournalRef& journal);

/** Returns the prefix of all store keys of a journal. */
std::string JournalPrefix(const JournalRef& journal);

/** Returns the store key of a journal's head. */
std::string JournalHeadKey(const JournalRef& journal);

/** Returns the store key of a journal's segment. */
std::string JournalSegmentKey(const JournalRef& journal, uint64_t number);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_RECORDS_JOURNAL_REF_H_
