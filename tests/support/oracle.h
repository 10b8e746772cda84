#ifndef DOGWOODFALL_TESTS_SUPPORT_ORACLE_H_
#define DOGWOODFALL_TESTS_SUPPORT_ORACLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "model/answer.h"
#include "model/submission.h"
#include "ports/action.h"

namespace dogwoodfall {

/** A caller's request that has not been answered yet. */
struct OpenCall {
  size_t daemon = 0;
  /** The submission it is about; its tasks are empty for a cancel. */
  Submission submission;
  Millis sent_at;
};

/** Checks that the answers callers received agree with what ran. */
struct Oracle {
  /** Number of starts by customer, submission and task. */
  std::map<std::string, uint32_t> starts;
  /** Number of starts by customer and submission. */
  std::map<std::string, uint32_t> starts_of_submission;
  /** Submissions whose tasks may start more than once. */
  std::map<std::string, bool> may_repeat;
  std::map<uint64_t, OpenCall> open_calls;
  /** Submissions reported as not started while no request of the same id was
   * open, and without a request of that id since.
   */
  std::map<std::string, Millis> reported_not_started;
  /** Number of answers by result code. */
  std::map<ResultCode, uint64_t> answers;
  /** Answers by customer and submission. */
  std::map<std::string, std::vector<Answer>> answers_of;
  uint64_t total_starts = 0;
  /** Violated invariants; empty as long as every invariant holds. */
  std::vector<std::string> violations;
};

/** Records that a caller sends a request. */
void RecordCall(Oracle& oracle, uint64_t caller, const OpenCall& call);

/** Records that an endpoint starts a task. */
void RecordStart(Oracle& oracle, const StartTask& start);

/** Records and checks an answer to a caller. */
void RecordAnswer(Oracle& oracle, const AnswerCaller& action);

/** Drops the open requests at a daemon that has died, since they get no answer.
 */
void RecordDaemonDeath(Oracle& oracle, size_t daemon);

/** Returns the answers given for a submission so far. */
std::vector<Answer> AnswersOf(const Oracle& oracle,
                              const CustomerId& customer,
                              const SubmissionId& id);

/** Returns the number of starts of all tasks of a submission. */
uint32_t StartsOf(const Oracle& oracle,
                  const CustomerId& customer,
                  const SubmissionId& id);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_TESTS_SUPPORT_ORACLE_H_
