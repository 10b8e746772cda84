#include "core/scheduling/interference.h"

#include <gtest/gtest.h>

#include <cmath>
#include <functional>
#include <random>
#include <string>
#include <utility>
#include <variant>

#include "fleet_world.h"
#include "scheduler_world.h"

namespace dogwoodfall {
namespace {

/** Returns the factor by which a run of a kind takes longer while another run
 * is beside it.
 */
using Slowdown = std::function<double(char kind, char neighbour)>;

char KindOf(const JobTask& task) {
  return task.job.value.front();
}

/** Simulates jobs of some kinds, named by one letter, which is also the first
 * one of their ids. The run times of jobs have a standard deviation of 0.28,
 * those of their tasks of 0.15, and the declared ones of 0.4 (of logarithms).
 */
struct InterferenceWorld {
  InterferenceWorld(uint64_t seed, Slowdown slowdown)
      : slowdown(std::move(slowdown)), random(seed) {
    this->world.scheduler.options.interference = true;
  }

  FakeEndpoint& AddEndpoint(int64_t cores, double slowness = 1) {
    const std::string id = "e" + std::to_string(this->world.endpoints.size());
    FakeEndpoint& endpoint = this->world.AddEndpoint(id, cores, slowness);
    endpoint.run_time_factor = [this](const FakeEndpoint& on,
                                      const RunKey& key) {
      double factor = this->TaskFactor(key.first);
      for (const auto& [other, run] : on.running) {
        if (other != key)
          factor *= this->slowdown(KindOf(key.first), KindOf(other.first));
      }
      return factor;
    };
    return endpoint;
  }

