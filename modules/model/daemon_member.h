#ifndef DOGWOODFALL_MODULES_MODEL_DAEMON_MEMBER_H_
#define DOGWOODFALL_MODULES_MODEL_DAEMON_MEMBER_H_

#include <cstdint>
#include <string>

#include "base/ids.h"

namespace dogwoodfall {

/** A daemon as listed by the platform. */
struct DaemonMember {
  DaemonId id;
  ZoneId zone;
  /** IP address of the instance. */
  std::string ip;
  uint16_t peer_tcp_port = 0;
  uint16_t peer_udp_port = 0;
  /** Share of work relative to other daemons, derived from the instance's size.
   */
  uint32_t weight = 1;
  /** True when the platform is about to remove the instance. */
  bool leaving = false;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_MODEL_DAEMON_MEMBER_H_
