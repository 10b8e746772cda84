#include "core/scheduling/endpoint_kinds.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>
#include <string>

#include "fleet_world.h"
#include "scheduler_world.h"

namespace dogwoodfall {
namespace {

constexpr int kEndpointsPerKind = 8;
constexpr double kSlow = 1.7;

SchedulerWorld MakeWorld(bool uses_kinds) {
  SchedulerWorld world;
  world.scheduler.options.endpoint_kinds = uses_kinds;
  return world;
}

ManagedEndpoint& Find(SchedulerWorld& world, const std::string& id) {
  return world.scheduler.endpoints.at(EndpointId(id));
}

ManagedEndpoint& AddEndpoint(SchedulerWorld& world,
                             const std::string& id,
                             const std::string& kind,
                             double slowness) {
  FakeEndpoint& endpoint = world.AddEndpoint(id, 16, slowness);
  endpoint.entry.kind = kind;
  world.ReportCapacity(id, endpoint.entry.capacity);
  return Find(world, id);
}

/** Adds endpoints of the kinds a and b by turns whose slowness varies by up to
 * 10 % in either direction.
 */
void AddKinds(SchedulerWorld& world, double slowness_of_b) {
  std::minstd_rand random(7);
  for (int i = 0; i < 2 * kEndpointsPerKind; ++i) {
    const double variation =
        0.9 + 0.2 * static_cast<double>(random() % 100) / 100;
    const bool is_b = i % 2 == 1;
    AddEndpoint(world, "e" + std::to_string(i), is_b ? "b" : "a",
                variation * (is_b ? slowness_of_b : 1));
  }
}

/** Runs 130 tasks a second, about eight per endpoint, which take about 0.8 of
 * the capacity.
 */
void RunJobs(SchedulerWorld& world, const std::string& prefix, int jobs) {
  for (int i = 0; i < jobs; ++i) {
    world.Submit(prefix + std::to_string(i), 4, 6, {150});
    world.Run({30});
  }
}

double GetMeanSlowness(SchedulerWorld& world, int first) {
  double sum = 0;
  for (int i = first; i < 2 * kEndpointsPerKind; i += 2)
    sum += Find(world, "e" + std::to_string(i)).slowness;
  return sum / kEndpointsPerKind;
}

// An endpoint without runs would get tasks as if it were as fast as the others,
// though its kind is known to be slow.
TEST(EndpointKindsTest, NewEndpointStartsFromItsKindAfterASecond) {
  SchedulerWorld world = MakeWorld(true);
  AddKinds(world, kSlow);
  RunJobs(world, "j", 34);
  const ManagedEndpoint& a = AddEndpoint(world, "new-a", "a", 1);
  const ManagedEndpoint& b = AddEndpoint(world, "new-b", "b", kSlow);
  EXPECT_GT(b.slowness, 1.35 * a.slowness);
  EXPECT_LT(b.slowness, 2 * a.slowness);
  EXPECT_NEAR(std::log(b.slowness), std::log(GetMeanSlowness(world, 1)), 0.1);
  EXPECT_EQ(AddEndpoint(world, "new-c", "c", 1).slowness, 1);
}

// Chance differences between endpoints would be taken for those of their kinds.
TEST(EndpointKindsTest, KindsThatDoNotDifferChangeNothing) {
  SchedulerWorld world = MakeWorld(true);
  AddKinds(world, 1);
  for (int i = 0; i < 2 * kEndpointsPerKind; i += 3)
    world.endpoints.at(EndpointId("e" + std::to_string(i))).slowness *= kSlow;
  for (int second = 0; second < 4; ++second) {
    RunJobs(world, "j" + std::to_string(second) + "-", 34);
    EXPECT_NE(world.scheduler.kinds.difference, KindDifference::kClear);
  }
  EXPECT_EQ(AddEndpoint(world, "new-b", "b", 1).slowness, 1);
}

int CountJobsUntilFound(bool uses_kinds) {
  SchedulerWorld world = MakeWorld(uses_kinds);
  AddKinds(world, kSlow);
  RunJobs(world, "j", 34);
  const ManagedEndpoint& slow = AddEndpoint(world, "slow-a", "a", 4);
  int jobs = 0;
  for (; jobs < 100 && slow.slowness < 1.5 * world.scheduler.median_slowness;
       ++jobs)
    RunJobs(world, "k" + std::to_string(jobs) + "-", 1);
  return jobs;
}

// The speed of its kind would hide that one of its endpoints is slow.
TEST(EndpointKindsTest, SlowEndpointOfAFastKindIsFoundAsQuickly) {
  const int without_kinds = CountJobsUntilFound(false);
  EXPECT_LT(without_kinds, 100);
  EXPECT_LE(CountJobsUntilFound(true), without_kinds);
}

// A slow spell of some endpoints would become the speed of their kind.
TEST(EndpointKindsTest, SlowAndEjectedEndpointsDoNotCount) {
  SchedulerWorld world = MakeWorld(true);
  AddKinds(world, kSlow);
  RunJobs(world, "j", 34);
  // A run that ends would end the ejection.
  world.Run({1'000});
  for (auto& [id, endpoint] : world.scheduler.endpoints)
    endpoint.observed_runs = 20;
  Find(world, "e1").slowness = 12;
  Find(world, "e3").is_ejected = true;
  world.Run({200});
  ASSERT_EQ(world.scheduler.kinds.learned.size(), 2U);
  for (const KindSpeed& kind : world.scheduler.kinds.learned) {
    const int left_out = kind.kind == "b" ? 2 : 0;
    EXPECT_EQ(kind.endpoints,
              static_cast<uint32_t>(kEndpointsPerKind - left_out));
  }
}

// A restarted endpoint, or one that comes back as another kind, would keep the
// speed of its former incarnation.
TEST(EndpointKindsTest, RestartedEndpointBeginsAnewFromItsKind) {
  SchedulerWorld world = MakeWorld(true);
  AddKinds(world, kSlow);
  RunJobs(world, "j", 34);
  ManagedEndpoint& endpoint = Find(world, "e1");
  FakeEndpoint& fake = world.endpoints.at(EndpointId("e1"));
  endpoint.slowness = 3;
  RestartFakeEndpoint(fake, world.now + Millis{50});
  world.Run({2'000});
  EXPECT_EQ(endpoint.observed_runs, 0U);
  EXPECT_NEAR(endpoint.slowness, AddEndpoint(world, "b", "b", 1).slowness,
              0.01);
  fake.entry.kind = "a";
  world.ReportCapacity("e1", fake.entry.capacity);
  EXPECT_NEAR(endpoint.slowness, AddEndpoint(world, "a", "a", 1).slowness,
              0.01);
}

std::vector<KindSpeed> MakeReport(int kinds) {
  std::vector<KindSpeed> report;
  for (int i = 0; i < kinds; ++i)
    report.push_back({"k" + std::to_string(i), 0.5, 0.1, 10});
  return report;
}

// A new owner would take all endpoints for equally fast until it has seen ten
// runs of each. A peer must not be able to make the state grow.
TEST(EndpointKindsTest, NewOwnerUsesABoundedNumberOfReportedKinds) {
  SchedulerWorld world = MakeWorld(true);
  std::vector<KindSpeed> report = MakeReport(40);
  report.insert(report.begin(), {std::string(1'000, 'x'), 1, 0.1, 10});
  const std::vector<KindSpeed> other = {{"k0", 0.8, 0.1, 20}};
  Actions actions;
  SetReportedKinds(world.scheduler, {&report, &other}, actions);
  EXPECT_EQ(world.scheduler.kinds.reported.size(), kMaxKinds);
  EXPECT_EQ(actions.size(), kMaxKinds);
  EXPECT_NEAR(AddEndpoint(world, "e", "k0", 1).slowness, std::exp(0.7), 1e-9);
  EndpointSpeedsNotice notice;
  for (size_t i = 0; i < 2 * kMaxSpeedsPerNotice; ++i)
    notice.speeds.push_back(
        {{EndpointId("x" + std::to_string(i)), 0}, 2, 5, false});
  ReceiveEndpointSpeeds(world.scheduler, notice, world.now);
  EXPECT_EQ(world.scheduler.kinds.received_early.size(), kMaxSpeedsPerNotice);
  world.Run({6'000});
  EXPECT_TRUE(world.scheduler.kinds.received_early.empty());
}

// Kinds of other groups would be used although those here are alike.
TEST(EndpointKindsTest, ReportedKindsAreNotUsedWhereKindsAreAlike) {
  SchedulerWorld world = MakeWorld(true);
  AddKinds(world, 1);
  RunJobs(world, "j", 68);
  const std::vector<KindSpeed> report = {{"b", 0.5, 0.1, 10}};
  Actions actions;
  SetReportedKinds(world.scheduler, {&report}, actions);
  EXPECT_EQ(AddEndpoint(world, "new-b", "b", 1).slowness, 1);
}

// A message that arrives before the view would be lost, and speeds of a former
// incarnation would be used.
TEST(EndpointKindsTest, ReceivedSpeedsAreThoseOfTheIncarnation) {
  SchedulerWorld world = MakeWorld(true);
  const EndpointSpeedsNotice early = {
      {{{EndpointId("early"), 0}, 1.5, 20, false},
       {{EndpointId("restarted"), 5}, 3, 20, false}}};
  ReceiveEndpointSpeeds(world.scheduler, early, world.now);
  EXPECT_EQ(AddEndpoint(world, "restarted", "", 1).slowness, 3);
  // The second notice comes from fewer runs.
  ManagedEndpoint& endpoint = AddEndpoint(world, "early", "", 1);
  EXPECT_EQ(endpoint.slowness, 1.5);
  ReceiveEndpointSpeeds(
      world.scheduler, {{{{EndpointId("early"), 0}, 9, 19, false}}}, world.now);
  EXPECT_EQ(endpoint.slowness, 1.5);
  world.Run({100});
  ASSERT_NE(endpoint.started_at_ms, 5);
  EXPECT_EQ(Find(world, "restarted").slowness, 1);
}

// With the usual weight, some ten runs would be needed to learn that an
// endpoint is slow.
TEST(EndpointKindsTest, FirstRunsCountMore) {
  ManagedEndpoint endpoint;
  SchedulingOptions options;
  EXPECT_EQ(CountObservedRun(options, endpoint, 0.2), 0.2);
  options.endpoint_kinds = true;
  endpoint.observed_runs = 0;
  for (const double weight : {1 / 2.0, 1 / 3.0, 1 / 4.0, 0.2, 0.2})
    EXPECT_DOUBLE_EQ(CountObservedRun(options, endpoint, 0.2), weight);
}

// Without the flag, kinds, reports and handed over speeds must not matter.
TEST(EndpointKindsTest, NothingChangesWithoutTheFlag) {
  SchedulerWorld with_kinds = MakeWorld(false);
  SchedulerWorld without_kinds = MakeWorld(false);
  for (SchedulerWorld* world : {&with_kinds, &without_kinds}) {
    AddKinds(*world, kSlow);
    if (world == &with_kinds) {
      const std::vector<KindSpeed> report = {{"b", 0.5, 0.1, 10}};
      Actions actions;
      SetReportedKinds(world->scheduler, {&report}, actions);
      ReceiveEndpointSpeeds(world->scheduler,
                            {{{{EndpointId("e1"), 0}, 2, 20, false}}},
                            world->now);
    }
    RunJobs(*world, "j", 34);
    EXPECT_TRUE(world->scheduler.kinds.learned.empty());
    EXPECT_TRUE(ListLearnedKinds(world->scheduler).empty());
    EXPECT_EQ(AddEndpoint(*world, "new-b", "b", 1).slowness, 1);
  }
  for (const auto& [id, endpoint] : with_kinds.scheduler.endpoints)
    EXPECT_EQ(endpoint.slowness,
              without_kinds.scheduler.endpoints.at(id).slowness);
}

// The next owner would learn the speeds of all endpoints from the start, even
// when the previous one lives and knows them.
TEST(EndpointKindsTest, SpeedsComeWithAHandover) {
  FleetWorld world;
  for (const char* id : {"north0", "north1"}) {
    world.StartDaemon(id, "north");
    world.Node(id).scheduler.options.endpoint_kinds = true;
  }
  for (int i = 0; i < 4; ++i) {
    const std::string id = "e" + std::to_string(i);
    world.AddEndpoint(id, "north");
    world.endpoints.at(EndpointId(id)).slowness = i < 2 ? 1 : 2;
  }
  world.RunFor({3'000});
  for (int i = 0; i < 60; ++i) {
    world.Submit("north0", "j" + std::to_string(i), 4, {60});
    world.RunFor({60});
  }
  const std::string owner = world.OwnerOf("north");
  const std::string next = owner == "north0" ? "north1" : "north0";
  ASSERT_FALSE(owner.empty());
  const auto former = world.Node(owner).scheduler.endpoints;
  ASSERT_EQ(former.size(), 4U);
  world.StopDaemon(owner);
  world.RunFor({1'000});
  ASSERT_EQ(world.OwnerOf("north"), next);
  for (const auto& [id, endpoint] : world.Node(next).scheduler.endpoints) {
    EXPECT_GE(former.at(id).observed_runs, 5U);
    EXPECT_GE(endpoint.observed_runs, former.at(id).observed_runs);
    EXPECT_NEAR(endpoint.slowness, former.at(id).slowness, 0.2);
  }
}

}  // namespace
}  // namespace dogwoodfall
