#ifndef DOGWOODFALL_MODULES_CORE_LEDGER_SUBMISSION_RECORD_H_
#define DOGWOODFALL_MODULES_CORE_LEDGER_SUBMISSION_RECORD_H_

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "core/ledger/submission_id.h"
#include "core/ledger/task_record.h"
#include "core/ledger/waiter.h"
#include "model/answer.h"
#include "model/waste.h"

namespace dogwoodfall {

/** Where a submission is in its life at its home. */
enum class SubmissionPhase : uint8_t {
  /** Its id is being claimed in the store; nothing may start. */
  kClaiming = 0,
  /** Its tasks may start. */
  kOpen = 1,
  /** It has its final answer. */
  kEnded = 2,
};

/** A submission at its home. */
struct SubmissionRecord {
  SubmissionId id;
  CustomerId customer;
  uint64_t fingerprint = 0;
  bool single_request = false;
  SubmissionPhase phase = SubmissionPhase::kOpen;
  Millis arrived;
  Millis deadline;
  /** The time in the id; entries are forgotten in its order. */
  Millis id_timestamp;
  std::vector<TaskRecord> tasks;
  std::unordered_map<TaskId, size_t> task_index;
  size_t tasks_left = 0;
  /** Run time expected of the tasks that have not ended. */
  Millis remaining_work;
  /** Bytes of the outputs so far. */
  size_t output_bytes = 0;
  uint32_t starts = 0;
  Waste waste;
  std::vector<Waiter> waiters;
  /** The final answer; its outcomes may be dropped before the entry is. */
  std::optional<Answer> answer;
  /** Bytes of outputs held in the answer. */
  size_t answer_bytes = 0;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_LEDGER_SUBMISSION_RECORD_H_
