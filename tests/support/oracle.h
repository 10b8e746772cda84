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

/** A caller's request that has no answer yet. */
struct OpenCall {
  size_t daemon = 0;
  /** The submission it is about; its tasks are empty for a cancel. */
  Submission submission;
  Millis sent_at;
};

/** What callers were told and what ran, and whether the two agree. */
struct Oracle {
  /** Starts by customer, submission and task. */
  std::map<std::string, uint32_t> starts;
  /** Starts by customer and submission. */
  std::map<std::string, uint32_t> starts_of_submission;
  /** Submissions whose tasks may start more than once. */
  std::map<std::string, bool> may_repeat;
  std::map<uint64_t, OpenCall> open_calls;
  /** Callers told that nothing ran, with no request of the id open or sent
   * since.
   */
  std::map<std::string, Millis> told_not_started;
  std::map<ResultCode, uint64_t> answers;
  std::map<std::string, std::vector<Answer>> answers_of;
  uint64_t total_starts = 0;
  /** What went wrong; empty as long as every invariant holds. */
  std::vector<std::string> violations;
};

/** A caller sends a request. */
void RecordCall(Oracle& oracle, uint64_t caller, const OpenCall& call);

/** An endpoint begins a task. */
void RecordStart(Oracle& oracle, const StartTask& start);

/** A caller gets an answer. */
void RecordAnswer(Oracle& oracle, const AnswerCaller& answer);

/** The daemon that callers are connected to is dead: they get no answer. */
void RecordDaemonDeath(Oracle& oracle, size_t daemon);

/** Answers that a submission got so far. */
std::vector<Answer> AnswersOf(const Oracle& oracle,
                              const CustomerId& customer,
                              const SubmissionId& id);

/** Starts of all tasks of a submission. */
uint32_t StartsOf(const Oracle& oracle,
                  const CustomerId& customer,
                  const SubmissionId& id);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_TESTS_SUPPORT_ORACLE_H_
