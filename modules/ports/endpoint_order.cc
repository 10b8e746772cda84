#include "ports/endpoint_order.h"

namespace dogwoodfall {

const char* NameOf(OrderOutcome outcome) {
  switch (outcome) {
    case OrderOutcome::kDone:
      return "done";
    case OrderOutcome::kFenced:
      return "fenced";
    case OrderOutcome::kOldAttempt:
      return "old_attempt";
    case OrderOutcome::kLeaseOver:
      return "lease_over";
    case OrderOutcome::kNoRoom:
      return "no_room";
    case OrderOutcome::kUnhealthy:
      return "unhealthy";
    case OrderOutcome::kOtherIncarnation:
      return "other_incarnation";
    case OrderOutcome::kMalformed:
      return "malformed";
    case OrderOutcome::kNoListener:
      return "no_listener";
    case OrderOutcome::kUnanswered:
      return "unanswered";
  }
  return "unknown";
}

const char* NameOf(RunEnd end) {
  switch (end) {
    case RunEnd::kDone:
      return "done";
    case RunEnd::kFailed:
      return "failed";
    case RunEnd::kStopped:
      return "stopped";
    case RunEnd::kLeaseEnded:
      return "lease_ended";
    case RunEnd::kOther:
      return "other";
  }
  return "unknown";
}

}  // namespace dogwoodfall
