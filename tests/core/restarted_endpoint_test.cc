#include <gtest/gtest.h>

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/scheduling/job_flow.h"
#include "core/scheduling/job_lease.h"
#include "faulty_fleet.h"
#include "fleet_world.h"
#include "scheduler_world.h"

namespace dogwoodfall {
namespace {

constexpr Millis kRetransmitAfter{1'300};
constexpr Millis kRunTime{1'200};

/** A scheduler with one endpoint, on which a job is started. */
struct OneEndpointFixture {
  OneEndpointFixture() {
    this->world.AddEndpoint("e1", 16, 1);
    this->world.Run({20});
  }

  FakeEndpoint& Endpoint() {
    return this->world.endpoints.at(EndpointId("e1"));
  }

  /** Runs until a run is active, at most 100 ms. */
  void AwaitRun() {
    for (int ms = 0; ms < 100 && this->Endpoint().running.empty(); ++ms)
      this->world.Run({1});
    EXPECT_FALSE(this->Endpoint().running.empty());
  }

  /** Starts a run and loses all later commands of its scheduler. */
  void StartLastRun() {
    this->world.Submit("job", 1, 7, kRunTime);
    this->AwaitRun();
    this->world.is_command_lost = [](const EndpointCommand&) { return true; };
  }

  /** Returns how long the runs go on from now, at most 5 s. */
  Millis MeasureRunTime() {
    const Millis start = this->world.now;
    while (!this->Endpoint().running.empty() &&
           this->world.now < start + Millis{5'000})
      this->world.Run({1});
    return this->world.now - start;
  }

  SchedulerWorld world;
};

// A late renewal has the end of the lease that it was sent with.
TEST(RestartedEndpointTest, LateRenewalsKeepNoRunOfALostSchedulerAlive) {
  for (const int64_t late_ms : {100, 300, 500, 600}) {
    OneEndpointFixture fixture;
    std::vector<EndpointCommand> sent;
    fixture.world.is_command_lost = [&sent](const EndpointCommand& command) {
      sent.push_back(command);
      return false;
    };
    fixture.world.Submit("job", 1, 7, kRunTime);
    fixture.world.Run({400});
    fixture.world.is_command_lost = [](const EndpointCommand&) { return true; };
    const Millis lost_at = fixture.world.now;
    fixture.world.Run({late_ms});
    for (const EndpointCommand& command : sent)
      ExecuteCommand(fixture.Endpoint(), command, {}, {}, fixture.world.now);
    fixture.MeasureRunTime();
    EXPECT_LE(fixture.world.now, lost_at + kRunsEndedAfter) << late_ms;
  }
}

/** Two zones, of which one has a single daemon and a single endpoint. A job
 * that the other zone has received is forwarded to it before it starts.
 */
struct ForwardedJobFixture {
  ForwardedJobFixture() {
    this->world.StartDaemon("north0", "north");
    this->world.AddEndpoint("north-e0", "north");
    for (int i = 0; i < 2; ++i) {
      this->world.StartDaemon("south" + std::to_string(i), "south");
      this->world.AddEndpoint("south-e" + std::to_string(i), "south");
    }
    this->world.RunFor({4'000});
    this->owner = this->world.OwnerOf("south");
    this->receiver = OtherDaemonInZone(this->owner);
  }

  void ForwardJob() {
    FleetNode& node = this->world.Node(this->owner);
    node.scheduler.starts_blocked_until = this->world.now + Millis{5'000};
    this->world.Submit(this->receiver, "job", 1, {760});
    this->world.RunFor({10});
    ASSERT_TRUE(RemoveJob(node.scheduler, SubmissionId("job")));
    node.scheduler.starts_blocked_until = Millis();
    JobRedirect redirect;
    redirect.job = SubmissionId("job");
    redirect.to = DaemonId("north0");
    redirect.group = {ZoneId("north"), 0};
    redirect.view_revision = node.view.revision;
    redirect.is_spillover = true;
    redirect.submission_sent_at = this->world.Node(this->receiver)
                                      .reception.pending.at(redirect.job)
                                      .assigned_at;
    this->world.SendMessage(this->owner, this->receiver, redirect);
  }

  /** Removes the scheduler of the other zone while the job runs there. */
  void LoseScheduler() {
    this->world.RunFor({10});
    ASSERT_EQ(this->world.CountRuns("job"), 1U);
    this->world.DeregisterDaemon("north0");
    this->world.KillDaemon("north0");
    this->world.RunFor({1'600});
  }

  FleetWorld world;
  std::string owner;
  std::string receiver;
};

TEST(RestartedEndpointTest, JobOfALostZoneRunsBesideNoEarlierRun) {
  ForwardedJobFixture fixture;
  fixture.ForwardJob();
  fixture.LoseScheduler();
  EXPECT_TRUE(fixture.world.overlaps.empty());
  EXPECT_EQ(fixture.world.results["job"], JobResult::kCompleted);
}

// The next scheduler finds the run when it lists the runs there.
TEST(RestartedEndpointTest, JobOfALostZoneRunsBesideNoRunOnARestartedEndpoint) {
  ForwardedJobFixture fixture;
  FleetWorld& world = fixture.world;
  bool has_restarted = false;
  // The endpoint restarts after its clock was read for the start.
  world.command_execution_delay = [&](const EndpointCommand& command) {
    if (std::holds_alternative<StartRun>(command.command) &&
        !std::exchange(has_restarted, true))
      world.RestartEndpoint("north-e0", world.now, world.now + Millis{1'500});
    return Millis();
  };
  fixture.ForwardJob();
  fixture.LoseScheduler();
  EXPECT_TRUE(world.overlaps.empty());
}

/** A job whose receiver and scheduler are lost right after its start was sent.
 * Its caller sends it again to the other zone.
 */
void PlayLateStartOfALostZone(FleetWorld& world, Millis late) {
  const std::string owner = world.OwnerOf("north");
  const std::string receiver = OtherDaemonInZone(owner);
  world.command_execution_delay = [late](const EndpointCommand& command) {
    return std::holds_alternative<StartRun>(command.command) ? late : Millis();
  };
  world.Submit(receiver, "job", 1, kRunTime);
  world.RunFor({8});
  world.KillDaemon(owner);
  world.KillDaemon(receiver);
  world.command_execution_delay = [](const EndpointCommand&) {
    return Millis();
  };
  world.RunFor(kRetransmitAfter);
  world.Submit("south0", "job", 1, {400});
  world.RunFor({800});
}

TEST(RestartedEndpointTest, LateStartOfALostZoneRunsBesideNoRepeat) {
  for (const int64_t late_ms : {300, 400, 600, 900, 1'300}) {
    FleetWorld world;
    SetUpTwoZones(world);
    PlayLateStartOfALostZone(world, {late_ms});
    EXPECT_TRUE(world.overlaps.empty()) << late_ms;
    EXPECT_EQ(world.results["job"], JobResult::kCompleted) << late_ms;
  }
}

// Late orders, cuts, restarts and long pauses overlap with hand-overs.
TEST(RestartedEndpointTest, FaultyEndpointsAndDaemonsCauseNoDuplicateRuns) {
  constexpr int64_t kRareFaults = 60;
  FaultOptions options = AllFaultsOfDaemonsAndEndpoints();
  options.rounds_per_fault = kRareFaults;
  for (const uint32_t seed : {1, 2, 3, 1001}) {
    for (const JobTask& task : FaultyFleet(seed, options).Play())
      ADD_FAILURE() << "seed " << seed << ": " << task.job.value << "."
                    << task.index;
  }
}

// Its clock starts anew, and a time on the former clock is far ahead of it.
TEST(RestartedEndpointTest, RunOnARestartedEndpointEndsWithItsLostScheduler) {
  OneEndpointFixture fixture;
  RestartFakeEndpoint(fixture.Endpoint(), fixture.world.now);
  fixture.StartLastRun();
  EXPECT_LE(fixture.MeasureRunTime(), kRunsEndedAfter);
}

// A late start has a lease from its execution on instead of being refused.
TEST(RestartedEndpointTest,
     LateStartOnARestartedEndpointOfALostZoneRunsBesideNoRepeat) {
  for (const int64_t late_ms : {300, 400, 600, 900, 1'300}) {
    FleetWorld world;
    SetUpTwoZones(world);
    for (const auto& [id, endpoint] : world.endpoints)
      world.RestartEndpoint(id.value, world.now + Millis{1},
                            world.now + Millis{1'500});
    world.RunFor({2});
    PlayLateStartOfALostZone(world, {late_ms});
    EXPECT_TRUE(world.overlaps.empty()) << late_ms;
  }
}

// Renewals were answered until shortly before, by the former incarnation.
TEST(RestartedEndpointTest,
     LateStartOnABusyRestartedEndpointOfALostZoneRunsBesideNoRepeat) {
  for (const int64_t late_ms : {300, 400, 600, 900, 1'300}) {
    FleetWorld world;
    SetUpTwoZones(world);
    world.Submit(world.OwnerOf("north"), "other", 4, {900});
    world.RunFor({200});
    for (const auto& [id, endpoint] : world.endpoints)
      world.RestartEndpoint(id.value, world.now + Millis{1},
                            world.now + Millis{1'500});
    world.RunFor({40});
    PlayLateStartOfALostZone(world, {late_ms});
    EXPECT_TRUE(world.overlaps.empty()) << late_ms;
  }
}

// A task that waits for the clock of an endpoint must not wait with it.
TEST(RestartedEndpointTest, TaskOfAnEndpointWithoutClockStartsElsewhere) {
  OneEndpointFixture fixture;
  SchedulerWorld& world = fixture.world;
  world.Run({1'000});
  world.is_command_lost = [](const EndpointCommand& command) {
    return command.endpoint == EndpointId("e1");
  };
  world.Submit("job", 1, 7, {300});
  world.Run({5});
  FakeEndpoint& other = world.AddEndpoint("e2", 16, 1);
  world.Run({200});
  EXPECT_EQ(fixture.Endpoint().starts, 0U);
  EXPECT_EQ(other.starts, 1U);
}

// Its caller may be told that nothing has run.
TEST(RestartedEndpointTest, JobThatEndsBeforeItsStartWasSentHasNotRun) {
  OneEndpointFixture fixture;
  SchedulerWorld& world = fixture.world;
  world.Run({1'000});
  world.Submit("job", 1, 7, {300});
  Actions actions;
  EndJob(world.scheduler, SubmissionId("job"), {JobResult::kRefused, {}, ""},
         world.now, actions);
  world.Run({200});
  EXPECT_EQ(fixture.Endpoint().starts, 0U);
  EXPECT_EQ(world.results[SubmissionId("job")].outcome.result,
            JobResult::kRefused);
}

/** Reports the entry of an endpoint that has started anew. */
void ReportRestart(OneEndpointFixture& fixture) {
  FakeEndpoint& endpoint = fixture.Endpoint();
  RestartFakeEndpoint(endpoint, fixture.world.now);
  endpoint.entry.started_at_ms = endpoint.started_at_ms;
  fixture.world.ReportCapacity("e1", endpoint.entry.capacity);
}

TEST(RestartedEndpointTest, LateAnswerOfAFormerIncarnationSetsNoClock) {
  OneEndpointFixture fixture;
  EndpointCommand late;
  fixture.world.is_command_lost = [&late](const EndpointCommand& command) {
    if (std::holds_alternative<StartRun>(command.command))
      late = command;
    return true;
  };
  fixture.world.scheduler.endpoints.at(EndpointId("e1")).clock_read_at =
      fixture.world.now;  // It has just answered.
  fixture.world.Submit("former", 1, 7, kRunTime);
  const PendingCommand pending =
      fixture.world.scheduler.pending_commands.at(late.id);
  EndpointReply reply;
  reply.id = late.id;
  reply.outcome = CommandOutcome::kUnhealthy;
  reply.clock = ReadClock(fixture.Endpoint(), fixture.world.now);
  ReportRestart(fixture);
  fixture.world.is_command_lost = [](const EndpointCommand&) { return false; };
  fixture.world.Run({290});
  const ManagedEndpoint& managed =
      fixture.world.scheduler.endpoints.at(EndpointId("e1"));
  EXPECT_EQ(managed.status, EndpointStatus::kUsable);
  fixture.world.scheduler.pending_commands[reply.id] = pending;
  Actions actions;
  HandleEndpointReply(fixture.world.scheduler, reply, fixture.world.now,
                      actions);
  ASSERT_TRUE(managed.clock_offset);
  EXPECT_LE(*managed.clock_offset + fixture.world.now,
            ReadClock(fixture.Endpoint(), fixture.world.now));
}

// Ends up to the acknowledged number are forgotten.
TEST(RestartedEndpointTest, RestartedEndpointIsToldToForgetNoEnds) {
  OneEndpointFixture fixture;
  fixture.world.Submit("former", 1, 7, {20});
  fixture.world.Run({60});
  std::vector<uint64_t> acknowledged;
  fixture.world.is_command_lost =
      [&acknowledged](const EndpointCommand& command) {
        if (const auto* renewal = std::get_if<RenewRuns>(&command.command))
          acknowledged.push_back(renewal->acknowledged_ends);
        return false;
      };
  fixture.world.Submit("next", 1, 7, {20});
  fixture.world.Run({60});
  ASSERT_FALSE(acknowledged.empty());
  EXPECT_EQ(acknowledged.back(), 1U);
  acknowledged.clear();
  ReportRestart(fixture);
  fixture.world.Run({300});
  ASSERT_FALSE(acknowledged.empty());
  EXPECT_EQ(acknowledged.front(), 0U);
}

// Its run has a lease from its execution on, which outlasts the one granted.
TEST(RestartedEndpointTest, RunOnACutOffRestartedEndpointIsNotRepeatedBeside) {
  OneEndpointFixture fixture;
  SchedulerWorld& world = fixture.world;
  bool has_restarted = false;
  // The endpoint restarts after its clock was read for the start.
  world.is_command_lost = [&](const EndpointCommand& command) {
    if (std::holds_alternative<StartRun>(command.command) &&
        !std::exchange(has_restarted, true))
      RestartFakeEndpoint(fixture.Endpoint(), world.now);
    return false;
  };
  JobSubmission submission =
      SchedulerWorld::MakeSubmission("job", 1, 7, kRunTime, "route");
  submission.job.time_left = {6'000};
  submission.job.target_latency = {6'000};
  world.SubmitJob(submission, kRunTime);
  fixture.AwaitRun();
  ASSERT_EQ(fixture.Endpoint().running.size(), 1U);
  world.AddEndpoint("e2", 16, 1);
  world.is_command_lost = [](const EndpointCommand& command) {
    return command.endpoint == EndpointId("e1");
  };
  world.Run({1'500});
  EXPECT_TRUE(world.overlaps.empty());
}

}  // namespace
}  // namespace dogwoodfall
