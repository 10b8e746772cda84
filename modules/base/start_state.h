#ifndef DOGWOODFALL_MODULES_BASE_START_STATE_H_
#define DOGWOODFALL_MODULES_BASE_START_STATE_H_

#include <cstdint>
#include <string_view>

namespace dogwoodfall {

/** Whether a task was started, as far as is known. Only kNotStarted allows
 * another start, and only then may an answer state that the task did not run.
 */
enum class StartState : uint8_t {
  kNotStarted = 0,
  kMayHaveStarted = 1,
  kStarted = 2,
};

/** Returns the name used in answers: not_started, may_have_started or started.
 */
std::string_view NameOf(StartState state);

/** Returns the combined state of two parts of the same work: the one that is
 * further from kNotStarted.
 */
StartState Combine(StartState a, StartState b);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_BASE_START_STATE_H_
