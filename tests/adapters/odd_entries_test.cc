#include <gtest/gtest.h>

#include <map>
#include <string>
#include <variant>
#include <vector>

#include "core/fleet/store_session.h"
#include "core/scheduling/speed_learning.h"
#include "core/scheduling/spillover.h"
#include "platform/endpoint_codec.h"
#include "platform/item_codec.h"
#include "platform/job_codec.h"
#include "platform/platform_store.h"
#include "scheduler_world.h"

namespace dogwoodfall {
namespace {

/** JSON texts of the fields of an object. */
using FieldTexts = std::map<std::string, std::string>;

constexpr uint64_t kListRevision = 9;
constexpr uint64_t kWatchRevision = 11;
constexpr size_t kDeepLevels = 200'000;

std::string MakeObject(const FieldTexts& fields) {
  std::string text;
  for (const auto& [name, value] : fields)
    text += (text.empty() ? "{\"" : ",\"") + name + "\":" + value;
  return text + "}";
}

std::string MakeObject(FieldTexts fields, const FieldTexts& odd_fields) {
  for (const auto& [name, value] : odd_fields)
    fields[name] = value;
  return MakeObject(fields);
}

std::string MakeEndpointValue(const FieldTexts& odd_fields = {}) {
  return MakeObject({{"service", "\"s\""},
                     {"address", "\"10.128.0.9:8080\""},
                     {"zone", "\"north\""},
                     {"state", "\"ready\""},
                     {"capacity", R"({"cpu":16000,"memMb":32768,"gpu":1})"}},
                    odd_fields);
}

std::string MakeMemberValue(const FieldTexts& odd_fields = {}) {
  return MakeObject({{"zone", "\"north\""},
                     {"ip", "\"10.0.0.1\""},
                     {"tcp_port", "7720"},
                     {"udp_port", "7721"},
                     {"weight", "25"},
                     {"leaving", "false"},
                     {"incarnation", "77"}},
                    odd_fields);
}

std::string MakeRoutesValue(const FieldTexts& odd_fields = {}) {
  return R"({"version":7,"routes":[)" +
         MakeObject({{"name", "\"r\""},
                     {"host", "\"h\""},
                     {"prefix", "\"/p/\""},
                     {"service", "\"s\""}},
                    odd_fields) +
         "]}";
}

std::string MakeItem(const std::string& key,
                     const std::string& value,
                     const FieldTexts& odd_fields = {}) {
  return MakeObject({{"key", "\"" + key + "\""},
                     {"value", "\"" + EncodeBase64(value) + "\""},
                     {"revision", "8"},
                     {"createRevision", "4"}},
                    odd_fields);
}

std::string MakeList(const std::string& items) {
  return R"({"items":[)" + items + R"(],"morePages":false,"storeRevision":)" +
         std::to_string(kListRevision) + "}";
}

std::string MakeEvents(const std::string& events) {
  return R"({"events":[)" + events + R"(],"storeRevision":)" +
         std::to_string(kWatchRevision) + "}";
}

HttpResponse MakeResponse(const std::string& body) {
  return {HttpOutcome::kAnswered, 200, body, false};
}

std::string Repeat(const std::string& text, size_t count) {
  std::string repeated;
  repeated.reserve(text.size() * count);
  for (size_t i = 0; i < count; ++i)
    repeated += text;
  return repeated;
}

std::string MakeDeepArray() {
  return Repeat("[", kDeepLevels) + Repeat("]", kDeepLevels);
}

std::string MakeDeepObject() {
  return Repeat("{\"a\":", kDeepLevels) + "1" + Repeat("}", kDeepLevels);
}

/** A session that follows the items of one scope by the store's answers. */
class FollowedItems {
 public:
  explicit FollowedItems(ItemScope scope) : scope(scope) {
    SetEndpointsNeeded(this->session, true);
    this->Advance();
  }

  /** Answers the open list or watch, and continues until the next one. */
  StoreUpdate Answer(const std::string& body) {
    const CallKeyValue call = this->open_call;
    this->open_call = CallKeyValue();
    Actions actions;
    StoreUpdate update = HandleKeyValueReply(
        this->session, call.token,
        DecodeKeyValueReply(call.call, MakeResponse(body)), this->now, actions);
    this->Collect(actions);
    this->Advance();
    return update;
  }

