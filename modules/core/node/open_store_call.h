#ifndef DOGWOODFALL_MODULES_CORE_NODE_OPEN_STORE_CALL_H_
#define DOGWOODFALL_MODULES_CORE_NODE_OPEN_STORE_CALL_H_

#include <cstdint>

#include "model/daemon_ref.h"

namespace dogwoodfall {

/** What is to be done with the reply to a store call. */
enum class StoreCallKind : uint8_t {
  kConfiguration = 0,
  kJournal = 1,
  kOwnership = 2,
  kReadSuccessorRecord = 3,
  kWriteSuccessorRecords = 4,
};

/** A store call whose reply is awaited. */
struct OpenStoreCall {
  StoreCallKind kind = StoreCallKind::kConfiguration;
  /** Highest revision of the store known when the call was made. */
  uint64_t known_revision = 0;
  /** The home a stop note is about. */
  DaemonRef home;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_NODE_OPEN_STORE_CALL_H_
