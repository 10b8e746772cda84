#include <gtest/gtest.h>

#include <string>
#include <variant>

#include "core/fleet/handover_flow.h"
#include "core/fleet/reception_flow.h"
#include "core/scheduling/job_flow.h"
#include "fleet_world.h"

namespace dogwoodfall {
namespace {

uint64_t CountStarts(const FleetWorld& world) {
  uint64_t starts = 0;
  for (const auto& [id, endpoint] : world.endpoints)
    starts += endpoint.starts;
  return starts;
}

// The messages of the owner arrive late, so that it is replaced while it still
// works: both sides act for a while. No task may run twice at a time.
TEST(LateMessagesTest, OwnerWithDelayedMessagesCausesNoDuplicateRuns) {
  for (const int64_t delay_ms : {50, 200, 450, 700, 1'200, 2'500, 5'000}) {
    for (const bool delays_commands : {false, true}) {
      for (int64_t offset_ms = 0; offset_ms < 250; offset_ms += 50) {
        FleetWorld world;
        SetUpTwoZones(world);
        const std::string owner = world.OwnerOf("north");
        const std::string other = OtherDaemonInZone(owner);
        bool is_delayed = false;
        world.message_delay = [&](const DaemonId& from, const DaemonId&) {
          return Millis{is_delayed && from.value == owner ? delay_ms : 0};
        };
        world.command_delay = [&](const DaemonId& from) {
          const bool is_slow =
              is_delayed && delays_commands && from.value == owner;
          return Millis{is_slow ? delay_ms : 0};
        };
        for (int i = 0; i < 8; ++i) {
          world.Submit(i % 2 == 0 ? owner : other, "job" + std::to_string(i), 2,
                       {250});
          world.RunFor({15});
        }
        world.RunFor({offset_ms});
        is_delayed = true;
        for (int i = 0; i < 30; ++i) {
          world.Submit(i % 2 == 0 ? owner : other, "late" + std::to_string(i),
                       1, {250});
          world.RunFor({50});
        }
        is_delayed = false;
        world.RunFor({6'500});
        EXPECT_TRUE(world.overlaps.empty())
            << delay_ms << " " << delays_commands << " " << offset_ms;
      }
    }
  }
}

// A job is sent again to another daemon after 1,300 ms, while the messages of
// its first scheduler are late.
TEST(LateMessagesTest, RepeatedJobsWithLateMessagesCauseNoDuplicateRuns) {
  for (const int64_t delay_ms : {300, 700, 1'200, 2'500, 5'000}) {
    for (int64_t offset_ms = 0; offset_ms < 400; offset_ms += 80) {
      FleetWorld world;
      SetUpTwoZones(world);
      const std::string owner = world.OwnerOf("north");
      const std::string other = OtherDaemonInZone(owner);
      bool is_delayed = true;
      world.message_delay = [&](const DaemonId& from, const DaemonId&) {
        return Millis{is_delayed && from.value == owner ? delay_ms : 0};
      };
      world.RunFor({offset_ms});
      for (int i = 0; i < 6; ++i)
        world.Submit(i % 2 == 0 ? owner : other, "job" + std::to_string(i), 2,
                     {400});
      world.RunFor({1'300});
      for (int i = 0; i < 6; ++i)
        world.Submit(i % 2 == 0 ? other : "south0", "job" + std::to_string(i),
                     2, {400});
      world.RunFor({700});
      is_delayed = false;
      world.RunFor({6'500});
      EXPECT_TRUE(world.overlaps.empty()) << delay_ms << " " << offset_ms;
    }
  }
}

// A daemon redirected the first submission of a job without starting it, and
// then a second submission that a third daemon may have started. It must not
// report the second one as unstarted because of its record of the first one.
TEST(LateMessagesTest, RecordOfAnEarlierSubmissionDoesNotCountAsUnstarted) {
  FleetWorld world;
  SetUpTwoZones(world);
  FleetNode& node = world.Node("north0");
  JobSubmission first;
  first.job.id = SubmissionId("job");
  RecordForwardedJob(node, first, world.Node("north1").self, world.now);
  JobSubmission second = first;
  second.may_have_started = true;
  RecordForwardedJob(node, second, world.Node("north1").self, world.now);
  Actions actions;
  ReleaseJob(node,
             {first.job.id, world.Node("south0").self, node.view.revision},
             world.now, actions);
  for (const Action& action : actions) {
    const auto* frame = std::get_if<SendFrame>(&action);
    if (frame == nullptr || !frame->frame.message)
      continue;
    EXPECT_FALSE(std::holds_alternative<JobProgress>(*frame->frame.message));
  }
}

// The answer with a run's end is lost between endpoint and scheduler. The run
// must not be repeated.
TEST(LateMessagesTest, LostAnswersOfEndpointsCauseNoSecondRun) {
  for (int64_t lost_from_ms = 0; lost_from_ms < 300; lost_from_ms += 10) {
    FleetWorld world;
    SetUpTwoZones(world);
    const std::string owner = world.OwnerOf("north");
    const Millis from = world.now + Millis{lost_from_ms};
    world.is_answer_lost = [&world, from](const EndpointCommand&) {
      return world.now >= from && world.now < from + Millis{100};
    };
    world.Submit(owner, "job", 1, {200});
    world.RunFor({1'400});
    EXPECT_EQ(world.results["job"], JobResult::kCompleted) << lost_from_ms;
    EXPECT_EQ(CountStarts(world), 1U) << lost_from_ms;
  }
}

// The caller's connection breaks after its job has run, and the caller sends
// the job again. It must get the result without another run.
TEST(LateMessagesTest, RepeatOfACompletedJobIsAnsweredWithoutARun) {
  for (const char* repeated_at : {"north0", "north1"}) {
    FleetWorld world;
    SetUpTwoZones(world);
    world.Submit("north0", "job", 2, {200});
    world.RunFor({300});
    ASSERT_EQ(world.results["job"], JobResult::kCompleted);
    world.results.clear();
    world.RunFor({1'000});
    world.Submit(repeated_at, "job", 2, {200});
    world.RunFor({100});
    EXPECT_EQ(world.results["job"], JobResult::kCompleted) << repeated_at;
    EXPECT_EQ(CountStarts(world), 2U) << repeated_at;
  }
}

}  // namespace
}  // namespace dogwoodfall
