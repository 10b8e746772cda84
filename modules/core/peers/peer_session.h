#ifndef DOGWOODFALL_MODULES_CORE_PEERS_PEER_SESSION_H_
#define DOGWOODFALL_MODULES_CORE_PEERS_PEER_SESSION_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "base/ids.h"
#include "base/millis.h"
#include "model/daemon_ref.h"
#include "model/peer_frame.h"
#include "ports/action.h"

namespace dogwoodfall {

/** A message that the peer has not acknowledged. */
struct UnacknowledgedMessage {
  uint64_t sequence = 0;
  PeerMessage message;
};

/** What two process lives have sent each other.
 *
 * Messages are numbered, kept until they are acknowledged and sent again after
 * a pause, and the receiver takes each number once and in order. So a message
 * is delivered exactly once however often connections break, as long as both
 * lives go on. When either ends, the session ends with it.
 */
struct PeerSession {
  DaemonRef peer;
  uint64_t last_sent = 0;
  uint64_t received_up_to = 0;
  bool acknowledgement_due = false;
  Millis sent_at;
  /** Times that messages were sent again, or came again, without progress. */
  uint32_t fruitless_sends = 0;
  uint32_t fruitless_receipts = 0;
  std::deque<UnacknowledgedMessage> unacknowledged;
};

/** Sessions with all peers and what was dropped. */
struct PeerSessions {
  DaemonRef self;
  std::map<DaemonId, PeerSession> sessions;
  /** Frames that were sent again. */
  uint64_t repeats = 0;
  /** Frames that were received a second time. */
  uint64_t duplicates = 0;
  /** Frames from or to another process life. */
  uint64_t foreign = 0;
};

/** Times and bounds of sessions. */
struct SessionLimits {
  /** Pause before messages are sent again. */
  Millis resend_after{300};
  /** Messages sent again at a time. */
  size_t resend_batch = 64;
  /** Fruitless sends or receipts after which the connection is taken to be
   * dead: connections may go silent for good without an error. Three take 900
   * ms.
   */
  uint32_t most_fruitless = 3;
  /** Messages kept for a peer; beyond them none is taken. */
  size_t max_unacknowledged = 20'000;
};

/** Starts a session with a process life, ending one with a former life. */
void StartSession(PeerSessions& sessions, const DaemonRef& peer);

/** True when there is a session with this process life. */
bool HasSession(const PeerSessions& sessions, const DaemonRef& peer);

/** Sends a message.
 *
 * @return false, and nothing is sent, when there is no session with this
 *         process life or too many messages wait for it
 */
bool Send(PeerSessions& sessions,
          const DaemonRef& peer,
          PeerMessage message,
          const SessionLimits& limits,
          Millis now,
          Actions& actions);

/** Takes a frame and returns its message if it is the next one. */
std::optional<PeerMessage> Receive(PeerSessions& sessions,
                                   const PeerFrame& frame,
                                   Millis now);

/** Sends acknowledgements, and again what was not acknowledged in time. */
void SendDueFrames(PeerSessions& sessions,
                   const SessionLimits& limits,
                   Millis now,
                   Actions& actions);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_PEERS_PEER_SESSION_H_
