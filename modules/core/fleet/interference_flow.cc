#include "core/fleet/interference_flow.h"

#include "core/scheduling/interference.h"

namespace dogwoodfall {
namespace {

/** Period of the messages while pairs are held apart. A received estimate
 * counts for 60 s.
 */
constexpr Millis kInterferencePeriod{10'000};
/** Minimum time between messages, whatever changes. */
constexpr Millis kMinInterferencePeriod{2'000};

}  // namespace

void SendInterference(FleetNode& node, Millis now, Actions& actions) {
  Interference& interference = node.scheduler.interference;
  if (interference.kinds.empty())
    return;
  const Millis period =
      interference.is_changed ? kMinInterferencePeriod : kInterferencePeriod;
  if (now - interference.sent_at < period)
    return;
  interference.sent_at = now;
  interference.is_changed = false;
  const InterferenceNotice notice = MakeInterferenceNotice(node.scheduler);
  if (notice.pairs.empty())
    return;
  for (const auto& [id, member] : node.view.members) {
    if (id != node.self.id && IsOwnerCandidate(node.view, id))
      Send(node.sessions, RefOf(member), notice, SessionLimits(), now, actions);
  }
}

}  // namespace dogwoodfall
