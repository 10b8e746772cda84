#ifndef DOGWOODFALL_APPS_CTL_EXIT_CODE_H_
#define DOGWOODFALL_APPS_CTL_EXIT_CODE_H_

namespace dogwoodfall {

/** Exit codes of dogwoodfallctl; docs/OPERATING.md has the table. */
enum ExitCode : int {
  kExitOk = 0,
  /** The request failed or was refused. */
  kExitNotDone = 1,
  /** The command line is invalid. */
  kExitUsage = 2,
  /** A file can't be read, or its content is invalid. */
  kExitBadInput = 3,
  /** The daemon or the store could not be reached. */
  kExitUnreachable = 4,
  /** The configuration was changed by another writer. */
  kExitConflict = 5,
  /** No answer was received; the request may have taken effect. */
  kExitOutcomeUnknown = 6,
  /** The submission has not ended yet; query it again later. */
  kExitPending = 7,
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_APPS_CTL_EXIT_CODE_H_
