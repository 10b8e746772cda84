#ifndef DOGWOODFALL_MODULES_BASE_IDS_H_
#define DOGWOODFALL_MODULES_BASE_IDS_H_

#include <cstdint>
#include <string>

#include "base/strong_id.h"

namespace dogwoodfall {

/** Name of a customer in the operators' configuration. */
using CustomerId = StrongId<struct CustomerTag, std::string>;
/** Name of a plan in the operators' configuration. */
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
/** Identifies one run of a daemon process, from start to exit. It is the start
 * time in ms since 1970, so that later incarnations have higher numbers.
 */
using Incarnation = StrongId<struct IncarnationTag, uint64_t>;
/** Number of one start of a task; unique per task, starts at 1. */
using Attempt = StrongId<struct AttemptTag, uint32_t>;
/** Lease that a started task runs under; unique per incarnation of a daemon. */
using LeaseId = StrongId<struct LeaseTag, uint64_t>;
/** Identifies a caller's open request at the daemon that received it. */
using CallerToken = StrongId<struct CallerTokenTag, uint64_t>;
/** Identifies an open store call of the core. */
using StoreToken = StrongId<struct StoreTokenTag, uint64_t>;
/** Identifies a request that one daemon forwarded to another. */
using ForwardId = StrongId<struct ForwardTag, uint64_t>;

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_BASE_IDS_H_
