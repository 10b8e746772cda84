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

/** Decides whether a new submission is taken. Nothing of it was started.
 *
 * @return the refusal, or nothing when it is taken
 */
std::optional<Answer> CheckAdmission(const Node& node,
                                     const SubmissionRecord& record,
                                     Millis now);

/** Least time in which tasks that ran could have run. */
Millis ComputeIdealTime(const Node& node,
                        const std::vector<TaskOutcome>& outcomes);

/** Tasks of a customer that this daemon may run at the same time now: its
 * share of the plan's limit by demand. Daemons that are out of reach keep
 * their even part, so that the sum holds on both sides of a cut.
 */
uint32_t ComputeConcurrentTaskShare(const Node& node,
                                    const CustomerId& customer,
                                    const PlanLimits& limits,
                                    Millis now);

/** Starts a second that this daemon may make for a customer. */
double ComputeStartRateShare(const Node& node,
                             const CustomerId& customer,
                             const PlanLimits& limits,
                             Millis now);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_NODE_ADMISSION_H_
