#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <variant>
#include <vector>

#include "adapters/peers/peer_codec.h"
#include "platform/endpoint_codec.h"
#include "platform/item_codec.h"
#include "platform/job_codec.h"
#include "platform/platform_store.h"

namespace dogwoodfall {
namespace {

HttpResponse MakeResponse(int status, const std::string& body) {
  return {HttpOutcome::kAnswered, status, body, false};
}

const char* const kStorePage =
    R"({"items":[)"
    R"({"key":"servers/a","value":"e30=","revision":3,"createRevision":3},)"
    R"({"key":"servers/b","value":"e30=","revision":4,"createRevision":4}],)"
    R"("morePages":false,"storeRevision":9})";
const char* const kStoreEvents =
    R"({"events":[{"key":"servers/a","revision":11,"removed":true}],)"
    R"("storeRevision":11})";
const char* const kRunLists =
    R"({"clockMs":482113,"born":5,)"
    R"("running":[["5c0e7a21d94b36f8.0.1.17",2,"",41]],)"
    R"("ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";
const char* const kJob =
    R"({"bestEffort":true,"spec":"text","steps":[{"count":4,"cpu":500,)"
    R"("memMb":256,"estimateMs":900,"after":[]}]})";

/** Decodes the answer to a renewal. */
EndpointReply DecodeRenewalReply(int status, const std::string& body) {
  return DecodeEndpointReply(CommandId(3), EndpointCallKind::kRenewal,
                             MakeResponse(status, body));
}

/** Bodies of a successful answer that say nothing. */
std::vector<std::string> EmptyBodies() {
  return {"", "null", "[]", "7", "{}", "\xff\xfe", R"({"items":7,"events":7})"};
}

// A store that answers 200 without a list must not look like an empty store:
// the daemon would drop all endpoints and members.
TEST(MalformedAnswersTest, EmptyBodyIsNoEmptyStore) {
  for (const std::string& body : EmptyBodies()) {
    EXPECT_EQ(DecodeKeyValueReply(ReadItems(), MakeResponse(200, body)).outcome,
              KeyValueOutcome::kMalformed)
        << body;
    EXPECT_EQ(
        DecodeKeyValueReply(WatchItems(), MakeResponse(200, body)).outcome,
        KeyValueOutcome::kMalformed)
        << body;
    EXPECT_EQ(DecodeKeyValueReply(OpenLease(), MakeResponse(200, body)).outcome,
              KeyValueOutcome::kMalformed)
        << body;
  }
}

// A page that was cut off must not count as the whole page.
TEST(MalformedAnswersTest, TruncatedPageIsMalformed) {
  const std::string page = kStorePage;
  for (size_t length = 0; length < page.size(); ++length) {
    EXPECT_EQ(DecodeKeyValueReply(ReadItems(),
                                  MakeResponse(200, page.substr(0, length)))
                  .outcome,
              KeyValueOutcome::kMalformed)
        << length;
  }
}

// One malformed item must not keep the other items of its page from being
// applied.
TEST(MalformedAnswersTest, MalformedItemLeavesTheOthersValid) {
  for (const std::string& item :
       {std::string("7"), std::string("{}"), std::string(R"({"key":7})"),
        std::string(R"({"key":"servers/x","removed":"yes"})"),
        std::string(R"({"key":"dogwoodfall/members/x","removed":true})")}) {
    const std::string body =
        R"({"events":[)" + item +
        R"(,{"key":"servers/a","revision":11,"removed":true}],)"
        R"("storeRevision":11})";
    const KeyValueReply reply =
        DecodeKeyValueReply(WatchItems(), MakeResponse(200, body));
    EXPECT_EQ(reply.outcome, KeyValueOutcome::kDone) << item;
    ASSERT_EQ(reply.changes.size(), 2U) << item;
    EXPECT_TRUE(std::holds_alternative<UnreadableItem>(reply.changes[0]));
    EXPECT_TRUE(std::holds_alternative<EndpointRemoved>(reply.changes[1]));
  }
}

// A renewal that is answered without lists must not look like an endpoint
// without runs: their tasks would be started again elsewhere.
TEST(MalformedAnswersTest, EmptyBodyIsNoEmptyEndpoint) {
  for (const std::string& body : EmptyBodies()) {
    EXPECT_EQ(DecodeRenewalReply(200, body).outcome,
              CommandOutcome::kUnanswered)
        << body;
  }
  const std::string lists = kRunLists;
  for (size_t length = 0; length < lists.size(); ++length) {
    EXPECT_EQ(DecodeRenewalReply(200, lists.substr(0, length)).outcome,
              CommandOutcome::kUnanswered)
        << length;
  }
}

/** Replaces, removes or inserts some bytes of a message. */
std::string Mutate(std::string message) {
  const auto mutations = *rc::gen::inRange<int>(1, 6);
  for (int i = 0; i < mutations; ++i) {
    const auto at =
        *rc::gen::inRange<size_t>(0, std::max<size_t>(message.size(), 1));
    const char byte = *rc::gen::element('0', '9', '-', 'e', '"', '[', ']', '{',
                                        '}', ',', ':', '\0', '\xff', 'x');
    const auto kind = *rc::gen::inRange<int>(0, 3);
    if (kind == 0 && at < message.size())
      message[at] = byte;
    else if (kind == 1 && at < message.size())
      message.erase(at, *rc::gen::inRange<size_t>(1, 8));
    else
      message.insert(at, 1, byte);
  }
  return message;
}

// No bytes that an endpoint, the store, a caller or a peer sends may end the
// process with an exception.
RC_GTEST_PROP(MalformedAnswersTest, MutatedMessagesAreDecodedOrRejected, ()) {
  const std::string lists = Mutate(kRunLists);
  const EndpointReply reply = DecodeRenewalReply(200, lists);
  RC_ASSERT(reply.id == CommandId(3));
  DecodeRenewalReply(409, lists);
  DecodeKeyValueReply(ReadItems(), MakeResponse(200, Mutate(kStorePage)));
  DecodeKeyValueReply(WatchItems(), MakeResponse(200, Mutate(kStoreEvents)));
  DecodeKeyValueReply(OpenLease(), MakeResponse(200, Mutate(R"({"lease":7})")));
  DecodeJob(SubmissionId("5c0e7a21d94b36f8"), JobRoute(), Mutate(kJob));
  Heartbeat heartbeat;
  heartbeat.jobs_in_progress.push_back(
      {SubmissionId("5c0e7a21d94b36f8"), {ZoneId("north"), 0}});
  DecodeHeartbeat(Mutate(EncodeHeartbeat(heartbeat)));
  PeerFrame frame;
  frame.message = JobReport{SubmissionId("5c0e7a21d94b36f8"), JobOutcome()};
  DecodeFrame(Mutate(EncodeFrame(frame)));
}

}  // namespace
}  // namespace dogwoodfall
