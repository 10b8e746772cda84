#include "core/fleet/cancellation_flow.h"

#include <iterator>
#include <string>
#include <utility>

#include "base/erase_if.h"
#include "core/fleet/reception_flow.h"

namespace dogwoodfall {
namespace {

/** Maximum time to wait for the answers of the other daemons. */
constexpr Millis kCancellationTimeout{1'000};
/** Time for which a cancelled job is known. Callers send a job again 1,300 ms
 * after they have got no answer within their time limit.
 */
constexpr Millis kCancelledJobRetention{10'000};

/** Cancels a job if it is pending here, and refuses its later submissions.
 * @return true if the job was pending here, or was cancelled before
 */
bool CancelPendingJob(FleetNode& node,
                      Millis now,
                      const SubmissionId& job,
                      Actions& actions) {
  const bool is_pending = node.reception.pending.count(job) > 0;
  const bool is_known = is_pending || WasCancelled(node, job);
  node.cancelled_jobs[job] = now + kCancelledJobRetention;
  if (is_pending) {
    AnswerCallers(node, now, DaemonRef(), job,
                  {JobResult::kCancelled, {}, "cancelled"}, actions);
  }
  return is_known;
}

void AnswerCancelRequest(const SubmissionId& job,
                         CallerToken caller,
                         CancellationResult result,
                         Actions& actions) {
  actions.push_back(
      LogEvent{"cancellation_answered",
               {{"job", job.value},
                {"result", std::to_string(static_cast<int>(result))}}});
  actions.push_back(AnswerCancellation{caller, result});
}

}  // namespace

void CancelJobOfCaller(FleetNode& node,
                       Millis now,
                       CallerToken caller,
                       const SubmissionId& job,
                       Actions& actions) {
  const bool is_cancelled = CancelPendingJob(node, now, job, actions);
  CancelForward request;
  request.forward = ForwardId(++node.last_cancellation);
  request.submission = job;
  PendingCancellation pending{caller, job, {}, now + kCancellationTimeout};
  for (const auto* members : {&node.view.members, &node.unregistered_daemons}) {
    for (const auto& [id, member] : *members) {
      if (id == node.self.id)
        continue;
      Send(node.sessions, RefOf(member), request, SessionLimits(), now,
           actions);
      pending.awaited.insert(id);
    }
  }
  if (is_cancelled || pending.awaited.empty()) {
    AnswerCancelRequest(job, caller,
                        is_cancelled ? CancellationResult::kCancelled
                                     : CancellationResult::kUnknownJob,
                        actions);
    return;
  }
  node.cancellations.emplace(request.forward, std::move(pending));
}

void HandleCancelForward(FleetNode& node,
                         Millis now,
                         const DaemonRef& from,
                         const CancelForward& request,
                         Actions& actions) {
  const SubmissionId& job = request.submission;
  const bool is_cancelled = CancelPendingJob(node, now, job, actions);
  const Answer answer =
      is_cancelled ? FailedAnswer(job, ResultCode::kCancelled,
                                  StartState::kMayHaveStarted)
                   : RefusedAnswer(job, ResultCode::kUnknownSubmission);
  Send(node.sessions, from, ForwardAnswer{request.forward, answer},
       SessionLimits(), now, actions);
}

void HandleCancelAnswer(FleetNode& node,
                        const DaemonRef& from,
                        const ForwardAnswer& answer,
                        Actions& actions) {
  const auto found = node.cancellations.find(answer.forward);
  if (found == node.cancellations.end())
    return;
  PendingCancellation& pending = found->second;
  pending.awaited.erase(from.id);
  const bool is_cancelled = answer.answer.code == ResultCode::kCancelled;
  if (!is_cancelled && !pending.awaited.empty())
    return;
  AnswerCancelRequest(pending.job, pending.caller,
                      is_cancelled ? CancellationResult::kCancelled
                                   : CancellationResult::kUnknownJob,
                      actions);
  node.cancellations.erase(found);
}

void ReviewCancellations(FleetNode& node, Millis now, Actions& actions) {
  auto pending = node.cancellations.begin();
  while (pending != node.cancellations.end()) {
    if (pending->second.deadline > now) {
      ++pending;
      continue;
    }
    AnswerCancelRequest(pending->second.job, pending->second.caller,
                        CancellationResult::kUndecided, actions);
    pending = node.cancellations.erase(pending);
  }
  EraseIf(node.cancelled_jobs, [now](Millis until) { return until <= now; });
}

bool WasCancelled(const FleetNode& node, const SubmissionId& job) {
  return node.cancelled_jobs.count(job) > 0;
}

}  // namespace dogwoodfall
