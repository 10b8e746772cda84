#ifndef DOGWOODFALL_STAND_INS_KEY_VALUE_TABLE_H_
#define DOGWOODFALL_STAND_INS_KEY_VALUE_TABLE_H_

#include <cstdint>
#include <map>
#include <string>

#include "ports/store_call.h"

namespace dogwoodfall {

/** The content of the platform's store: keys with values and revisions. */
struct KeyValueTable {
  struct Entry {
    std::string value;
    uint64_t mod_revision = 0;
  };
  std::map<std::string, Entry> entries;
  uint64_t revision = 1;
  /** Increases when the table is restored from a copy. */
  uint64_t cluster_id = 1;
};

/** Executes one call. A transaction is applied only when all its comparisons
 * hold.
 */
StoreReply Apply(KeyValueTable& table, const StoreRequest& request);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_STAND_INS_KEY_VALUE_TABLE_H_
