#include "base/start_state.h"

#include <algorithm>

namespace dogwoodfall {

std::string_view NameOf(StartState state) {
  switch (state) {
    case StartState::kNotStarted:
      return "not_started";
    case StartState::kMayHaveStarted:
      return "may_have_started";
    case StartState::kStarted:
      return "started";
  }
  return "may_have_started";
}

StartState Combine(StartState a, StartState b) {
  return std::max(a, b);
}

}  // namespace dogwoodfall
