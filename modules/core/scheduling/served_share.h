#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_SERVED_SHARE_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_SERVED_SHARE_H_

#include <string>
#include <tuple>

#include "base/ids.h"
#include "base/millis.h"

namespace dogwoodfall {

/** Jobs that admission treats alike: zone of the receiver, route, and whether
 * they are among the largest tenth of the route.
 */
using ShareKey = std::tuple<ZoneId, std::string, bool>;

/** Processor time, in core-milliseconds, that jobs of one ShareKey have asked
 * for and got in the last seconds. Both decay.
 */
struct ServedShare {
  double demanded = 0;
  double served = 0;
  Millis updated_at;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_SERVED_SHARE_H_
