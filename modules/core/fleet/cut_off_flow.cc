#include "core/fleet/cut_off_flow.h"

#include <algorithm>

#include "core/scheduling/job_lease.h"

namespace dogwoodfall {
namespace {

/** Silence from which this daemon counts as cut off, and time for which a
 * request may have been held up without any harm: its job is announced
 * kAnnounceJobAfter after its reading, which is still before its repeat.
 */
constexpr Millis kMinCut{500};
/** Time in which the requests are read that arrive together after a cut. */
constexpr Millis kBurstTime{100};

/** Returns true while requests that a cut has held up may still arrive: the
 * pauses between retransmissions grow up to the length of the cut.
 */
bool MayDeliverHeldUp(const NetworkCut& cut, Millis now) {
  return now - cut.ended_at <= cut.ended_at - cut.began_at;
}

void RecordHeardFromOutside(FleetNode& node, Millis now, Actions& actions) {
  if (IsCutOff(node, now)) {
    const Millis silent_since = node.outside_heard_at;
    if (!MayDeliverHeldUp(node.last_cut, silent_since))
      node.last_cut.began_at = silent_since;
    node.last_cut.ended_at = now;
    // Other daemons may have taken over this one's endpoints.
    ConfirmMembership(node.store, actions);
  }
  node.outside_heard_at = now;
}

}  // namespace

void RecordStoreAnswer(FleetNode& node, Millis now, Actions& actions) {
  RecordHeardFromOutside(node, now, actions);
}

void RecordPeerHeard(FleetNode& node,
                     const ZoneId& zone,
                     Millis now,
                     Actions& actions) {
  if (zone != node.zone || !node.hears_other_zones)
    RecordHeardFromOutside(node, now, actions);
}

void RecordCallerRequest(FleetNode& node, Millis now) {
  if (now - node.request_burst_began_at >= kBurstTime) {
    node.no_request_since = node.last_request_at;
    node.request_burst_began_at = now;
  }
  node.last_request_at = now;
}

bool IsCutOff(const FleetNode& node, Millis now) {
  return node.outside_heard_at != Millis() &&
         now - node.outside_heard_at >= kMinCut;
}

Millis GetMaxHeldUpTime(const FleetNode& node, Millis now) {
  Millis cut_began_at = now;
  if (MayDeliverHeldUp(node.last_cut, now))
    cut_began_at = node.last_cut.began_at;
  else if (IsCutOff(node, now))
    cut_began_at = node.outside_heard_at;
  const Millis held_up = now - std::max(cut_began_at, node.no_request_since);
  // The age at which a repeat arrives at the earliest says all that is needed.
  return held_up < kMinCut ? Millis() : std::min(held_up, kMinRepeatAge);
}

}  // namespace dogwoodfall
