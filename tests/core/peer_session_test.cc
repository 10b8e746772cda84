#include "core/peers/peer_session.h"

#include <gtest/gtest.h>

#include <variant>

namespace dogwoodfall {
namespace {

size_t CountResets(const Actions& actions) {
  size_t resets = 0;
  for (const Action& action : actions)
    resets += std::holds_alternative<ResetPeerLink>(action) ? 1 : 0;
  return resets;
}

// A connection may stop delivering for good without an error. Messages sent on
// it are then never acknowledged, and the connection must be reset.
TEST(PeerSessionTest, LinkWithoutAcknowledgementsIsReset) {
  const DaemonRef peer{DaemonId("peer"), Incarnation(1)};
  PeerSessions sessions;
  StartSession(sessions, peer);
  Actions actions;
  Millis now{1'000};
  Send(sessions, peer, JobCancellation{SubmissionId("job")}, SessionLimits(),
       now, actions);
  for (int i = 0; i < 8; ++i) {
    now = now + Millis{100};
    SendDueFrames(sessions, SessionLimits(), now, actions);
  }
  EXPECT_EQ(CountResets(actions), 0U);
  for (int i = 0; i < 8; ++i) {
    now = now + Millis{100};
    SendDueFrames(sessions, SessionLimits(), now, actions);
  }
  EXPECT_EQ(CountResets(actions), 1U);
}

// The opposite direction fails: the peer's messages arrive, but the
// acknowledgements sent to it are lost, so the peer resends the same message.
// The connection must be reset in this case too.
TEST(PeerSessionTest, LinkThatLosesAcknowledgementsIsReset) {
  const DaemonRef self{DaemonId("self"), Incarnation(1)};
  const DaemonRef peer{DaemonId("peer"), Incarnation(1)};
  PeerSessions sessions;
  sessions.self = self;
  StartSession(sessions, peer);
  PeerFrame frame;
  frame.from = peer;
  frame.to = self;
  frame.sequence = 1;
  frame.message = JobCancellation{SubmissionId("job")};
  Actions actions;
  Millis now{1'000};
  for (int i = 0; i < 6; ++i) {
    now = now + Millis{300};
    Receive(sessions, frame, now);
    SendDueFrames(sessions, SessionLimits(), now, actions);
  }
  EXPECT_EQ(CountResets(actions), 1U);
}

// The peer has its side of the session all the time. Its next message must be
// accepted after another incarnation was listed in between.
TEST(PeerSessionTest, SessionWithAnIncarnationThatIsListedAgainGoesOn) {
  const DaemonRef self{DaemonId("self"), Incarnation(1)};
  const DaemonRef peer{DaemonId("peer"), Incarnation(2)};
  PeerSessions sessions;
  sessions.self = self;
  StartSession(sessions, peer);
  PeerFrame frame;
  frame.from = peer;
  frame.to = self;
  frame.message = JobCancellation{SubmissionId("job")};
  const Millis now{1'000};
  frame.sequence = 1;
  EXPECT_TRUE(Receive(sessions, frame, now).has_value());
  StartSession(sessions, {peer.id, Incarnation(1)});
  frame.sequence = 2;
  EXPECT_FALSE(Receive(sessions, frame, now).has_value());
  StartSession(sessions, peer);
  EXPECT_TRUE(Receive(sessions, frame, now).has_value());
  Actions actions;
  EXPECT_TRUE(Send(sessions, peer, JobCancellation{SubmissionId("job")},
                   SessionLimits(), now, actions));
}

// A message can't be encoded. It must not block those after it.
TEST(PeerSessionTest, DroppedMessageDoesNotBlockLaterOnes) {
  const DaemonRef self{DaemonId("self"), Incarnation(1)};
  const DaemonRef peer{DaemonId("peer"), Incarnation(2)};
  PeerSessions sender;
  sender.self = self;
  StartSession(sender, peer);
  PeerSessions receiver;
  receiver.self = peer;
  StartSession(receiver, self);
  const Millis now{1'000};
  Actions sent;
  Send(sender, peer, JobCancellation{SubmissionId("first")}, SessionLimits(),
       now, sent);
  Send(sender, peer, JobCancellation{SubmissionId("second")}, SessionLimits(),
       now, sent);
  Actions replacement;
  ASSERT_TRUE(DropMessage(sender, peer, 1, replacement).has_value());
  EXPECT_FALSE(DropMessage(sender, peer, 1, replacement).has_value());
  ASSERT_EQ(replacement.size(), 1U);
  EXPECT_FALSE(
      Receive(receiver, std::get<SendFrame>(replacement[0]).frame, now));
  const auto second =
      Receive(receiver, std::get<SendFrame>(sent[1]).frame, now);
  ASSERT_TRUE(second.has_value());
  EXPECT_EQ(std::get<JobCancellation>(*second).job, SubmissionId("second"));
}

}  // namespace
}  // namespace dogwoodfall
