#ifndef DOGWOODFALL_MODULES_MODEL_PEER_FRAME_H_
#define DOGWOODFALL_MODULES_MODEL_PEER_FRAME_H_

#include <cstdint>
#include <optional>

#include "base/ids.h"
#include "model/daemon_ref.h"
#include "model/peer_message.h"

namespace dogwoodfall {

/** A message between two incarnations, with the numbers that make its delivery
 * happen exactly once while both run.
 *
 * @see core/peers/peer_session.h
 */
struct PeerFrame {
  DaemonRef from;
  DaemonRef to;
  /** Number of the message, starting at 1; 0 when there is no message. */
  uint64_t sequence = 0;
  /** Number up to which the sender has received all messages. */
  uint64_t acknowledged = 0;
  /** None with a number in place of a message that could not be sent. */
  std::optional<PeerMessage> message;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_MODEL_PEER_FRAME_H_
