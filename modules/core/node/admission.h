#ifndef DOGWOODFALL_MODULES_CORE_NODE_ADMISSION_H_
#define DOGWOODFALL_MODULES_CORE_NODE_ADMISSION_H_

#include <optional>
#include <vector>

#include "base/millis.h"
#include "core/ledger/submission_record.h"
#include "core/node/node.h"
#include "model/answer.h"
#include "model/task_outcome.h"

namespace dogwoodfall {

/** Decides whether a new submission is accepted. To be called before any of its
 * tasks is assigned.
 *
 * @return the answer of the refusal; nothing if the submission is accepted
 */
std::optional<Answer> CheckAdmission(const Node& node,
                                     const SubmissionRecord& record,
                                     Millis now);

/** Computes the minimum time in which the tasks could have run on all available
 * slots.
 */
Millis ComputeIdealTime(const Node& node,
                        const std::vector<TaskOutcome>& outcomes);

/** Computes the number of a customer's tasks that this daemon may run at the
 * same time: its share of the plan's limit, in proportion to demand. An even
 * part is reserved for each unreachable daemon, so that the limit also holds in
 * total when the network is partitioned.
 */
uint32_t ComputeConcurrentTaskShare(const Node& node,
                                    const CustomerId& customer,
                                    const PlanLimits& limits,
                                    Millis now);

/** Computes the number of starts per second that this daemon may make for a
 * customer.
 */
double ComputeStartRateShare(const Node& node,
                             const CustomerId& customer,
                             const PlanLimits& limits,
                             Millis now);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_NODE_ADMISSION_H_