  double TaskFactor(const JobTask& task) const {
    std::mt19937_64 task_random(std::hash<SubmissionId>()(task.job) +
                                task.index * 7'919);
    return std::exp(std::normal_distribution<double>(0, 0.15)(task_random));
  }

  double Draw(double deviation) {
    return std::exp(
        std::normal_distribution<double>(0, deviation)(this->random));
  }

  void SubmitJob(char kind, uint32_t tasks, int64_t cores, double median_ms) {
    if (this->long_job_period > 0 && this->jobs % this->long_job_period == 0)
      median_ms *= 7;
    const Millis run_time{std::llround(median_ms * this->Draw(0.28))};
    const Millis declared{
        std::llround(static_cast<double>(run_time.count) * this->Draw(0.4))};
    const std::string id = kind + std::to_string(++this->jobs);
    this->world.SubmitJob(SchedulerWorld::MakeSubmission(
                              id, tasks, cores, declared, std::string(1, kind)),
                          run_time);
  }

  /** Submits jobs of the kinds in turn for a while.
   *
   * @param period time between jobs
   */
  void Run(Millis duration,
           const std::string& kinds,
           Millis period,
           uint32_t tasks = 4,
           int64_t cores = 8) {
    const Millis end = this->world.now + duration;
    while (this->world.now < end) {
      const char kind = kinds[this->random() % kinds.size()];
      this->SubmitJob(kind, tasks, cores, 100);
      this->world.Run(period);
      for (const auto& [id, endpoint] : this->world.endpoints) {
        std::string present;
        for (const auto& [key, run] : endpoint.running)
          present.push_back(KindOf(key.first));
        ++this->readings;
        if (present.find('a') != std::string::npos &&
            present.find('b') != std::string::npos)
          ++this->readings_of_ab;
      }
    }
  }

  bool IsApart(const std::string& kind, const std::string& other) const {
    return dogwoodfall::IsHeldApart(this->world.scheduler.interference, kind,
                                    other);
  }

  uint64_t CountFound() const {
    return this->world.scheduler.counters.interference_found;
  }

  /** Returns the share of time in which an endpoint ran kinds a and b, since
   * the last call.
   */
  double TakeShareOfAb() {
    return static_cast<double>(std::exchange(this->readings_of_ab, 0)) /
           static_cast<double>(std::exchange(this->readings, 0));
  }

  size_t CountPairs() const {
    return CountHeldApartPairs(this->world.scheduler.interference);
  }

  Slowdown slowdown;
  std::mt19937_64 random;
  SchedulerWorld world;
  uint64_t jobs = 0;
  /** Number of jobs of which one takes 7 times as long; 0 for none. */
  uint64_t long_job_period = 0;
  /** Readings of endpoints, and those that showed kinds a and b together. */
  uint64_t readings = 0;
  uint64_t readings_of_ab = 0;
};

double SlowAbPair(char kind, char neighbour) {
  return (kind == 'a' && neighbour == 'b') || (kind == 'b' && neighbour == 'a')
             ? 1.5
             : 1;
}

double NoSlowdown(char /*kind*/, char /*neighbour*/) {
  return 1;
}

// Guards against kinds that slow each other being packed together although
// there is room: the share of the time that both are on one endpoint falls.
TEST(InterferenceTest, KindsThatSlowEachOtherAreParted) {
  InterferenceWorld test(1, SlowAbPair);
  for (int i = 0; i < 8; ++i)
    test.AddEndpoint(32);
  test.Run({4'000}, "abc", {30});
  const double share_before = test.TakeShareOfAb();
  test.Run({16'000}, "abc", {30});
  EXPECT_TRUE(test.IsApart("a", "b"));
  EXPECT_EQ(test.CountPairs(), 1U);
  test.TakeShareOfAb();
  test.Run({5'000}, "abc", {30});
  EXPECT_LT(test.TakeShareOfAb(), share_before / 2);
}

// Guards against a kind that slows only itself being taken for one that is
// slowed by a crowded endpoint.
TEST(InterferenceTest, KindThatSlowsItselfIsPartedFromItself) {
  InterferenceWorld test(2, [](char kind, char neighbour) {
    return kind == 'a' && neighbour == 'a' ? 1.6 : 1.0;
  });
  for (int i = 0; i < 8; ++i)
    test.AddEndpoint(16);
  test.Run({20'000}, "abc", {30});
  EXPECT_TRUE(test.IsApart("a", "a"));
  EXPECT_EQ(test.CountPairs(), 1U);
}

// Guards against separations by the noise of run times, on endpoints of
// different speed and with declared run times that are far off.
TEST(InterferenceTest, NoisePartsNobody) {
  for (uint64_t seed = 1; seed <= 4; ++seed) {
    InterferenceWorld test(seed, NoSlowdown);
    for (int i = 0; i < 9; ++i)
      test.AddEndpoint(16, i % 3 == 0 ? 1.7 : 0.8);
    test.Run({20'000}, "abcd", {30});
    EXPECT_EQ(test.CountFound(), 0U) << "seed " << seed;
  }
}

// Guards against estimates of single tasks, which differ between jobs, being
// taken for interference when a part of the jobs takes 7 times as long.
TEST(InterferenceTest, BadEstimatesPartNobody) {
  InterferenceWorld test(5, NoSlowdown);
  test.long_job_period = 30;
  for (int i = 0; i < 4; ++i)
    test.AddEndpoint(32);
  test.Run({30'000}, "abc", {15}, 1);
  EXPECT_EQ(test.CountFound(), 0U);
}

// Guards against an endpoint that becomes slow for some seconds being taken for
// interference by the kinds that run there then.
TEST(InterferenceTest, EndpointsThatBecomeSlowPartNobody) {
  InterferenceWorld test(6, NoSlowdown);
  for (int i = 0; i < 6; ++i)
    test.AddEndpoint(16);
  test.Run({6'000}, "abc", {30});
  for (auto& [id, endpoint] : test.world.endpoints) {
    endpoint.slowness = 3;
    // Only two kinds arrive meanwhile, so that most slow runs are of them.
    test.Run({3'000}, "ab", {40}, 2);
    endpoint.slowness = 1;
    test.Run({1'000}, "abc", {30});
  }
  EXPECT_EQ(test.CountFound(), 0U);
}

// Guards against separations where every neighbour slows every kind: they would
// help nobody. Neighbours of kind c are larger and slow others by more.
TEST(InterferenceTest, CrowdedEndpointsPartNobody) {
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    InterferenceWorld test(seed, [](char, char) { return 2.0; });
    for (int i = 0; i < 16; ++i)
      test.AddEndpoint(16);
    test.Run({25'000}, "ab", {75}, 3);
    EXPECT_EQ(test.CountFound(), 0U) << "seed " << seed;
  }
  InterferenceWorld sizes(
      7, [](char, char neighbour) { return neighbour == 'c' ? 1.5 : 1.12; });
  for (int i = 0; i < 8; ++i)
    sizes.AddEndpoint(32);
  for (int i = 0; i < 60; ++i) {
    sizes.Run({150}, "ab", {50}, 4, 4);
    sizes.Run({100}, "c", {50}, 3, 14);
  }
  EXPECT_EQ(sizes.CountFound(), 0U);
}

// Guards against tasks that wait, or are refused, because of a separation when
// there is no other room.
TEST(InterferenceTest, WithoutRoomNobodyWaits) {
  InterferenceWorld test(8, NoSlowdown);
  test.AddEndpoint(16);
  test.AddEndpoint(16);
  ApplyInterferenceNotice(test.world.scheduler, {{{"a", "b", 0.5, 100}}},
                          test.world.now);
  test.world.Run({1'100});
  ASSERT_TRUE(test.IsApart("a", "b"));
  test.SubmitJob('a', 2, 8, 100);
  test.SubmitJob('a', 1, 8, 100);
  test.SubmitJob('b', 1, 8, 100);
  test.world.Run({20});
  EXPECT_EQ(test.world.scheduler.counters.starts, 4U);
  EXPECT_EQ(test.world.scheduler.counters.starts_beside_held_apart, 1U);
  test.world.Run({400});
  ASSERT_EQ(test.world.results.size(), 3U);
  for (const auto& [id, result] : test.world.results)
    EXPECT_EQ(result.outcome.result, JobResult::kCompleted) << id.value;
}

// Guards against a new owner that has to learn everything again, and against
// state that grows with what other daemons send.
TEST(InterferenceTest, StateSurvivesAChangeOfOwnerAndStaysBounded) {
  InterferenceWorld former(1, SlowAbPair);
  for (int i = 0; i < 8; ++i)
    former.AddEndpoint(32);
  former.Run({20'000}, "abc", {30});
  const InterferenceNotice notice =
      MakeInterferenceNotice(former.world.scheduler);
  ASSERT_FALSE(notice.pairs.empty());

  InterferenceWorld next(9, SlowAbPair);
  next.AddEndpoint(32);
  ApplyInterferenceNotice(next.world.scheduler, notice, next.world.now);
  next.world.Run({1'100});
  EXPECT_TRUE(next.IsApart("a", "b"));
  // What was only received is not passed on, or it would never decay.
  EXPECT_TRUE(MakeInterferenceNotice(next.world.scheduler).pairs.empty());

  for (int i = 0; i < 1'000; ++i) {
    const std::string name = "kind" + std::to_string(i);
    ApplyInterferenceNotice(next.world.scheduler, {{{name, name, 1, 100}}},
                            next.world.now);
  }
  EXPECT_LE(next.world.scheduler.interference.kinds.size(),
            kInterferenceKindCount);
  EXPECT_LE(next.world.scheduler.interference.numbers.size(),
            kMaxInterferenceKinds);
}

// Guards against estimates that die with the owner that has learned them: the
// next owner of its group and the owner of another zone have them.
TEST(InterferenceTest, OwnersShareTheirPairs) {
  FleetWorld world;
  for (const char* id : {"north1", "north2", "south1"}) {
    world.StartDaemon(id, std::string(id, 5));
    world.RunFor({500});
    world.Node(id).scheduler.options.interference = true;
  }
  world.AddEndpoint("e1", "north");
  world.AddEndpoint("e2", "south");
  world.RunFor({1'000});
  ASSERT_EQ(world.OwnerOf("north"), "north1");
  // 100 runs of kind a beside kind b that have taken 1.5 times as long.
  Interference& learned = world.Node("north1").scheduler.interference;
  learned.kinds.resize(3);
  learned.kinds[1].name = "a";
  learned.kinds[2].name = "b";
  learned.numbers = {{"a", 1}, {"b", 2}};
  learned.kinds[1].sums[2] = {100, 100, 40, 18, 0};
  learned.kinds[1].sums[1] = {100, 100, 0, 2, 0};
  learned.kinds[1].slowed_by = uint64_t{1} << 2;
  learned.reviewed_at = world.now;
  world.RunFor({3'000});
  for (const char* id : {"north1", "north2", "south1"}) {
    EXPECT_TRUE(IsHeldApart(world.Node(id).scheduler.interference, "b", "a"))
        << id;
  }
  world.KillDaemon("north1");
  world.RunFor({4'000});
  ASSERT_EQ(world.OwnerOf("north"), "north2");
  EXPECT_TRUE(
      IsHeldApart(world.Node("north2").scheduler.interference, "a", "b"));
}

// Guards against a wrong estimate of another daemon that stays in force
// although the runs here contradict it.
TEST(InterferenceTest, RunsContradictAReceivedEstimate) {
  InterferenceWorld test(10, NoSlowdown);
  for (int i = 0; i < 4; ++i)
    test.AddEndpoint(16);
  test.Run({4'000}, "abc", {30});
  ApplyInterferenceNotice(test.world.scheduler, {{{"a", "b", 0.4, 100}}},
                          test.world.now);
  test.Run({1'100}, "abc", {30});
  EXPECT_TRUE(test.IsApart("a", "b") || test.CountFound() == 1);
  test.Run({10'000}, "abc", {30});
  EXPECT_FALSE(test.IsApart("a", "b"));
}

// Guards against a separation that outlasts its reason: without runs of the
// kinds beside each other it ends within minutes, and the kinds are tried anew.
TEST(InterferenceTest, EstimatesDecay) {
  InterferenceWorld test(1, SlowAbPair);
  for (int i = 0; i < 8; ++i)
    test.AddEndpoint(32);
  test.Run({20'000}, "abc", {30});
  ASSERT_TRUE(test.IsApart("a", "b"));
  Actions actions;
  for (int seconds = 0; seconds < 400 && test.CountPairs() > 0; ++seconds) {
    test.world.now = test.world.now + Millis{1'000};
    ReviewInterference(test.world.scheduler, test.world.now, actions);
  }
  EXPECT_EQ(test.CountPairs(), 0U);
  ASSERT_FALSE(actions.empty());
  EXPECT_EQ(std::get<LogEvent>(actions.back()).name, "interference_gone");
}

// Guards against state and work on deployments that don't use the setting.
TEST(InterferenceTest, NothingIsKeptWhenSwitchedOff) {
  InterferenceWorld test(11, SlowAbPair);
  test.world.scheduler.options.interference = false;
  test.AddEndpoint(16);
  ApplyInterferenceNotice(test.world.scheduler, {{{"a", "b", 1, 100}}},
                          test.world.now);
  test.Run({2'000}, "ab", {100}, 1);
  EXPECT_TRUE(test.world.scheduler.interference.kinds.empty());
  for (const auto& [id, endpoint] : test.world.scheduler.endpoints)
    EXPECT_TRUE(endpoint.neighbour_times.presences.empty());
}

}  // namespace
}  // namespace dogwoodfall
