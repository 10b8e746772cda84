#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_ENDPOINT_KINDS_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_ENDPOINT_KINDS_H_

/** @file
 * Derives the speed of an endpoint with few or no runs from that of its kind,
 * where the kinds differ clearly (docs/design/ENDPOINT-SPEEDS.md). Without
 * SchedulingOptions::endpoint_kinds these functions change nothing except the
 * number of observed runs.
 */

#include <cstddef>
#include <string>
#include <vector>

#include "core/scheduling/scheduler.h"
#include "model/endpoint_speeds_notice.h"
#include "model/kind_speed.h"

namespace dogwoodfall {

/** Maximum number of kinds that are told apart. */
inline constexpr size_t kMaxKinds = 16;
/** Maximum length of a kind in bytes; longer ones are not learned. */
inline constexpr size_t kMaxKindLength = 64;
/** Maximum number of endpoints in one handover of speeds, and of speeds kept
 * for endpoints that are not owned yet.
 */
inline constexpr size_t kMaxSpeedsPerNotice = 1'000;

/** Counts a run observed on an endpoint.
 *
 * @param smoothing weight of a run after many
 * @return the weight of this run in the endpoint's learned slowness; higher for
 *         the first ones unless the endpoint's speed comes from its kind
 */
double CountObservedRun(const SchedulingOptions& options,
                        ManagedEndpoint& endpoint,
                        double smoothing);

/** Returns the speed of a kind, or null where it is not known or says nothing
 * about an endpoint.
 */
const KindSpeed* FindKindSpeed(const Scheduler& scheduler,
                               const std::string& kind);

/** Returns the slowness that an endpoint without runs starts from: that of its
 * kind, or 1.
 */
double GetInitialSlowness(const Scheduler& scheduler,
                          const EndpointEntry& entry);

/** Sets the speed of an endpoint that has become owned, from what its previous
 * owner has sent or from its kind.
 */
void InitializeSpeed(Scheduler& scheduler, ManagedEndpoint& endpoint);

/** Lets an endpoint start anew when its next entry names another kind. Called
 * before the entry is replaced.
 */
void HandleKindChange(const Scheduler& scheduler,
                      ManagedEndpoint& endpoint,
                      const EndpointEntry& entry);

/** Learns the speeds of the kinds from those of the endpoints, and lets
 * endpoints with few or no runs start from them.
 */
void UpdateEndpointKinds(Scheduler& scheduler, Millis now, Actions& actions);

/** Replaces the speeds of kinds that other owners have reported by their
 * averages, weighted by numbers of endpoints. Without any report, the former
 * ones are kept.
 */
void SetReportedKinds(Scheduler& scheduler,
                      const std::vector<const std::vector<KindSpeed>*>& reports,
                      Actions& actions);

/** Returns the speeds of kinds to report to other daemons, at most kMaxKinds;
 * none while this daemon owns no endpoints.
 */
std::vector<KindSpeed> ListLearnedKinds(const Scheduler& scheduler);

/** Returns the learned speed of an endpoint to send to its next owner. */
EndpointSpeed MakeEndpointSpeed(const ManagedEndpoint& endpoint);

/** Takes the speeds that the previous owner of endpoints has learned, unless
 * more runs were observed here or the endpoint has restarted since. Speeds of
 * endpoints that are not owned yet are kept for a few seconds.
 */
void ReceiveEndpointSpeeds(Scheduler& scheduler,
                           const EndpointSpeedsNotice& notice,
                           Millis now);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_ENDPOINT_KINDS_H_
