#ifndef DOGWOODFALL_MODULES_MODEL_DAEMON_REF_H_
#define DOGWOODFALL_MODULES_MODEL_DAEMON_REF_H_

#include <tuple>

#include "base/ids.h"

namespace dogwoodfall {

/** Identifies one incarnation of a daemon. */
struct DaemonRef {
  DaemonId id;
  Incarnation incarnation;

  friend bool operator==(const DaemonRef& a, const DaemonRef& b) {
    return a.id == b.id && a.incarnation == b.incarnation;
  }
  friend bool operator!=(const DaemonRef& a, const DaemonRef& b) {
    return !(a == b);
  }
  friend bool operator<(const DaemonRef& a, const DaemonRef& b) {
    return std::tie(a.id, a.incarnation) < std::tie(b.id, b.incarnation);
  }
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_MODEL_DAEMON_REF_H_
