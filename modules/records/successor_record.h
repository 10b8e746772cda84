#ifndef DOGWOODFALL_MODULES_RECORDS_SUCCESSOR_RECORD_H_
#define DOGWOODFALL_MODULES_RECORDS_SUCCESSOR_RECORD_H_

#include <string>

#include "base/result.h"
#include "model/daemon_ref.h"

namespace dogwoodfall {

/** Record that a daemon writes to the store during a graceful shutdown. It
 * names the daemon that has adopted its submissions.
 */
struct SuccessorRecord {
  DaemonRef successor;
};

/** Returns the store key of the record of an incarnation. */
std::string SuccessorRecordKey(const DaemonRef& stopped);

/** Returns the JSON text of a record. */
std::string Encode(const SuccessorRecord& record);

/** Parses a record; fails with kInternal. */
Result<SuccessorRecord> DecodeSuccessorRecord(const std::string& text);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_RECORDS_SUCCESSOR_RECORD_H_
