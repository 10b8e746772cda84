#include "oracle.h"

#include <set>

namespace dogwoodfall {
namespace {

std::string NameOf(const CustomerId& customer, const SubmissionId& id) {
  return customer.value + "/" + id.value;
}

void Violate(Oracle& oracle, const std::string& what) {
  oracle.violations.push_back(what);
}

/** The output that an endpoint gives for a task. */
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
      Violate(oracle, name + ": a complete answer has a task that did not run");
    if (outcome.output != ExpectedOutput(name, outcome.task))
      Violate(oracle, name + ": an answer has the output of another task");
  }
  if (seen.size() != answer.outcomes.size())
    Violate(oracle, name + ": an answer has a task twice");
  for (const TaskSpec& task : call.submission.tasks) {
    if (seen.count(task.id) == 0)
      Violate(oracle, name + ": a complete answer lacks a task");
  }
  if (!call.submission.tasks.empty() &&
      seen.size() != call.submission.tasks.size())
    Violate(oracle, name + ": a complete answer has foreign tasks");
}

bool HasOpenCall(const Oracle& oracle, const std::string& name) {
  for (const auto& [caller, call] : oracle.open_calls) {
    if (NameOf(call.submission.customer, call.submission.id) == name &&
        !call.submission.tasks.empty())
      return true;
  }
  return false;
}

}  // namespace

void RecordCall(Oracle& oracle, uint64_t caller, const OpenCall& call) {
  oracle.open_calls[caller] = call;
  const std::string name = NameOf(call.submission.customer, call.submission.id);
  if (call.submission.tasks.empty())
    return;
  oracle.told_not_started.erase(name);
  if (call.submission.single_request && call.submission.tasks[0].idempotent)
    oracle.may_repeat[name] = true;
}

void RecordStart(Oracle& oracle, const StartTask& start) {
  const std::string name = NameOf(start.customer, start.submission);
  ++oracle.total_starts;
  ++oracle.starts_of_submission[name];
  const uint32_t starts = ++oracle.starts[name + "/" + start.task.id.value];
  // Without an id of the caller's, nobody can have allowed a repeat.
  const bool may_repeat =
      start.task.idempotent &&
      (oracle.may_repeat.count(name) > 0 ||
       oracle.may_repeat.count(NameOf(start.customer, {})) > 0);
  if (starts > 1 && !may_repeat)
    Violate(oracle, name + "/" + start.task.id.value + ": started twice");
  if (oracle.told_not_started.count(name) > 0)
    Violate(oracle, name + ": started after its caller was told it did not");
}

void RecordAnswer(Oracle& oracle, const AnswerCaller& answer) {
  const auto open = oracle.open_calls.find(answer.caller.value);
  if (open == oracle.open_calls.end()) {
    Violate(oracle, "an answer without a request, or a second one");
    return;
  }
  const OpenCall call = open->second;
  oracle.open_calls.erase(open);
  const Answer& told = answer.answer;
  const bool had_id = !call.submission.id.value.empty();
  if (had_id && told.id != call.submission.id)
    Violate(oracle, call.submission.id.value + ": answer for another id");
  const std::string name = NameOf(call.submission.customer, told.id);
  ++oracle.answers[told.code];
  oracle.answers_of[name].push_back(told);
  if (told.status == AnswerStatus::kComplete) {
    CheckComplete(oracle, name, call, told);
  } else if (!told.outcomes.empty()) {
    Violate(oracle, name + ": an answer that is not complete has outcomes");
  }
  if (told.status != AnswerStatus::kComplete &&
      told.state == StartState::kNotStarted) {
    if (oracle.starts_of_submission[name] > 0)
      Violate(oracle, name + ": told that it did not start, but it has");
    if (!HasOpenCall(oracle, name))
      oracle.told_not_started[name] = Millis{};
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
  const auto found = oracle.answers_of.find(NameOf(customer, id));
  return found == oracle.answers_of.end() ? std::vector<Answer>()
                                          : found->second;
}

uint32_t StartsOf(const Oracle& oracle,
                  const CustomerId& customer,
                  const SubmissionId& id) {
  const auto found = oracle.starts_of_submission.find(NameOf(customer, id));
  return found == oracle.starts_of_submission.end() ? 0 : found->second;
}

}  // namespace dogwoodfall
