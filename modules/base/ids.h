#ifndef DOGWOODFALL_MODULES_BASE_IDS_H_
#define DOGWOODFALL_MODULES_BASE_IDS_H_

#include <cstdint>
#include <string>

#include "base/strong_id.h"

namespace dogwoodfall {

/** Name of a customer in the operators' list. */
using CustomerId = StrongId<struct CustomerTag, std::string>;
/** Name of a plan in the operators' list. */
using PlanId = StrongId<struct PlanTag, std::string>;
/** Name of an availability zone. */
using ZoneId = StrongId<struct ZoneTag, std::string>;
/** Name of an endpoint in the platform's list. */
using EndpointId = StrongId<struct EndpointTag, std::string>;
/** Name of a rack in the platform's list. */
using RackId = StrongId<struct RackTag, std::string>;
/** Name of a daemon, from its settings. */
using DaemonId = StrongId<struct DaemonTag, std::string>;
/** Id of a submission: minted by a daemon, or chosen by the caller. */
using SubmissionId = StrongId<struct SubmissionTag, std::string>;
/** Id of a task, unique within its submission. */
using TaskId = StrongId<struct TaskTag, std::string>;
/** Number of one process life of a daemon: the ms since 1970 at its start, so
 * that later lives have higher ones.
 */
using Incarnation = StrongId<struct IncarnationTag, uint64_t>;
/** Number of one start of a task; unique per task, counts upwards from 1. */
using Attempt = StrongId<struct AttemptTag, uint32_t>;
/** Number of the lease a started task runs under; unique per daemon life. */
using LeaseId = StrongId<struct LeaseTag, uint64_t>;
/** A caller's open request at the daemon that received it. */
using CallerToken = StrongId<struct CallerTokenTag, uint64_t>;
/** A store call that the core waits for. */
using StoreToken = StrongId<struct StoreTokenTag, uint64_t>;
/** A request that one daemon passed to another. */
using ForwardId = StrongId<struct ForwardTag, uint64_t>;

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_BASE_IDS_H_
