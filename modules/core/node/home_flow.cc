#include "core/node/home_flow.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "core/node/admission.h"
#include "core/node/request_flow.h"
#include "core/node/request_routing.h"
#include "core/node/scheduler_flow.h"

namespace dogwoodfall {
namespace {

/** Puts a task of a submission into the queue of this daemon. */
void AssignHere(Node& node,
                const SubmissionRecord& record,
                TaskRecord& task,
                Millis now) {
  task.holder = node.settings.self;
  QueuedTask queued;
  queued.submission = record.id;
  queued.customer = record.customer;
  queued.task = task.spec;
  queued.home = node.settings.self;
  queued.first_attempt = task.first_attempt;
  queued.next_attempt = task.first_attempt;
  queued.deadline = record.deadline;
  queued.remaining_work = record.remaining_work;
  queued.expected_run_time = task.expected_run_time;
  queued.queued_at = now;
  Push(node.dispatch.queue, std::move(queued));
}

/** Takes back whatever of a submission has not ended. What can't be shown to
 * be unstarted may have started.
 */
void WithdrawTasks(Node& node,
                   Millis now,
                   SubmissionRecord& record,
                   Actions& actions) {
  std::map<DaemonRef, TaskCancellation> cancels;
  for (TaskRecord& task : record.tasks) {
    if (task.ended)
      continue;
    if (task.holder != node.settings.self) {
      task.state = Combine(task.state, StartState::kMayHaveStarted);
      TaskCancellation& message = cancels[task.holder];
      message.customer = record.customer;
      message.submission = record.id;
      message.tasks.push_back(task.spec.id);
      continue;
    }
    const TaskKey key{KeyOf(record.customer, record.id), task.spec.id};
    const Withdrawal withdrawal = Withdraw(node, key, actions);
    record.waste.stops += withdrawal == Withdrawal::kStopped ? 1 : 0;
    if (withdrawal != Withdrawal::kFromQueue)
      task.state = Combine(task.state, StartState::kMayHaveStarted);
  }
  for (auto& [holder, message] : cancels) {
    ++record.waste.stops;
    Send(node.sessions, holder, std::move(message), node.settings.sessions, now,
         actions);
  }
}

void LogAnswer(const Answer& answer,
               const CustomerId& customer,
               Actions& actions) {
  LogEvent event;
  event.name = "answer";
  event.fields = {{"submission", answer.id.value},
                  {"customer", customer.value},
                  {"status", NameOf(answer.status)},
                  {"code", std::to_string(static_cast<int>(answer.code))},
                  {"state", std::string(NameOf(answer.state))},
                  {"response_ms", std::to_string(answer.response_time.count)},
                  {"ideal_ms", std::to_string(answer.ideal_time.count)},
                  {"starts", std::to_string(answer.starts)},
                  {"wasted", std::to_string(answer.waste.Total())}};
  actions.push_back(std::move(event));
}

/** Ends a submission and gives everybody who waits the one answer. */
void EndSubmission(Node& node,
                   Millis now,
                   SubmissionRecord& record,
                   const Answer& answer,
                   Actions& actions) {
  const std::vector<Waiter> waiters = std::move(record.waiters);
  EndRecord(node.ledger, record, answer, node.settings.ledger);
  ++node.counters.answers[answer.code];
  LogAnswer(answer, record.customer, actions);
  for (const Waiter& waiter : waiters)
    Deliver(node, now, waiter, answer, actions);
}

void FailSubmission(Node& node,
                    Millis now,
                    SubmissionRecord& record,
                    ResultCode code,
                    Actions& actions) {
  WithdrawTasks(node, now, record, actions);
  const Answer answer = FailedRecordAnswer(record, code, now);
  EndSubmission(node, now, record, answer, actions);
}

/** Removes a submission of which nothing was started, with this answer. */
void TurnAway(Node& node,
              Millis now,
              const SubmissionKey& key,
              const Answer& answer,
              Actions& actions) {
  SubmissionRecord* record = FindRecord(node.ledger, key);
  const std::vector<Waiter> waiters = std::move(record->waiters);
  const CustomerId customer = record->customer;
  RemoveRecord(node.ledger, key);
  ++node.counters.answers[answer.code];
  LogAnswer(answer, customer, actions);
  for (const Waiter& waiter : waiters)
    Deliver(node, now, waiter, answer, actions);
}

/** Takes a submission whose id is known to be new, or refuses it. */
void Admit(Node& node, Millis now, const SubmissionKey& key, Actions& actions) {
  SubmissionRecord* record = FindRecord(node.ledger, key);
  const std::optional<Answer> refusal = CheckAdmission(node, *record, now);
  if (refusal) {
    TurnAway(node, now, key, *refusal, actions);
    return;
  }
  record->phase = SubmissionPhase::kOpen;
  for (TaskRecord& task : record->tasks) {
    task.expected_run_time =
        ExpectedRunTime(node.dispatch.run_times, record->customer, task.spec);
    record->remaining_work = record->remaining_work + task.expected_run_time;
  }
  for (TaskRecord& task : record->tasks)
    AssignHere(node, *record, task, now);
  Pump(node, now, actions);
}

/** Answers a request about a submission that is in the ledger. */
void HandleKnown(Node& node,
                 Millis now,
                 Waiter waiter,
                 SubmissionRecord& record,
                 const SubmissionRequest& request,
                 Actions& actions) {
  const auto* submit = std::get_if<SubmitForward>(&request);
  const auto* status = std::get_if<StatusForward>(&request);
  const CustomerId& customer = CustomerOf(request);
  // The submission itself may well have run: only this request did nothing.
  if (customer != record.customer) {
    Deliver(node, now, waiter,
            FailedAnswer(record.id, ResultCode::kIdOfAnotherCustomer,
                         StartState::kMayHaveStarted),
            actions);
    return;
  }
  if (submit != nullptr &&
      FingerprintOf(submit->submission) != record.fingerprint) {
    Deliver(node, now, waiter,
            FailedAnswer(record.id, ResultCode::kResubmissionDiffers,
                         StartState::kMayHaveStarted),
            actions);
    return;
  }
  if (record.phase == SubmissionPhase::kEnded) {
    Deliver(node, now, waiter, *record.answer, actions);
    return;
  }
  if (status != nullptr) {
    waiter.answer_by = now + status->wait;
    node.polls.emplace(*waiter.answer_by, KeyOf(customer, record.id));
  }
  record.waiters.push_back(waiter);
  if (submit != nullptr || status != nullptr)
    return;
  if (record.phase == SubmissionPhase::kClaiming) {
    // Nothing was started here, but whether the id is new is not known.
    const Answer answer = FailedAnswer(record.id, ResultCode::kCancelled,
                                       StartState::kMayHaveStarted);
    EndSubmission(node, now, record, answer, actions);
    return;
  }
  FailSubmission(node, now, record, ResultCode::kCancelled, actions);
}

/** The time in an id that can be read. */
Millis StampIn(const ParsedId& parsed) {
  if (const auto* minted = std::get_if<MintedId>(&parsed))
    return minted->minted_at;
  return std::get<CallerChosenId>(parsed).first_sent_at;
}

/** Answers for an id that is not in the ledger and is not taken as new. */
Answer UnknownAnswer(const Node& node,
                     const SubmissionId& id,
                     const ParsedId& parsed,
                     Millis now) {
  const auto* minted = std::get_if<MintedId>(&parsed);
  const Millis id_timestamp = StampIn(parsed);
  const Millis low_watermark = minted != nullptr
                                   ? LowWatermarkOf(node.ledger, minted->home)
                                   : node.ledger.chosen_low_watermark;
  if (id_timestamp < low_watermark ||
      id_timestamp < now - node.settings.ledger.window)
    return FailedAnswer(id, ResultCode::kIdTooOld, StartState::kMayHaveStarted);
  if (minted != nullptr)
    return RefusedAnswer(id, ResultCode::kUnknownSubmission);
  return PendingAnswer(id, ResultCode::kUnknownSubmission,
                       StartState::kMayHaveStarted, node.settings.retry_pause);
}

/** True when an id that is not in the ledger was never used: every submission
 * that was is held for the window.
 */
bool IsUnused(const Node& node,
              const ParsedId& parsed,
              const DaemonRef& claimant,
              Millis now) {
  const Millis id_timestamp = StampIn(parsed);
  if (id_timestamp < now - node.settings.ledger.window)
    return false;
  const auto* minted = std::get_if<MintedId>(&parsed);
  if (minted == nullptr)
    return !claimant.id.value.empty() &&
           id_timestamp >= node.ledger.chosen_low_watermark;
  if (id_timestamp < LowWatermarkOf(node.ledger, minted->home))
    return false;
  return minted->home != node.settings.self ||
         minted->counter <= node.ledger.minted;
}

}  // namespace

void HandleAtHome(Node& node,
                  Millis now,
                  const Waiter& waiter,
                  const SubmissionRequest& request,
                  Actions& actions) {
  const auto* submit = std::get_if<SubmitForward>(&request);
  const SubmissionId& id = IdOf(request);
  const SubmissionKey key = KeyOf(CustomerOf(request), id);
  SubmissionRecord* record = FindRecord(node.ledger, key);
  if (record != nullptr) {
    HandleKnown(node, now, waiter, *record, request, actions);
    return;
  }
  const Result<ParsedId> parsed = ParseSubmissionId(id);
  if (submit == nullptr ||
      !IsUnused(node, parsed.value(), submit->claimant, now)) {
    Deliver(node, now, waiter, UnknownAnswer(node, id, parsed.value(), now),
            actions);
    return;
  }
  OpenRecord(node.ledger, submit->submission, node.settings.self,
             StampIn(parsed.value()), now)
      .waiters.push_back(waiter);
  Admit(node, now, key, actions);
}

void HandleAtClaimOwner(Node& node,
                        Millis now,
                        const Waiter& waiter,
                        const SubmissionRequest& request,
                        Actions& actions) {
  const auto* submit = std::get_if<SubmitForward>(&request);
  if (submit == nullptr) {
    HandleAtHome(node, now, waiter, request, actions);
    return;
  }
  const Submission& submission = submit->submission;
  const SubmissionKey key = KeyOf(submission.customer, submission.id);
  const Result<ParsedId> parsed = ParseSubmissionId(submission.id);
  const Millis id_timestamp = StampIn(parsed.value());
  if (id_timestamp < now - node.settings.claims.window ||
      id_timestamp < node.ledger.chosen_low_watermark) {
    Deliver(node, now, waiter,
            FailedAnswer(submission.id, ResultCode::kIdTooOld,
                         StartState::kMayHaveStarted),
            actions);
    return;
  }
  if (!QueueClaim(node.claims, key, id_timestamp, node.settings.claims)) {
    DeliverPending(node, now, waiter, submission.id,
                   ResultCode::kClaimUndecided, actions);
    return;
  }
  SubmissionRecord& record = OpenRecord(node.ledger, submission,
                                        node.settings.self, id_timestamp, now);
  record.phase = SubmissionPhase::kClaiming;
  record.waiters.push_back(waiter);
  node.claim_waits.emplace(now + node.settings.claims.max_wait, key);
}

void TakeClaimed(Node& node,
                 Millis now,
                 const std::vector<SubmissionKey>& claimed,
                 Actions& actions) {
  for (const SubmissionKey& key : claimed) {
    const SubmissionRecord* record = FindRecord(node.ledger, key);
    if (record != nullptr && record->phase == SubmissionPhase::kClaiming)
      Admit(node, now, key, actions);
  }
}

void GiveUpClaims(Node& node,
                  Millis now,
                  const std::vector<SubmissionKey>& undecided,
                  Actions& actions) {
  for (const SubmissionKey& key : undecided) {
    const SubmissionRecord* record = FindRecord(node.ledger, key);
    if (record == nullptr || record->phase != SubmissionPhase::kClaiming)
      continue;
    TurnAway(
        node, now, key,
        PendingAnswer(record->id, ResultCode::kClaimUndecided,
                      StartState::kMayHaveStarted, node.settings.retry_pause),
        actions);
  }
}

void ExpireClaims(Node& node, Millis now, Actions& actions) {
  while (!node.claim_waits.empty() && node.claim_waits.begin()->first <= now) {
    const SubmissionKey key = node.claim_waits.begin()->second;
    node.claim_waits.erase(node.claim_waits.begin());
    const SubmissionRecord* record = FindRecord(node.ledger, key);
    // A later submission under the same id has a wait of its own.
    if (record != nullptr &&
        record->arrived + node.settings.claims.max_wait <= now)
      GiveUpClaims(node, now, {key}, actions);
  }
}

void HandleReport(Node& node,
                  Millis now,
                  const DaemonRef& from,
                  const TaskReport& report,
                  Actions& actions) {
  const SubmissionKey key = KeyOf(report.customer, report.submission);
  SubmissionRecord* record = FindRecord(node.ledger, key);
  if (record == nullptr) {
    ++node.ledger.unmatched_reports;
    ++node.counters.waste.dropped_answers;
    return;
  }
  const ReportEffect effect =
      ApplyReport(*record, from, report, node.settings.retries);
  switch (effect) {
    case ReportEffect::kUnmatched:
      ++node.ledger.unmatched_reports;
      ++node.counters.waste.dropped_answers;
      return;
    case ReportEffect::kSucceeded:
      record->output_bytes += report.outcome.output.size();
      if (record->output_bytes > node.settings.max_output_bytes) {
        FailSubmission(node, now, *record, ResultCode::kAnswerTooLarge,
                       actions);
        return;
      }
      if (record->tasks_left == 0) {
        Answer answer = CompleteAnswer(*record, now);
        answer.ideal_time = IdealTime(node, answer.outcomes);
        EndSubmission(node, now, *record, answer, actions);
      }
      return;
    case ReportEffect::kFailed: {
      const size_t index = record->task_index.at(report.outcome.task);
      FailSubmission(node, now, *record, record->tasks[index].outcome.code,
                     actions);
      return;
    }
    case ReportEffect::kReassign: {
      const size_t index = record->task_index.at(report.outcome.task);
      AssignHere(node, *record, record->tasks[index], now);
      Pump(node, now, actions);
      return;
    }
  }
}

void ExpireSubmissions(Node& node, Millis now, Actions& actions) {
  auto& by_deadline = node.ledger.open_by_deadline;
  while (!by_deadline.empty() && by_deadline.begin()->first <= now) {
    const SubmissionKey key = by_deadline.begin()->second;
    SubmissionRecord& record = node.ledger.records.at(key);
    if (record.phase == SubmissionPhase::kClaiming)
      GiveUpClaims(node, now, {key}, actions);
    else
      FailSubmission(node, now, record, ResultCode::kDeadlineExceeded, actions);
  }
}

void SettleTasksOf(Node& node,
                   Millis now,
                   const DaemonRef& ended,
                   Actions& actions) {
  std::vector<TaskReport> reports;
  for (const auto& [key, record] : node.ledger.records) {
    if (record.phase != SubmissionPhase::kOpen)
      continue;
    for (const TaskRecord& task : record.tasks) {
      if (task.ended || task.holder != ended)
        continue;
      TaskReport report;
      report.submission = record.id;
      report.customer = record.customer;
      report.outcome.task = task.spec.id;
      report.outcome.code = ResultCode::kDaemonLost;
      report.outcome.state = StartState::kMayHaveStarted;
      report.first_attempt = task.first_attempt;
      // Numbers that the lost daemon may have used are not used again.
      report.last_attempt =
          Attempt(task.first_attempt.value + node.settings.max_start_attempts);
      reports.push_back(std::move(report));
    }
  }
  std::sort(reports.begin(), reports.end(),
            [](const TaskReport& a, const TaskReport& b) {
              return std::tie(a.submission, a.outcome.task) <
                     std::tie(b.submission, b.outcome.task);
            });
  for (const TaskReport& report : reports)
    HandleReport(node, now, ended, report, actions);
}

}  // namespace dogwoodfall