  bool IsListing() const {
    const auto* read = std::get_if<ReadItems>(&this->open_call.call);
    return read != nullptr && read->scope == this->scope;
  }

  /** Returns true when the open call is a watch from a revision on. */
  bool IsWatchingFrom(uint64_t revision) const {
    const auto* watch = std::get_if<WatchItems>(&this->open_call.call);
    return watch != nullptr && watch->scope == this->scope &&
           watch->after_revision == revision;
  }

 private:
  void Advance() {
    constexpr Millis kMaxPause{2'000};
    this->now = this->now + kMaxPause;
    Actions actions;
    AdvanceStoreSession(this->session, this->now, actions);
    this->Collect(actions);
  }

  void Collect(const Actions& actions) {
    for (const Action& action : actions) {
      const auto* call = std::get_if<CallKeyValue>(&action);
      if (call == nullptr)
        continue;
      const auto* read = std::get_if<ReadItems>(&call->call);
      const auto* watch = std::get_if<WatchItems>(&call->call);
      if ((read != nullptr && read->scope == this->scope) ||
          (watch != nullptr && watch->scope == this->scope))
        this->open_call = *call;
    }
  }

  ItemScope scope;
  StoreSession session;
  CallKeyValue open_call;
  Millis now{1'000'000};
};

template <typename Kind>
bool HoldsKindThenEndpoint(const std::vector<StoreChange>& changes) {
  return changes.size() == 2 && std::holds_alternative<Kind>(changes[0]) &&
         std::holds_alternative<EndpointChanged>(changes[1]);
}

/** Expects that an item is decoded as a kind of change, that the endpoint
 * beside it stays in use and that the following goes on, for the list and the
 * watch.
 */
template <typename Kind>
void ExpectDecodedAs(const std::string& item, const std::string& label) {
  const std::string items =
      item + "," + MakeItem("servers/sound", MakeEndpointValue());
  FollowedItems followed(ItemScope::kEndpoints);
  ASSERT_TRUE(followed.IsListing());
  EXPECT_TRUE(
      HoldsKindThenEndpoint<Kind>(followed.Answer(MakeList(items)).changes))
      << "list: " << label;
  EXPECT_TRUE(followed.IsWatchingFrom(kListRevision)) << "list: " << label;
  FollowedItems watched(ItemScope::kEndpoints);
  watched.Answer(MakeList(""));
  EXPECT_TRUE(
      HoldsKindThenEndpoint<Kind>(watched.Answer(MakeEvents(items)).changes))
      << "watch: " << label;
  EXPECT_TRUE(watched.IsWatchingFrom(kWatchRevision)) << "watch: " << label;
}

void ExpectEndpointNotUsed(const FieldTexts& odd_fields) {
  ExpectDecodedAs<EndpointRemoved>(
      MakeItem("servers/odd", MakeEndpointValue(odd_fields)),
      MakeObject(odd_fields));
}

void ExpectMemberUnreadable(const FieldTexts& odd_fields) {
  ExpectDecodedAs<UnreadableItem>(
      MakeItem("dogwoodfall/members/odd", MakeMemberValue(odd_fields)),
      MakeObject(odd_fields));
}

// A number that doesn't fit its type was converted all the same: 1e300 by an
// undefined conversion, a larger integer by wrapping.
TEST(OddEntriesTest, EndpointWithNumberThatDoesNotFitIsNotUsed) {
  for (const char* number :
       {"1e300", "-1e300", "1e999", "-1e999", "18446744073709551615",
        "9223372036854775808", "99999999999999999999", "true", "\"1\""}) {
    ExpectEndpointNotUsed({{"born", number}});
    for (const char* name : {"cpu", "memMb", "gpu"})
      ExpectEndpointNotUsed(
          {{"capacity", MakeObject({{name, std::string(number)}})}});
  }
}

// Capacities of endpoints are added up. Two of 9223372036854775807 overflow,
// and negative ones reduce the capacity of the group.
TEST(OddEntriesTest, EndpointWithImpossibleCapacityIsNotUsed) {
  for (const char* capacity :
       {R"({"cpu":-5})", R"({"memMb":-1})", R"({"gpu":-1})",
        R"({"cpu":9223372036854775807})", R"({"memMb":9223372036854775807})",
        R"({"gpu":9223372036854775807})", R"({"cpu":100000001})",
        R"({"memMb":1000000001})", R"({"gpu":1000001})"})
    ExpectEndpointNotUsed({{"capacity", capacity}});
}

// Commands to an address that is none fail one by one, each after a time in
// which the task could have run elsewhere.
TEST(OddEntriesTest, EndpointWithInvalidAddressIsNotUsed) {
  for (const char* address :
       {"10.0.0.9:70000", "10.0.0.9:65536", "10.0.0.9:0", "10.0.0.9:-1",
        "10.0.0.9:1e3", "10.0.0.9:", "10.0.0.9", ":80", "not-an-ip:80",
        "999.0.0.1:80", "10.0.0:80", "[::1]:80", "10.0.0.9 :80",
        "10.0.0.9\\u0000x:80"})
    ExpectEndpointNotUsed({{"address", "\"" + std::string(address) + "\""}});
}

// Peers would send to a wrapped port or give a daemon a wrapped weight.
TEST(OddEntriesTest, DaemonWithNumberThatDoesNotFitIsUnreadable) {
  for (const char* number : {"70000", "-1", "1e300", "1e999", "true"}) {
    ExpectMemberUnreadable({{"tcp_port", number}});
    ExpectMemberUnreadable({{"udp_port", number}});
  }
  for (const char* number : {"4294967296", "-1", "1e300", "1e999", "true"})
    ExpectMemberUnreadable({{"weight", number}});
  for (const char* number : {"18446744073709551616", "-1", "1e300", "1e999"})
    ExpectMemberUnreadable({{"incarnation", number}});
}

TEST(OddEntriesTest, DaemonWithInvalidAddressIsUnreadable) {
  for (const char* ip :
       {"nonsense", "", "10.0.0", "10.0.0.1:80", "::1", "10.0.0.1\\u0000x"})
    ExpectMemberUnreadable({{"ip", "\"" + std::string(ip) + "\""}});
}

// Writers in languages with one number type write whole numbers as floats.
TEST(OddEntriesTest, WholeFloatInRangeIsAccepted) {
  const auto endpoint = DecodeItem(nlohmann::json::parse(
      MakeItem("servers/e",
               MakeEndpointValue({{"capacity", R"({"cpu":1.6e4,"memMb":2.0,)"
                                               R"("gpu":0.0})"},
                                  {"born", "12.0"}}))));
  ASSERT_TRUE(endpoint && std::holds_alternative<EndpointChanged>(*endpoint));
  const EndpointEntry& entry = std::get<EndpointChanged>(*endpoint).entry;
  EXPECT_EQ(entry.capacity, (TaskResources{16'000, 2, 0}));
  EXPECT_EQ(entry.started_at_ms, 12);
  const auto member = DecodeItem(nlohmann::json::parse(MakeItem(
      "dogwoodfall/members/d", MakeMemberValue({{"tcp_port", "65535.0"},
                                                {"weight", "4294967295.0"},
                                                {"incarnation", "7.7e1"}}))));
  ASSERT_TRUE(member && std::holds_alternative<MemberChanged>(*member));
  const FleetMember& decoded = std::get<MemberChanged>(*member).member;
  EXPECT_EQ(decoded.address.peer_tcp_port, 65'535);
  EXPECT_EQ(decoded.address.weight, 4'294'967'295U);
  EXPECT_EQ(decoded.incarnation, Incarnation(77));
}

// A route whose numbers were wrapped would replace the sound one in force.
TEST(OddEntriesTest, RoutesWithNumberThatDoesNotFitAreUnreadable) {
  for (const FieldTexts& fields :
       std::vector<FieldTexts>{{{"priority", "-1"}},
                               {{"priority", "4294967296"}},
                               {{"maxAttempts", "4294967297"}},
                               {{"maxAttempts", "1e300"}},
                               {{"stretch", "1e999"}},
                               {{"targetLatencyMs", "1e300"}},
                               {{"timeoutMs", "18446744073709551615"}}})
    ExpectDecodedAs<UnreadableItem>(
        MakeItem("op/config", MakeRoutesValue(fields)), MakeObject(fields));
}

// The times of a route are added to the time of day, and run times are
// multiplied by its stretch.
TEST(OddEntriesTest, RoutesWithTimesThatOverflowAreUnreadable) {
  for (const FieldTexts& fields :
       std::vector<FieldTexts>{{{"timeoutMs", "9223372036854775807"}},
                               {{"timeoutMs", "-9223372036854775808"}},
                               {{"targetLatencyMs", "9223372036854775807"}},
                               {{"stretch", "1e300"}},
                               {{"stretch", "-1e300"}}})
    ExpectDecodedAs<UnreadableItem>(
        MakeItem("op/config", MakeRoutesValue(fields)), MakeObject(fields));
}

// A number beyond the range of a float made the whole answer unreadable. It was
// requested again and again, and no later change was applied.
TEST(OddEntriesTest, OverflowingNumberBesideTheValueSpoilsOnlyItsItem) {
  const std::string value = MakeEndpointValue();
  for (const char* number : {"1e999", "-1e999", "1.5E+400"}) {
    ExpectDecodedAs<EndpointChanged>(
        MakeItem("servers/odd", value, {{"lease", number}}), number);
    ExpectDecodedAs<UnreadableItem>(
        MakeItem("servers/odd", value, {{"revision", number}}), number);
    ExpectDecodedAs<EndpointRemoved>(
        MakeItem("servers/odd", value, {{"value", number}}), number);
    ExpectDecodedAs<UnreadableItem>(
        MakeItem("dogwoodfall/members/odd", MakeMemberValue(),
                 {{"createRevision", number}}),
        number);
    ExpectDecodedAs<UnreadableItem>(number, number);
  }
}

// Texts that contain such a number stay as they are.
TEST(OddEntriesTest, OverflowingNumberLeavesTextsUnchanged) {
  const std::string label = R"("a\" 1e999 \\")";
  const std::string item = MakeItem(
      "servers/odd",
      MakeEndpointValue({{"labels", "[" + label + "]"}, {"seq", "1e999"}}));
  const auto change = DecodeItem(nlohmann::json::parse(item));
  ASSERT_TRUE(change && std::holds_alternative<EndpointChanged>(*change));
  EXPECT_EQ(std::get<EndpointChanged>(*change).entry.kind, "a\" 1e999 \\");
}

// An answer that is no JSON, or whose own fields don't fit, is not applied; the
// session requests it again.
TEST(OddEntriesTest, AnswerThatIsNoJsonBesideAnOverflowingNumberIsMalformed) {
  const std::string item = MakeItem("servers/e", MakeEndpointValue());
  for (const std::string& events :
       {item + ",01e999", item + ",1e999x", item + ",1e999,", item + ",+1e999",
        item + ",1e999]", "1e999," + item + ",nul", item + ",1e999e1"}) {
    FollowedItems followed(ItemScope::kEndpoints);
    followed.Answer(MakeList(""));
    EXPECT_TRUE(followed.Answer(MakeEvents(events)).changes.empty()) << events;
    EXPECT_TRUE(followed.IsWatchingFrom(kListRevision)) << events;
  }
}

TEST(OddEntriesTest, FollowingGoesOnAfterARevisionThatDoesNotFit) {
  for (const char* revision :
       {"1e999", "1e300", "-1", "18446744073709551616"}) {
    FollowedItems followed(ItemScope::kEndpoints);
    followed.Answer(MakeList(""));
    const StoreUpdate update = followed.Answer(
        R"({"events":[],"storeRevision":)" + std::string(revision) + "}");
    EXPECT_TRUE(update.changes.empty()) << revision;
    EXPECT_TRUE(followed.IsWatchingFrom(kListRevision)) << revision;
    followed.Answer(MakeEvents(""));
    EXPECT_TRUE(followed.IsWatchingFrom(kWatchRevision)) << revision;
  }
}

// A decoder that recurses for each level runs out of stack.
TEST(OddEntriesTest, DeeplyNestedValueIsNotUsed) {
  for (const std::string& value : {MakeDeepArray(), MakeDeepObject()}) {
    ExpectDecodedAs<EndpointRemoved>(MakeItem("servers/odd", value), "value");
    ExpectDecodedAs<UnreadableItem>(MakeItem("dogwoodfall/members/odd", value),
                                    "value of a daemon");
    ExpectDecodedAs<UnreadableItem>(MakeItem("op/config", value),
                                    "value of the configuration");
  }
}

TEST(OddEntriesTest, DeeplyNestedFieldIsNotUsed) {
  for (const std::string& field : {MakeDeepArray(), MakeDeepObject()}) {
    for (const char* name : {"born", "labels"})
      ExpectDecodedAs<EndpointRemoved>(
          MakeItem("servers/odd", MakeEndpointValue({{name, field}})), name);
    ExpectDecodedAs<EndpointChanged>(
        MakeItem("servers/odd", MakeEndpointValue({{"unknown", field}})),
        "unknown field");
    ExpectDecodedAs<EndpointRemoved>(
        MakeItem("servers/odd", "", {{"value", field}}), "field of the item");
  }
}

TEST(OddEntriesTest, DeeplyNestedUnclosedValueIsNotUsed) {
  for (const std::string& value :
       {Repeat("[", kDeepLevels), Repeat("{\"a\":", kDeepLevels)})
    ExpectDecodedAs<EndpointRemoved>(MakeItem("servers/odd", value),
                                     "unclosed");
}

// An endpoint's answer with wrapped numbers would name runs that don't exist.
TEST(OddEntriesTest, EndpointAnswerWithNumberThatDoesNotFitIsUnanswered) {
  const auto outcome = [](const std::string& clock, const std::string& born,
                          const std::string& attempt,
                          const std::string& percent,
                          const std::string& number) {
    const std::string task = R"("5c0e7a21d94b36f8.0.1.17",)";
    const std::string body = R"({"clockMs":)" + clock + R"(,"born":)" + born +
                             R"(,"running":[[)" + task + attempt + R"(,"",)" +
                             percent + R"(]],"ended":[[)" + number + "," +
                             task + attempt + R"(,"done",""]]})";
    return DecodeEndpointReply(CommandId(3), EndpointCallKind::kRenewal,
                               MakeResponse(body))
        .outcome;
  };
  EXPECT_EQ(outcome("7.0", "5.0", "2.0", "41.5", "5.8e1"),
            CommandOutcome::kDone);
  for (const char* odd : {"1e300", "-1e300", "1e999", "18446744073709551615"}) {
    EXPECT_EQ(outcome(odd, "5", "2", "41", "58"), CommandOutcome::kUnanswered)
        << "clockMs " << odd;
  }
  for (const char* odd : {"1e300", "1e999", "18446744073709551615"}) {
    EXPECT_EQ(outcome("7", odd, "2", "41", "58"), CommandOutcome::kUnanswered)
        << "born " << odd;
  }
  for (const char* odd : {"-1", "4294967296", "1e300", "1e999", "true"}) {
    EXPECT_EQ(outcome("7", "5", odd, "41", "58"), CommandOutcome::kUnanswered)
        << "attempt " << odd;
  }
  EXPECT_EQ(outcome("7", "5", "2", "1e999", "58"), CommandOutcome::kUnanswered);
  for (const char* odd : {"-1", "1e300", "1e999", "18446744073709551616"}) {
    EXPECT_EQ(outcome("7", "5", "2", "41", odd), CommandOutcome::kUnanswered)
        << "number " << odd;
  }
}

// An index of 4294967313 was read as 17, so that a run of another task seemed
// to be in progress.
TEST(OddEntriesTest, TaskNameWithNumberThatDoesNotFitNamesNoTask) {
  const auto decode = [](const std::string& numbers) {
    return DecodeEndpointReply(
        CommandId(3), EndpointCallKind::kRenewal,
        MakeResponse(R"({"running":[["5c0e7a21d94b36f8)" + numbers +
                     R"(",2,"",41]],"ended":[]})"));
  };
  EXPECT_EQ(decode(".0.1.17").running.size(), 1U);
  for (const char* numbers :
       {".0.1.4294967313", ".0.4294967297.17", ".4294967296.1.17",
        ".0.1.99999999999999999999", ".0.1.-1", ".0.1.", ".0.1", ".0..17"}) {
    const EndpointReply reply = decode(numbers);
    EXPECT_EQ(reply.outcome, CommandOutcome::kDone) << numbers;
    EXPECT_TRUE(reply.running.empty()) << numbers;
  }
}

// Leases are added to the clock of an endpoint.
TEST(OddEntriesTest, EndpointAnswerWithImpossibleClockIsUnanswered) {
  for (const char* clock : {"9223372036854775807", "-9223372036854775808",
                            "1000000000000001", "1e18"}) {
    EXPECT_EQ(DecodeEndpointReply(
                  CommandId(3), EndpointCallKind::kOrder,
                  MakeResponse(R"({"clockMs":)" + std::string(clock) + "}"))
                  .outcome,
              CommandOutcome::kUnanswered)
        << clock;
  }
}

// A predecessor of 4294967296 was read as step 0.
TEST(OddEntriesTest, JobWithNumberThatDoesNotFitIsABadRequest) {
  for (const char* fields :
       {R"("cpu":1e300)", R"("cpu":18446744073709551615)", R"("count":1e999)",
        R"("after":[4294967296])", R"("after":[1e300])", R"("after":[-1])",
        R"("after":[true])", R"("after":7)"}) {
    const auto decoded =
        DecodeJob(SubmissionId("5c0e7a21d94b36f8"), JobRoute(),
                  R"({"bestEffort":true,"steps":[{"count":1},{"count":1,)" +
                      std::string(fields) + "}]}");
    const auto* refusal = std::get_if<JobRefusal>(&decoded);
    ASSERT_NE(refusal, nullptr) << fields;
    EXPECT_EQ(refusal->status, 400) << fields;
  }
}

// A copy of a deeply nested value recurses for each level.
TEST(OddEntriesTest, JobWithDeeplyNestedFieldIsABadRequest) {
  for (const char* name : {"after", "cpu", "requires"}) {
    const auto decoded =
        DecodeJob(SubmissionId("5c0e7a21d94b36f8"), JobRoute(),
                  R"({"bestEffort":true,"steps":[{"count":1,")" +
                      std::string(name) + "\":" + MakeDeepArray() + "}]}");
    const auto* refusal = std::get_if<JobRefusal>(&decoded);
    ASSERT_NE(refusal, nullptr) << name;
    EXPECT_EQ(refusal->status, 400) << name;
  }
}

/** Decodes an entry and adds its endpoint if it names one to use. */
bool AddIfUsable(SchedulerWorld& world,
                 const std::string& id,
                 const std::string& capacity) {
  const auto change = DecodeItem(nlohmann::json::parse(
      MakeItem("servers/" + id, MakeEndpointValue({{"capacity", capacity}}))));
  const auto* endpoint =
      change ? std::get_if<EndpointChanged>(&*change) : nullptr;
  if (endpoint == nullptr)
    return false;
  world.AddEndpoint(id, 1, 1);
  world.ReportCapacity(id, endpoint->entry.capacity);
  return true;
}

// Two capacities of 9223372036854775807 overflow when they are added up.
TEST(OddEntriesTest, SumsOfAcceptedCapacitiesDoNotOverflow) {
  for (const char* capacity :
       {R"({"cpu":9223372036854775807,"memMb":9223372036854775807,)"
        R"("gpu":9223372036854775807})",
        R"({"cpu":100000000,"memMb":1000000000,"gpu":1000000})"}) {
    SchedulerWorld world;
    int added = 0;
    for (int i = 0; i < 50; ++i)
      added += AddIfUsable(world, "e" + std::to_string(i), capacity) ? 1 : 0;
    world.Run({20});
    world.Submit("job", 4, 1, {100});
    world.Run({500});
    UpdateSpeeds(world.scheduler, world.now);
    EXPECT_EQ(world.results[SubmissionId("job")].outcome.result ==
                  JobResult::kCompleted,
              added > 0)
        << capacity;
  }
}

// A sum that wraps makes the largest group look full to the others.
TEST(OddEntriesTest, LoadOfManyLargeEndpointsDoesNotWrap) {
  SchedulerWorld world;
  for (int i = 0; i < 50; ++i)
    ASSERT_TRUE(AddIfUsable(world, "e" + std::to_string(i),
                            R"({"cpu":100000000,"memMb":1,"gpu":0})"));
  world.Run({20});
  const EndpointGroup group = world.scheduler.endpoints.begin()->second.group;
  const GroupLoad load = ComputeGroupLoad(world.scheduler, group, world.now);
  EXPECT_EQ(load.task_capacity, 4'294'967'295U);
  EXPECT_EQ(load.free_task_capacity, 4'294'967'295U);
}

}  // namespace
}  // namespace dogwoodfall
