#include <gtest/gtest.h>

#include <string>
#include <variant>

#include "core/fleet/fleet_view.h"
#include "core/fleet/ownership_flow.h"
#include "core/scheduling/spillover.h"
#include "fleet_world.h"
#include "scheduler_world.h"

namespace dogwoodfall {
namespace {

const EndpointGroup kNorth{ZoneId("north"), 0};
constexpr TaskResources kFullCapacity{16'000, 64'000, 0};
constexpr TaskResources kHalfCapacity{8'000, 64'000, 0};
constexpr TaskResources kSmallCapacity{4'000, 64'000, 0};
constexpr Millis kStopDuration{50};

RunKey RunOf(const std::string& job) {
  return {{SubmissionId(job), 0, 0}, 1};
}

FakeEndpoint& AddUnguardedEndpoint(SchedulerWorld& world,
                                   const std::string& id) {
  FakeEndpoint& endpoint = world.AddEndpoint(id, 16, 1);
  endpoint.checks_admission = false;
  endpoint.stop_duration = kStopDuration;
  return endpoint;
}

JobSubmission MakePatientSubmission(const std::string& id,
                                    int64_t cores,
                                    Millis run_time) {
  JobSubmission submission =
      SchedulerWorld::MakeSubmission(id, 1, cores, run_time, "route");
  submission.job.time_left = {4'000};
  submission.job.target_latency = {4'000};
  return submission;
}

/** Starts a run on a usable endpoint by an order that is carried out late, and
 * advances the clock until the endpoint has listed it.
 */
void StartUnknownRun(SchedulerWorld& world,
                     FakeEndpoint& endpoint,
                     const std::string& job) {
  const RunKey key = RunOf(job);
  endpoint.running[key] = {world.now, {600}, {9'000, 64, 0}};
  const ManagedEndpoint& managed =
      world.scheduler.endpoints.at(endpoint.entry.id);
  for (int i = 0; i < 500 && managed.runs.count(key) == 0; ++i)
    world.Run({1});
  ASSERT_EQ(managed.runs.count(key), 1U);
  ASSERT_EQ(managed.status, EndpointStatus::kUsable);
}

JobOutcome OutcomeOf(const SchedulerWorld& world, const std::string& id) {
  const auto found = world.results.find(SubmissionId(id));
  EXPECT_NE(found, world.results.end()) << id << " was not answered";
  return found == world.results.end() ? JobOutcome() : found->second.outcome;
}

// A run that no job has claimed occupies resources until its end is listed.
TEST(EndpointCapacityTest, NothingStartsBesideARunOfUnknownSize) {
  SchedulerWorld world;
  FakeEndpoint& endpoint = AddUnguardedEndpoint(world, "e1");
  world.Run({20});
  world.Submit("first", 1, 2, {900});
  world.Run({10});
  ASSERT_NO_FATAL_FAILURE(StartUnknownRun(world, endpoint, "stranger"));
  world.Submit("next", 1, 7, {200});
  world.Run({1'000});
  EXPECT_TRUE(endpoint.starts_over_capacity.empty());
  EXPECT_EQ(OutcomeOf(world, "next").result, JobResult::kCompleted);
}

// Other groups must not send jobs to an endpoint that can't start them.
TEST(EndpointCapacityTest, EndpointWithARunOfUnknownSizeHasNoFreeCapacity) {
  SchedulerWorld world;
  FakeEndpoint& endpoint = AddUnguardedEndpoint(world, "e1");
  world.Run({20});
  world.Submit("first", 1, 2, {900});
  world.Run({10});
  ASSERT_NO_FATAL_FAILURE(StartUnknownRun(world, endpoint, "stranger"));
  EXPECT_EQ(
      ComputeGroupLoad(world.scheduler, kNorth, world.now).free_task_capacity,
      0U);
}

// A run that is claimed while it is being stopped occupies its resources.
TEST(EndpointCapacityTest, ClaimedRunThatIsBeingStoppedCounts) {
  SchedulerWorld world;
  FakeEndpoint& endpoint = AddUnguardedEndpoint(world, "e1");
  world.Run({20});
  world.Submit("first", 1, 2, {900});
  world.Run({10});
  world.is_command_lost = [](const EndpointCommand& command) {
    return std::holds_alternative<StopRun>(command.command);
  };
  ASSERT_NO_FATAL_FAILURE(StartUnknownRun(world, endpoint, "late"));
  world.SubmitJob(MakePatientSubmission("late", 9, {600}), {600});
  EXPECT_EQ(world.scheduler.endpoints.at(EndpointId("e1")).used,
            (TaskResources{11'000, 128, 0}));
  world.Submit("next", 1, 7, {200});
  world.Run({1'000});
  EXPECT_TRUE(endpoint.starts_over_capacity.empty());
  EXPECT_EQ(OutcomeOf(world, "late").result, JobResult::kCompleted);
}

// The lease of a run that requests no resources must be renewed as any other.
TEST(EndpointCapacityTest, RunWithoutResourcesIsNotTakenForAnUnclaimedOne) {
  SchedulerWorld world;
  FakeEndpoint& endpoint = AddUnguardedEndpoint(world, "e1");
  world.Run({20});
  JobSubmission submission = MakePatientSubmission("job", 0, {900});
  submission.job.steps[0].resources = TaskResources();
  world.SubmitJob(submission, {900});
  world.Run({1'500});
  EXPECT_EQ(endpoint.starts, 1U);
  EXPECT_EQ(OutcomeOf(world, "job").result, JobResult::kCompleted);
}

// Below the resources in use, a capacity has no room for even a small task.
TEST(EndpointCapacityTest, NothingStartsWhileMoreIsInUseThanTheCapacity) {
  SchedulerWorld world;
  FakeEndpoint& endpoint = AddUnguardedEndpoint(world, "e1");
  world.Run({20});
  world.Submit("first", 1, 7, {600});
  world.Submit("second", 1, 7, {900});
  world.Run({10});
  ASSERT_EQ(endpoint.running.size(), 2U);
  world.ReportCapacity("e1", kHalfCapacity);
  world.Submit("small", 1, 1, {200});
  ASSERT_EQ(endpoint.starts, 2U);
  while (endpoint.running.size() == 2) {
    world.Run({1});
    ASSERT_EQ(endpoint.starts, 2U);
  }
  world.Run({100});
  EXPECT_EQ(endpoint.starts, 3U);
  world.Run({900});
  EXPECT_EQ(OutcomeOf(world, "small").result, JobResult::kCompleted);
}

// What is over the capacity must not count as a large number of free tasks.
TEST(EndpointCapacityTest, GroupOverItsCapacityHasNoFreeCapacity) {
  SchedulerWorld world;
  AddUnguardedEndpoint(world, "e1");
  world.Run({20});
  world.Submit("job", 2, 7, {600});
  world.Run({10});
  world.ReportCapacity("e1", kHalfCapacity);
  world.Run({40});
  const GroupLoad load = ComputeGroupLoad(world.scheduler, kNorth, world.now);
  EXPECT_EQ(load.task_capacity, 1U);
  EXPECT_EQ(load.free_task_capacity, 0U);
  EXPECT_FALSE(HasFreeCapacityFor(load, 1));
  EXPECT_LE(world.scheduler.load, 1.0);
}

// Runs must not be stopped for a place that no longer has room for them.
TEST(EndpointCapacityTest, RunsAreNotMovedToAnEndpointThatHasShrunk) {
  SchedulerWorld world;
  world.AddEndpoint("fast", 16, 0.55);
  world.AddEndpoint("slow0", 16, 1.2);
  world.AddEndpoint("slow1", 16, 1.2);
  world.Run({20});
  for (auto& [id, endpoint] : world.scheduler.endpoints)
    endpoint.slowness = world.endpoints.at(id).slowness;
  world.Submit("earlier", 2, 7, {350}, "short");
  world.Run({5});
  world.ReportCapacity("fast", kSmallCapacity);
  world.SubmitJob(SchedulerWorld::MakeSubmission("large", 2, 7, {850}, "route"),
                  {1'400});
  world.Run({1'600});
  EXPECT_EQ(world.scheduler.counters.relocated_runs, 0U);
}

// The job can be done when the capacity grows again, so it must be sent again.
TEST(EndpointCapacityTest, JobThatOnceFittedIsRefusedWhileTheCapacityIsShrunk) {
  SchedulerWorld world;
  AddUnguardedEndpoint(world, "e1");
  world.Run({20});
  world.ReportCapacity("e1", kSmallCapacity);
  world.Run({20});
  world.SubmitJob(MakePatientSubmission("job", 7, {200}), {200});
  EXPECT_EQ(OutcomeOf(world, "job").result, JobResult::kRefused);
  EXPECT_GT(OutcomeOf(world, "job").retry_after, Millis());
  world.ReportCapacity("e1", kFullCapacity);
  world.Run({20});
  world.SubmitJob(MakePatientSubmission("job", 7, {200}), {200});
  world.Run({400});
  EXPECT_EQ(OutcomeOf(world, "job").result, JobResult::kCompleted);
}

/** Earliest retry of a job that fits no endpoint which was ever listed. */
constexpr Millis kMinWaitForLargerEndpoint{10'000};

// Its caller should not send the job again every second.
TEST(EndpointCapacityTest, JobLargerThanEveryReportedCapacityIsRefusedAtOnce) {
  SchedulerWorld world;
  AddUnguardedEndpoint(world, "e1");
  AddUnguardedEndpoint(world, "e2");
  world.Run({20});
  world.ReportCapacity("e1", kSmallCapacity);
  world.ReportCapacity("e2", kHalfCapacity);
  world.Run({20});
  world.SubmitJob(MakePatientSubmission("job", 17, {200}), {200});
  EXPECT_EQ(OutcomeOf(world, "job").result, JobResult::kRefused);
  EXPECT_GE(OutcomeOf(world, "job").retry_after, kMinWaitForLargerEndpoint);
  EXPECT_EQ(world.scheduler.counters.starts, 0U);
}

// Entries of endpoints come back one by one after an outage of the store.
TEST(EndpointCapacityTest, JobIsNotShownAsFailedBeforeALargeEndpointIsListed) {
  SchedulerWorld world;
  world.AddEndpoint("small", 4, 1);
  world.Run({20});
  const JobSubmission submission = MakePatientSubmission("job", 7, {200});
  world.SubmitJob(submission, {200});
  EXPECT_EQ(OutcomeOf(world, "job").result, JobResult::kRefused);
  world.AddEndpoint("large", 16, 1);
  world.Run({20});
  world.SubmitJob(submission, {200});
  world.Run({400});
  EXPECT_EQ(OutcomeOf(world, "job").result, JobResult::kCompleted);
}

// The entry of a large endpoint may be missing for some seconds after an outage
// of the store.
TEST(EndpointCapacityTest, JobThatFitsAMissingEndpointIsRefusedForAWhile) {
  SchedulerWorld world;
  AddUnguardedEndpoint(world, "large");
  world.AddEndpoint("small", 8, 1);
  world.ReportCapacity("large", kFullCapacity);
  world.Run({20});
  world.DeregisterEndpoint("large");
  world.SubmitJob(MakePatientSubmission("job", 9, {200}), {200});
  EXPECT_EQ(OutcomeOf(world, "job").result, JobResult::kRefused);
  world.Run({11'000});
  world.SubmitJob(MakePatientSubmission("later", 9, {200}), {200});
  EXPECT_EQ(OutcomeOf(world, "later").result, JobResult::kRefused);
  EXPECT_GE(OutcomeOf(world, "later").retry_after, kMinWaitForLargerEndpoint);
}

TEST(EndpointCapacityTest, JobThatFitsAMissingEndpointIsRefusedSecondsLater) {
  SchedulerWorld world;
  AddUnguardedEndpoint(world, "large");
  world.AddEndpoint("small", 8, 1);
  world.ReportCapacity("large", kFullCapacity);
  world.Run({20});
  world.DeregisterEndpoint("large");
  world.Run({3'000});
  world.SubmitJob(MakePatientSubmission("job", 9, {200}), {200});
  EXPECT_EQ(OutcomeOf(world, "job").result, JobResult::kRefused);
}

// A job that fits no endpoint of its group any more must not wait until its
// caller's time limit.
TEST(EndpointCapacityTest, WaitingJobIsRefusedWhenTheCapacityShrinks) {
  SchedulerWorld world;
  FakeEndpoint& endpoint = AddUnguardedEndpoint(world, "e1");
  world.Run({20});
  world.Submit("first", 2, 7, {900});
  world.Run({10});
  world.SubmitJob(MakePatientSubmission("waiting", 7, {200}), {200});
  world.Run({20});
  ASSERT_EQ(world.results.count(SubmissionId("waiting")), 0U);
  world.ReportCapacity("e1", kSmallCapacity);
  world.Run({40});
  EXPECT_EQ(OutcomeOf(world, "waiting").result, JobResult::kRefused);
  EXPECT_GT(OutcomeOf(world, "waiting").retry_after, Millis());
  EXPECT_EQ(endpoint.starts, 2U);
}

// Runs of a handed-over job may be active elsewhere, so it is not refused.
TEST(EndpointCapacityTest, WaitingJobThatMayHaveStartedIsKept) {
  SchedulerWorld world;
  AddUnguardedEndpoint(world, "e1");
  world.Run({20});
  world.ReportCapacity("e1", kSmallCapacity);
  JobSubmission submission = MakePatientSubmission("job", 7, {200});
  submission.may_have_started = true;
  world.SubmitJob(submission, {200});
  world.Run({200});
  ASSERT_EQ(world.results.count(SubmissionId("job")), 0U);
  world.ReportCapacity("e1", kFullCapacity);
  world.Run({400});
  EXPECT_EQ(OutcomeOf(world, "job").result, JobResult::kCompleted);
}

EndpointEntry MakeEntry(uint64_t revision, const TaskResources& capacity) {
  EndpointEntry entry;
  entry.id = EndpointId("e1");
  entry.service = "service";
  entry.zone = ZoneId("north");
  entry.capacity = capacity;
  entry.revision = revision;
  return entry;
}

FleetNode MakeNode() {
  DaemonMember self;
  self.id = DaemonId("d1");
  self.zone = ZoneId("north");
  return CreateFleetNode(self, Incarnation(1));
}

/** Applies one change of an endpoint as read from the store. */
void ApplyEndpointChange(FleetNode& node,
                         const StoreChange& change,
                         bool is_snapshot) {
  StoreUpdate update;
  update.is_snapshot = is_snapshot;
  update.changes.push_back(change);
  Actions actions;
  ApplyStoreUpdate(node, update, Millis{1'000}, actions);
}

// Changes made between two pages of a list are read again after the list, and
// several answers may be needed for them.
TEST(EndpointCapacityTest, OlderEntryDoesNotReplaceANewerOne) {
  FleetNode node = MakeNode();
  ApplyEndpointChange(node, EndpointChanged{MakeEntry(18, kHalfCapacity)},
                      true);
  ApplyEndpointChange(node, EndpointChanged{MakeEntry(12, kFullCapacity)},
                      false);
  EXPECT_EQ(node.entries.at(EndpointId("e1")).capacity, kHalfCapacity);
  ApplyEndpointChange(node, EndpointChanged{MakeEntry(21, kFullCapacity)},
                      false);
  EXPECT_EQ(node.entries.at(EndpointId("e1")).capacity, kFullCapacity);
}

// The removal of an earlier entry must not remove the endpoint that is back.
TEST(EndpointCapacityTest, OlderRemovalDoesNotRemoveANewerEntry) {
  FleetNode node = MakeNode();
  ApplyEndpointChange(node, EndpointChanged{MakeEntry(18, kHalfCapacity)},
                      true);
  ApplyEndpointChange(node, EndpointRemoved{EndpointId("e1"), 15}, false);
  EXPECT_EQ(node.entries.count(EndpointId("e1")), 1U);
  ApplyEndpointChange(node, EndpointRemoved{EndpointId("e1"), 19}, false);
  EXPECT_EQ(node.entries.count(EndpointId("e1")), 0U);
}

// The entry that travels with a job's progress may be from before a reduction.
TEST(EndpointCapacityTest, ReportedEntryIsNotUsedForStarts) {
  SchedulerWorld world;
  FakeEndpoint& endpoint = world.endpoints[EndpointId("e1")];
  endpoint.entry.id = EndpointId("e1");
  endpoint.entry.service = "service";
  endpoint.entry.zone = kNorth.zone;
  endpoint.entry.capacity = kFullCapacity;
  endpoint.lease_until = world.now + Millis{800};
  endpoint.running[RunOf("job")] = {world.now, {400}, {7'000, 64, 0}};
  JobSubmission submission = MakePatientSubmission("job", 7, {400});
  submission.may_have_started = true;
  submission.max_progress_wait = {600};
  world.SubmitJob(submission, {400});
  JobProgress progress;
  progress.job = SubmissionId("job");
  progress.active_runs = {{0, 0, Attempt(1), endpoint.entry}};
  world.SubmitProgress(progress);
  world.SubmitJob(MakePatientSubmission("next", 7, {200}), {200});
  world.Run({100});
  EXPECT_EQ(endpoint.starts, 0U);
  EndpointEntry current = endpoint.entry;
  current.capacity = kHalfCapacity;
  Actions actions;
  TakeOwnershipOfEndpoint(world.scheduler, current, kNorth, 5, world.now,
                          actions);
  world.Run({150});
  EXPECT_EQ(endpoint.starts, 0U);
  world.Run({600});
  EXPECT_EQ(endpoint.starts, 1U);
}

/** Keeps submitting jobs to a daemon, and returns the number of starts on the
 * endpoints in the last part of that time.
 */
uint64_t SubmitForEightSeconds(FleetWorld& world, const std::string& daemon) {
  constexpr int kJobs = 80;
  uint64_t starts_before = 0;
  for (int i = 0; i < kJobs; ++i) {
    if (i == kJobs * 3 / 4) {
      for (const auto& [id, endpoint] : world.endpoints)
        starts_before += endpoint.starts;
    }
    world.Submit(daemon, "job" + std::to_string(i), 8, {80});
    world.RunFor({100});
  }
  uint64_t starts = 0;
  for (const auto& [id, endpoint] : world.endpoints)
    starts += endpoint.starts;
  return starts - starts_before;
}

/** Makes all endpoints of a zone shrink to half of their capacity. */
void ShrinkEndpoints(FleetWorld& world, const std::string& zone) {
  for (auto& [id, endpoint] : world.endpoints) {
    endpoint.checks_admission = false;
    endpoint.stop_duration = kStopDuration;
    if (endpoint.entry.zone == ZoneId(zone))
      world.ChangeEndpointCapacity(id.value, kHalfCapacity);
  }
}

void ExpectNoStartOverCapacity(const FleetWorld& world) {
  for (const auto& [id, endpoint] : world.endpoints)
    EXPECT_EQ(endpoint.starts_over_capacity.size(), 0U) << id.value;
}

// An owner that no longer hears of the endpoints must be replaced in time.
TEST(EndpointCapacityTest, OwnerCutOffFromTheStoreDoesNotOverloadEndpoints) {
  FleetWorld world;
  SetUpTwoZones(world);
  const std::string owner = world.OwnerOf("north");
  ASSERT_FALSE(owner.empty());
  world.is_store_unreachable = [owner](const DaemonId& id) {
    return id.value == owner;
  };
  ShrinkEndpoints(world, "north");
  EXPECT_GT(SubmitForEightSeconds(world, OtherDaemonInZone(owner)), 0U);
  ExpectNoStartOverCapacity(world);
}

// The next owner must not use a capacity from before a reduction.
TEST(EndpointCapacityTest, NextOwnerUsesTheReducedCapacity) {
  FleetWorld world;
  SetUpTwoZones(world);
  const std::string owner = world.OwnerOf("north");
  ASSERT_FALSE(owner.empty());
  ShrinkEndpoints(world, "north");
  world.KillDaemon(owner);
  EXPECT_GT(SubmitForEightSeconds(world, OtherDaemonInZone(owner)), 0U);
  ExpectNoStartOverCapacity(world);
}

TEST(EndpointCapacityTest, RestartedEndpointOfAnotherKindWaitsForItsEntry) {
  SchedulerWorld world;
  FakeEndpoint& endpoint = world.AddEndpoint("e0", 16, 1);
  endpoint.checks_admission = false;
  endpoint.entry.started_at_ms = endpoint.started_at_ms;
  Actions actions;
  UpdateEndpoint(world.scheduler, endpoint.entry, world.now, actions);
  world.Run({20});
  world.Submit("first", 1, 7, {900});
  world.Run({10});
  CrashFakeEndpoint(endpoint, world.now);
  endpoint.entry.started_at_ms = endpoint.started_at_ms;
  endpoint.entry.capacity = {8'000, 64'000, 0};
  world.Run({3'200});
  world.Submit("next", 2, 7, {200});
  world.Run({200});
  EXPECT_TRUE(endpoint.starts_over_capacity.empty());
  UpdateEndpoint(world.scheduler, endpoint.entry, world.now, actions);
  world.Run({1'000});
  EXPECT_TRUE(endpoint.starts_over_capacity.empty());
  EXPECT_EQ(world.results[SubmissionId("next")].outcome.result,
            JobResult::kCompleted);
}

}  // namespace
}  // namespace dogwoodfall
