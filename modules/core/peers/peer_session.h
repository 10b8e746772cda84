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

/** A message that the peer has not acknowledged yet. */
struct UnacknowledgedMessage {
  uint64_t sequence = 0;
  /** None once the message was dropped. */
  std::optional<PeerMessage> message;
};

/** The state of the message exchange between two incarnations.
 *
 * Messages are numbered, kept until they are acknowledged and resent after a
 * timeout. The receiver accepts each number once and in order. So each message
 * is delivered exactly once, however often connections break, as long as both
 * incarnations run. The session ends when either incarnation ends.
 */
struct PeerSession {
  DaemonRef peer;
  uint64_t last_sent = 0;
  uint64_t received_up_to = 0;
  bool is_acknowledgement_due = false;
  /** Start of the resend timeout: the time of the first send, of the last
   * resend or of the last acknowledged message, whichever is latest.
   */
  Millis sent_at;
  /** Number of times that messages were resent, or that the peer resent them,
   * without progress.
   */
  uint32_t resends_without_progress = 0;
  uint32_t duplicates_without_progress = 0;
  std::deque<UnacknowledgedMessage> unacknowledged;
};

/** The sessions with all peers, and counters of repeated and dropped frames. */
struct PeerSessions {
  DaemonRef self;
  std::map<DaemonId, PeerSession> sessions;
  /** The session with the previous incarnation of each peer. The peer may still
   * have its side of it.
   */
  std::map<DaemonId, PeerSession> previous_sessions;
  /** Frames that were resent. */
  uint64_t repeats = 0;
  /** Frames that were received more than once. */
  uint64_t duplicates = 0;
  /** Frames dropped because they are from or to another incarnation, or
   * acknowledge a message that was never sent.
   */
  uint64_t other_incarnation_frames = 0;
};

/** Timeouts and limits of sessions. */
struct SessionLimits {
  /** Time without an acknowledgement after which messages are resent. */
  Millis resend_after{300};
  /** Maximum number of messages that are resent at a time. */
  size_t resend_batch = 64;
  /** Number of resends or repeated receipts without progress after which the
   * connection counts as dead and is reset. A connection may stop delivering
   * for good without an error. Three resends take 900 ms.
   */
  uint32_t max_without_progress = 3;
  /** Maximum number of unacknowledged messages per peer; Send() then fails. */
  size_t max_unacknowledged = 20'000;
};

/** Starts a session with an incarnation and ends the one with a previous
 * incarnation of the same daemon. If the session with that incarnation was the
 * previous one, it goes on where it ended: the peer counts its messages on.
 */
void StartSession(PeerSessions& sessions, const DaemonRef& peer);

/** Returns true if there is a session with this incarnation. */
bool HasSession(const PeerSessions& sessions, const DaemonRef& peer);

/** Sends a message.
 *
 * @return false if nothing was sent, because there is no session with this
 *         incarnation or too many of its messages are unacknowledged
 */
bool Send(PeerSessions& sessions,
          const DaemonRef& peer,
          PeerMessage message,
          const SessionLimits& limits,
          Millis now,
          Actions& actions);

/** Drops a message that can't be sent, and sends its number without a message,
 * so that the peer accepts later ones.
 *
 * @return the message; none if it was acknowledged or dropped before
 */
std::optional<PeerMessage> DropMessage(PeerSessions& sessions,
                                       const DaemonRef& peer,
                                       uint64_t sequence,
                                       Actions& actions);

/** Handles a received frame. Returns its message if it is the next one in
 * order.
 */
std::optional<PeerMessage> Receive(PeerSessions& sessions,
                                   const PeerFrame& frame,
                                   Millis now);

/** Sends acknowledgements that are due, and resends unacknowledged messages. */
void SendDueFrames(PeerSessions& sessions,
                   const SessionLimits& limits,
                   Millis now,
                   Actions& actions);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_PEERS_PEER_SESSION_H_
