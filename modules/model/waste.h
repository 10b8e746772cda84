#ifndef DOGWOODFALL_MODULES_MODEL_WASTE_H_
#define DOGWOODFALL_MODULES_MODEL_WASTE_H_

#include <cstdint>

namespace dogwoodfall {

/** Number of messages to endpoints, peers or the store that did not contribute
 * to an answer, by cause.
 */
struct Waste {
  /** Starts that the endpoint refused. */
  uint32_t refused_starts = 0;
  /** Starts that were not sent because the connection failed. */
  uint32_t failed_connections = 0;
  /** Forwarded tasks that the receiver returned without starting them. */
  uint32_t bounced_forwards = 0;
  /** Messages that were sent again. */
  uint32_t repeats = 0;
  /** Answers and reports that no longer matched open work. */
  uint32_t dropped_answers = 0;
  /** Requests to endpoints to stop a task, and to peers to cancel tasks. */
  uint32_t stops = 0;

  uint32_t Total() const {
    return this->refused_starts + this->failed_connections +
           this->bounced_forwards + this->repeats + this->dropped_answers +
           this->stops;
  }

  void Add(const Waste& other) {
    this->refused_starts += other.refused_starts;
    this->failed_connections += other.failed_connections;
    this->bounced_forwards += other.bounced_forwards;
    this->repeats += other.repeats;
    this->dropped_answers += other.dropped_answers;
    this->stops += other.stops;
  }
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_MODEL_WASTE_H_
