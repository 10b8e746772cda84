#ifndef DOGWOODFALL_MODULES_BASE_START_STATE_H_
#define DOGWOODFALL_MODULES_BASE_START_STATE_H_

#include <cstdint>
#include <string_view>

namespace dogwoodfall {

/** What is known of whether a task was started. Only kNotStarted allows
 * another start, and only of it may "did not run" be said.
 */
enum class StartState : uint8_t {
  kNotStarted = 0,
  kMayHaveStarted = 1,
  kStarted = 2,
};

/** The name used in answers: not_started, may_have_started or started. */
std::string_view NameOf(StartState state);

/** What is known of a whole whose parts have the states a and b. */
StartState Combine(StartState a, StartState b);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_BASE_START_STATE_H_
