#include "core/scheduling/queue_packing.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <iostream>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "scheduler_world.h"

namespace dogwoodfall {
namespace {

/** A kind of job: name, tasks, run time and jobs per second in the fleet. */
struct Kind {
  std::string route;
  double tasks = 0;
  double run_time_ms = 0;
  double jobs_per_s = 0;
};

/** The load of deployment A in docs/UNEVEN-LOAD.md. */
const std::vector<Kind>& KindsOfJobs() {
  static const std::vector<Kind> kinds = {
      {"wide", 8, 60, 206}, {"long", 4, 900, 38}, {"narrow", 2, 200, 600}};
  return kinds;
}

/** What the callers of some jobs got. */
struct Served {
  int sent = 0;
  int in_time = 0;

  double Share() const {
    return static_cast<double>(in_time) / std::max(sent, 1);
  }
};

struct PlayedLoad {
  double share_in_use = 0;
  std::map<std::string, Served> by_kind;
  /** Jobs with tasks of more than 1.2 times the mean size. */
  Served large;
  Served all;
  SchedulingCounters counters;
};

/** Plays one of eight groups of 350 endpoints of 64 cores, each third one 1.5
 * times as large, that take 0.7, 0.7 and 1.7 times the nominal run time by
 * turns.
 *
 * @param overload factor on the jobs per second
 */
PlayedLoad PlayLoad(bool packing, double overload, uint32_t seed) {
  constexpr int kGroups = 8;
  constexpr int kEndpoints = 350 / kGroups;
  constexpr Millis kWarmUp{1'000};
  constexpr Millis kPlayed{4'000};
  constexpr double kDeviation = 0.4;
  std::mt19937 random(seed);
  std::normal_distribution<double> normal;
  const auto vary = [&](double mean, double deviation) {
    return mean * std::exp(deviation * normal(random));
  };
  SchedulerWorld world;
  world.scheduler.options.packing = packing;
  double capacity = 0;
  for (int i = 0; i < kEndpoints; ++i) {
    const int64_t cores = i % 3 == 0 ? 96 : 64;
    // Sizes and speeds are independent of each other.
    world.AddEndpoint("e" + std::to_string(i), cores,
                      i / 3 % 3 == 2 ? 1.7 : 0.7);
    capacity += static_cast<double>(cores) * 1'000;
  }
  world.Run({20});
  PlayedLoad played;
  std::map<SubmissionId, std::pair<std::string, int64_t>> sent;
  std::map<SubmissionId, double> objectives;
  std::vector<double> due(KindsOfJobs().size(), 0);
  double used = 0;
  int samples = 0;
  for (Millis time; time < kPlayed; time = time + Millis{1}) {
    for (size_t kind = 0; kind < due.size(); ++kind) {
      const Kind& played_kind = KindsOfJobs()[kind];
      due[kind] += overload * played_kind.jobs_per_s / kGroups / 1'000;
      for (; due[kind] >= 1; due[kind] -= 1) {
        const double run_time = vary(played_kind.run_time_ms, kDeviation);
        const auto tasks = static_cast<uint32_t>(std::max<int64_t>(
            std::llround(vary(played_kind.tasks, kDeviation)), 1));
        JobSubmission submission = SchedulerWorld::MakeSubmission(
            played_kind.route + std::to_string(sent.size()), tasks, 32,
            {std::llround(vary(run_time, kDeviation))}, played_kind.route);
        TaskResources& size = submission.job.steps[0].resources;
        size.cpu_millicores = std::min<int64_t>(
            std::llround(32'000 * (1 + 0.2 * normal(random))), 48'000);
        size.cpu_millicores = std::max<int64_t>(size.cpu_millicores, 8'000);
        sent[submission.job.id] = {played_kind.route, size.cpu_millicores};
        objectives[submission.job.id] = 1.6 * run_time + 60;
        world.SubmitJob(submission, {std::llround(run_time)});
      }
    }
    world.Run({1});
    if (time < kWarmUp || time.count % 10 != 0)
      continue;
    for (const auto& [id, endpoint] : world.endpoints) {
      for (const auto& [key, run] : endpoint.running)
        used += static_cast<double>(run.resources.cpu_millicores) / capacity;
    }
    ++samples;
  }
  world.Run({2'000});
  played.share_in_use = used / samples;
  played.counters = world.scheduler.counters;
  constexpr int64_t kLargeTask = 38'400;
  for (const auto& [id, kind_and_size] : sent) {
    const auto result = world.results.find(id);
    EXPECT_NE(result, world.results.end()) << id.value;
    const bool is_in_time =
        result != world.results.end() &&
        result->second.outcome.result == JobResult::kCompleted &&
        static_cast<double>(result->second.waited.count) <= objectives[id];
    const auto count = [is_in_time](Served& served) {
      ++served.sent;
      served.in_time += is_in_time ? 1 : 0;
    };
    count(played.by_kind[kind_and_size.first]);
    count(played.all);
    if (kind_and_size.second > kLargeTask)
      count(played.large);
  }
  return played;
}

void Print(const char* name, const PlayedLoad& played) {
  std::cout << name << ": in use " << played.share_in_use << ", in time "
            << played.all.Share() << ", large " << played.large.Share();
  for (const auto& [route, served] : played.by_kind)
    std::cout << ", " << route << " " << served.Share();
  std::cout << "\n";
}

// Guards against a packing that begins more jobs than it completes, or that
// starves a kind or the largest tasks.
TEST(PackingTest, LongQueueLeavesMoreJobsInTime) {
  for (const double overload : {2.0, 2.5}) {
    const PlayedLoad off = PlayLoad(false, overload, 1);
    const PlayedLoad on = PlayLoad(true, overload, 1);
    Print("off", off);
    Print("on", on);
    EXPECT_GE(on.all.Share(), off.all.Share() + 0.03);
    EXPECT_GE(on.share_in_use, off.share_in_use - 0.02);
    EXPECT_GE(on.large.Share(), off.large.Share() - 0.05);
    for (const auto& [route, served] : on.by_kind) {
      EXPECT_GE(served.Share(), off.by_kind.at(route).Share() - 0.05) << route;
      EXPECT_GE(served.Share(), on.all.Share() / 2) << route;
    }
    EXPECT_GT(on.counters.packed_starts, 0U);
    EXPECT_EQ(off.counters.packed_starts, 0U);
  }
}

// Guards against a packing that changes what happens while nothing is queued.
TEST(PackingTest, ChoiceIsAsBeforeWhileNothingIsQueued) {
  std::vector<std::vector<int64_t>> waited(2);
  for (const bool packing : {false, true}) {
    SchedulerWorld world;
    world.scheduler.options.packing = packing;
    for (int i = 0; i < 6; ++i)
      world.AddEndpoint("e" + std::to_string(i), 64, i % 2 == 0 ? 0.7 : 1.7);
    world.Run({20});
    for (int i = 0; i < 20; ++i) {
      world.Submit("job" + std::to_string(i), 2, 20 + i, {60 + 10 * i});
      world.Run({70});
    }
    world.Run({1'500});
    for (const auto& [id, result] : world.results)
      waited[packing ? 1 : 0].push_back(result.waited.count);
  }
  EXPECT_EQ(waited[0].size(), 20U);
  EXPECT_EQ(waited[0], waited[1]);
}

// Guards against small tasks that take each part of an endpoint as it becomes
// free, so that a larger urgent one never fits.
TEST(PackingTest, SmallTasksLeaveTheRoomOfAnUrgentLargeOne) {
  for (const bool packing : {false, true}) {
    SchedulerWorld world;
    world.scheduler.options.packing = packing;
    world.AddEndpoint("e1", 64, 1);
    world.Run({20});
    world.Submit("first", 1, 32, {50}, "early");
    world.Submit("second", 1, 32, {90}, "early");
    world.Submit("large", 1, 60, {80}, "large");
    for (int i = 0; i < 40; ++i) {
      world.Submit("small" + std::to_string(i), 1, 16, {100}, "small");
      world.Run({10});
    }
    world.Run({1'500});
    const CallerResult& large = world.results.at(SubmissionId("large"));
    const bool is_in_time = large.outcome.result == JobResult::kCompleted &&
                            large.waited.count <= 188;
    EXPECT_EQ(is_in_time, packing) << large.waited.count;
    EXPECT_EQ(world.scheduler.counters.reservations > 0, packing);
  }
}

// Guards against tasks that fit nowhere and use up the bound on the tasks of a
// decision, so that smaller ones behind them wait for nothing.
TEST(PackingTest, JobsThatDoNotFitNowBlockNoOthers) {
  SchedulerWorld world;
  world.scheduler.options.packing = true;
  world.AddEndpoint("e1", 64, 1);
  world.Run({20});
  world.Submit("running", 1, 50, {800}, "running");
  for (uint32_t i = 0; i <= kMaxPackedTasks; ++i)
    world.Submit("large" + std::to_string(i), 1, 40, {300}, "large");
  world.Submit("small", 1, 10, {200}, "small");
  world.Run({300});
  const auto small = world.results.find(SubmissionId("small"));
  ASSERT_NE(small, world.results.end());
  EXPECT_EQ(small->second.outcome.result, JobResult::kCompleted);
  EXPECT_LE(small->second.waited.count, 210);
}

// Guards against a decision whose cost grows with the queue.
TEST(PackingTest, DecisionLooksAtBoundedNumberOfTasks) {
  SchedulerWorld world;
  world.scheduler.options.packing = true;
  world.AddEndpoint("e1", 64, 1);
  world.Run({20});
  world.scheduler.starts_blocked_until = world.now + Millis{100};
  for (uint32_t i = 0; i < 2 * kMaxPackedTasks; ++i)
    world.Submit("job" + std::to_string(i), 2, 8, {300});
  const std::vector<SubmissionId> chosen = ChooseJobsToPlace(
      world.scheduler, FindEndpointsWithRoom(world.scheduler, world.now),
      world.now);
  EXPECT_EQ(chosen.size(), kMaxPackedTasks / 2);
}

// Guards against the smallest task taking the room that the largest would fill.
TEST(PackingTest, LargestTaskThatFitsIsStartedFirst) {
  SchedulerWorld world;
  world.scheduler.options.packing = true;
  world.AddEndpoint("e1", 64, 1);
  world.Run({20});
  world.scheduler.starts_blocked_until = world.now + Millis{10};
  world.Submit("small", 1, 30, {500}, "small");
  world.Submit("large", 1, 60, {500}, "large");
  world.Run({40});
  const FakeEndpoint& endpoint = world.endpoints.at(EndpointId("e1"));
  ASSERT_EQ(endpoint.running.size(), 1U);
  EXPECT_EQ(endpoint.running.begin()->first.first.job, SubmissionId("large"));
}

}  // namespace
}  // namespace dogwoodfall
