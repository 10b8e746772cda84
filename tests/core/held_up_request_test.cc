#include <gtest/gtest.h>

#include <set>
#include <string>

#include "fleet_world.h"

namespace dogwoodfall {
namespace {

constexpr Millis kRetransmitAfter{1'300};
constexpr Millis kRunTime{1'200};

/** Two zones with daemons that are cut off from all others and from the store.
 * A request is sent as the cut begins, and read when it ends.
 */
struct CutOffReceiverFixture {
  CutOffReceiverFixture() {
    SetUpTwoZones(this->world);
    this->world.is_partitioned = [this](const DaemonId& a, const DaemonId& b) {
      return this->cut_off.count(a.value) != this->cut_off.count(b.value);
    };
    this->world.is_store_unreachable = [this](const DaemonId& daemon) {
      return this->cut_off.count(daemon.value) > 0;
    };
  }

  /** Plays a cut. Its caller has lost the connection at once, which the
   * receiver doesn't notice.
   */
  void Play(const std::set<std::string>& daemons,
            const std::string& receiver,
            Millis duration) {
    this->cut_off = daemons;
    this->world.RunFor(duration);
    this->cut_off.clear();
    this->world.Submit(receiver, "job", 1, kRunTime);
    this->world.RunFor(kRetransmitAfter - duration);
    this->runs_before_repeat = this->world.CountRuns("job");
    this->world.Submit("north0", "job", 1, kRunTime);
    this->world.RunFor({1'800});
  }

  FleetWorld world;
  std::set<std::string> cut_off;
  size_t runs_before_repeat = 0;
};

// The repeat finds the job by its announcement or at its scheduler.
TEST(HeldUpRequestTest, RequestOfAShortCutRunsBesideNoRepeat) {
  for (const int64_t cut_ms : {150, 200, 400, 500}) {
    CutOffReceiverFixture fixture;
    const std::string owner = fixture.world.OwnerOf("south");
    const std::string receiver = OtherDaemonInZone(owner);
    fixture.Play({receiver}, receiver, {cut_ms});
    EXPECT_TRUE(fixture.world.overlaps.empty()) << cut_ms;
    EXPECT_EQ(fixture.runs_before_repeat, 1U) << cut_ms;
    EXPECT_EQ(fixture.world.results["job"], JobResult::kCompleted) << cut_ms;
  }
}

// Its age counts from its reading, so it is not announced before the repeat.
TEST(HeldUpRequestTest, RequestOfACutOffReceiverRunsBesideNoRepeat) {
  for (const int64_t cut_ms : {700, 850, 1'000, 1'150, 1'250}) {
    CutOffReceiverFixture fixture;
    const std::string owner = fixture.world.OwnerOf("south");
    const std::string receiver = OtherDaemonInZone(owner);
    fixture.Play({receiver}, receiver, {cut_ms});
    EXPECT_TRUE(fixture.world.overlaps.empty()) << cut_ms;
    EXPECT_EQ(fixture.world.results["job"], JobResult::kCompleted) << cut_ms;
  }
}

TEST(HeldUpRequestTest, RequestOfACutOffSchedulerRunsBesideNoRepeat) {
  for (const int64_t cut_ms : {700, 850, 1'000, 1'150, 1'250}) {
    CutOffReceiverFixture fixture;
    const std::string owner = fixture.world.OwnerOf("south");
    fixture.Play({owner}, owner, {cut_ms});
    EXPECT_TRUE(fixture.world.overlaps.empty()) << cut_ms;
    EXPECT_EQ(fixture.world.results["job"], JobResult::kCompleted) << cut_ms;
  }
}

// Daemons of its own zone still reach the receiver.
TEST(HeldUpRequestTest, RequestOfACutOffZoneRunsBesideNoRepeat) {
  for (const int64_t cut_ms : {700, 850, 1'000, 1'150, 1'250}) {
    CutOffReceiverFixture fixture;
    fixture.Play({"south0", "south1"}, "south0", {cut_ms});
    EXPECT_TRUE(fixture.world.overlaps.empty()) << cut_ms;
    EXPECT_EQ(fixture.world.results["job"], JobResult::kCompleted) << cut_ms;
  }
}

// Retransmissions reach the receiver later than its peers do.
TEST(HeldUpRequestTest, RequestsReadSomeTimeAfterACutRunBesideNoRepeats) {
  for (const int64_t cut_ms : {700, 850, 1'000}) {
    for (const int64_t delay_ms : {50, 150, 250}) {
      for (const char* receiver : {"south0", "south1"}) {
        CutOffReceiverFixture fixture;
        FleetWorld& world = fixture.world;
        fixture.cut_off = {receiver};
        world.RunFor({cut_ms});
        fixture.cut_off.clear();
        world.RunFor({delay_ms});
        world.Submit(receiver, "first", 1, kRunTime);
        world.RunFor({20});
        world.Submit(receiver, "second", 1, kRunTime);
        world.RunFor(kRetransmitAfter - Millis{cut_ms + delay_ms + 20});
        world.Submit("north0", "first", 1, kRunTime);
        world.Submit("north1", "second", 1, kRunTime);
        world.RunFor({1'800});
        EXPECT_TRUE(world.overlaps.empty()) << cut_ms << " " << delay_ms;
        for (const char* job : {"first", "second"}) {
          EXPECT_EQ(world.results[job], JobResult::kCompleted)
              << cut_ms << " " << delay_ms << " " << receiver << " " << job;
        }
      }
    }
  }
}

/** Time from the sending of a job to its start on a quiet network. */
constexpr Millis kStartTime{40};

// Later, the other zone takes over the endpoints.
TEST(HeldUpRequestTest, CallersWhoReachACutOffZoneDoNotWait) {
  CutOffReceiverFixture fixture;
  FleetWorld& world = fixture.world;
  fixture.cut_off = {"south0", "south1"};
  for (int i = 0; i < 7; ++i) {
    const std::string job = "job" + std::to_string(i);
    world.Submit("south0", job, 1, {100});
    world.RunFor(kStartTime);
    EXPECT_EQ(world.CountRuns(job), 1U) << i;
    world.RunFor(Millis{200} - kStartTime);
    EXPECT_EQ(world.results[job], JobResult::kCompleted) << i;
  }
}

TEST(HeldUpRequestTest, RareCallerOfACutOffZoneIsServed) {
  CutOffReceiverFixture fixture;
  FleetWorld& world = fixture.world;
  fixture.cut_off = {"south0", "south1"};
  world.RunFor({1'200});
  world.Submit("south0", "job", 1, {300});
  world.RunFor({600});
  EXPECT_EQ(world.results["job"], JobResult::kCompleted);
}

TEST(HeldUpRequestTest, JobOfAQuietDaemonStartsAtOnce) {
  for (const char* receiver : {"north0", "north1", "south0", "south1"}) {
    CutOffReceiverFixture fixture;
    fixture.world.RunFor({5'000});
    fixture.world.Submit(receiver, "job", 1, kRunTime);
    fixture.world.RunFor(kStartTime);
    EXPECT_EQ(fixture.world.CountRuns("job"), 1U) << receiver;
  }
}

// It is announced before its start, as it may have been held up.
TEST(HeldUpRequestTest, RequestReadAfterALongCutIsNotRefused) {
  for (const char* receiver : {"south0", "south1"}) {
    CutOffReceiverFixture fixture;
    fixture.cut_off = {"south0", "south1"};
    fixture.world.RunFor({1'200});
    fixture.cut_off.clear();
    fixture.world.Submit(receiver, "job", 1, {300});
    fixture.world.RunFor({900});
    EXPECT_EQ(fixture.world.results["job"], JobResult::kCompleted) << receiver;
  }
}

}  // namespace
}  // namespace dogwoodfall
