#include <gtest/gtest.h>

#include <string>

#include "core/fleet/fleet_view.h"
#include "core/scheduling/job_flow.h"
#include "fleet_world.h"

namespace dogwoodfall {
namespace {

constexpr Millis kRetransmitAfter{1'300};
constexpr Millis kRunTime{300};

bool IsInNorth(const DaemonId& daemon) {
  return daemon.value.rfind("north", 0) == 0;
}

/** Two zones of a fleet so large that receivers send no heartbeats to the
 * schedulers of the other zone. A job of the north has been forwarded to the
 * south before it started, and its scheduler there may start nothing for a
 * while.
 */
struct ForwardedJobFixture {
  ForwardedJobFixture() {
    for (const char* zone : {"north", "south"}) {
      for (int i = 0; i < 7; ++i)
        this->world.StartDaemon(zone + std::to_string(i), zone);
      for (int i = 0; i < 8; ++i)
        this->world.AddEndpoint(zone + ("-e" + std::to_string(i)), zone);
    }
    this->world.RunFor({3'000});
    const FleetView& view = this->world.Node("north0").view;
    this->scheduler = OwnerOfGroup(view, this->group)->address.id.value;
    for (int i = 0; i < 7; ++i) {
      const std::string id = "north" + std::to_string(i);
      if (!IsOwnerCandidate(view, DaemonId(id)))
        (this->receiver.empty() ? this->receiver : this->next_receiver) = id;
    }
  }

  /** Sends a job to its receiver, which is told to forward it. */
  void ForwardJob(const std::string& job = "job", Millis run_time = kRunTime) {
    const FleetView& view = this->world.Node("north0").view;
    const EndpointGroup home =
        GroupOfJob(view, ZoneId("north"), SubmissionId(job));
    this->first_scheduler = OwnerOfGroup(view, home)->address.id.value;
    this->BlockStarts(this->first_scheduler, {5'000});
    this->caller = this->world.Submit(this->receiver, job, 1, run_time);
    this->world.RunFor({10});
    FleetNode& node = this->world.Node(this->first_scheduler);
    ASSERT_TRUE(RemoveJob(node.scheduler, SubmissionId(job)));
    this->BlockStarts(this->first_scheduler, {});
    JobRedirect redirect;
    redirect.job = SubmissionId(job);
    redirect.to = DaemonId(this->scheduler);
    redirect.group = this->group;
    redirect.view_revision = node.view.revision;
    redirect.is_spillover = true;
    redirect.submission_sent_at = this->world.Node(this->receiver)
                                      .reception.pending.at(redirect.job)
                                      .assigned_at;
    this->world.SendMessage(this->first_scheduler, this->receiver, redirect);
    this->world.RunFor({10});
  }

  void BlockStarts(const std::string& daemon, Millis duration) {
    this->world.Node(daemon).scheduler.starts_blocked_until =
        this->world.now + duration;
  }

  void RepeatJob() {
    this->world.Submit(this->next_receiver, "job", 1, kRunTime);
    this->world.RunFor({1'000});
  }

  size_t CountStartsInSouth() const {
    size_t starts = 0;
    for (const auto& [id, endpoint] : this->world.endpoints)
      starts += endpoint.entry.zone == ZoneId("south") ? endpoint.starts : 0;
    return starts;
  }

  FleetWorld world;
  const EndpointGroup group{ZoneId("south"), 0};
  std::string receiver;
  std::string next_receiver;
  std::string first_scheduler;
  std::string scheduler;
  CallerToken caller;
};

TEST(LostReceiverTest, ForwardedJobOfAKilledReceiverRunsBesideNoRepeat) {
  ForwardedJobFixture fixture;
  FleetWorld& world = fixture.world;
  fixture.BlockStarts(fixture.scheduler, {1'150});
  fixture.ForwardJob();
  // The south does not learn of the loss from the store, nor the north of the
  // job from heartbeats.
  world.is_store_unreachable = [](const DaemonId&) { return true; };
  world.is_partitioned = [](const DaemonId& from, const DaemonId& to) {
    return !IsInNorth(from) && IsInNorth(to);
  };
  world.KillDaemon(fixture.receiver);
  world.RunFor(kRetransmitAfter);
  fixture.RepeatJob();
  EXPECT_TRUE(world.overlaps.empty());
  EXPECT_EQ(world.results.at("job"), JobResult::kCompleted);
}

TEST(LostReceiverTest, ForwardedJobWhoseWithdrawalIsStuckRunsBesideNoRepeat) {
  ForwardedJobFixture fixture;
  FleetWorld& world = fixture.world;
  fixture.BlockStarts(fixture.scheduler, {1'150});
  fixture.ForwardJob();
  world.is_partitioned = [&fixture](const DaemonId& from, const DaemonId& to) {
    return (!IsInNorth(from) && IsInNorth(to)) ||
           from.value == fixture.receiver;
  };
  world.Disconnect(fixture.receiver, fixture.caller);
  world.RunFor(kRetransmitAfter);
  fixture.RepeatJob();
  EXPECT_TRUE(world.overlaps.empty());
  EXPECT_EQ(world.results.at("job"), JobResult::kCompleted);
}

// No earlier message of its receiver tells the usual latency.
TEST(LostReceiverTest, FirstSubmissionOfAReceiverIsNotStartedWhenItIsLate) {
  ForwardedJobFixture fixture;
  FleetWorld& world = fixture.world;
  bool is_cut = true;
  world.is_partitioned = [&](const DaemonId& from, const DaemonId& to) {
    return is_cut && from.value == fixture.receiver && !IsInNorth(to);
  };
  fixture.ForwardJob();
  world.Disconnect(fixture.receiver, fixture.caller);
  world.RunFor(kRetransmitAfter);
  is_cut = false;
  fixture.RepeatJob();
  EXPECT_EQ(fixture.CountStartsInSouth(), 0U);
}

// The first message makes no latency known when it was held back as well.
TEST(LostReceiverTest, SecondSubmissionOfAReceiverIsNotStartedWhenBothAreLate) {
  ForwardedJobFixture fixture;
  FleetWorld& world = fixture.world;
  world.message_delay = [&](const DaemonId& from, const DaemonId& to) {
    return from.value == fixture.receiver && !IsInNorth(to) ? Millis{1'295}
                                                            : Millis();
  };
  fixture.ForwardJob("first");
  fixture.ForwardJob();
  world.is_store_unreachable = [](const DaemonId&) { return true; };
  world.is_partitioned = [](const DaemonId& from, const DaemonId& to) {
    return !IsInNorth(from) && IsInNorth(to);
  };
  world.KillDaemon(fixture.receiver);
  world.RunFor(kRetransmitAfter);
  fixture.RepeatJob();
  EXPECT_TRUE(world.overlaps.empty());
  EXPECT_EQ(fixture.CountStartsInSouth(), 0U);
}

TEST(LostReceiverTest, FirstSubmissionOfAReceiverStartsAtOnce) {
  for (int64_t phase = 0; phase < 200; phase += 5) {
    ForwardedJobFixture fixture;
    fixture.world.RunFor({phase});
    fixture.ForwardJob();
    EXPECT_EQ(fixture.CountStartsInSouth(), 1U) << phase;
  }
}

// The next scheduler gets the job as the first message of its receiver.
TEST(LostReceiverTest, PlannedStopOfASchedulerOfAnotherZoneCutsNoRunOff) {
  for (int64_t wait_ms = 60; wait_ms < 160; wait_ms += 5) {
    ForwardedJobFixture fixture;
    FleetWorld& world = fixture.world;
    fixture.ForwardJob("job", {700});
    world.RunFor({wait_ms});
    ASSERT_EQ(world.CountRuns("job"), 1U);
    world.StopDaemon(fixture.scheduler);
    world.RunFor({1'600 - wait_ms});
    EXPECT_EQ(fixture.CountStartsInSouth(), 1U) << wait_ms;
    EXPECT_EQ(world.results["job"], JobResult::kCompleted) << wait_ms;
  }
}

// The store can't evict the scheduler, so that nobody takes its jobs over.
TEST(LostReceiverTest, PausedSchedulerGivesNoJobUpWhoseReceiverWaits) {
  for (const int64_t pause_ms : {600, 800, 1'000, 1'200}) {
    for (int64_t phase = 0; phase < 20; ++phase) {
      FleetWorld world;
      SetUpTwoZones(world);
      const std::string owner = world.OwnerOf("north");
      world.RunFor({phase});
      world.is_store_unreachable = [](const DaemonId&) { return true; };
      world.Submit(OtherDaemonInZone(owner), "job", 1, {300});
      world.RunFor({50});
      world.paused_daemons.insert(owner);
      world.RunFor({pause_ms});
      world.paused_daemons.clear();
      world.RunFor({1'600 - pause_ms});
      EXPECT_EQ(world.results["job"], JobResult::kCompleted) << pause_ms;
    }
  }
}

// The request has waited while its receiver was paused.
TEST(LostReceiverTest, RequestOfAPausedReceiverRunsBesideNoRepeat) {
  for (const int64_t pause_ms : {700, 850, 1'000, 1'150}) {
    FleetWorld world;
    SetUpTwoZones(world);
    world.paused_daemons.insert("north0");
    world.RunFor({10});
    world.Submit("north0", "job", 1, {800});
    world.RunFor({pause_ms});
    world.paused_daemons.clear();
    world.RunFor(kRetransmitAfter - Millis{pause_ms});
    world.Submit("south0", "job", 1, {800});
    world.RunFor({1'200});
    EXPECT_TRUE(world.overlaps.empty()) << pause_ms;
    EXPECT_EQ(world.results.at("job"), JobResult::kCompleted) << pause_ms;
  }
}

}  // namespace
}  // namespace dogwoodfall
