#include "core/fleet/store_session.h"

#include <algorithm>
#include <utility>

#include "base/erase_if.h"
#include "base/hash.h"

namespace dogwoodfall {
namespace {

/** Time for which a daemon's item lasts without a renewal. A renewal, and two
 * retries after their timeouts and delays, fit into it, so that the item
 * outlasts two lost renewals.
 */
constexpr Millis kLeaseLength{2'000};
constexpr Millis kRenewalPeriod{600};
constexpr Millis kRegistrationTimeout{400};
/** Longest time for which the store waits for a change before it answers a
 * watch. It bounds the time until a broken connection is noticed; until then,
 * peers send what this daemon lacks.
 */
constexpr Millis kDaemonsWatchTimeout{2'000};
constexpr Millis kRoutesWatchTimeout{3'000};
constexpr Millis kMinWatchTimeout{200};
/** Time beyond its wait in which the reply to a watch must arrive. */
constexpr Millis kWatchMargin{300};
/** Pause between two polls for changes of endpoints. Leaving ones have to be
 * known within 2 s; this period leaves time for a retry.
 */
constexpr Millis kPollPeriod{400};
/** The store usually answers in 4 ms, and occasionally takes about 60 times
 * longer.
 */
constexpr Millis kCallTimeout{600};
/** Wait of a watch that is answered at once, also when there are no changes. */
constexpr Millis kImmediateWait{1};
constexpr Millis kInitialRetryDelay{100};
constexpr Millis kMaxRetryDelay{1'000};
/** The initial delay with its longest extension. */
constexpr Millis kMaxInitialRetryDelay{150};
/** Period in which calls that are due are sent. */
constexpr Millis kMaxSendDelay{20};
/** Time from the timeout of a watch to the call that replaces it, if one more
 * call times out in between.
 */
constexpr Millis kMaxReplacementTime =
    kCallTimeout + kMaxInitialRetryDelay + kMaxSendDelay;
/** Number of different extensions of the delay, chosen by a hash of the
 * daemon's id, so that the daemons do not all retry at the same time.
 */
constexpr uint64_t kJitterSteps = 100;

Millis ComputeRetryDelay(const StoreSession& session, uint32_t failures) {
  constexpr uint32_t kMaxDoublings = 5;
  const Millis delay = std::min(
      Millis{kInitialRetryDelay.count << std::min(failures, kMaxDoublings)},
      kMaxRetryDelay);
  const uint64_t jitter_step =
      StableHash(session.self.address.id.value) % kJitterSteps;
  return delay + Millis{delay.count * static_cast<int64_t>(jitter_step) /
                        static_cast<int64_t>(2 * kJitterSteps)};
}

StoreToken Call(StoreSession& session,
                StoreCallPurpose purpose,
                KeyValueCall call,
                Millis timeout,
                Actions& actions) {
  const StoreToken token(++session.last_token);
  session.calls[token] = purpose;
  actions.push_back(CallKeyValue{token, std::move(call), timeout});
  return token;
}

/** Returns how long a watch may wait for changes. */
Millis ComputeWatchWait(const StoreSession& session, ItemScope scope) {
  const Millis longest =
      scope == ItemScope::kRoutes ? kRoutesWatchTimeout : kDaemonsWatchTimeout;
  return std::max(std::min(longest, session.max_silence - kWatchMargin -
                                        kMaxReplacementTime),
                  kMinWatchTimeout);
}

StoreCallPurpose PurposeOf(ItemScope scope) {
  switch (scope) {
    case ItemScope::kDaemons:
      return StoreCallPurpose::kFollowDaemons;
    case ItemScope::kEndpoints:
      return StoreCallPurpose::kFollowEndpoints;
    case ItemScope::kRoutes:
      break;
  }
  return StoreCallPurpose::kFollowRoutes;
}

const char* NameOf(ItemScope scope) {
  switch (scope) {
    case ItemScope::kDaemons:
      return "daemons";
    case ItemScope::kEndpoints:
      return "endpoints";
    case ItemScope::kRoutes:
      break;
  }
  return "routes";
}

void Follow(StoreSession& session, StoreFollower& follower, Actions& actions) {
  const StoreCallPurpose purpose = PurposeOf(follower.scope);
  follower.is_call_pending = true;
  follower.is_reply_arriving = false;
  if (!follower.is_following) {
    follower.last_call = Call(session, purpose,
                              ReadItems{follower.scope, follower.last_page_key},
                              kCallTimeout, actions);
    return;
  }
  const Millis wait = follower.is_in_doubt
                          ? kImmediateWait
                          : ComputeWatchWait(session, follower.scope);
  const Millis timeout =
      follower.is_in_doubt ? kCallTimeout : wait + kWatchMargin;
  follower.last_call = Call(
      session, purpose, WatchItems{follower.scope, follower.followed_to, wait},
      timeout, actions);
}

/** Replaces the watches that were sent before a call that was not answered. All
 * connections that were open then may be silent.
 */
void ReplaceEarlierWatches(StoreSession& session,
                           StoreToken unanswered,
                           Actions& actions) {
  for (StoreFollower* follower :
       {&session.daemons, &session.routes, &session.endpoints}) {
    const bool is_in_doubt =
        follower->is_call_pending && follower->is_following &&
        !follower->is_reply_arriving && follower->last_call < unanswered;
    if (!is_in_doubt)
      continue;
    follower->is_call_pending = false;
    follower->is_in_doubt = true;
    follower->next_call_at = Millis();
    actions.push_back(
        LogEvent{"store_watch_replaced",
                 {{"scope", NameOf(follower->scope)},
                  {"followed_to", std::to_string(follower->followed_to)}}});
  }
}

void Register(StoreSession& session, Actions& actions) {
  session.is_registration_pending = true;
  KeyValueCall call = OpenLease{kLeaseLength};
  if (session.lease != 0 && session.is_registered)
    call = RenewLease{session.lease};
  else if (session.lease != 0)
    call = WriteMember{session.self, session.lease, session.item_revision};
  Call(session, StoreCallPurpose::kRegister, std::move(call),
       kRegistrationTimeout, actions);
}

void RestartReading(StoreFollower& follower) {
  follower.is_following = false;
  follower.pages.clear();
  follower.last_page_key.clear();
  follower.first_page_revision = 0;
}

/** Returns true when a page shows an older state of the store than was already
 * followed, for example because the store was restored from a backup. Applying
 * it would bring back endpoints that have left.
 */
bool IsOlderThanFollowed(const StoreFollower& follower,
                         const KeyValueReply& reply) {
  return reply.store_revision < follower.followed_to;
}

StoreUpdate HandlePage(StoreFollower& follower, const KeyValueReply& reply) {
  if (follower.first_page_revision == 0)
    follower.first_page_revision = reply.store_revision;
  follower.pages.insert(follower.pages.end(), reply.changes.begin(),
                        reply.changes.end());
  follower.last_page_key = reply.last_key;
  if (reply.has_more_pages)
    return {};
  // The pages are of different revisions. Changes made while they were read are
  // requested from the revision of the first page on.
  follower.is_following = true;
  follower.followed_to = follower.first_page_revision;
  StoreUpdate update{follower.scope, true, follower.first_page_revision,
                     std::move(follower.pages)};
  follower.pages.clear();
  return update;
}

/** Returns the update in the late reply to a watch that was replaced; empty
 * when its changes are known already, or a list is being read.
 */
StoreUpdate HandleReplacedWatchReply(StoreFollower& follower,
                                     const KeyValueReply& reply) {
  if (!follower.is_following || reply.outcome != KeyValueOutcome::kDone ||
      reply.store_revision <= follower.followed_to)
    return {};
  follower.followed_to = reply.store_revision;
  return {follower.scope, false, follower.followed_to, reply.changes};
}

StoreUpdate HandleFollowReply(const StoreSession& session,
                              StoreFollower& follower,
                              const KeyValueReply& reply,
                              Millis now,
                              Actions& actions) {
  follower.is_call_pending = false;
  if (reply.outcome == KeyValueOutcome::kHistoryCompacted) {
    RestartReading(follower);
    return {};
  }
  if (reply.outcome != KeyValueOutcome::kDone) {
    // Where a call was not answered, only its connection may be silent.
    const bool is_retried_at_once =
        reply.outcome == KeyValueOutcome::kUnanswered && follower.failures == 0;
    const uint32_t delayed_failures =
        follower.failures - std::min(follower.failures, 1U);
    follower.is_in_doubt = true;
    follower.next_call_at =
        is_retried_at_once ? now
                           : now + ComputeRetryDelay(session, delayed_failures);
    ++follower.failures;
    return {};
  }
  follower.is_in_doubt = false;
  if (!follower.is_following && IsOlderThanFollowed(follower, reply)) {
    actions.push_back(
        LogEvent{"store_state_older",
                 {{"revision", std::to_string(reply.store_revision)},
                  {"followed_to", std::to_string(follower.followed_to)}}});
    RestartReading(follower);
    follower.next_call_at =
        now + ComputeRetryDelay(session, follower.failures++);
    return {};
  }
  follower.failures = 0;
  if (!follower.is_following)
    return HandlePage(follower, reply);
  if (follower.scope == ItemScope::kEndpoints)
    follower.next_call_at = now + kPollPeriod;
  // A replaced watch may have been answered with all of it and more.
  if (reply.store_revision <= follower.followed_to)
    return {follower.scope, false, follower.followed_to, {}};
  follower.followed_to = reply.store_revision;
  return {follower.scope, false, follower.followed_to, reply.changes};
}

StoreUpdate HandleEndpointsReply(StoreSession& session,
                                 const KeyValueReply& reply,
                                 Millis now,
                                 Actions& actions) {
  if (session.needs_endpoints)
    return HandleFollowReply(session, session.endpoints, reply, now, actions);
  session.endpoints.is_call_pending = false;
  return {};
}

/** Returns the follower that makes calls for a purpose; null for others. */
StoreFollower* FindFollower(StoreSession& session, StoreCallPurpose purpose) {
  switch (purpose) {
    case StoreCallPurpose::kFollowDaemons:
      return &session.daemons;
    case StoreCallPurpose::kFollowEndpoints:
      return &session.endpoints;
    case StoreCallPurpose::kFollowRoutes:
      return &session.routes;
    default:
      return nullptr;
  }
}

void HandleRegisterReply(StoreSession& session,
                         const KeyValueReply& reply,
                         Millis now) {
  session.is_registration_pending = false;
  if (reply.conflicting_revision) {
    // Another write of the item was executed, of an earlier incarnation or one
    // whose answer was lost.
    session.item_revision = *reply.conflicting_revision;
    session.next_registration_at =
        now + (session.registration_failures == 0
                   ? Millis()
                   : ComputeRetryDelay(session, session.registration_failures));
    ++session.registration_failures;
    return;
  }
  if (reply.outcome == KeyValueOutcome::kConditionFailed) {
    // The lease has expired, which has removed the item.
    session.lease = 0;
    session.is_registered = false;
    return;
  }
  if (reply.outcome != KeyValueOutcome::kDone) {
    session.next_registration_at =
        now + ComputeRetryDelay(session, session.registration_failures++);
    return;
  }
  session.registration_failures = 0;
  if (session.lease == 0) {
    session.lease = reply.lease;
    return;
  }
  if (!session.is_registered)
    session.item_revision = reply.store_revision;
  session.is_registered = true;
  session.next_registration_at = now + kRenewalPeriod;
}

StoreUpdate HandleConfirmationReply(StoreSession& session,
                                    StoreToken token,
                                    const KeyValueReply& reply) {
  StoreUpdate update;
  if (token != session.confirmation || reply.outcome != KeyValueOutcome::kDone)
    return update;
  session.confirmation = StoreToken();
  update.scope = ItemScope::kDaemons;
  update.revision = reply.store_revision;
  update.changes = reply.changes;
  update.is_membership_confirmed =
      session.endpoints_confirmation == StoreToken();
  return update;
}

StoreUpdate HandleEndpointsConfirmationReply(StoreSession& session,
                                             StoreToken token,
                                             const KeyValueReply& reply) {
  StoreUpdate update;
  if (token != session.endpoints_confirmation ||
      reply.outcome != KeyValueOutcome::kDone)
    return update;
  session.endpoints_confirmation = StoreToken();
  update.revision = reply.store_revision;
  if (session.needs_endpoints)
    update.changes = reply.changes;
  update.is_membership_confirmed = session.confirmation == StoreToken();
  return update;
}

void UpdateReachability(StoreSession& session,
                        const KeyValueReply& reply,
                        Actions& actions) {
  const bool has_answered = reply.outcome != KeyValueOutcome::kUnanswered &&
                            reply.outcome != KeyValueOutcome::kRejected &&
                            reply.outcome != KeyValueOutcome::kMalformed;
  session.rejected_calls += reply.outcome == KeyValueOutcome::kRejected ? 1 : 0;
  session.unanswered += reply.outcome == KeyValueOutcome::kUnanswered ? 1 : 0;
  if (reply.outcome == KeyValueOutcome::kMalformed)
    actions.push_back(LogEvent{"store_answer_malformed", {}});
  if (has_answered == session.is_reachable)
    return;
  session.is_reachable = has_answered;
  actions.push_back(
      LogEvent{has_answered ? "store_regained" : "store_lost",
               {{"outcome", std::to_string(static_cast<int>(reply.outcome))},
                {"followed_to", std::to_string(session.daemons.followed_to)}}});
}

}  // namespace

void AdvanceStoreSession(StoreSession& session, Millis now, Actions& actions) {
  for (StoreFollower* follower :
       {&session.daemons, &session.routes, &session.endpoints}) {
    const bool is_needed =
        follower != &session.endpoints || session.needs_endpoints;
    if (is_needed && !follower->is_call_pending &&
        follower->next_call_at <= now)
      Follow(session, *follower, actions);
  }
  if (!session.is_registration_pending && session.next_registration_at <= now &&
      !session.is_deregistering)
    Register(session, actions);
}

void NoteReplyArriving(StoreSession& session, StoreToken token) {
  for (StoreFollower* follower :
       {&session.daemons, &session.routes, &session.endpoints}) {
    if (follower->is_call_pending && follower->last_call == token)
      follower->is_reply_arriving = true;
  }
}

StoreUpdate HandleKeyValueReply(StoreSession& session,
                                StoreToken token,
                                const KeyValueReply& reply,
                                Millis now,
                                Actions& actions) {
  const auto call = session.calls.find(token);
  if (call == session.calls.end())
    return {};
  const StoreCallPurpose purpose = call->second;
  session.calls.erase(call);
  StoreFollower* follower = FindFollower(session, purpose);
  if (follower != nullptr && follower->last_call != token)
    return HandleReplacedWatchReply(*follower, reply);
  UpdateReachability(session, reply, actions);
  if (reply.outcome == KeyValueOutcome::kUnanswered)
    ReplaceEarlierWatches(session, token, actions);
  StoreUpdate update;
  if (purpose == StoreCallPurpose::kFollowDaemons)
    update = HandleFollowReply(session, session.daemons, reply, now, actions);
  else if (purpose == StoreCallPurpose::kFollowRoutes)
    update = HandleFollowReply(session, session.routes, reply, now, actions);
  else if (purpose == StoreCallPurpose::kFollowEndpoints)
    update = HandleEndpointsReply(session, reply, now, actions);
  else if (purpose == StoreCallPurpose::kRegister)
    HandleRegisterReply(session, reply, now);
  else if (purpose == StoreCallPurpose::kConfirmMembership)
    update = HandleConfirmationReply(session, token, reply);
  else if (purpose == StoreCallPurpose::kConfirmEndpoints)
    update = HandleEndpointsConfirmationReply(session, token, reply);
  AdvanceStoreSession(session, now, actions);
  return update;
}

void SetEndpointsNeeded(StoreSession& session, bool is_needed) {
  if (session.needs_endpoints && !is_needed) {
    RestartReading(session.endpoints);
    // The reply to a pending watch would be taken for a page of a list.
    EraseIf(session.calls, [](StoreCallPurpose purpose) {
      return purpose == StoreCallPurpose::kFollowEndpoints;
    });
    session.endpoints.is_call_pending = false;
  }
  session.needs_endpoints = is_needed;
}

void RequestRegistration(StoreSession& session, Millis now) {
  session.is_registered = false;
  session.next_registration_at = now;
}

void EvictMember(StoreSession& session,
                 const FleetMember& member,
                 Actions& actions) {
  Call(session, StoreCallPurpose::kEvict,
       RemoveMember{member.address.id, member.revision}, kCallTimeout, actions);
}

void ConfirmMembership(StoreSession& session, Actions& actions) {
  if (!session.daemons.is_following)
    return;
  Call(session, StoreCallPurpose::kConfirmMembership,
       WatchItems{ItemScope::kDaemons, session.daemons.followed_to,
                  kImmediateWait},
       kCallTimeout, actions);
  session.confirmation = StoreToken(session.last_token);
  session.endpoints_confirmation = StoreToken();
  if (!session.needs_endpoints || !session.endpoints.is_following)
    return;
  Call(session, StoreCallPurpose::kConfirmEndpoints,
       WatchItems{ItemScope::kEndpoints, session.endpoints.followed_to,
                  kImmediateWait},
       kCallTimeout, actions);
  session.endpoints_confirmation = StoreToken(session.last_token);
}

void DeregisterFromStore(StoreSession& session, Actions& actions) {
  session.is_deregistering = true;
  if (session.lease != 0) {
    Call(session, StoreCallPurpose::kRegister, EndLease{session.lease},
         kCallTimeout, actions);
  }
}

}  // namespace dogwoodfall
