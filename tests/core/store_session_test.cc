#include "core/fleet/store_session.h"

#include <gtest/gtest.h>

#include <variant>
#include <vector>

namespace dogwoodfall {
namespace {

constexpr Millis kStart{1'000'000};

/** Calls made since the last look. */
std::vector<CallKeyValue> CallsIn(const Actions& actions) {
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

KeyValueReply Done() {
  KeyValueReply reply;
  reply.outcome = KeyValueOutcome::kDone;
  reply.store_revision = 5;
  reply.lease = 9;
  return reply;
}

StoreSession OpenSession(std::vector<CallKeyValue>& calls) {
  StoreSession session;
  session.self.address.id = DaemonId("d1");
  Actions actions;
  AdvanceStoreSession(session, kStart, actions);
  calls = CallsIn(actions);
  return session;
}

TEST(StoreSessionTest, ReadsFollowsAndRegisters) {
  std::vector<CallKeyValue> calls;
  StoreSession session = OpenSession(calls);
  ASSERT_EQ(calls.size(), 3U);
  Actions actions;
  for (const CallKeyValue& call : calls)
    TakeKeyValueReply(session, call.token, Done(), kStart, actions);
  const auto next = CallsIn(actions);
  EXPECT_NE(FindCall<WatchItems>(next), nullptr);
  EXPECT_NE(FindCall<WriteMember>(next), nullptr);
}

TEST(StoreSessionTest, AnOutageCostsFewCalls) {
  std::vector<CallKeyValue> calls;
  StoreSession session = OpenSession(calls);
  size_t made = calls.size();
  for (int64_t ms = 0; ms < 10'000; ms += 10) {
    Actions actions;
    for (const CallKeyValue& call : calls)
      TakeKeyValueReply(session, call.token, KeyValueReply(),
                        kStart + Millis{ms}, actions);
    AdvanceStoreSession(session, kStart + Millis{ms}, actions);
    calls = CallsIn(actions);
    made += calls.size();
  }
  EXPECT_LE(made, 50U);
}

TEST(StoreSessionTest, ALostLeaseIsOpenedAnew) {
  std::vector<CallKeyValue> calls;
  StoreSession session = OpenSession(calls);
  session.lease = 9;
  session.is_registered = true;
  const CallKeyValue* open = FindCall<OpenLease>(calls);
  ASSERT_NE(open, nullptr);
  KeyValueReply gone;
  gone.outcome = KeyValueOutcome::kConditionFailed;
  Actions actions;
  TakeKeyValueReply(session, open->token, gone, kStart, actions);
  EXPECT_FALSE(session.is_registered);
  EXPECT_NE(FindCall<OpenLease>(CallsIn(actions)), nullptr);
}

TEST(StoreSessionTest, AForgottenHistoryIsReadAgain) {
  std::vector<CallKeyValue> calls;
  StoreSession session = OpenSession(calls);
  Actions actions;
  for (const CallKeyValue& call : calls)
    TakeKeyValueReply(session, call.token, Done(), kStart, actions);
  const auto following = CallsIn(actions);
  const CallKeyValue* watch = FindCall<WatchItems>(following);
  ASSERT_NE(watch, nullptr);
  KeyValueReply gone;
  gone.outcome = KeyValueOutcome::kHistoryCompacted;
  Actions after;
  TakeKeyValueReply(session, watch->token, gone, kStart, after);
  EXPECT_NE(FindCall<ReadItems>(CallsIn(after)), nullptr);
}

TEST(StoreSessionTest, TheLeaseEndsWithThePlannedStop) {
  std::vector<CallKeyValue> calls;
  StoreSession session = OpenSession(calls);
  session.lease = 9;
  Actions actions;
  LeaveStore(session, actions);
  EXPECT_NE(FindCall<EndLease>(CallsIn(actions)), nullptr);
  Actions later;
  session.registration_out = false;
  AdvanceStoreSession(session, kStart + Millis{5'000}, later);
  EXPECT_EQ(FindCall<OpenLease>(CallsIn(later)), nullptr);
}

}  // namespace
}  // namespace dogwoodfall
