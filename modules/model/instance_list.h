#ifndef DOGWOODFALL_MODULES_MODEL_INSTANCE_LIST_H_
#define DOGWOODFALL_MODULES_MODEL_INSTANCE_LIST_H_

#include <vector>

#include "model/daemon_member.h"
#include "model/endpoint_member.h"

namespace dogwoodfall {

/** The platform's list of instances and endpoints; it lags behind changes. */
struct InstanceList {
  std::vector<DaemonMember> daemons;
  std::vector<EndpointMember> endpoints;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_MODEL_INSTANCE_LIST_H_
