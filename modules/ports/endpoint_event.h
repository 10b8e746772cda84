#ifndef DOGWOODFALL_MODULES_PORTS_ENDPOINT_EVENT_H_
#define DOGWOODFALL_MODULES_PORTS_ENDPOINT_EVENT_H_

#include <cstdint>
#include <string>

#include "base/ids.h"
#include "base/millis.h"

namespace dogwoodfall {

/** Result of a start that was sent to an endpoint. */
enum class EndpointEventKind : uint8_t {
  /** The task ran and succeeded. */
  kSucceeded = 0,
  /** The task ran and failed. */
  kFailed = 1,
  /** The endpoint reported that it did not start the task. */
  kRefused = 2,
  /** No byte of the start was sent to the endpoint. */
  kNotConnected = 3,
  /** After bytes were sent, the connection broke or the answer was unreadable.
   */
  kLost = 4,
};

/** Answer to a start, or the kind of failure if there was none. */
struct EndpointEvent {
  EndpointEventKind kind = EndpointEventKind::kLost;
  EndpointId endpoint;
  /** Lease of the start that this event answers. */
  LeaseId lease;
  /** Returned by the endpoint; checked against the open start. */
  TaskId task;
  /** Returned by the endpoint; checked against the open start. */
  Attempt attempt;
  std::string output;
  /** True when the endpoint also reported that it is about to be removed. */
  bool leaving = false;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_PORTS_ENDPOINT_EVENT_H_
