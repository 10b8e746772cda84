#include "ports/endpoint_order.h"

namespace dogwoodfall {

const char* NameOf(CommandOutcome outcome) {
  switch (outcome) {
    case CommandOutcome::kDone:
      return "done";
    case CommandOutcome::kFenced:
      return "fenced";
    case CommandOutcome::kStaleAttempt:
      return "old_attempt";
    case CommandOutcome::kLeaseExpired:
      return "lease_over";
    case CommandOutcome::kInsufficientResources:
      return "no_room";
    case CommandOutcome::kUnhealthy:
      return "unhealthy";
    case CommandOutcome::kOtherIncarnation:
      return "other_incarnation";
    case CommandOutcome::kMalformed:
      return "malformed";
    case CommandOutcome::kNoListener:
      return "no_listener";
    case CommandOutcome::kUnanswered:
      return "unanswered";
  }
  return "unknown";
}

const char* NameOf(RunResult end) {
  switch (end) {
    case RunResult::kDone:
      return "done";
    case RunResult::kFailed:
      return "failed";
    case RunResult::kStopped:
      return "stopped";
    case RunResult::kLeaseEnded:
      return "lease_ended";
    case RunResult::kOther:
      return "other";
  }
  return "unknown";
}

}  // namespace dogwoodfall
