#include "core/ledger/ledger.h"

#include <algorithm>
#include <cassert>

namespace dogwoodfall {
namespace {

/** The time in an id, or 0 for an id that can't be read. */
Millis StampOf(const SubmissionId& id) {
  const Result<ParsedId> parsed = ParseSubmissionId(id);
  if (!parsed.ok())
    return {};
  if (const auto* minted = std::get_if<MintedId>(&parsed.value()))
    return minted->minted_at;
  return std::get<CallerChosenId>(parsed.value()).first_sent_at;
}

size_t BytesOf(const Answer& answer) {
  size_t bytes = 0;
  for (const TaskOutcome& outcome : answer.outcomes)
    bytes += outcome.output.size() + sizeof(TaskOutcome);
  return bytes;
}

/** Drops the outputs of one ended submission; its state stays known. */
void DropOutputs(Ledger& ledger, SubmissionRecord& record) {
  ledger.answer_bytes -= record.answer_bytes;
  record.answer_bytes = 0;
  if (record.answer->status != AnswerStatus::kComplete)
    return;
  record.answer =
      FailedAnswer(record.id, ResultCode::kAnswerNotKept, StartState::kStarted);
}

void HoldOutputs(Ledger& ledger,
                 SubmissionRecord& record,
                 const LedgerLimits& limits) {
  record.answer_bytes = BytesOf(*record.answer);
  ledger.answer_bytes += record.answer_bytes;
  if (record.answer_bytes > 0)
    ledger.with_outputs.push_back(KeyOf(record.customer, record.id));
  while (ledger.answer_bytes > limits.max_answer_bytes &&
         !ledger.with_outputs.empty()) {
    SubmissionRecord* oldest = FindRecord(ledger, ledger.with_outputs.front());
    ledger.with_outputs.pop_front();
    if (oldest != nullptr && oldest->answer_bytes > 0)
      DropOutputs(ledger, *oldest);
  }
}

/** True when the task may be started once more although it may have run. */
bool MayRunAgain(const SubmissionRecord& record,
                 const TaskRecord& task,
                 const TaskReport& report,
                 const RetryLimits& limits) {
  const ResultCode code = report.outcome.code;
  if (code != ResultCode::kEndpointLost && code != ResultCode::kDaemonLost)
    return false;
  return record.single_request && task.spec.idempotent &&
         task.endpoints_lost < limits.max_endpoints_lost;
}

/** Ends a task and takes it out of the work that is left. */
void EndTask(SubmissionRecord& record,
             TaskRecord& task,
             const TaskOutcome& outcome) {
  task.ended = true;
  task.outcome = outcome;
  task.outcome.state = task.state;
  --record.tasks_left;
  record.remaining_work = record.remaining_work - task.expected_run_time;
}

bool Matches(const TaskRecord& task,
             const DaemonRef& from,
             const TaskReport& report) {
  return !task.ended && task.holder == from &&
         task.first_attempt == report.first_attempt;
}

/** Forgets ended submissions whose id is older than a time. */
void ForgetEnded(Ledger& ledger, Millis oldest_kept) {
  while (!ledger.ended_by_id_timestamp.empty()) {
    const auto [id_timestamp, key] = *ledger.ended_by_id_timestamp.begin();
    if (id_timestamp >= oldest_kept)
      return;
    const SubmissionRecord& record = ledger.records.at(key);
    const Result<ParsedId> parsed = ParseSubmissionId(record.id);
    const MintedId* minted =
        parsed.ok() ? std::get_if<MintedId>(&parsed.value()) : nullptr;
    Millis& low_watermark = minted == nullptr
                                ? ledger.chosen_low_watermark
                                : ledger.minted_low_watermarks[minted->home];
    low_watermark = std::max(low_watermark, id_timestamp + Millis{1});
    ledger.answer_bytes -= record.answer_bytes;
    ledger.records.erase(key);
    ledger.ended_by_id_timestamp.erase(ledger.ended_by_id_timestamp.begin());
  }
}

/** Drops queue entries whose submission was forgotten. */
void TrimOutputQueue(Ledger& ledger) {
  while (!ledger.with_outputs.empty() &&
         FindRecord(ledger, ledger.with_outputs.front()) == nullptr)
    ledger.with_outputs.pop_front();
}

}  // namespace

SubmissionId MintId(Ledger& ledger,
                    const DaemonRef& self,
                    const ZoneId& zone,
                    Millis now) {
  ++ledger.minted;
  return FormatMintedId({zone, self, now, ledger.minted});
}

SubmissionRecord* FindRecord(Ledger& ledger, const SubmissionKey& key) {
  const auto found = ledger.records.find(key);
  return found == ledger.records.end() ? nullptr : &found->second;
}

const SubmissionRecord* FindRecord(const Ledger& ledger,
                                   const SubmissionKey& key) {
  const auto found = ledger.records.find(key);
  return found == ledger.records.end() ? nullptr : &found->second;
}

SubmissionRecord& OpenRecord(Ledger& ledger,
                             const Submission& submission,
                             const DaemonRef& self,
                             Millis id_timestamp,
                             Millis now) {
  const SubmissionKey key = KeyOf(submission.customer, submission.id);
  assert(ledger.records.count(key) == 0);
  SubmissionRecord& record = ledger.records[key];
  record.id = submission.id;
  record.customer = submission.customer;
  record.fingerprint = FingerprintOf(submission);
  record.single_request = submission.single_request;
  record.arrived = now;
  record.deadline = now + submission.time_allowed;
  record.id_timestamp = id_timestamp;
  record.tasks_left = submission.tasks.size();
  record.tasks.reserve(submission.tasks.size());
  for (const TaskSpec& spec : submission.tasks) {
    record.task_index[spec.id] = record.tasks.size();
    TaskRecord task;
    task.spec = spec;
    task.holder = self;
    record.tasks.push_back(std::move(task));
  }
  ledger.open_by_deadline.emplace(record.deadline, key);
  return record;
}

ReportEffect ApplyReport(SubmissionRecord& record,
                         const DaemonRef& from,
                         const TaskReport& report,
                         const RetryLimits& limits) {
  const auto index = record.task_index.find(report.outcome.task);
  if (record.phase != SubmissionPhase::kOpen ||
      index == record.task_index.end())
    return ReportEffect::kUnmatched;
  TaskRecord& task = record.tasks[index->second];
  if (!Matches(task, from, report))
    return ReportEffect::kUnmatched;
  record.waste.Add(report.waste);
  task.state = Combine(task.state, report.outcome.state);
  task.first_attempt = Attempt(report.last_attempt.value + 1);
  if (report.outcome.state == StartState::kStarted)
    ++record.starts;
  if (report.outcome.code == ResultCode::kOk) {
    EndTask(record, task, report.outcome);
    return ReportEffect::kSucceeded;
  }
  if (report.outcome.state == StartState::kNotStarted &&
      report.outcome.code == ResultCode::kDraining &&
      task.returns < limits.max_returns) {
    ++task.returns;
    return ReportEffect::kReassign;
  }
  if (report.outcome.code == ResultCode::kEndpointLost ||
      report.outcome.code == ResultCode::kDaemonLost)
    ++task.endpoints_lost;
  if (MayRunAgain(record, task, report, limits)) {
    ++record.waste.repeats;
    return ReportEffect::kReassign;
  }
  TaskOutcome outcome = report.outcome;
  if (task.endpoints_lost >= limits.max_endpoints_lost)
    outcome.code = ResultCode::kEndpointsLostByJob;
  EndTask(record, task, outcome);
  return ReportEffect::kFailed;
}

StartState StateOf(const SubmissionRecord& record) {
  StartState state = StartState::kNotStarted;
  for (const TaskRecord& task : record.tasks)
    state = Combine(state, task.state);
  return state;
}

Answer CompleteAnswer(const SubmissionRecord& record, Millis now) {
  assert(record.tasks_left == 0);
  Answer answer;
  answer.id = record.id;
  answer.status = AnswerStatus::kComplete;
  answer.code = ResultCode::kOk;
  answer.state = StartState::kStarted;
  answer.starts = record.starts;
  answer.waste = record.waste;
  answer.response_time = now - record.arrived;
  answer.outcomes.reserve(record.tasks.size());
  for (const TaskRecord& task : record.tasks)
    answer.outcomes.push_back(task.outcome);
  return answer;
}

Answer FailedRecordAnswer(const SubmissionRecord& record,
                          ResultCode code,
                          Millis now) {
  Answer answer = FailedAnswer(record.id, code, StateOf(record));
  answer.starts = record.starts;
  answer.waste = record.waste;
  answer.response_time = now - record.arrived;
  return answer;
}

void EndRecord(Ledger& ledger,
               SubmissionRecord& record,
               const Answer& answer,
               const LedgerLimits& limits) {
  assert(record.phase != SubmissionPhase::kEnded);
  const SubmissionKey key = KeyOf(record.customer, record.id);
  ledger.open_by_deadline.erase({record.deadline, key});
  ledger.ended_by_id_timestamp.emplace(record.id_timestamp, key);
  record.phase = SubmissionPhase::kEnded;
  record.answer = answer;
  record.tasks.clear();
  record.tasks.shrink_to_fit();
  record.task_index.clear();
  record.waiters.clear();
  HoldOutputs(ledger, record, limits);
}

void RemoveRecord(Ledger& ledger, const SubmissionKey& key) {
  const SubmissionRecord* record = FindRecord(ledger, key);
  if (record == nullptr)
    return;
  assert(record->phase != SubmissionPhase::kEnded);
  ledger.open_by_deadline.erase({record->deadline, key});
  ledger.records.erase(key);
}

void ForgetExpiredSubmissions(Ledger& ledger,
                              const LedgerLimits& limits,
                              Millis now) {
  ForgetEnded(ledger, now - limits.window);
  TrimOutputQueue(ledger);
}

Millis LowWatermarkOf(const Ledger& ledger, const DaemonRef& home) {
  const auto found = ledger.minted_low_watermarks.find(home);
  return found == ledger.minted_low_watermarks.end() ? Millis{} : found->second;
}

void AdoptSubmission(Ledger& ledger,
                     const KnownSubmission& known,
                     const LedgerLimits& limits) {
  const SubmissionKey key = KeyOf(known.customer, known.id);
  if (ledger.records.count(key) > 0)
    return;
  SubmissionRecord& record = ledger.records[key];
  record.id = known.id;
  record.customer = known.customer;
  record.fingerprint = known.fingerprint;
  record.phase = SubmissionPhase::kEnded;
  record.id_timestamp = StampOf(known.id);
  record.answer = known.answer;
  ledger.ended_by_id_timestamp.emplace(record.id_timestamp, key);
  HoldOutputs(ledger, record, limits);
}

}  // namespace dogwoodfall
