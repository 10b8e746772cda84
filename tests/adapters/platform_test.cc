#include <gtest/gtest.h>

#include <string>
#include <variant>

#include "platform/endpoint_codec.h"
#include "platform/item_codec.h"
#include "platform/job_codec.h"
#include "platform/platform_store.h"

namespace dogwoodfall {
namespace {

JobRoute MakeSampleRoute() {
  JobRoute route;
  route.name = "r-1";
  route.service = "service";
  route.priority = 1;
  route.max_attempts = 3;
  route.stretch = 1.6;
  route.target_latency = {60};
  return route;
}

std::variant<TransientJob, JobRefusal> DecodeSampleJob(
    const std::string& body) {
  return DecodeJob(SubmissionId("5c0e7a21d94b36f8"), MakeSampleRoute(), body);
}

int GetRefusalStatus(const std::string& body) {
  const auto decoded = DecodeSampleJob(body);
  const auto* refusal = std::get_if<JobRefusal>(&decoded);
  return refusal == nullptr ? 0 : refusal->status;
}

HttpResponse MakeResponse(int status, const std::string& body) {
  return {HttpOutcome::kAnswered, status, body, false};
}

nlohmann::json MakeItem(const std::string& key, const std::string& value) {
  return {{"key", key},
          {"value", EncodeBase64(value)},
          {"revision", 9},
          {"createRevision", 4}};
}

TEST(JobCodecTest, DecodesAJob) {
  const auto decoded = DecodeSampleJob(
      R"({"bestEffort":true,"spec":"text","steps":[{"count":4,"cpu":500,)"
      R"("memMb":256,"estimateMs":900},{"count":2,"gpu":1,"after":[0]}]})");
  const auto* job = std::get_if<TransientJob>(&decoded);
  ASSERT_NE(job, nullptr);
  EXPECT_EQ(job->payload, "text");
  ASSERT_EQ(job->steps.size(), 2U);
  EXPECT_EQ(job->steps[0].resources, (TaskResources{500, 256, 0}));
  EXPECT_EQ(job->steps[1].after, std::vector<uint32_t>{0});
  EXPECT_EQ(job->max_attempts, 3U);
}

TEST(JobCodecTest, InvalidJobIsABadRequest) {
  const std::string prefix = R"({"bestEffort":true,)";
  for (const std::string& body :
       {std::string(), std::string("{"), std::string("[]"),
        prefix + R"("steps":[]})", prefix + R"("steps":[{"count":0}]})",
        prefix + R"("steps":[{"count":-1}]})",
        prefix + R"("steps":[{"count":99999999}]})",
        prefix + R"("steps":[{"count":1,"cpu":-5}]})",
        prefix + R"("steps":[{"count":1,"cpu":"x"}]})",
        prefix + R"("steps":[{"count":1,"after":[0]}]})",
        prefix + R"("steps":[{"count":1,"after":[-1]}]})",
        prefix + R"("spec":7,"steps":[{"count":1}]})"})
    EXPECT_EQ(GetRefusalStatus(body), 400) << body;
}

TEST(JobCodecTest, RefusesUnsupportedFeatures) {
  EXPECT_EQ(GetRefusalStatus(R"({"steps":[{"count":1}]})"), 503);
  EXPECT_EQ(GetRefusalStatus(R"({"bestEffort":true,"steps":[{"count":1,)"
                             R"("gang":true}]})"),
            503);
  EXPECT_EQ(GetRefusalStatus(R"({"bestEffort":true,"repeatCount":2,)"
                             R"("steps":[{"count":1}]})"),
            503);
}

TEST(EndpointCodecTest, EncodesCommands) {
  EndpointCommand command;
  command.fencing_token = 7;
  command.command = StartRun{
      {SubmissionId("5c0e7a21d94b36f8"), 1, 17}, Attempt(2), "text", {486'000}};
  const EndpointCall start = EncodeEndpointCommand(command);
  EXPECT_EQ(start.path, "/run-start");
  const auto json = nlohmann::json::parse(start.body);
  EXPECT_EQ(json.at("task"), "5c0e7a21d94b36f8.0.1.17");
  EXPECT_EQ(json.at("attempt"), 2);
  EXPECT_EQ(json.at("deadlineMs"), 486'000);
  EXPECT_EQ(json.at("fenceToken"), 7);
  command.command = RenewRuns{std::nullopt, 57, {}};
  const auto renewal =
      nlohmann::json::parse(EncodeEndpointCommand(command).body);
  EXPECT_FALSE(renewal.contains("deadlineMs"));
  EXPECT_FALSE(renewal.contains("waitMs"));
  EXPECT_EQ(renewal.at("lastSeen"), 57);
}

TEST(EndpointCodecTest, DecodesRunLists) {
  const EndpointReply reply = DecodeEndpointReply(
      CommandId(3), EndpointCallKind::kRenewal,
      MakeResponse(200, R"({"clockMs":482113,"born":5,"running":)"
                        R"([["5c0e7a21d94b36f8.0.1.17",2,"",41]],"ended":)"
                        R"([[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})"));
  EXPECT_EQ(reply.outcome, CommandOutcome::kDone);
  EXPECT_EQ(reply.clock, Millis{482'113});
  ASSERT_EQ(reply.running.size(), 1U);
  EXPECT_EQ(reply.running[0].task.index, 17U);
  EXPECT_EQ(reply.running[0].percent, 41);
  ASSERT_EQ(reply.ended.size(), 1U);
  EXPECT_EQ(reply.ended[0].number, 58U);
  EXPECT_EQ(reply.ended[0].result, RunResult::kDone);
}

TEST(EndpointCodecTest, DistinguishesRefusals) {
  const auto outcome = [](int status, const std::string& body) {
    return DecodeEndpointReply(CommandId(3), EndpointCallKind::kRenewal,
                               MakeResponse(status, body))
        .outcome;
  };
  EXPECT_EQ(outcome(409, R"({"reason":"fence"})"), CommandOutcome::kFenced);
  EXPECT_EQ(outcome(409, R"({"reason":"old"})"), CommandOutcome::kStaleAttempt);
  EXPECT_EQ(outcome(409, R"({"reason":"late"})"),
            CommandOutcome::kLeaseExpired);
  EXPECT_EQ(outcome(409, R"({"reason":"room"})"),
            CommandOutcome::kInsufficientResources);
  EXPECT_EQ(outcome(421, ""), CommandOutcome::kOtherIncarnation);
  EXPECT_EQ(outcome(503, "{}"), CommandOutcome::kUnhealthy);
  EXPECT_EQ(outcome(200, R"({"running":7})"), CommandOutcome::kUnanswered);
  EXPECT_EQ(DecodeEndpointReply(CommandId(3), EndpointCallKind::kRenewal,
                                HttpResponse())
                .outcome,
            CommandOutcome::kUnanswered);
}

TEST(ItemCodecTest, Base64RoundTrips) {
  for (const std::string& bytes :
       {std::string(), std::string("a"), std::string("ab"), std::string("abc"),
        std::string("\0\xff", 2)})
    EXPECT_EQ(DecodeBase64(EncodeBase64(bytes)), bytes);
  EXPECT_FALSE(DecodeBase64("???").has_value());
}

TEST(ItemCodecTest, DecodesAnEndpoint) {
  const auto change = DecodeItem(
      MakeItem("servers/i-7f3a91c2",
               R"({"service":"s","address":"10.128.0.9:8080","zone":"bluff",)"
               R"("state":"draining","capacity":{"cpu":16000,"memMb":32768},)"
               R"("labels":["a","r1-3"],"born":12,"seq":4})"));
  ASSERT_TRUE(change.has_value());
  const auto* endpoint = std::get_if<EndpointChanged>(&*change);
  ASSERT_NE(endpoint, nullptr);
  EXPECT_EQ(endpoint->entry.port, 8080);
  EXPECT_TRUE(endpoint->entry.draining);
  EXPECT_EQ(endpoint->entry.kind, "a");
  EXPECT_EQ(endpoint->entry.rack, RackId("r1-3"));
  EXPECT_EQ(endpoint->entry.capacity.cpu_millicores, 16'000);
  EXPECT_EQ(endpoint->entry.revision, 9U);
}

// Guards against invalid entries that another writer put below servers/: each
// must count as a removed endpoint, and the other endpoints must stay active.
TEST(ItemCodecTest, InvalidEndpointEntryRemovesTheEndpoint) {
  for (const std::string& value :
       {std::string("\xff\xfe"), std::string("[]"), std::string("{}"),
        std::string(R"({"service":7})"),
        std::string(R"({"service":"s","address":"x","zone":"z",)"
                    R"("state":"ready","capacity":{}})"),
        std::string(R"({"service":"s","address":"1.2.3.4:5","zone":"z",)"
                    R"("state":"odd","capacity":{}})")}) {
    const auto change = DecodeItem(MakeItem("servers/x", value));
    ASSERT_TRUE(change.has_value());
    EXPECT_TRUE(std::holds_alternative<EndpointRemoved>(*change)) << value;
  }
}

// An invalid configuration must not change the active one. An UnreadableItem is
// only logged.
TEST(ItemCodecTest, InvalidConfigurationIsUnreadable) {
  const auto change = DecodeItem(MakeItem("op/config", "{\"version\":\"x\"}"));
  ASSERT_TRUE(change.has_value());
  EXPECT_TRUE(std::holds_alternative<UnreadableItem>(*change));
}

// The key of a request names the zone, so that an operator's request holds even
// if its value can't be parsed.
TEST(ItemCodecTest, DecodesRequestsToEvacuateAZone) {
  for (const std::string& value :
       {std::string("{}"), std::string("\xff"), std::string("[1]")}) {
    const auto change = DecodeItem(MakeItem("op/evacuate/a/b", value));
    ASSERT_TRUE(change.has_value());
    const auto* request = std::get_if<EvacuationRequested>(&*change);
    ASSERT_NE(request, nullptr);
    EXPECT_EQ(request->zone, ZoneId("a/b"));
    EXPECT_EQ(request->revision, 9U);
    EXPECT_EQ(request->is_readable, value == "{}");
  }
  const auto odd =
      DecodeItem({{"key", "op/evacuate/a"}, {"value", 7}, {"revision", "x"}});
  EXPECT_TRUE(std::holds_alternative<EvacuationRequested>(odd.value()));
  const auto removal = DecodeItem(
      {{"key", "op/evacuate/a"}, {"removed", true}, {"revision", 12}});
  const auto* withdrawal = std::get_if<EvacuationWithdrawn>(&removal.value());
  ASSERT_NE(withdrawal, nullptr);
  EXPECT_EQ(withdrawal->revision, 12U);
}

// Other items of the operators appear in the watch as well. They must be
// ignored, and the removal of the configuration must not change the routes.
TEST(ItemCodecTest, IgnoresOtherItemsOfTheOperators) {
  for (const char* key : {"op/", "op/config2", "op/evacuate", "op/evacuate/",
                          "op/evacuation/a", "op/else"}) {
    EXPECT_FALSE(DecodeItem(MakeItem(key, "{}")).has_value()) << key;
    EXPECT_FALSE(DecodeItem({{"key", key}, {"removed", true}}).has_value())
        << key;
    EXPECT_FALSE(DecodeItem({{"key", key}, {"value", 7}}).has_value()) << key;
  }
  const auto removal =
      DecodeItem({{"key", "op/config"}, {"removed", true}, {"revision", 12}});
  EXPECT_TRUE(std::holds_alternative<UnreadableItem>(removal.value()));
}

TEST(ItemCodecTest, DecodesRoutesAndIgnoresOlderVersions) {
  const auto change = DecodeItem(MakeItem(
      "op/config",
      R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/",)"
      R"("service":"s","priority":1,"maxAttempts":3,"stretch":1.6,)"
      R"("targetLatencyMs":60,"timeoutMs":1500}],"services":[]})"));
  ASSERT_TRUE(change.has_value());
  const auto* routes = std::get_if<RoutesChanged>(&*change);
  ASSERT_NE(routes, nullptr);
  RouteTable table;
  EXPECT_TRUE(ReplaceRoutesIfNewer(table, routes->routes));
  EXPECT_EQ(FindJobRoute(table, "h", "/p/1")->service, "s");
  EXPECT_EQ(FindJobRoute(table, "other", "/p/1"), nullptr);
  RouteTable older = routes->routes;
  older.version = 6;
  EXPECT_FALSE(ReplaceRoutesIfNewer(table, older));
  EXPECT_EQ(table.version, 7U);
}

TEST(ItemCodecTest, MemberRoundTrips) {
  FleetMember member;
  member.address.id = DaemonId("d1");
  member.address.zone = ZoneId("north");
  member.address.ip = "10.0.0.1";
  member.address.peer_tcp_port = 7720;
  member.address.weight = 25;
  member.address.leaving = true;
  member.incarnation = Incarnation(77);
  const auto change =
      DecodeItem(MakeItem(MemberKey(DaemonId("d1")), EncodeMember(member)));
  ASSERT_TRUE(change.has_value());
  const auto* decoded = std::get_if<MemberChanged>(&*change);
  ASSERT_NE(decoded, nullptr);
  EXPECT_EQ(decoded->member.address.id, DaemonId("d1"));
  EXPECT_TRUE(decoded->member.address.leaving);
  EXPECT_EQ(decoded->member.incarnation, Incarnation(77));
  EXPECT_EQ(decoded->member.revision, 9U);
  EXPECT_EQ(decoded->member.created_revision, 4U);
}

TEST(PlatformStoreTest, WriteThatMetAnotherRevisionTellsIt) {
  const WriteMember write;
  const auto reply = [&write](int status, const char* body) {
    return DecodeKeyValueReply(write, MakeResponse(status, body));
  };
  EXPECT_EQ(reply(200, R"({"revision":12})").store_revision, 12U);
  const KeyValueReply conflict =
      reply(412, R"({"items":[{"key":"k","revision":9}]})");
  EXPECT_EQ(conflict.outcome, KeyValueOutcome::kConditionFailed);
  EXPECT_EQ(conflict.conflicting_revision, 9U);
  EXPECT_EQ(reply(412, R"({"items":[]})").conflicting_revision, 0U);
  EXPECT_EQ(reply(412, "{}").conflicting_revision, std::nullopt);
  EXPECT_EQ(reply(404, "{}").conflicting_revision, std::nullopt);
}

TEST(PlatformStoreTest, DistinguishesResponses) {
  const auto outcome = [](const HttpResponse& answer) {
    return DecodeKeyValueReply(RenewLease{7}, answer).outcome;
  };
  EXPECT_EQ(outcome(MakeResponse(200, "{}")), KeyValueOutcome::kDone);
  EXPECT_EQ(outcome(MakeResponse(412, "{}")),
            KeyValueOutcome::kConditionFailed);
  EXPECT_EQ(outcome(MakeResponse(410, "")), KeyValueOutcome::kHistoryCompacted);
  EXPECT_EQ(outcome(MakeResponse(429, "")), KeyValueOutcome::kRejected);
  EXPECT_EQ(outcome(MakeResponse(503, "")), KeyValueOutcome::kRejected);
  EXPECT_EQ(outcome(HttpResponse()), KeyValueOutcome::kUnanswered);
}

}  // namespace
}  // namespace dogwoodfall
