#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>

#include "scheduler_world.h"

namespace dogwoodfall {
namespace {

/** Crashes the endpoints that run a job; each is back soon, under its id. */
void CrashEndpointsOf(SchedulerWorld& world, const std::string& job) {
  constexpr Millis kRestartTime{100};
  for (auto& [id, endpoint] : world.endpoints) {
    for (const auto& [key, run] : std::map(endpoint.running)) {
      if (key.first.job == SubmissionId(job))
        RestartFakeEndpoint(endpoint, world.now + kRestartTime);
    }
  }
}

// Endpoints that restart by chance are no failures of the task that ran there.
TEST(SoundJobTest, JobWhoseEndpointsCrashedIsNotShownAsFailed) {
  SchedulerWorld world;
  for (int i = 0; i < 4; ++i)
    world.AddEndpoint("e" + std::to_string(i), 16, 1);
  world.Run({20});
  const JobSubmission submission =
      SchedulerWorld::MakeSubmission("sound", 1, 7, {300}, "route");
  for (int i = 0; i < 6; ++i) {
    world.results.clear();
    world.SubmitJob(submission, {300});
    world.Run({100});
    CrashEndpointsOf(world, "sound");
    world.Run({2'000});
    const auto result = world.results.find(SubmissionId("sound"));
    ASSERT_NE(result, world.results.end());
    EXPECT_NE(result->second.outcome.result, JobResult::kFailed) << i;
  }
}

// A process that was replaced, or another one at the address, may answer so.
TEST(SoundJobTest, JobThatOneEndpointCanNotParseIsCompletedElsewhere) {
  SchedulerWorld world;
  world.AddEndpoint("e0", 16, 1).rejects_starts = true;
  world.AddEndpoint("e1", 16, 2);
  world.Run({20});
  for (int i = 0; i < 4; ++i) {
    const std::string id = "sound" + std::to_string(i);
    world.Submit(id, 2, 7, {60});
    world.Run({500});
    EXPECT_EQ(world.results[SubmissionId(id)].outcome.result,
              JobResult::kCompleted)
        << id;
  }
}

// It must not be sent to endpoints until its caller's time limit.
TEST(SoundJobTest, JobThatNoEndpointCanParseIsAbandonedSoon) {
  constexpr uint64_t kMaxStarts = 3;
  for (int endpoints = 1; endpoints <= 5; ++endpoints) {
    SchedulerWorld world;
    for (int i = 0; i < endpoints; ++i)
      world.AddEndpoint("e" + std::to_string(i), 16, 1).rejects_starts = true;
    world.Run({20});
    world.Submit("job", 1, 7, {60});
    world.Run({100});
    const CallerResult& result = world.results[SubmissionId("job")];
    EXPECT_EQ(result.outcome.result, JobResult::kAbandoned) << endpoints;
    EXPECT_EQ(result.outcome.reason, "endpoints_rejected_starts");
    EXPECT_LE(world.scheduler.counters.starts, kMaxStarts);
  }
}

// The configuration may raise the limit between two submissions of a job.
TEST(SoundJobTest, JobThatIsSentAgainHasTheAttemptsOfTheNewerConfiguration) {
  constexpr uint64_t kAttempts = 3;
  SchedulerWorld world;
  for (int i = 0; i < 4; ++i)
    world.AddEndpoint("e" + std::to_string(i), 16, 1).failing_job_prefix =
        "job";
  world.Run({20});
  JobSubmission submission =
      SchedulerWorld::MakeSubmission("job", 1, 7, {60}, "route");
  submission.job.max_attempts = 1;
  world.SubmitJob(submission, {60});
  submission.job.max_attempts = kAttempts;
  world.SubmitJob(submission, {60});
  world.Run({1'000});
  const CallerResult& result = world.results[SubmissionId("job")];
  EXPECT_EQ(result.outcome.reason, "attempts_used");
  EXPECT_EQ(world.scheduler.counters.starts, kAttempts);
}

// A caller that has not got the answer sends its job again.
TEST(SoundJobTest, OnlyAJobThatHasUsedItsAttemptsIsShownAsFailedAgain) {
  SchedulerWorld world;
  FakeEndpoint& endpoint = world.AddEndpoint("e0", 16, 1);
  world.Run({20});
  const SubmissionId id("job");
  const JobSubmission submission =
      SchedulerWorld::MakeSubmission("job", 1, 7, {60}, "route");
  endpoint.rejects_starts = true;
  world.SubmitJob(submission, {60});
  world.Run({100});
  EXPECT_EQ(world.results[id].outcome.result, JobResult::kAbandoned);
  endpoint.rejects_starts = false;
  endpoint.failing_job_prefix = "job";
  world.Run({2'000});
  world.SubmitJob(submission, {60});
  world.Run({500});
  EXPECT_EQ(world.results[id].outcome.result, JobResult::kFailed);
  const uint64_t starts = endpoint.starts;
  EXPECT_EQ(starts, submission.job.max_attempts);
  world.results.clear();
  world.SubmitJob(submission, {60});
  world.Run({500});
  EXPECT_EQ(world.results[id].outcome.result, JobResult::kFailed);
  EXPECT_EQ(world.results[id].outcome.reason, "attempts_used");
  EXPECT_EQ(endpoint.starts, starts);
}

/** Plays jobs of which no run fails, while endpoints crash in groups and start
 * again under their ids. Callers that got no result send their job again.
 */
class CrashStorm {
 public:
  explicit CrashStorm(unsigned seed) : random(seed) {
    constexpr int kEndpoints = 24;
    for (int i = 0; i < kEndpoints; ++i)
      this->world.AddEndpoint("e" + std::to_string(i), 16, 0.7 + 0.5 * (i % 3));
    this->world.Run({20});
  }

  void Play(Millis duration) {
    for (int64_t i = 0; i < duration.count; ++i) {
      if (this->OneIn(60))
        this->SubmitNewJob();
      if (this->OneIn(1'000))
        this->CrashGroup();
      this->world.Run({1});
      this->TakeResults();
    }
  }

  /** Reasons for which jobs were shown as failed. */
  std::set<std::string> failure_reasons;
  int completed = 0;

 private:
  struct OpenJob {
    JobSubmission submission;
    Millis run_time;
    int repeats = 0;
  };

  bool OneIn(unsigned count) { return this->random() % count == 0; }

  void SubmitNewJob() {
    const std::string id = "j" + std::to_string(this->jobs++);
    OpenJob job;
    job.run_time = {60 + static_cast<int64_t>(this->random() % 900)};
    job.submission = SchedulerWorld::MakeSubmission(id, 1 + this->random() % 4,
                                                    7, job.run_time, "route");
    this->world.SubmitJob(job.submission, job.run_time);
    this->open.emplace(job.submission.job.id, std::move(job));
  }

  void CrashGroup() {
    for (auto& [id, endpoint] : this->world.endpoints) {
      if (!this->OneIn(4) || endpoint.down_until > this->world.now)
        continue;
      CrashFakeEndpoint(endpoint, this->world.now);
      endpoint.down_until =
          this->world.now + Millis{static_cast<int64_t>(this->random() % 400)};
    }
  }

  void TakeResults() {
    constexpr int kMaxRepeats = 3;
    for (const auto& [id, result] : std::exchange(this->world.results, {})) {
      const auto job = this->open.find(id);
      if (job == this->open.end())
        continue;
      const JobOutcome& outcome = result.outcome;
      if (outcome.result == JobResult::kFailed)
        this->failure_reasons.insert(outcome.reason);
      if (outcome.result == JobResult::kCompleted)
        ++this->completed;
      const bool is_final = outcome.result == JobResult::kCompleted ||
                            outcome.result == JobResult::kFailed;
      if (is_final || job->second.repeats == kMaxRepeats) {
        this->open.erase(job);
        continue;
      }
      ++job->second.repeats;
      this->world.SubmitJob(job->second.submission, job->second.run_time);
    }
  }

  std::mt19937 random;
  SchedulerWorld world;
  std::map<SubmissionId, OpenJob> open;
  int jobs = 0;
};

// Groups of endpoints that crash by chance hit some jobs more than once.
TEST(SoundJobTest, EndpointsThatCrashInGroupsFailNoSoundJob) {
  for (unsigned seed = 1; seed <= 4; ++seed) {
    CrashStorm storm(seed);
    storm.Play({10'000});
    EXPECT_TRUE(storm.failure_reasons.empty())
        << seed << ": " << *storm.failure_reasons.begin();
    EXPECT_GT(storm.completed, 0);
  }
}

}  // namespace
}  // namespace dogwoodfall
