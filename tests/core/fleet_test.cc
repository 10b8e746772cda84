#include <gtest/gtest.h>

#include <random>
#include <set>
#include <string>

#include "core/fleet/fleet_view.h"
#include "core/fleet/handover_flow.h"
#include "core/fleet/ownership_flow.h"
#include "core/fleet/reception_flow.h"
#include "fleet_world.h"

namespace dogwoodfall {
namespace {

FleetMember MakeMember(const std::string& id,
                       const std::string& zone,
                       uint64_t revision) {
  FleetMember member;
  member.address.id = DaemonId(id);
  member.address.zone = ZoneId(zone);
  member.address.weight = 25;
  member.incarnation = Incarnation(revision);
  member.created_revision = revision;
  member.revision = revision;
  return member;
}

// A daemon that joins must not move the ownership of endpoints, which would
// interrupt the work of their owner. Only a leaving owner is replaced.
TEST(FleetViewTest, OldestDaemonOwnsAndNewDaemonDoesNotTakeOver) {
  FleetView view;
  ApplyMember(view, MakeMember("b", "north", 5));
  const EndpointGroup group{ZoneId("north"), 0};
  EXPECT_EQ(OwnerOfGroup(view, group)->address.id, DaemonId("b"));
  ApplyMember(view, MakeMember("a", "north", 6));
  EXPECT_EQ(OwnerOfGroup(view, group)->address.id, DaemonId("b"));
  FleetMember leaving = MakeMember("b", "north", 7);
  leaving.created_revision = 5;
  leaving.address.leaving = true;
  ApplyMember(view, leaving);
  EXPECT_EQ(OwnerOfGroup(view, group)->address.id, DaemonId("a"));
}

// The endpoints of a zone that has lost all its daemons must still be owned.
TEST(FleetViewTest, ZoneWithoutDaemonsIsOwnedByAnotherZone) {
  FleetView view;
  ApplyMember(view, MakeMember("a", "north", 5));
  EXPECT_EQ(OwnerOfGroup(view, {ZoneId("south"), 0})->address.id,
            DaemonId("a"));
  EXPECT_EQ(OwnerOfGroup(FleetView(), {ZoneId("south"), 0}), nullptr);
}

// Changes may arrive from the store and from peers in any order. An older one
// must not add a removed daemon again.
TEST(FleetViewTest, OlderChangesAreIgnored) {
  FleetView view;
  ApplyMember(view, MakeMember("a", "north", 5));
  EXPECT_TRUE(RemoveMemberAt(view, DaemonId("a"), 8));
  EXPECT_FALSE(ApplyMember(view, MakeMember("a", "north", 7)));
  EXPECT_FALSE(ReplaceMembers(view, {MakeMember("a", "north", 5)}, 8));
  EXPECT_TRUE(view.members.empty());
}

// If one daemon owned several groups of a large zone, its capacity would limit
// the starts in that zone.
TEST(FleetViewTest, GroupsOfALargeZoneHaveDifferentOwners) {
  FleetView view;
  for (int i = 0; i < 12; ++i)
    ApplyMember(view, MakeMember("d" + std::to_string(i), "north", 5 + i));
  ASSERT_EQ(GroupCount(view, ZoneId("north")), 3U);
  std::set<DaemonId> owners;
  for (uint32_t i = 0; i < 3; ++i)
    owners.insert(OwnerOfGroup(view, {ZoneId("north"), i})->address.id);
  EXPECT_EQ(owners.size(), 3U);
}

// A daemon that owns no endpoints must forward its callers' jobs.
TEST(FleetTest, JobsAreServedThroughEveryDaemon) {
  FleetWorld world;
  SetUpTwoZones(world);
  for (const char* id : {"north0", "north1", "south0", "south1"})
    world.Submit(id, std::string("job-") + id, 4, {100});
  world.RunFor({400});
  EXPECT_EQ(world.results.size(), 4U);
  for (const auto& [job, result] : world.results)
    EXPECT_EQ(result, JobResult::kCompleted) << job;
}

// A caller that lost its connection sends the job again to another zone while
// its tasks still run. They must not be started a second time there.
TEST(FleetTest, RepeatedJobInAnotherZoneJoinsItsRuns) {
  FleetWorld world;
  SetUpTwoZones(world);
  world.Submit("north0", "job", 2, {1'200});
  world.RunFor({1'000});
  world.Submit("south0", "job", 2, {1'200});
  world.RunFor({600});
  EXPECT_EQ(world.results["job"], JobResult::kCompleted);
  EXPECT_TRUE(world.overlaps.empty());
  uint64_t starts = 0;
  for (const auto& [id, endpoint] : world.endpoints)
    starts += endpoint.starts;
  EXPECT_EQ(starts, 2U);
}

// The callers of one zone send more than its endpoints can run, while the other
// zone has free capacity. Without spillover, jobs would miss their time limits.
TEST(FleetTest, JobsSpillOverToALessLoadedZone) {
  FleetWorld world;
  SetUpTwoZones(world);
  // Each zone can run eight tasks at a time; every 250 ms, north gets twelve
  // and south two.
  for (int round = 0; round < 20; ++round) {
    for (int i = 0; i < 6; ++i)
      world.Submit(i % 2 == 0 ? "north0" : "north1",
                   "n" + std::to_string(round) + "-" + std::to_string(i), 2,
                   {200});
    world.Submit("south0", "s" + std::to_string(round), 2, {200});
    world.RunFor({250});
  }
  world.RunFor({1'000});
  int completed = 0;
  for (const auto& [job, result] : world.results)
    completed += result == JobResult::kCompleted ? 1 : 0;
  EXPECT_EQ(world.results.size(), 140U);
  EXPECT_EQ(completed, 140);
  EXPECT_TRUE(world.overlaps.empty());
}

// The next owner must wait for the killed scheduler's runs instead of starting
// their tasks again beside them.
TEST(FleetTest, KilledSchedulerIsReplacedWithoutDuplicateRuns) {
  FleetWorld world;
  SetUpTwoZones(world);
  const std::string owner = world.OwnerOf("north");
  const std::string other = OtherDaemonInZone(owner);
  world.Submit(other, "job", 6, {600});
  world.RunFor({100});
  world.KillDaemon(owner);
  world.RunFor({1'500});
  EXPECT_EQ(world.OwnerOf("north"), other);
  EXPECT_EQ(world.results["job"], JobResult::kCompleted);
  EXPECT_TRUE(world.overlaps.empty());
}

// A graceful shutdown during which jobs run must neither abandon nor repeat any
// of their tasks.
TEST(FleetTest, GracefulShutdownLosesNoWork) {
  FleetWorld world;
  SetUpTwoZones(world);
  const std::string owner = world.OwnerOf("north");
  world.Submit(owner, "own", 4, {800});
  world.Submit(OtherDaemonInZone(owner), "passed", 2, {800});
  world.RunFor({100});
  world.StopDaemon(owner);
  world.RunFor({1'200});
  EXPECT_EQ(world.results["own"], JobResult::kCompleted);
  EXPECT_EQ(world.results["passed"], JobResult::kCompleted);
  uint64_t starts = 0;
  for (const auto& [id, endpoint] : world.endpoints)
    starts += endpoint.starts;
  EXPECT_EQ(starts, 6U);
  EXPECT_TRUE(world.overlaps.empty());
}

// Callers keep using open connections until the process has exited. A stopping
// daemon must accept the jobs that it can still answer, and refuse the others
// instead of leaving their callers without an answer.
TEST(FleetTest, AStoppingDaemonAnswersEveryCaller) {
  FleetWorld world;
  SetUpTwoZones(world);
  const std::string stopping = world.OwnerOf("north");
  world.StopDaemon(stopping);
  int sent = 0;
  int refused = 0;
  const Millis shutdown_started_at = world.now;
  while (world.IsRunning(stopping) &&
         world.now - shutdown_started_at < Millis{5'450}) {
    const std::string job = "job" + std::to_string(sent++);
    world.Submit(stopping, job, 1, {sent % 10 == 0 ? 900 : 100});
    world.RunFor({20});
    const auto result = world.results.find(job);
    const bool is_refused =
        result != world.results.end() && result->second == JobResult::kRefused;
    if (world.now - shutdown_started_at < Millis{3'500}) {
      EXPECT_FALSE(is_refused) << job;
    }
    refused += is_refused ? 1 : 0;
  }
  world.RunFor({1'500});
  EXPECT_EQ(world.results.size(), static_cast<size_t>(sent));
  EXPECT_GT(refused, 0);
  EXPECT_LT(refused, 40);
  EXPECT_TRUE(world.overlaps.empty());
}

// A partitioned scheduler keeps using endpoints whose store items have expired.
// The next owner has no entries for these endpoints. A handover could therefore
// miss their runs, and their tasks would be started twice.
TEST(FleetTest, RunsOnDeregisteredEndpointsAreHandedOver) {
  FleetWorld world;
  SetUpTwoZones(world);
  const std::string owner = world.OwnerOf("north");
  const std::string other = OtherDaemonInZone(owner);
  world.is_store_unreachable = [&owner](const DaemonId& id) {
    return id.value == owner;
  };
  world.is_partitioned = [&owner](const DaemonId& a, const DaemonId& b) {
    return a.value == owner || b.value == owner;
  };
  for (int i = 0; i < 4; ++i)
    world.DeregisterEndpoint("north-e" + std::to_string(i));
  world.RunFor({3'000});
  world.AddEndpoint("north-new", "north");
  world.RunFor({1'500});
  world.Submit(owner, "job", 2, {900});
  world.RunFor({100});
  world.is_store_unreachable = [](const DaemonId&) { return false; };
  world.is_partitioned = [](const DaemonId&, const DaemonId&) { return false; };
  world.RunFor({2'500});
  EXPECT_EQ(world.results["job"], JobResult::kCompleted);
  EXPECT_TRUE(world.overlaps.empty());
}

// A partitioned zone keeps running under its previous owner while the store
// items of its endpoints expire. After the partition, ownership of the
// endpoints moves from a daemon of the other zone back to one of their own zone
// within a few round trips, before the former has reconciled them. Their items
// return one after the other. Runs that are overlooked in between would be
// started a second time.
TEST(FleetTest, ReconnectedZoneHasNoDuplicateRuns) {
  for (int offset = 0; offset < 60; ++offset) {
    FleetWorld world;
    SetUpTwoZones(world);
    const std::string owner = world.OwnerOf("north");
    bool is_north_partitioned = true;
    bool is_owner_without_store = true;
    const auto is_north = [](const DaemonId& id) {
      return id.value.compare(0, 5, "north") == 0;
    };
    world.is_store_unreachable = [&](const DaemonId& id) {
      return (is_north_partitioned && is_north(id)) ||
             (is_owner_without_store && id.value == owner);
    };
    world.is_partitioned = [&](const DaemonId& a, const DaemonId& b) {
      return is_north_partitioned && is_north(a) != is_north(b);
    };
    for (int i = 1; i < 4; ++i)
      world.DeregisterEndpoint("north-e" + std::to_string(i));
    world.RunFor({4'000 + 17 * offset});
    int sent = 0;
    const auto submit = [&]() {
      world.Submit(sent % 2 == 0 ? "north0" : "north1",
                   "job" + std::to_string(sent), 1, {350});
      ++sent;
    };
    for (int i = 0; i < 8; ++i) {
      submit();
      world.RunFor({20});
    }
    is_north_partitioned = false;
    for (int i = 0; i < 40; ++i) {
      submit();
      world.RunFor({25});
      is_owner_without_store = i < 24;
      if (i % 10 == 5)
        world.AddEndpoint("north-e" + std::to_string(i / 10), "north");
    }
    world.RunFor({2'500});
    EXPECT_TRUE(world.overlaps.empty()) << "offset " << offset;
  }
}

/** Returns the messages of one kind that a daemon sends to its peers. */
template <typename Message>
std::vector<std::pair<DaemonId, Message>> CollectSentMessages(
    const Actions& actions) {
  std::vector<std::pair<DaemonId, Message>> sent;
  for (const Action& action : actions) {
    const auto* frame = std::get_if<SendFrame>(&action);
    if (frame == nullptr || !frame->frame.message)
      continue;
    const auto* message = std::get_if<Message>(&*frame->frame.message);
    if (message != nullptr)
      sent.emplace_back(frame->frame.to.id, *message);
  }
  return sent;
}

/** A daemon that owns a zone and runs the job "job", with sessions to three
 * other daemons.
 */
struct HandoverFixture {
  HandoverFixture() {
    SetUpTwoZones(this->world);
    this->node = &this->world.Node(this->world.OwnerOf("north"));
    this->next =
        this->RefOfDaemon(OtherDaemonInZone(this->node->self.id.value));
    this->third = this->RefOfDaemon("south0");
    this->world.Submit(this->node->self.id.value, "job", 2, {600});
    this->world.RunFor({50});
  }

  DaemonRef RefOfDaemon(const std::string& id) {
    return this->world.Node(id).self;
  }

  uint64_t ViewRevision() const { return this->node->view.revision; }

  FleetWorld world;
  FleetNode* node;
  DaemonRef next;
  DaemonRef third;
};

// A receiver that was not notified of a handover sends its release request to
// the previous scheduler. Unless that scheduler forwards the request, the third
// scheduler never gets the job's progress.
TEST(HandoverTest, ReleaseRequestIsForwardedToTheNextScheduler) {
  HandoverFixture fixture;
  const SubmissionId job("job");
  Actions actions;
  ReleaseJob(*fixture.node, {job, fixture.next, fixture.ViewRevision()},
             fixture.world.now, actions);
  const auto sent_messages = CollectSentMessages<JobProgress>(actions);
  ASSERT_EQ(sent_messages.size(), 1U);
  EXPECT_EQ(sent_messages[0].first, fixture.next.id);
  EXPECT_EQ(sent_messages[0].second.active_runs.size(), 2U);
  actions.clear();
  ReleaseJob(*fixture.node, {job, fixture.third, fixture.ViewRevision()},
             fixture.world.now, actions);
  EXPECT_TRUE(CollectSentMessages<JobProgress>(actions).empty());
  const auto sent_requests = CollectSentMessages<JobReleaseRequest>(actions);
  ASSERT_EQ(sent_requests.size(), 1U);
  EXPECT_EQ(sent_requests[0].first, fixture.next.id);
  EXPECT_EQ(sent_requests[0].second.to, fixture.third);
}

// A daemon without a record of a job has no information on its runs. If it sent
// empty progress, the next scheduler would start tasks that are still running a
// second time.
TEST(HandoverTest, NoProgressIsSentForAnUnknownJob) {
  HandoverFixture fixture;
  const SubmissionId job("unknown");
  Actions actions;
  ReleaseJob(*fixture.node, {job, fixture.next, fixture.ViewRevision()},
             fixture.world.now, actions);
  EXPECT_TRUE(CollectSentMessages<JobProgress>(actions).empty());

  // Progress that arrives later is forwarded to the scheduler that has the job.
  JobProgress progress;
  progress.job = job;
  progress.active_runs = {{0, 0, Attempt(1), EndpointEntry()}};
  HandleJobProgress(*fixture.node, fixture.third, progress, fixture.world.now,
                    actions);
  const auto sent_messages = CollectSentMessages<JobProgress>(actions);
  ASSERT_EQ(sent_messages.size(), 1U);
  EXPECT_EQ(sent_messages[0].first, fixture.next.id);
}

// A receiver with an outdated view requests the release of a job to a daemon
// that is no longer the owner. The owner must keep the job and send its newer
// view.
TEST(HandoverTest, JobIsNotReleasedToAPreviousOwner) {
  HandoverFixture fixture;
  const SubmissionId job("job");
  Actions actions;
  ReleaseJob(*fixture.node, {job, fixture.next, fixture.ViewRevision() - 1},
             fixture.world.now, actions);
  EXPECT_EQ(fixture.node->scheduler.jobs.count(job), 1U);
  const auto sent_messages = CollectSentMessages<ViewNotice>(actions);
  ASSERT_EQ(sent_messages.size(), 1U);
  EXPECT_EQ(sent_messages[0].first, fixture.next.id);
  EXPECT_EQ(sent_messages[0].second.revision, fixture.ViewRevision());
}

// A job that was handed over returns while its runs still go on here. They must
// be found again instead of being started a second time.
TEST(HandoverTest, ReturnedJobKeepsItsRuns) {
  HandoverFixture fixture;
  const SubmissionId job("job");
  const TransientJob sent = fixture.node->scheduler.jobs.at(job).job;
  Actions actions;
  ReleaseJob(*fixture.node, {job, fixture.next, fixture.ViewRevision()},
             fixture.world.now, actions);
  JobSubmission returned_job;
  returned_job.job = sent;
  returned_job.job.time_left = {1'400};
  returned_job.group = {ZoneId("north"), 0};
  returned_job.may_have_started = true;
  returned_job.view_revision = fixture.ViewRevision();
  actions.clear();
  ScheduleLocally(*fixture.node, fixture.world.now, fixture.node->self,
                  returned_job, actions);
  for (const Action& action : actions)
    EXPECT_FALSE(std::holds_alternative<CallEndpoint>(action));
  EXPECT_EQ(fixture.node->scheduler.jobs.at(job).tasks_queued, 0U);
}

// The network delays a submission by 2 s. By then its caller has been answered
// or has sent the job again to another daemon, so that starting it would be a
// duplicate.
TEST(HandoverTest, DelayedSubmissionIsNotStarted) {
  HandoverFixture fixture;
  JobSubmission delayed;
  delayed.job = fixture.node->scheduler.jobs.at(SubmissionId("job")).job;
  delayed.job.id = SubmissionId("late");
  delayed.job.time_left = {1'400};
  delayed.group = {ZoneId("north"), 0};
  delayed.view_revision = fixture.ViewRevision();
  delayed.sent_at = fixture.world.now - Millis{2'000};
  Actions actions;
  HandleJobSubmission(*fixture.node, fixture.world.now, fixture.third, delayed,
                      actions);
  EXPECT_EQ(fixture.node->scheduler.jobs.count(delayed.job.id), 0U);
  delayed.sent_at = fixture.world.now;
  HandleJobSubmission(*fixture.node, fixture.world.now, fixture.third, delayed,
                      actions);
  EXPECT_EQ(fixture.node->scheduler.jobs.count(delayed.job.id), 1U);
}

// When a receiver abandons a job at its time limit, the scheduler must not keep
// running it.
TEST(HandoverTest, AbandonedJobIsCancelledAtItsScheduler) {
  HandoverFixture fixture;
  FleetNode& receiver = fixture.world.Node(fixture.next.id.value);
  fixture.world.Submit(fixture.next.id.value, "given-up", 1, {600});
  fixture.world.RunFor({20});
  Actions actions;
  AbandonJob(receiver, fixture.world.now, SubmissionId("given-up"),
             "time_limit", actions);
  const auto sent = CollectSentMessages<JobCancellation>(actions);
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].first, fixture.node->self.id);
}

// A job returns to a daemon that had handed it over. The daemon's record of
// where the job went is outdated then and must not cause the job's progress to
// be forwarded again.
TEST(HandoverTest, ProgressOfAReturnedJobIsKept) {
  HandoverFixture fixture;
  const SubmissionId job("job");
  Actions actions;
  ReleaseJob(*fixture.node, {job, fixture.next, fixture.ViewRevision()},
             fixture.world.now, actions);
  const JobProgress progress =
      CollectSentMessages<JobProgress>(actions).at(0).second;
  actions.clear();
  HandleJobProgress(*fixture.node, fixture.next, progress, fixture.world.now,
                    actions);
  EXPECT_TRUE(CollectSentMessages<JobProgress>(actions).empty());
  EXPECT_EQ(fixture.node->scheduler.early_progress.count(job), 1U);
}

// A zone without connection to the store and the other zones must keep serving.
TEST(FleetTest, PartitionedZoneServesItsOwnCallers) {
  FleetWorld world;
  SetUpTwoZones(world);
  const auto is_north = [](const DaemonId& id) {
    return id.value.compare(0, 5, "north") == 0;
  };
  world.is_store_unreachable = is_north;
  world.is_partitioned = [&](const DaemonId& a, const DaemonId& b) {
    return is_north(a) != is_north(b);
  };
  world.RunFor({3'000});
  world.Submit("north0", "cut", 2, {100});
  world.Submit("south0", "rest", 2, {100});
  world.RunFor({400});
  EXPECT_EQ(world.results["cut"], JobResult::kCompleted);
  EXPECT_EQ(world.results["rest"], JobResult::kCompleted);
}

// A daemon whose store item has expired is no longer a member, but the
// schedulers must still accept its jobs.
TEST(FleetTest, DaemonWithoutStoreStillServesJobs) {
  FleetWorld world;
  SetUpTwoZones(world);
  const std::string other = OtherDaemonInZone(world.OwnerOf("north"));
  world.is_store_unreachable = [&other](const DaemonId& id) {
    return id.value == other;
  };
  world.RunFor({4'000});
  EXPECT_EQ(
      world.Node(world.OwnerOf("south")).view.members.count(DaemonId(other)),
      0U);
  world.Submit(other, "job", 2, {100});
  world.RunFor({400});
  EXPECT_EQ(world.results["job"], JobResult::kCompleted);
}

// The store may lose the items of all daemons at once while they run. If the
// schedulers released their endpoints then, running jobs would be lost or
// started a second time.
TEST(FleetTest, JobsCompleteWhenTheStoreDropsAllItems) {
  FleetWorld world;
  SetUpTwoZones(world);
  for (int i = 0; i < 6; ++i)
    world.Submit(i % 2 == 0 ? "north0" : "north1", "job" + std::to_string(i), 1,
                 {500});
  world.RunFor({100});
  world.RemoveAllMembers();
  world.RunFor({1'300});
  for (int i = 0; i < 6; ++i)
    EXPECT_EQ(world.results["job" + std::to_string(i)], JobResult::kCompleted);
  EXPECT_TRUE(world.overlaps.empty());
}

// When all daemons restart, the store still has the items of their previous
// incarnations. The new incarnations must take ownership nevertheless.
TEST(FleetTest, FleetRecoversAfterAllDaemonsAreKilled) {
  FleetWorld world;
  SetUpTwoZones(world);
  for (const char* id : {"north0", "north1", "south0", "south1"})
    world.KillDaemon(id);
  world.RunFor({500});
  for (const char* id : {"north0", "north1", "south0", "south1"})
    world.StartDaemon(id, std::string(id).substr(0, 5));
  world.RunFor({2'500});
  world.Submit("north1", "job", 4, {100});
  world.RunFor({400});
  EXPECT_EQ(world.results["job"], JobResult::kCompleted);
}

// Random kills, restarts, partitions, store outages and pauses of daemons while
// jobs are sent. No task may have two runs at the same time, and all daemons
// must serve jobs again at the end.
TEST(FleetTest, RandomFaultsCauseNoDuplicateRuns) {
  for (uint32_t seed = 1; seed <= 8; ++seed) {
    FleetWorld world;
    SetUpTwoZones(world);
    std::mt19937 random(seed);
    const std::vector<std::string> ids = {"north0", "north1", "south0",
                                          "south1"};
    std::set<std::string> killed;
    std::string partitioned_daemon;
    std::string daemon_without_store;
    world.is_partitioned = [&partitioned_daemon](const DaemonId& a,
                                                 const DaemonId& b) {
      return a.value == partitioned_daemon || b.value == partitioned_daemon;
    };
    world.is_store_unreachable = [&](const DaemonId& id) {
      return id.value == daemon_without_store || id.value == partitioned_daemon;
    };
    int sent = 0;
    for (int round = 0; round < 300; ++round) {
      const std::string chosen_daemon = ids[random() % ids.size()];
      if (round % 15 == 0) {
        const uint32_t fault = random() % 6;
        if (fault == 0 && killed.size() < 2 &&
            killed.insert(chosen_daemon).second)
          world.KillDaemon(chosen_daemon);
        else if (fault == 1 && killed.count(chosen_daemon) == 0)
          world.paused_daemons = {chosen_daemon};
        else if (fault == 2)
          partitioned_daemon = chosen_daemon;
        else if (fault == 3)
          daemon_without_store = chosen_daemon;
        else if (fault == 4)
          world.paused_daemons.clear();
        else
          partitioned_daemon.clear();
      }
      if (round % 40 == 39) {
        for (const std::string& id : std::set<std::string>(killed))
          world.StartDaemon(id, id.substr(0, 5));
        killed.clear();
      }
      const std::string receiver = ids[random() % ids.size()];
      if (killed.count(receiver) == 0 &&
          world.paused_daemons.count(receiver) == 0)
        world.Submit(receiver, "job" + std::to_string(sent++), 1 + random() % 4,
                     {50 + static_cast<int64_t>(random() % 500)});
      world.RunFor({40});
    }
    world.paused_daemons.clear();
    partitioned_daemon.clear();
    daemon_without_store.clear();
    for (const std::string& id : killed)
      world.StartDaemon(id, id.substr(0, 5));
    world.RunFor({4'000});
    EXPECT_TRUE(world.overlaps.empty()) << "seed " << seed;
    for (const std::string& id : ids)
      world.Submit(id, "last-" + id, 2, {100});
    world.RunFor({600});
    for (const std::string& id : ids)
      EXPECT_EQ(world.results["last-" + id], JobResult::kCompleted)
          << id << " seed " << seed;
  }
}

}  // namespace
}  // namespace dogwoodfall
