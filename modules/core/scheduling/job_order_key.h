#ifndef DOGWOODFALL_MODULES_CORE_SCHEDULING_JOB_ORDER_KEY_H_
#define DOGWOODFALL_MODULES_CORE_SCHEDULING_JOB_ORDER_KEY_H_

#include <cstdint>
#include <utility>

#include "base/ids.h"

namespace dogwoodfall {

/** Sort key of a waiting job in the queue; jobs with lower keys go first.
 *
 * @see job_order.h
 */
using JobOrderKey = std::pair<int64_t, SubmissionId>;

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_SCHEDULING_JOB_ORDER_KEY_H_
