#include "core/fleet/store_session.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/scheduling/endpoint_commands.h"
#include "fake_endpoint.h"
#include "fleet_world.h"

namespace dogwoodfall {
namespace {

constexpr Millis kStart{1'000'000};

/** Returns the calls to the store among the actions. */
std::vector<CallKeyValue> CollectStoreCalls(const Actions& actions) {
  std::vector<CallKeyValue> calls;
  for (const Action& action : actions) {
    if (const auto* call = std::get_if<CallKeyValue>(&action))
      calls.push_back(*call);
  }
  return calls;
}

template <typename Kind>
const CallKeyValue* FindCall(const std::vector<CallKeyValue>& calls) {
  for (const CallKeyValue& call : calls) {
    if (std::holds_alternative<Kind>(call.call))
      return &call;
  }
  return nullptr;
}

KeyValueReply MakeDoneReply() {
  KeyValueReply reply;
  reply.outcome = KeyValueOutcome::kDone;
  reply.store_revision = 5;
  reply.lease = 9;
  return reply;
}

StoreSession OpenSession(std::vector<CallKeyValue>& calls) {
  StoreSession session;
  session.self.address.id = DaemonId("d1");
  SetEndpointsNeeded(session, true);
  Actions actions;
  AdvanceStoreSession(session, kStart, actions);
  calls = CollectStoreCalls(actions);
  return session;
}

// After the initial replies the session must watch for changes and write the
// own item; otherwise the daemon would not join the fleet.
TEST(StoreSessionTest, ReadsFollowsAndRegisters) {
  std::vector<CallKeyValue> calls;
  StoreSession session = OpenSession(calls);
  ASSERT_EQ(calls.size(), 4U);
  Actions actions;
  for (const CallKeyValue& call : calls)
    HandleKeyValueReply(session, call.token, MakeDoneReply(), kStart, actions);
  const auto next = CollectStoreCalls(actions);
  EXPECT_NE(FindCall<WatchItems>(next), nullptr);
  EXPECT_NE(FindCall<WriteMember>(next), nullptr);
}

// Without growing delays between retries, each tick of a store outage would
// cause a call.
TEST(StoreSessionTest, OutageCausesFewCalls) {
  std::vector<CallKeyValue> calls;
  StoreSession session = OpenSession(calls);
  size_t call_count = calls.size();
  for (int64_t ms = 0; ms < 10'000; ms += 10) {
    Actions actions;
    for (const CallKeyValue& call : calls)
      HandleKeyValueReply(session, call.token, KeyValueReply(),
                          kStart + Millis{ms}, actions);
    AdvanceStoreSession(session, kStart + Millis{ms}, actions);
    calls = CollectStoreCalls(actions);
    call_count += calls.size();
  }
  EXPECT_LE(call_count, 50U);
}

// The store removes the own item when its lease expires; without a new lease
// the daemon would stay unregistered.
TEST(StoreSessionTest, ExpiredLeaseIsOpenedAgain) {
  std::vector<CallKeyValue> calls;
  StoreSession session = OpenSession(calls);
  session.lease = 9;
  session.is_registered = true;
  const CallKeyValue* open = FindCall<OpenLease>(calls);
  ASSERT_NE(open, nullptr);
  KeyValueReply condition_failed;
  condition_failed.outcome = KeyValueOutcome::kConditionFailed;
  Actions actions;
  HandleKeyValueReply(session, open->token, condition_failed, kStart, actions);
  EXPECT_FALSE(session.is_registered);
  EXPECT_NE(FindCall<OpenLease>(CollectStoreCalls(actions)), nullptr);
}

// When the store no longer has the history from the watched revision on,
// changes are missed unless all items are read again.
TEST(StoreSessionTest, CompactedHistoryCausesANewRead) {
  std::vector<CallKeyValue> calls;
  StoreSession session = OpenSession(calls);
  Actions actions;
  for (const CallKeyValue& call : calls)
    HandleKeyValueReply(session, call.token, MakeDoneReply(), kStart, actions);
  const auto following = CollectStoreCalls(actions);
  const CallKeyValue* watch = FindCall<WatchItems>(following);
  ASSERT_NE(watch, nullptr);
  KeyValueReply history_compacted;
  history_compacted.outcome = KeyValueOutcome::kHistoryCompacted;
  Actions after;
  HandleKeyValueReply(session, watch->token, history_compacted, kStart, after);
  EXPECT_NE(FindCall<ReadItems>(CollectStoreCalls(after)), nullptr);
}

// A lease opened after the deregistration would keep a stopped daemon in the
// membership view.
TEST(StoreSessionTest, LeaseEndsWithTheGracefulShutdown) {
  std::vector<CallKeyValue> calls;
  StoreSession session = OpenSession(calls);
  session.lease = 9;
  Actions actions;
  DeregisterFromStore(session, actions);
  EXPECT_NE(FindCall<EndLease>(CollectStoreCalls(actions)), nullptr);
  Actions later;
  session.is_registration_pending = false;
  AdvanceStoreSession(session, kStart + Millis{5'000}, later);
  EXPECT_EQ(FindCall<OpenLease>(CollectStoreCalls(later)), nullptr);
}

// A store that was restored to an older state must not bring back endpoints
// that have left.
TEST(StoreSessionTest, OlderStateIsNotApplied) {
  std::vector<CallKeyValue> calls;
  StoreSession session = OpenSession(calls);
  session.endpoints.followed_to = 20;
  for (const CallKeyValue& call : calls) {
    const auto* read = std::get_if<ReadItems>(&call.call);
    if (read == nullptr || read->scope != ItemScope::kEndpoints)
      continue;
    KeyValueReply older = MakeDoneReply();
    older.store_revision = 19;
    older.changes.push_back(EndpointRemoved{EndpointId("e1")});
    Actions actions;
    const StoreUpdate update =
        HandleKeyValueReply(session, call.token, older, kStart, actions);
    EXPECT_FALSE(update.is_snapshot);
    EXPECT_TRUE(update.changes.empty());
    EXPECT_FALSE(session.endpoints.is_following);
  }
}

/** Answers all calls of a new session, so that it follows the items. */
StoreSession FollowItems(std::vector<CallKeyValue>& calls) {
  StoreSession session = OpenSession(calls);
  Actions actions;
  for (const CallKeyValue& call : calls)
    HandleKeyValueReply(session, call.token, MakeDoneReply(), kStart, actions);
  calls = CollectStoreCalls(actions);
  return session;
}

const CallKeyValue* FindEndpointWatch(const std::vector<CallKeyValue>& calls) {
  for (const CallKeyValue& call : calls) {
    const auto* watch = std::get_if<WatchItems>(&call.call);
    if (watch != nullptr && watch->scope == ItemScope::kEndpoints)
      return &call;
  }
  return nullptr;
}

/** Loses all answers from `kStart` on.
 * @return the times of the endpoint watches that are sent
 */
std::vector<Millis> CollectWatchesWithoutAnswers(StoreSession& session,
                                                 Millis duration) {
  std::vector<Millis> watches;
  std::vector<std::pair<Millis, StoreToken>> lost;
  for (int64_t ms = 0; ms < duration.count; ms += 10) {
    const Millis now = kStart + Millis{ms};
    Actions due;
    for (const auto& [timeout, token] : std::exchange(lost, {})) {
      if (timeout <= now)
        HandleKeyValueReply(session, token, KeyValueReply(), now, due);
      else
        lost.emplace_back(timeout, token);
    }
    AdvanceStoreSession(session, now, due);
    const std::vector<CallKeyValue> calls = CollectStoreCalls(due);
    if (const CallKeyValue* watch = FindEndpointWatch(calls)) {
      watches.push_back(now);
      lost.emplace_back(now + watch->timeout, watch->token);
    }
  }
  return watches;
}

// A reduced capacity must be known 3 s later, also when the answer that listed
// it is lost.
TEST(StoreSessionTest, EndpointsAreReadAgainInTimeAfterALostAnswer) {
  std::vector<CallKeyValue> calls;
  StoreSession session = FollowItems(calls);
  const CallKeyValue* first = FindEndpointWatch(calls);
  ASSERT_NE(first, nullptr);
  Actions actions;
  HandleKeyValueReply(session, first->token, MakeDoneReply(), kStart, actions);
  const std::vector<Millis> watches =
      CollectWatchesWithoutAnswers(session, Millis{4'000});
  ASSERT_GE(watches.size(), 2U);
  EXPECT_LE(watches[1], kStart + kContactTime);
}

// The delays between retries grow in a long outage. The first watch after it
// must come before a capacity counts that was reduced at its end.
TEST(StoreSessionTest, EndpointsAreReadAgainInTimeAfterALongOutage) {
  for (int i = 0; i < 100; ++i) {
    std::vector<CallKeyValue> calls;
    StoreSession session = FollowItems(calls);
    session.self.address.id = DaemonId("d" + std::to_string(i));
    const CallKeyValue* first = FindEndpointWatch(calls);
    ASSERT_NE(first, nullptr);
    Actions actions;
    HandleKeyValueReply(session, first->token, MakeDoneReply(), kStart,
                        actions);
    const std::vector<Millis> watches =
        CollectWatchesWithoutAnswers(session, Millis{60'000});
    ASSERT_GE(watches.size(), 10U);
    for (size_t n = 1; n < watches.size(); ++n) {
      EXPECT_LE(watches[n] - watches[n - 1],
                kCapacityReductionGrace - kRunLease)
          << i;
    }
  }
}

// The changes that a watch returns must not be taken for a list of all items,
// which would remove the endpoints that have not changed.
TEST(StoreSessionTest, WatchFromBeforeARestartedReadIsNotAList) {
  std::vector<CallKeyValue> calls;
  StoreSession session = FollowItems(calls);
  Actions actions;
  const CallKeyValue* first = FindEndpointWatch(calls);
  ASSERT_NE(first, nullptr);
  const CallKeyValue pending = *first;
  SetEndpointsNeeded(session, false);
  SetEndpointsNeeded(session, true);
  AdvanceStoreSession(session, kStart, actions);
  const StoreUpdate update = HandleKeyValueReply(
      session, pending.token, MakeDoneReply(), kStart, actions);
  EXPECT_FALSE(update.is_snapshot);
  EXPECT_NE(FindCall<ReadItems>(CollectStoreCalls(actions)), nullptr);
}

// A daemon's item must outlast two lost renewals. Its lease may otherwise end
// while the daemon works, and another daemon takes over its endpoints.
TEST(StoreSessionTest, ItemOutlastsTwoLostRenewals) {
  std::vector<CallKeyValue> calls;
  StoreSession session = OpenSession(calls);
  session.lease = 9;
  session.is_registered = true;
  const CallKeyValue* last_answered = FindCall<OpenLease>(calls);
  ASSERT_NE(last_answered, nullptr);
  Actions actions;
  HandleKeyValueReply(session, last_answered->token, MakeDoneReply(), kStart,
                      actions);
  std::vector<std::pair<Millis, StoreToken>> lost;
  std::vector<Millis> renewals;
  for (int64_t ms = 0; ms < 2'000; ms += 10) {
    const Millis now = kStart + Millis{ms};
    Actions due;
    for (const auto& [timeout, token] : std::exchange(lost, {})) {
      if (timeout <= now)
        HandleKeyValueReply(session, token, KeyValueReply(), now, due);
      else
        lost.emplace_back(timeout, token);
    }
    AdvanceStoreSession(session, now, due);
    for (const CallKeyValue& call : CollectStoreCalls(due)) {
      if (!std::holds_alternative<RenewLease>(call.call))
        continue;
      renewals.push_back(now);
      lost.emplace_back(now + call.timeout, call.token);
    }
  }
  ASSERT_GE(renewals.size(), 3U);
  EXPECT_LE(renewals[2], kStart + Millis{1'900});
}

/** The daemons of SetUpTwoZones(). */
constexpr std::array<const char*, 4> kDaemons = {"north0", "north1", "south0",
                                                 "south1"};

/** Returns how long after its connections have become silent a fleet knows two
 * changes of the configuration, the first one shortly before.
 */
Millis MeasureChange(Millis renewed_before, int idle_connections) {
  constexpr Millis kGap{330};
  constexpr Millis kMaxTime{6'000};
  FleetWorld world;
  SetUpTwoZones(world);
  world.ChangeRoutes(4);
  world.RunFor(renewed_before);
  world.SilenceStoreConnections(idle_connections);
  const Millis silent_since = world.now;
  world.RunFor(kGap - Millis{100});
  world.ChangeRoutes(5);
  const auto is_known = [&world] {
    return std::all_of(kDaemons.begin(), kDaemons.end(),
                       [&world](const char* daemon) {
                         return world.Node(daemon).routes.version == 5;
                       });
  };
  while (!is_known() && world.now < silent_since + kMaxTime)
    world.RunFor({5});
  return world.now - silent_since;
}

constexpr Millis kMaxSilence{3'000};

// A watch on a silent connection looks like one without changes.
TEST(StoreSessionTest, ChangeIsKnownInTimeAfterAllConnectionsBecomeSilent) {
  for (const int64_t renewed_ms : {5, 100, 700, 1'500, 2'900}) {
    for (const int idle_connections : {0, 1, 2})
      EXPECT_LT(MeasureChange({renewed_ms}, idle_connections), kMaxSilence)
          << renewed_ms << " " << idle_connections;
  }
}

/** Answers the calls of a session but for its first watches, which time out,
 * and as many later calls of the same follower.
 * @return the time until the change of the routes is known
 */
Millis MeasureSilentWatch(Millis max_silence, int silent_calls) {
  std::vector<CallKeyValue> calls;
  StoreSession session;
  session.max_silence = max_silence;
  session.self.address.id = DaemonId("d1");
  session.routes.is_following = true;
  session.routes.followed_to = 5;
  std::vector<std::pair<Millis, CallKeyValue>> due;
  for (int64_t ms = 0; ms < 20'000; ms += 10) {
    const Millis now = kStart + Millis{ms};
    Actions actions;
    for (const auto& [at, call] : std::exchange(due, {})) {
      const auto* watch = std::get_if<WatchItems>(&call.call);
      const bool is_routes =
          watch != nullptr && watch->scope == ItemScope::kRoutes;
      if (at > now) {
        due.emplace_back(at, call);
      } else if (is_routes && silent_calls < 0) {
        return now - kStart;
      } else {
        HandleKeyValueReply(session, call.token,
                            is_routes ? KeyValueReply() : MakeDoneReply(), now,
                            actions);
      }
    }
    AdvanceStoreSession(session, now, actions);
    for (const CallKeyValue& call : CollectStoreCalls(actions)) {
      const auto* watch = std::get_if<WatchItems>(&call.call);
      const bool is_routes =
          watch != nullptr && watch->scope == ItemScope::kRoutes;
      const bool is_silent = is_routes && silent_calls-- > 0;
      due.emplace_back(now + (is_silent ? call.timeout : Millis{10}), call);
      if (is_routes && !is_silent)
        silent_calls = -1;
    }
  }
  return Millis{20'000};
}

// Its other connections work, so that only its own timeout shows it.
TEST(StoreSessionTest, WatchOnASilentConnectionIsReplacedInTime) {
  for (const int64_t max_silence_ms : {1'500, 3'000, 4'000, 5'000}) {
    for (const int silent_calls : {1, 2})
      EXPECT_LT(MeasureSilentWatch({max_silence_ms}, silent_calls),
                Millis{max_silence_ms})
          << silent_calls;
  }
}

// Each outage would otherwise cost further calls while the store is slow.
TEST(StoreSessionTest, WatchSentAfterAnUnansweredCallIsKept) {
  std::vector<CallKeyValue> calls;
  StoreSession session = FollowItems(calls);
  Actions actions;
  const StoreToken watch = session.routes.last_call;
  ASSERT_TRUE(session.routes.is_call_pending);
  session.calls[StoreToken(watch.value - 1)] = StoreCallPurpose::kRegister;
  HandleKeyValueReply(session, StoreToken(watch.value - 1), KeyValueReply(),
                      kStart, actions);
  EXPECT_EQ(session.routes.last_call, watch);
}

/** Lets a call of a session that was sent after its watch of the routes get no
 * answer, and returns the token of that watch.
 */
StoreToken LoseCallAfterWatch(StoreSession& session, Actions& actions) {
  const StoreToken watch = session.routes.last_call;
  const StoreToken lost(++session.last_token);
  session.calls[lost] = StoreCallPurpose::kRegister;
  HandleKeyValueReply(session, lost, KeyValueReply(), kStart, actions);
  return watch;
}

/** A reply to a watch, with one change. */
KeyValueReply MakeWatchReply(uint64_t revision, uint64_t version) {
  KeyValueReply reply = MakeDoneReply();
  reply.store_revision = revision;
  RouteTable routes;
  routes.version = version;
  reply.changes.push_back(RoutesChanged{routes});
  return reply;
}

// On a slow link a large reply takes longer than the timeout of a call. Ignored
// after its watch was replaced, it would be requested again and again.
TEST(StoreSessionTest, LateReplyToAReplacedWatchIsApplied) {
  std::vector<CallKeyValue> calls;
  StoreSession session = FollowItems(calls);
  Actions actions;
  const StoreToken replaced = LoseCallAfterWatch(session, actions);
  const StoreToken next = session.routes.last_call;
  ASSERT_NE(next, replaced);
  const StoreUpdate late = HandleKeyValueReply(
      session, replaced, MakeWatchReply(12, 3), kStart, actions);
  EXPECT_EQ(late.changes.size(), 1U);
  EXPECT_EQ(session.routes.followed_to, 12U);
  // The next watch was answered earlier, so that its changes are older.
  const StoreUpdate older =
      HandleKeyValueReply(session, next, MakeWatchReply(9, 2), kStart, actions);
  EXPECT_TRUE(older.changes.empty());
  EXPECT_EQ(session.routes.followed_to, 12U);
}

// Each of several copies of a large reply would slow down the others.
TEST(StoreSessionTest, WatchWhoseReplyIsArrivingIsKept) {
  std::vector<CallKeyValue> calls;
  StoreSession session = FollowItems(calls);
  Actions actions;
  NoteReplyArriving(session, session.routes.last_call);
  const StoreToken watch = LoseCallAfterWatch(session, actions);
  EXPECT_EQ(session.routes.last_call, watch);
  const StoreUpdate update = HandleKeyValueReply(
      session, watch, MakeWatchReply(12, 3), kStart, actions);
  EXPECT_EQ(update.changes.size(), 1U);
}

}  // namespace
}  // namespace dogwoodfall
