#include "core/fleet/store_session.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace dogwoodfall {
namespace {

/** Life of a daemon's item without a renewal: three renewals may be lost. */
constexpr Millis kLeaseLength{2'000};
constexpr Millis kRenewalPeriod{600};
/** Time that a call waits for a change. Short enough to notice within a second
 * that a connection has gone silent.
 */
constexpr Millis kWatchWait{800};
constexpr Millis kWatchSlack{300};
/** The store answers in 4 ms, and some 60 times slower on bad days. */
constexpr Millis kCallTimeout{600};
/** First and longest pause after a failed call. */
constexpr Millis kFirstPause{100};
constexpr Millis kLongestPause{1'000};
/** Daemons must not all come back in the same moment: part of the pause that
 * depends on the daemon.
 */
constexpr uint64_t kJitterSteps = 100;

Millis PauseAfter(const StoreSession& session, uint32_t failures) {
  constexpr uint32_t kMostDoublings = 5;
  const Millis pause =
      std::min(Millis{kFirstPause.count << std::min(failures, kMostDoublings)},
               kLongestPause);
  const uint64_t spread =
      StableHash(session.self.address.id.value) % kJitterSteps;
  return pause + Millis{pause.count * static_cast<int64_t>(spread) /
                        static_cast<int64_t>(2 * kJitterSteps)};
}

void Call(StoreSession& session,
          StoreDuty duty,
          KeyValueCall call,
          Millis timeout,
          Actions& actions) {
  const StoreToken token(++session.last_token);
  session.calls[token] = duty;
  actions.push_back(CallKeyValue{token, std::move(call), timeout});
}

void Follow(StoreSession& session, Actions& actions) {
  session.follow_out = true;
  if (!session.is_following) {
    Call(session, StoreDuty::kFollow, ReadItems{session.last_page_key},
         kCallTimeout, actions);
    return;
  }
  Call(session, StoreDuty::kFollow, WatchItems{session.followed_to, kWatchWait},
       kWatchWait + kWatchSlack, actions);
}

void Register(StoreSession& session, Actions& actions) {
  session.registration_out = true;
  KeyValueCall call = OpenLease{kLeaseLength};
  if (session.lease != 0 && session.is_registered)
    call = RenewLease{session.lease};
  else if (session.lease != 0)
    call = WriteMember{session.self, session.lease};
  Call(session, StoreDuty::kRegister, std::move(call), kCallTimeout, actions);
}

void ReadAgain(StoreSession& session) {
  session.is_following = false;
  session.pages.clear();
  session.last_page_key.clear();
  session.first_page_revision = 0;
}

StoreNews TakePage(StoreSession& session, const KeyValueReply& reply) {
  if (session.first_page_revision == 0)
    session.first_page_revision = reply.store_revision;
  session.pages.insert(session.pages.end(), reply.changes.begin(),
                       reply.changes.end());
  session.last_page_key = reply.last_key;
  if (reply.has_more_pages)
    return {};
  // Pages are not of one moment; what changed meanwhile is followed from the
  // first page on.
  session.is_following = true;
  session.followed_to = session.first_page_revision;
  StoreNews news{true, std::move(session.pages)};
  session.pages.clear();
  return news;
}

StoreNews TakeFollowReply(StoreSession& session,
                          const KeyValueReply& reply,
                          Millis now) {
  session.follow_out = false;
  if (reply.outcome == KeyValueOutcome::kHistoryGone) {
    ReadAgain(session);
    return {};
  }
  if (reply.outcome != KeyValueOutcome::kDone) {
    session.next_follow = now + PauseAfter(session, session.follow_failures++);
    return {};
  }
  session.follow_failures = 0;
  if (!session.is_following)
    return TakePage(session, reply);
  session.followed_to = std::max(session.followed_to, reply.store_revision);
  return {false, reply.changes};
}

void TakeRegisterReply(StoreSession& session,
                       const KeyValueReply& reply,
                       Millis now) {
  session.registration_out = false;
  if (reply.outcome == KeyValueOutcome::kConditionFailed) {
    // The lease has ended, and the item with it.
    session.lease = 0;
    session.is_registered = false;
    return;
  }
  if (reply.outcome != KeyValueOutcome::kDone) {
    session.next_registration =
        now + PauseAfter(session, session.registration_failures++);
    return;
  }
  session.registration_failures = 0;
  if (session.lease == 0) {
    session.lease = reply.lease;
    return;
  }
  session.is_registered = true;
  session.next_registration = now + kRenewalPeriod;
}

void NoteReach(StoreSession& session,
               const KeyValueReply& reply,
               Actions& actions) {
  const bool answered = reply.outcome != KeyValueOutcome::kUnanswered &&
                        reply.outcome != KeyValueOutcome::kTurnedAway;
  session.turned_away += reply.outcome == KeyValueOutcome::kTurnedAway ? 1 : 0;
  session.unanswered += reply.outcome == KeyValueOutcome::kUnanswered ? 1 : 0;
  if (answered == session.is_reachable)
    return;
  session.is_reachable = answered;
  actions.push_back(
      LogEvent{answered ? "store_regained" : "store_lost",
               {{"outcome", std::to_string(static_cast<int>(reply.outcome))},
                {"followed_to", std::to_string(session.followed_to)}}});
}

}  // namespace

void AdvanceStoreSession(StoreSession& session, Millis now, Actions& actions) {
  if (!session.follow_out && session.next_follow <= now)
    Follow(session, actions);
  if (!session.registration_out && session.next_registration <= now &&
      !session.is_leaving_store)
    Register(session, actions);
}

StoreNews TakeKeyValueReply(StoreSession& session,
                            StoreToken token,
                            const KeyValueReply& reply,
                            Millis now,
                            Actions& actions) {
  const auto call = session.calls.find(token);
  if (call == session.calls.end())
    return {};
  const StoreDuty duty = call->second;
  session.calls.erase(call);
  NoteReach(session, reply, actions);
  StoreNews news;
  if (duty == StoreDuty::kFollow)
    news = TakeFollowReply(session, reply, now);
  else if (duty == StoreDuty::kRegister)
    TakeRegisterReply(session, reply, now);
  AdvanceStoreSession(session, now, actions);
  return news;
}

void RegisterAgain(StoreSession& session, Millis now) {
  session.is_registered = false;
  session.next_registration = now;
}

void EvictMember(StoreSession& session,
                 const FleetMember& member,
                 Actions& actions) {
  Call(session, StoreDuty::kEvict,
       RemoveMember{member.address.id, member.revision}, kCallTimeout, actions);
}

void LeaveStore(StoreSession& session, Actions& actions) {
  session.is_leaving_store = true;
  if (session.lease != 0) {
    Call(session, StoreDuty::kRegister, EndLease{session.lease}, kCallTimeout,
         actions);
  }
}

}  // namespace dogwoodfall
