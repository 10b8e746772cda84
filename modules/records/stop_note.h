#ifndef DOGWOODFALL_MODULES_RECORDS_STOP_NOTE_H_
#define DOGWOODFALL_MODULES_RECORDS_STOP_NOTE_H_

#include <string>

#include "base/result.h"
#include "model/daemon_ref.h"

namespace dogwoodfall {

/** Left by a daemon that stopped: who knows its submissions now. */
struct SuccessorRecord {
  DaemonRef successor;
};

/** Key of the note of a process life. */
std::string SuccessorRecordKey(const DaemonRef& stopped);

/** The text of a note. */
std::string Encode(const SuccessorRecord& note);

/** Reads a note; fails with kInternal. */
Result<SuccessorRecord> DecodeSuccessorRecord(const std::string& text);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_RECORDS_STOP_NOTE_H_
