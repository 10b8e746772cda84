#include "core/fleet/zone_evacuation.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/fleet/fleet_events.h"
#include "fleet_world.h"

namespace dogwoodfall {
namespace {

/** Time within which a request is in force, and by which that is extended while
 * the store is unstable.
 */
constexpr Millis kEvacuationTime{5'000};
constexpr Millis kMaxExtension{6'000};

StoreUpdate MakeUpdate(bool is_list,
                       uint64_t revision,
                       std::vector<StoreChange> changes) {
  return {ItemScope::kRoutes, is_list, revision, std::move(changes)};
}

EvacuationRequested Request(const std::string& zone, uint64_t revision) {
  return {ZoneId(zone), revision, true};
}

EvacuationWithdrawn Withdrawal(const std::string& zone, uint64_t revision) {
  return {ZoneId(zone), revision};
}

std::vector<std::string> ZonesOf(const EvacuationState& state) {
  std::vector<std::string> zones;
  for (const auto& [zone, revision] : state.zones)
    zones.push_back(zone.value);
  return zones;
}

using Zones = std::vector<std::string>;

/** Submits short jobs to all daemons that run for a while. */
void RunWithLoad(FleetWorld& world,
                 const std::string& prefix,
                 Millis duration) {
  const Millis end = world.now + duration;
  for (int round = 0; world.now < end; ++round) {
    for (const char* daemon : {"north0", "north1", "south0", "south1"}) {
      if (world.IsRunning(daemon))
        world.Submit(daemon, prefix + std::to_string(round) + daemon, 1, {60});
    }
    world.RunFor({50});
  }
}

uint64_t CountStarts(const FleetWorld& world, const std::string& zone) {
  return world.CountStartsByZone()[zone];
}

/** Adds a third zone like those of SetUpTwoZones(). */
void AddZone(FleetWorld& world, const std::string& zone) {
  for (int i = 0; i < 2; ++i)
    world.StartDaemon(zone + std::to_string(i), zone);
  for (int i = 0; i < 4; ++i)
    world.AddEndpoint(zone + "-e" + std::to_string(i), zone);
  world.RunFor({3'000});
}

bool IsWatchOfOperatorItems(const KeyValueCall& call) {
  const auto* watch = std::get_if<WatchItems>(&call);
  return watch != nullptr && watch->scope == ItemScope::kRoutes;
}

// A withdrawal that arrives again after a newer request, from a repeated answer
// of the store, must not return the zone to service.
TEST(ZoneEvacuationTest, OlderChangesAreIgnored) {
  EvacuationState state;
  ApplyEvacuationUpdate(state, MakeUpdate(true, 10, {}));
  ApplyEvacuationUpdate(state, MakeUpdate(false, 20, {Request("a", 20)}));
  ApplyEvacuationUpdate(state, MakeUpdate(false, 30, {Withdrawal("a", 30)}));
  ApplyEvacuationUpdate(state, MakeUpdate(false, 40, {Request("a", 40)}));
  EXPECT_FALSE(ApplyEvacuationUpdate(
      state, MakeUpdate(false, 30, {Withdrawal("a", 30)})));
  EXPECT_EQ(ZonesOf(state), Zones{"a"});
  EXPECT_FALSE(
      ApplyEvacuationUpdate(state, MakeUpdate(false, 20, {Request("b", 20)})));
  EXPECT_EQ(ZonesOf(state), Zones{"a"});
}

// A list that is older than the state from a peer must neither cancel a request
// nor renew one that was withdrawn.
TEST(ZoneEvacuationTest, OlderListDoesNotChangeTheState) {
  EvacuationState state;
  ApplyEvacuationNotice(state, {50, {{ZoneId("a"), 50}}}, 0);
  EXPECT_FALSE(
      ApplyEvacuationUpdate(state, MakeUpdate(true, 40, {Request("b", 30)})));
  EXPECT_EQ(ZonesOf(state), Zones{"a"});
  EXPECT_EQ(state.revision, 50U);
}

// After its history was compacted, the store doesn't report a withdrawal. The
// list that is read then lacks the request.
TEST(ZoneEvacuationTest, ListWithoutARequestReturnsTheZone) {
  EvacuationState state;
  ApplyEvacuationUpdate(state, MakeUpdate(true, 20, {Request("a", 15)}));
  EXPECT_EQ(ZonesOf(state), Zones{"a"});
  EXPECT_TRUE(ApplyEvacuationUpdate(state, MakeUpdate(true, 60, {})));
  EXPECT_TRUE(state.zones.empty());
  EXPECT_FALSE(ApplyEvacuationNotice(state, {20, {{ZoneId("a"), 15}}}, 60));
  EXPECT_TRUE(state.zones.empty());
}

// A peer that was cut off may know a request that was withdrawn before this
// daemon started. It must not bring it back, and must get the newer state.
TEST(ZoneEvacuationTest, SupersededStateOfAPeerIsNotApplied) {
  EvacuationState state;
  ApplyEvacuationUpdate(state, MakeUpdate(true, 100, {Request("a", 40)}));
  const EvacuationNotice superseded{50, {{ZoneId("a"), 40}, {ZoneId("b"), 50}}};
  EXPECT_FALSE(ApplyEvacuationNotice(state, superseded, 100));
  EXPECT_EQ(ZonesOf(state), Zones{"a"});
  EvacuationState peer;
  ApplyEvacuationNotice(peer, superseded, 0);
  EXPECT_TRUE(ApplyEvacuationNotice(peer, MakeEvacuationNotice(state), 45));
  EXPECT_EQ(ZonesOf(peer), Zones{"a"});
}

// A request on a later page may be newer than a change that an earlier page
// lacks. That change is read afterwards and must not be taken for a known one.
TEST(ZoneEvacuationTest, ChangesMadeWhileAListIsReadAreApplied) {
  EvacuationState state;
  ApplyEvacuationUpdate(state, MakeUpdate(true, 20, {Request("z", 24)}));
  ApplyEvacuationUpdate(state, MakeUpdate(false, 26,
                                          {Request("a", 22), Request("z", 24),
                                           Withdrawal("z", 25)}));
  EXPECT_EQ(ZonesOf(state), Zones{"a"});
}

// A peer that has read the operators' items at another time would send its
// state to all others, though there are no requests.
TEST(ZoneEvacuationTest, StatesWithoutRequestsHaveTheSameRevision) {
  EvacuationState first;
  EvacuationState second;
  ApplyEvacuationUpdate(first, MakeUpdate(true, 20, {}));
  ApplyEvacuationUpdate(second, MakeUpdate(true, 90, {}));
  EXPECT_EQ(first.revision, second.revision);
  EXPECT_NE(first.revision, EvacuationState().revision);
}

// A request holds although its value or its revision can't be parsed.
TEST(ZoneEvacuationTest, UnreadableRequestHolds) {
  EvacuationState state;
  ApplyEvacuationUpdate(state, MakeUpdate(true, 10, {}));
  ApplyEvacuationUpdate(
      state,
      MakeUpdate(false, 20, {EvacuationRequested{ZoneId("a"), 0, false}}));
  EXPECT_EQ(ZonesOf(state), Zones{"a"});
}

// A trouble of the store while a zone is evacuated.
struct StoreTrouble {
  const char* name;
  Millis bound;
  std::function<void(FleetWorld&)> begin;
};

class ZoneEvacuationTroubleTest : public testing::TestWithParam<StoreTrouble> {
};

// Each trouble could hide the request from a daemon that goes on starting tasks
// in the zone.
TEST_P(ZoneEvacuationTroubleTest, RequestIsInForceInTime) {
  FleetWorld world;
  SetUpTwoZones(world);
  RunWithLoad(world, "before", {500});
  GetParam().begin(world);
  world.EvacuateZone("south");
  RunWithLoad(world, "while", GetParam().bound);
  const uint64_t starts = CountStarts(world, "south");
  const uint64_t other_starts = CountStarts(world, "north");
  RunWithLoad(world, "after", {4'000});
  EXPECT_EQ(CountStarts(world, "south"), starts);
  EXPECT_GT(CountStarts(world, "north"), other_starts + 100);
  EXPECT_TRUE(world.overlaps.empty());
}

INSTANTIATE_TEST_SUITE_P(
    Troubles,
    ZoneEvacuationTroubleTest,
    testing::Values(
        StoreTrouble{"None", {100}, [](FleetWorld&) {}},
        StoreTrouble{
            "SilentConnections", kEvacuationTime,
            [](FleetWorld& world) { world.SilenceStoreConnections(3); }},
        StoreTrouble{"WatchesCut", kEvacuationTime,
                     [](FleetWorld& world) {
                       // Watches that wait and the next calls fail at once.
                       const Millis until = world.now + Millis{1'000};
                       world.alter_store_reply =
                           [&world, until](const DaemonId&, const KeyValueCall&,
                                           KeyValueReply& reply) {
                             if (world.now < until)
                               reply = KeyValueReply();
                           };
                     }},
        StoreTrouble{"HistoryCompacted", kEvacuationTime,
                     [](FleetWorld& world) {
                       const Millis until = world.now + Millis{500};
                       world.alter_store_reply = [&world, until](
                                                     const DaemonId&,
                                                     const KeyValueCall& call,
                                                     KeyValueReply& reply) {
                         if (world.now >= until ||
                             !std::holds_alternative<WatchItems>(call))
                           return;
                         reply = KeyValueReply();
                         reply.outcome = KeyValueOutcome::kHistoryCompacted;
                       };
                     }},
        StoreTrouble{
            "AnswersLost", kEvacuationTime,
            [](FleetWorld& world) {
              // The first answer with the request is lost.
              auto lost = std::make_shared<std::set<DaemonId>>();
              world.alter_store_reply = [lost](const DaemonId& daemon,
                                               const KeyValueCall& call,
                                               KeyValueReply& reply) {
                if (IsWatchOfOperatorItems(call) && !reply.changes.empty() &&
                    lost->insert(daemon).second)
                  reply = KeyValueReply();
              };
            }},
        StoreTrouble{"MalformedAnswers", kEvacuationTime,
                     [](FleetWorld& world) {
                       const Millis until = world.now + Millis{1'000};
                       world.alter_store_reply = [&world, until](
                                                     const DaemonId&,
                                                     const KeyValueCall& call,
                                                     KeyValueReply& reply) {
                         if (world.now >= until ||
                             !IsWatchOfOperatorItems(call))
                           return;
                         reply = KeyValueReply();
                         reply.outcome = KeyValueOutcome::kMalformed;
                       };
                     }},
        StoreTrouble{"CallsRejected", kEvacuationTime + kMaxExtension,
                     [](FleetWorld& world) {
                       // Unstable until the extension of the bound has passed.
                       const Millis until = world.now + kMaxExtension;
                       world.alter_store_reply =
                           [&world, until](const DaemonId&, const KeyValueCall&,
                                           KeyValueReply& reply) {
                             if (world.now >= until)
                               return;
                             reply = KeyValueReply();
                             reply.outcome = KeyValueOutcome::kRejected;
                           };
                     }},
        StoreTrouble{"StaleLists", kEvacuationTime,
                     [](FleetWorld& world) {
                       // Compacted history, and lists from before the request.
                       const Millis until = world.now + Millis{1'000};
                       const uint64_t revision =
                           world.Node("north0").store.routes.followed_to;
                       world.alter_store_reply = [&world, until, revision](
                                                     const DaemonId&,
                                                     const KeyValueCall& call,
                                                     KeyValueReply& reply) {
                         if (world.now >= until)
                           return;
                         if (IsWatchOfOperatorItems(call)) {
                           reply = KeyValueReply();
                           reply.outcome = KeyValueOutcome::kHistoryCompacted;
                         }
                         const auto* list = std::get_if<ReadItems>(&call);
                         if (list == nullptr ||
                             list->scope != ItemScope::kRoutes)
                           return;
                         reply.changes.resize(1);
                         reply.store_revision = revision;
                       };
                     }}),
    [](const testing::TestParamInfo<StoreTrouble>& info) {
      return std::string(info.param.name);
    });

// New jobs of callers in the zone must be served by the others, and the answers
// must not wait for forwards from one group to the next.
TEST(ZoneEvacuationFleetTest, NewJobsAreSpreadOverTheOtherZones) {
  FleetWorld world;
  SetUpTwoZones(world);
  AddZone(world, "west");
  world.EvacuateZone("south");
  world.RunFor({100});
  const auto before = world.CountStartsByZone();
  for (int i = 0; i < 200; ++i) {
    world.Submit("south0", "job" + std::to_string(i), 1, {20});
    world.RunFor({20});
  }
  world.RunFor({300});
  const auto after = world.CountStartsByZone();
  EXPECT_EQ(after.at("south"), before.at("south"));
  EXPECT_GT(after.at("north") - before.at("north"), 70U);
  EXPECT_GT(after.at("west") - before.at("west"), 70U);
  EXPECT_EQ(world.results.size(), 200U);
  for (const auto& [job, result] : world.results)
    EXPECT_EQ(result, JobResult::kCompleted) << job;
  EXPECT_EQ(world.Node("south0").evacuation_counters.assigned_elsewhere, 200U);
}

// Jobs that wait must not wait for endpoints that get no starts any more. Those
// that haven't started move; one that has, and can't go on, is ended at once.
TEST(ZoneEvacuationFleetTest, WaitingJobsMoveOrEnd) {
  FleetWorld world;
  SetUpTwoZones(world);
  // North is kept full until the evacuation, so that nothing is forwarded.
  world.Submit("north0", "north-fill", 8, {300});
  world.RunFor({20});
  world.Submit("south0", "fill", 6, {700});
  world.RunFor({20});
  world.Submit("south0", "partial", 4, {700});
  world.RunFor({20});
  ASSERT_EQ(world.CountRuns("partial"), 2U);
  world.Submit("south0", "waiting", 2, {100});
  world.RunFor({20});
  ASSERT_EQ(world.CountRuns("waiting"), 0U);
  world.EvacuateZone("south");
  world.RunFor({60});
  EXPECT_EQ(world.outcomes["partial"].result, JobResult::kAbandoned);
  EXPECT_EQ(world.outcomes["partial"].reason, "zone_evacuated");
  EXPECT_EQ(world.CountRuns("fill"), 6U);
  world.RunFor({900});
  EXPECT_EQ(world.results["fill"], JobResult::kCompleted);
  EXPECT_EQ(world.results["waiting"], JobResult::kCompleted);
  EXPECT_TRUE(world.overlaps.empty());
}

// A failed run must not be started again in the zone, and its job must not wait
// until its deadline.
TEST(ZoneEvacuationFleetTest, JobWithAFailedRunIsEndedAtOnce) {
  FleetWorld world;
  SetUpTwoZones(world);
  for (auto& [id, endpoint] : world.endpoints)
    endpoint.fails_all = true;
  world.Submit("south0", "job", 1, {400});
  world.RunFor({15});
  world.EvacuateZone("south");
  world.RunFor({15});
  const uint64_t starts = CountStarts(world, "south");
  world.RunFor({150});
  EXPECT_EQ(world.outcomes["job"].result, JobResult::kAbandoned);
  EXPECT_EQ(CountStarts(world, "south"), starts);
}

// A start that waits for a reading of the endpoint's clock is sent when the
// answer comes, which may be after the request to evacuate the zone.
TEST(ZoneEvacuationFleetTest, StartThatAwaitsAClockReadingIsWithdrawn) {
  FleetWorld world;
  SetUpTwoZones(world);
  world.command_delay = [](const DaemonId& daemon) {
    return Millis{daemon.value[0] == 's' ? 40 : 0};
  };
  world.Submit("south0", "job", 2, {50});
  world.RunFor({10});
  world.EvacuateZone("south");
  world.RunFor({400});
  EXPECT_EQ(CountStarts(world, "south"), 0U);
  EXPECT_EQ(world.results["job"], JobResult::kCompleted);
}

// A submission that was delayed reaches the scheduler of the zone late. It must
// be passed on instead of being started or kept.
TEST(ZoneEvacuationFleetTest, LateSubmissionIsPassedOn) {
  FleetWorld world;
  SetUpTwoZones(world);
  const std::string owner = world.OwnerOf("south");
  const std::string receiver = OtherDaemonInZone(owner);
  world.message_delay = [&](const DaemonId& from, const DaemonId&) {
    return Millis{from.value == receiver ? 100 : 0};
  };
  world.Submit(receiver, "job", 2, {50});
  world.RunFor({10});
  world.EvacuateZone("south");
  world.RunFor({800});
  EXPECT_EQ(CountStarts(world, "south"), 0U);
  EXPECT_EQ(world.results["job"], JobResult::kCompleted);
}

// All zones may be evacuated. Callers must be refused at once with a time after
// which they may come back, instead of waiting.
TEST(ZoneEvacuationFleetTest, JobsAreRefusedWhenNoZoneIsLeft) {
  FleetWorld world;
  SetUpTwoZones(world);
  world.Submit("north0", "fill-n", 8, {300});
  world.Submit("south0", "fill-s", 8, {300});
  world.RunFor({20});
  world.Submit("south0", "waiting", 2, {100});
  world.RunFor({20});
  world.EvacuateZone("north");
  world.EvacuateZone("south");
  world.RunFor({50});
  world.Submit("south0", "new", 2, {100});
  world.RunFor({10});
  for (const char* job : {"waiting", "new"}) {
    EXPECT_EQ(world.outcomes[job].result, JobResult::kRefused) << job;
    EXPECT_GT(world.outcomes[job].retry_after, Millis()) << job;
  }
  world.RunFor({400});
  EXPECT_EQ(world.results["fill-n"], JobResult::kCompleted);
  EXPECT_EQ(world.results["fill-s"], JobResult::kCompleted);
}

// The end of one evacuation must not end another one, and a zone that was taken
// back must get tasks again.
TEST(ZoneEvacuationFleetTest, OverlappingEvacuationsEndSeparately) {
  FleetWorld world;
  SetUpTwoZones(world);
  AddZone(world, "west");
  world.EvacuateZone("south");
  world.RunFor({500});
  world.EvacuateZone("north");
  world.RunFor({100});
  const auto both = world.CountStartsByZone();
  RunWithLoad(world, "both", {1'000});
  EXPECT_EQ(CountStarts(world, "south"), both.at("south"));
  EXPECT_EQ(CountStarts(world, "north"), both.at("north"));
  world.TakeZoneBack("south");
  RunWithLoad(world, "one", {1'000});
  EXPECT_GT(CountStarts(world, "south"), both.at("south"));
  EXPECT_EQ(CountStarts(world, "north"), both.at("north"));
  world.TakeZoneBack("north");
  RunWithLoad(world, "none", {1'000});
  EXPECT_GT(CountStarts(world, "north"), both.at("north"));
}

// Repeating a request, or requesting the evacuation of a zone that nobody
// knows, must change nothing.
TEST(ZoneEvacuationFleetTest, UnknownZonesAndRepeatsChangeNothing) {
  FleetWorld world;
  SetUpTwoZones(world);
  world.EvacuateZone("nowhere");
  world.EvacuateZone("south");
  world.EvacuateZone("south");
  world.RunFor({100});
  EXPECT_EQ(ZonesOf(world.Node("north0").evacuation),
            (Zones{"nowhere", "south"}));
  world.TakeZoneBack("south");
  world.RunFor({100});
  RunWithLoad(world, "job", {500});
  world.RunFor({300});
  for (const auto& [job, result] : world.results)
    EXPECT_EQ(result, JobResult::kCompleted) << job;
  EXPECT_GT(CountStarts(world, "south"), 0U);
  EXPECT_EQ(ZonesOf(world.Node("north0").evacuation), Zones{"nowhere"});
}

// A daemon that starts during an evacuation knows nothing of it until it has
// read the operators' items. It may own endpoints before.
TEST(ZoneEvacuationFleetTest, RestartedDaemonStartsNothingInTheZone) {
  FleetWorld world;
  SetUpTwoZones(world);
  world.EvacuateZone("south");
  world.RunFor({100});
  const uint64_t starts = CountStarts(world, "south");
  for (const char* id : {"south0", "south1", "north0", "north1"})
    world.KillDaemon(id);
  world.RunFor({3'000});
  // The operators' items are read late.
  world.alter_store_reply = [&world, until = world.now + Millis{3'000}](
                                const DaemonId&, const KeyValueCall& call,
                                KeyValueReply& reply) {
    const auto* list = std::get_if<ReadItems>(&call);
    if (list != nullptr && list->scope == ItemScope::kRoutes &&
        world.now < until)
      reply = KeyValueReply();
  };
  for (const char* id : {"south0", "south1", "north0", "north1"})
    world.StartDaemon(id, std::string(id).substr(0, 5));
  world.RunFor({1'500});
  RunWithLoad(world, "early", {1'000});
  EXPECT_EQ(CountStarts(world, "south"), starts);
  world.RunFor({3'000});
  const uint64_t other_starts = CountStarts(world, "north");
  RunWithLoad(world, "late", {1'000});
  EXPECT_EQ(CountStarts(world, "south"), starts);
  EXPECT_GT(CountStarts(world, "north"), other_starts);
}

// The owner of the zone can't read the operators' items. It must get the
// requests from its peers, and their end as well.
TEST(ZoneEvacuationFleetTest, DaemonHearsOfRequestsFromAPeer) {
  FleetWorld world;
  SetUpTwoZones(world);
  const std::string owner = world.OwnerOf("south");
  world.alter_store_reply = [&owner](const DaemonId& daemon,
                                     const KeyValueCall& call,
                                     KeyValueReply& reply) {
    if (daemon.value != owner || !IsWatchOfOperatorItems(call))
      return;
    reply = KeyValueReply();
    reply.outcome = KeyValueOutcome::kRejected;
  };
  world.EvacuateZone("south");
  world.RunFor({2'000});
  EXPECT_EQ(ZonesOf(world.Node(owner).evacuation), Zones{"south"});
  const uint64_t starts = CountStarts(world, "south");
  RunWithLoad(world, "job", {1'000});
  EXPECT_EQ(CountStarts(world, "south"), starts);
  world.TakeZoneBack("south");
  world.RunFor({2'000});
  EXPECT_TRUE(world.Node(owner).evacuation.zones.empty());
}

// A daemon that is cut off from the store and its peers must keep the last
// state that it knows, and must not send an older one after its return.
TEST(ZoneEvacuationFleetTest, CutOffDaemonKeepsTheLastState) {
  FleetWorld world;
  SetUpTwoZones(world);
  world.EvacuateZone("south");
  world.RunFor({100});
  const std::string owner = world.OwnerOf("south");
  bool is_cut_off = true;
  world.is_store_unreachable = [&](const DaemonId& id) {
    return is_cut_off && id.value == owner;
  };
  world.is_partitioned = [&](const DaemonId& a, const DaemonId& b) {
    return is_cut_off && (a.value == owner || b.value == owner);
  };
  const uint64_t starts = CountStarts(world, "south");
  RunWithLoad(world, "cut", {3'000});
  EXPECT_EQ(CountStarts(world, "south"), starts);
  world.TakeZoneBack("south");
  world.RunFor({1'000});
  EXPECT_EQ(ZonesOf(world.Node(owner).evacuation), Zones{"south"});
  is_cut_off = false;
  world.RunFor({3'000});
  for (const char* id : {"north0", "north1", "south0", "south1"})
    EXPECT_TRUE(world.Node(id).evacuation.zones.empty()) << id;
}

// A zone without daemons is owned by a daemon of another zone. It must be used
// while that one is evacuated, and must get no starts once it is evacuated too.
TEST(ZoneEvacuationFleetTest, ZoneIsEvacuatedByTheZoneOfItsEndpoints) {
  FleetWorld world;
  SetUpTwoZones(world);
  world.KillDaemon("south0");
  world.KillDaemon("south1");
  world.RunFor({4'000});
  world.EvacuateZone("north");
  world.RunFor({100});
  world.Submit("north0", "one", 2, {50});
  world.Submit("north1", "two", 2, {50});
  world.RunFor({300});
  EXPECT_EQ(world.results["one"], JobResult::kCompleted);
  EXPECT_EQ(world.results["two"], JobResult::kCompleted);
  EXPECT_EQ(CountStarts(world, "south"), 4U);
  world.EvacuateZone("south");
  world.RunFor({100});
  world.Submit("north0", "refused", 2, {50});
  world.RunFor({20});
  EXPECT_EQ(world.outcomes["refused"].result, JobResult::kRefused);
  world.TakeZoneBack("north");
  world.RunFor({100});
  world.Submit("north0", "three", 2, {50});
  world.RunFor({300});
  EXPECT_EQ(world.results["three"], JobResult::kCompleted);
  EXPECT_EQ(CountStarts(world, "south"), 4U);
}

// The requests share the watch of the routes. Another call for each daemon
// would load the store.
TEST(ZoneEvacuationFleetTest, RequestsCostNoAdditionalCalls) {
  const auto count_calls = [](bool is_evacuated) {
    FleetWorld world;
    SetUpTwoZones(world);
    if (is_evacuated)
      world.EvacuateZone("south");
    world.RunFor({500});
    const uint64_t calls = world.store_call_count;
    world.RunFor({20'000});
    return world.store_call_count - calls;
  };
  const uint64_t calls = count_calls(false);
  EXPECT_LE(count_calls(true), calls + calls / 100);
}

}  // namespace
}  // namespace dogwoodfall
