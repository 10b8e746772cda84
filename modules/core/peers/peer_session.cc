#include "core/peers/peer_session.h"

#include <utility>

namespace dogwoodfall {
namespace {

PeerFrame MakeFrame(const PeerSessions& sessions, PeerSession& session) {
  PeerFrame frame;
  frame.from = sessions.self;
  frame.to = session.peer;
  frame.acknowledged = session.received_up_to;
  session.is_acknowledgement_due = false;
  return frame;
}

void ResendMessages(PeerSessions& sessions,
                    PeerSession& session,
                    const SessionLimits& limits,
                    Millis now,
                    Actions& actions) {
  size_t count = 0;
  for (const UnacknowledgedMessage& unacknowledged_message :
       session.unacknowledged) {
    if (++count > limits.resend_batch)
      break;
    PeerFrame frame = MakeFrame(sessions, session);
    frame.sequence = unacknowledged_message.sequence;
    frame.message = unacknowledged_message.message;
    actions.push_back(SendFrame{std::move(frame)});
    ++sessions.repeats;
  }
  session.sent_at = now;
}

}  // namespace

void StartSession(PeerSessions& sessions, const DaemonRef& peer) {
  PeerSession session;
  session.peer = peer;
  const auto previous = sessions.previous_sessions.find(peer.id);
  if (previous != sessions.previous_sessions.end() &&
      previous->second.peer == peer)
    session = std::move(previous->second);
  const auto current = sessions.sessions.find(peer.id);
  if (current != sessions.sessions.end() && current->second.peer != peer)
    sessions.previous_sessions[peer.id] = std::move(current->second);
  sessions.sessions[peer.id] = std::move(session);
}

bool HasSession(const PeerSessions& sessions, const DaemonRef& peer) {
  const auto found = sessions.sessions.find(peer.id);
  return found != sessions.sessions.end() && found->second.peer == peer;
}

bool Send(PeerSessions& sessions,
          const DaemonRef& peer,
          PeerMessage message,
          const SessionLimits& limits,
          Millis now,
          Actions& actions) {
  if (!HasSession(sessions, peer))
    return false;
  PeerSession& session = sessions.sessions.at(peer.id);
  if (session.unacknowledged.size() >= limits.max_unacknowledged)
    return false;
  if (session.unacknowledged.empty())
    session.sent_at = now;
  ++session.last_sent;
  PeerFrame frame = MakeFrame(sessions, session);
  frame.sequence = session.last_sent;
  frame.message = message;
  session.unacknowledged.push_back({session.last_sent, std::move(message)});
  actions.push_back(SendFrame{std::move(frame)});
  return true;
}

std::optional<PeerMessage> DropMessage(PeerSessions& sessions,
                                       const DaemonRef& peer,
                                       uint64_t sequence,
                                       Actions& actions) {
  if (!HasSession(sessions, peer))
    return std::nullopt;
  PeerSession& session = sessions.sessions.at(peer.id);
  for (UnacknowledgedMessage& unacknowledged : session.unacknowledged) {
    if (unacknowledged.sequence != sequence || !unacknowledged.message)
      continue;
    std::optional<PeerMessage> message =
        std::exchange(unacknowledged.message, std::nullopt);
    PeerFrame frame = MakeFrame(sessions, session);
    frame.sequence = sequence;
    actions.push_back(SendFrame{std::move(frame)});
    return message;
  }
  return std::nullopt;
}

std::optional<PeerMessage> Receive(PeerSessions& sessions,
                                   const PeerFrame& frame,
                                   Millis now) {
  if (frame.to != sessions.self || !HasSession(sessions, frame.from)) {
    ++sessions.other_incarnation_frames;
    return std::nullopt;
  }
  PeerSession& session = sessions.sessions.at(frame.from.id);
  // The frame acknowledges a message that this session never sent.
  if (frame.acknowledged > session.last_sent) {
    ++sessions.other_incarnation_frames;
    return std::nullopt;
  }
  while (!session.unacknowledged.empty() &&
         session.unacknowledged.front().sequence <= frame.acknowledged) {
    session.unacknowledged.pop_front();
    session.resends_without_progress = 0;
    session.sent_at = now;
  }
  if (frame.sequence == 0)
    return std::nullopt;
  session.is_acknowledgement_due = true;
  if (frame.sequence != session.received_up_to + 1) {
    const bool is_duplicate = frame.sequence <= session.received_up_to;
    sessions.duplicates += is_duplicate ? 1 : 0;
    // The peer resent its messages up to the last one received here, so the
    // acknowledgement was lost.
    if (frame.sequence == session.received_up_to)
      ++session.duplicates_without_progress;
    return std::nullopt;
  }
  session.duplicates_without_progress = 0;
  session.received_up_to = frame.sequence;
  return frame.message;
}

void SendDueFrames(PeerSessions& sessions,
                   const SessionLimits& limits,
                   Millis now,
                   Actions& actions) {
  for (auto& [id, session] : sessions.sessions) {
    const bool is_resend_due = !session.unacknowledged.empty() &&
                               now - session.sent_at >= limits.resend_after;
    session.resends_without_progress += is_resend_due ? 1 : 0;
    if (session.resends_without_progress > limits.max_without_progress ||
        session.duplicates_without_progress > limits.max_without_progress) {
      session.resends_without_progress = 0;
      session.duplicates_without_progress = 0;
      actions.push_back(LogEvent{
          "peer_link_silent",
          {{"peer", id.value},
           {"unacknowledged", std::to_string(session.unacknowledged.size())}}});
      actions.push_back(ResetPeerLink{id});
    }
    if (is_resend_due)
      ResendMessages(sessions, session, limits, now, actions);
    else if (session.is_acknowledgement_due)
      actions.push_back(SendFrame{MakeFrame(sessions, session)});
  }
}

}  // namespace dogwoodfall
