#include "played_load.h"

#include <algorithm>
#include <cmath>
#include <iostream>
#include <random>
#include <utility>
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

/** A job that was sent. */
struct SentJob {
  std::string route;
  int64_t task_millicores = 0;
  /** Processor time of all tasks. */
  double core_ms = 0;
  double objective_ms = 0;
};

/** Returns, for each kind, the processor time of the smallest job of its
 * largest tenth.
 */
std::map<std::string, double> FindLargestTenths(
    const std::map<SubmissionId, SentJob>& sent) {
  std::map<std::string, std::vector<double>> sizes;
  for (const auto& [id, job] : sent)
    sizes[job.route].push_back(job.core_ms);
  std::map<std::string, double> largest;
  for (auto& [route, values] : sizes) {
    std::sort(values.begin(), values.end());
    largest[route] = values[values.size() * 9 / 10];
  }
  return largest;
}

}  // namespace

double Served::Share() const {
  return static_cast<double>(this->in_time) / std::max(this->sent, 1);
}

double Served::MeanRefusalMs() const {
  return static_cast<double>(this->refused_after_ms) /
         std::max(this->refused, 1);
}

PlayedLoad PlayLoad(const SchedulingOptions& options,
                    double overload,
                    uint32_t seed) {
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
  world.scheduler.options = options;
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
  std::map<SubmissionId, SentJob> sent;
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
        sent[submission.job.id] = {
            played_kind.route, size.cpu_millicores,
            run_time * tasks * static_cast<double>(size.cpu_millicores),
            1.6 * run_time + 60};
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
  const std::map<std::string, double> largest = FindLargestTenths(sent);
  for (const auto& [id, job] : sent) {
    const auto found = world.results.find(id);
    const CallerResult result =
        found == world.results.end() ? CallerResult() : found->second;
    const JobResult job_result = result.outcome.result;
    const auto count = [&, &sent_job = job](Served& served) {
      ++served.sent;
      served.in_time +=
          job_result == JobResult::kCompleted &&
          static_cast<double>(result.waited.count) <= sent_job.objective_ms;
      if (job_result != JobResult::kRefused)
        return;
      ++served.refused;
      served.refused_after_ms += result.waited.count;
    };
    count(played.all);
    count(played.by_kind[job.route]);
    if (job.core_ms >= largest.at(job.route))
      count(played.largest_by_kind[job.route]);
    if (job.task_millicores > kLargeTask)
      count(played.large_tasks);
  }
  return played;
}

void PrintPlayedLoad(const char* name, const PlayedLoad& played) {
  std::cout << name << ": in use " << played.share_in_use << ", in time "
            << played.all.Share() << ", large tasks "
            << played.large_tasks.Share() << ", refused after "
            << played.all.MeanRefusalMs() << " ms";
  for (const auto& [route, served] : played.by_kind)
    std::cout << ", " << route << " " << served.Share() << " (largest "
              << played.largest_by_kind.at(route).Share() << ")";
  std::cout << "\n";
}

}  // namespace dogwoodfall
