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
constexpr Millis kWatchWait{1'000};
constexpr Millis kWatchSlack{300};
/** Pause between two gatherings of all changes. Routes and leaving endpoints
 * have 2 s to take effect; a quarter of it leaves time for a retry.
 */
constexpr Millis kGatherPeriod{400};
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

void Follow(StoreSession& session, StoreFollower& follower, Actions& actions) {
  const StoreDuty duty = follower.scope == ItemScope::kDaemons
                             ? StoreDuty::kFollowDaemons
                             : StoreDuty::kFollowEverything;
  follower.is_call_out = true;
  if (!follower.is_following) {
    Call(session, duty, ReadItems{follower.scope, follower.last_page_key},
         kCallTimeout, actions);
    return;
  }
  Call(session, duty,
       WatchItems{follower.scope, follower.followed_to, kWatchWait},
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

void ReadAgain(StoreFollower& follower) {
  follower.is_following = false;
  follower.pages.clear();
  follower.last_page_key.clear();
  follower.first_page_revision = 0;
}

StoreNews TakePage(StoreFollower& follower, const KeyValueReply& reply) {
  if (follower.first_page_revision == 0)
    follower.first_page_revision = reply.store_revision;
  follower.pages.insert(follower.pages.end(), reply.changes.begin(),
                        reply.changes.end());
  follower.last_page_key = reply.last_key;
  if (reply.has_more_pages)
    return {};
  // Pages are not of one moment; what changed meanwhile is followed from the
  // first page on.
  follower.is_following = true;
  follower.followed_to = follower.first_page_revision;
  StoreNews news{follower.scope, true, follower.first_page_revision,
                 std::move(follower.pages)};
  follower.pages.clear();
  return news;
}

StoreNews TakeFollowReply(const StoreSession& session,
                          StoreFollower& follower,
                          const KeyValueReply& reply,
                          Millis now) {
  follower.is_call_out = false;
  if (reply.outcome == KeyValueOutcome::kHistoryCompacted) {
    ReadAgain(follower);
    return {};
  }
  if (reply.outcome != KeyValueOutcome::kDone) {
    follower.next_call = now + PauseAfter(session, follower.failures++);
    return {};
  }
  follower.failures = 0;
  if (!follower.is_following)
    return TakePage(follower, reply);
  if (follower.scope == ItemScope::kEverything)
    follower.next_call = now + kGatherPeriod;
  follower.followed_to = std::max(follower.followed_to, reply.store_revision);
  return {follower.scope, false, follower.followed_to, reply.changes};
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
                        reply.outcome != KeyValueOutcome::kRejected;
  session.rejected_calls += reply.outcome == KeyValueOutcome::kRejected ? 1 : 0;
  session.unanswered += reply.outcome == KeyValueOutcome::kUnanswered ? 1 : 0;
  if (answered == session.is_reachable)
    return;
  session.is_reachable = answered;
  actions.push_back(LogEvent{
      answered ? "store_regained" : "store_lost",
      {{"outcome", std::to_string(static_cast<int>(reply.outcome))},
       {"followed_to", std::to_string(session.everything.followed_to)}}});
}

}  // namespace

void AdvanceStoreSession(StoreSession& session, Millis now, Actions& actions) {
  for (StoreFollower* follower : {&session.daemons, &session.everything}) {
    if (!follower->is_call_out && follower->next_call <= now)
      Follow(session, *follower, actions);
  }
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
  if (duty == StoreDuty::kFollowDaemons)
    news = TakeFollowReply(session, session.daemons, reply, now);
  else if (duty == StoreDuty::kFollowEverything)
    news = TakeFollowReply(session, session.everything, reply, now);
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
