#ifndef DOGWOODFALL_MODULES_PORTS_ENDPOINT_EVENT_H_
#define DOGWOODFALL_MODULES_PORTS_ENDPOINT_EVENT_H_

#include <cstdint>
#include <string>

#include "base/ids.h"
#include "base/millis.h"

namespace dogwoodfall {

/** What became of a start that was sent to an endpoint. */
enum class EndpointEventKind : uint8_t {
  /** The task ran and succeeded. */
  kSucceeded = 0,
  /** The task ran and failed. */
  kFailed = 1,
  /** The endpoint said that it did not start it. */
  kRefused = 2,
  /** Not one byte of the start left for the endpoint. */
  kNotConnected = 3,
  /** The connection broke, or the answer was unreadable, after bytes left. */
  kLost = 4,
};

/** Answer to a start, or what is known in place of one. */
struct EndpointEvent {
  EndpointEventKind kind = EndpointEventKind::kLost;
  EndpointId endpoint;
  /** Lease of the start that this end of the connection was for. */
  LeaseId lease;
  /** Echoed by the endpoint; checked against the open start. */
  TaskId task;
  /** Echoed by the endpoint; checked against the open start. */
  Attempt attempt;
  std::string output;
  /** True when the endpoint also said that it is leaving. */
  bool leaving = false;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_PORTS_ENDPOINT_EVENT_H_
