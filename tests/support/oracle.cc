#include "oracle.h"

#include <set>

namespace dogwoodfall {
namespace {

std::string SubmissionName(const CustomerId& customer, const SubmissionId& id) {
  return customer.value + "/" + id.value;
}

void AddViolation(Oracle& oracle, const std::string& description) {
  oracle.violations.push_back(description);
}

/** Returns the output that an endpoint produces for a task. */
std::string ExpectedOutput(const std::string& submission, const TaskId& task) {
  return submission + "#" + task.value;
}

void CheckComplete(Oracle& oracle,
                   const std::string& name,
                   const OpenCall& call,
                   const Answer& answer) {
  std::set<TaskId> seen;
  for (const TaskOutcome& outcome : answer.outcomes) {
    seen.insert(outcome.task);
    if (oracle.starts[name + "/" + outcome.task.value] == 0)
      AddViolation(oracle,
                   name + ": complete answer contains a task that did not run");
    if (outcome.output != ExpectedOutput(name, outcome.task))
      AddViolation(oracle,
                   name + ": answer contains the output of another task");
  }
  if (seen.size() != answer.outcomes.size())
    AddViolation(oracle, name + ": answer contains a task twice");
  for (const TaskSpec& task : call.submission.tasks) {
    if (seen.count(task.id) == 0)
      AddViolation(oracle, name + ": complete answer lacks a task");
  }
  if (!call.submission.tasks.empty() &&
      seen.size() != call.submission.tasks.size())
    AddViolation(
        oracle,
        name + ": complete answer contains tasks that were not submitted");
}

bool HasOpenCall(const Oracle& oracle, const std::string& name) {
  for (const auto& [caller, call] : oracle.open_calls) {
    if (SubmissionName(call.submission.customer, call.submission.id) == name &&
        !call.submission.tasks.empty())
      return true;
  }
  return false;
}

}  // namespace

void RecordCall(Oracle& oracle, uint64_t caller, const OpenCall& call) {
  oracle.open_calls[caller] = call;
  const std::string name =
      SubmissionName(call.submission.customer, call.submission.id);
  if (call.submission.tasks.empty())
    return;
  oracle.reported_not_started.erase(name);
  if (call.submission.single_request && call.submission.tasks[0].idempotent)
    oracle.may_repeat[name] = true;
}

void RecordStart(Oracle& oracle, const StartTask& start) {
  const std::string name = SubmissionName(start.customer, start.submission);
  ++oracle.total_starts;
  ++oracle.starts_of_submission[name];
  const uint32_t starts = ++oracle.starts[name + "/" + start.task.id.value];
  // If the caller sent no id, its permission to repeat is recorded under an
  // empty id.
  const bool is_repeat_allowed =
      start.task.idempotent &&
      (oracle.may_repeat.count(name) > 0 ||
       oracle.may_repeat.count(SubmissionName(start.customer, {})) > 0);
  if (starts > 1 && !is_repeat_allowed)
    AddViolation(oracle, name + "/" + start.task.id.value + ": started twice");
  if (oracle.reported_not_started.count(name) > 0)
    AddViolation(oracle,
                 name + ": started after it was reported as not started");
}

void RecordAnswer(Oracle& oracle, const AnswerCaller& action) {
  const auto open = oracle.open_calls.find(action.caller.value);
  if (open == oracle.open_calls.end()) {
    AddViolation(oracle,
                 "answer without an open request, or a second answer to one");
    return;
  }
  const OpenCall call = open->second;
  oracle.open_calls.erase(open);
  const Answer& answer = action.answer;
  const bool has_id = !call.submission.id.value.empty();
  if (has_id && answer.id != call.submission.id)
    AddViolation(oracle, call.submission.id.value + ": answer for another id");
  const std::string name = SubmissionName(call.submission.customer, answer.id);
  ++oracle.answers[answer.code];
  oracle.answers_of[name].push_back(answer);
  if (answer.status == AnswerStatus::kComplete) {
    CheckComplete(oracle, name, call, answer);
  } else if (!answer.outcomes.empty()) {
    AddViolation(oracle, name + ": answer is not complete but has outcomes");
  }
  if (answer.status != AnswerStatus::kComplete &&
      answer.state == StartState::kNotStarted) {
    if (oracle.starts_of_submission[name] > 0)
      AddViolation(oracle,
                   name + ": reported as not started, but it has started");
    if (!HasOpenCall(oracle, name))
      oracle.reported_not_started[name] = Millis{};
  }
}

void RecordDaemonDeath(Oracle& oracle, size_t daemon) {
  for (auto call = oracle.open_calls.begin();
       call != oracle.open_calls.end();) {
    call = call->second.daemon == daemon ? oracle.open_calls.erase(call)
                                         : std::next(call);
  }
}

std::vector<Answer> AnswersOf(const Oracle& oracle,
                              const CustomerId& customer,
                              const SubmissionId& id) {
  const auto found = oracle.answers_of.find(SubmissionName(customer, id));
  return found == oracle.answers_of.end() ? std::vector<Answer>()
                                          : found->second;
}

uint32_t StartsOf(const Oracle& oracle,
                  const CustomerId& customer,
                  const SubmissionId& id) {
  const auto found =
      oracle.starts_of_submission.find(SubmissionName(customer, id));
  return found == oracle.starts_of_submission.end() ? 0 : found->second;
}

}  // namespace dogwoodfall
