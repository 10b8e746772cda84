#ifndef DOGWOODFALL_APPS_CTL_EXIT_CODE_H_
#define DOGWOODFALL_APPS_CTL_EXIT_CODE_H_

namespace dogwoodfall {

/** Exit codes of dogwoodfallctl; docs/OPERATING.md has the table. */
enum ExitCode : int {
  kExitOk = 0,
  /** The answer says failed or refused. */
  kExitNotDone = 1,
  /** Wrong command line. */
  kExitUsage = 2,
  /** A file can't be read, or what it holds is wrong. */
  kExitBadInput = 3,
  /** The other side could not be reached. */
  kExitUnreachable = 4,
  /** The lists were changed by somebody else. */
  kExitConflict = 5,
  /** It could not be seen whether the change took effect. */
  kExitOutcomeUnknown = 6,
  /** It is not decided yet; ask again. */
  kExitPending = 7,
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_APPS_CTL_EXIT_CODE_H_
