#ifndef DOGWOODFALL_MODULES_CORE_NODE_OPEN_STORE_CALL_H_
#define DOGWOODFALL_MODULES_CORE_NODE_OPEN_STORE_CALL_H_

#include <cstdint>

#include "model/daemon_ref.h"

namespace dogwoodfall {

/** Kind of a store call, which decides how its reply is handled. */
enum class StoreCallKind : uint8_t {
  kConfiguration = 0,
  kJournal = 1,
  kOwnership = 2,
  kReadSuccessorRecord = 3,
  kWriteSuccessorRecords = 4,
};

/** A store call that has no reply yet. */
struct OpenStoreCall {
  StoreCallKind kind = StoreCallKind::kConfiguration;
  /** Maximum store revision known when the call was made. */
  uint64_t known_revision = 0;
  /** The home whose successor record is read. */
  DaemonRef home;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_NODE_OPEN_STORE_CALL_H_
