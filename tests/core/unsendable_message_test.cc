#include <gtest/gtest.h>

#include <string>
#include <variant>

#include "fleet_world.h"

namespace dogwoodfall {
namespace {

// A job can't be encoded for its scheduler. It must be refused at once, and the
// link must carry the next jobs.
TEST(UnsendableMessageTest, JobThatCannotBeSentIsRefusedAndBlocksNoOther) {
  FleetWorld world;
  SetUpTwoZones(world);
  const std::string receiver = OtherDaemonInZone(world.OwnerOf("north"));
  world.is_frame_sendable = [](const PeerFrame& frame) {
    const auto* submission =
        frame.message ? std::get_if<JobSubmission>(&*frame.message) : nullptr;
    return submission == nullptr ||
           submission->job.id != SubmissionId("unsendable");
  };
  world.Submit(receiver, "unsendable", 1, {100});
  ASSERT_EQ(world.results.count("unsendable"), 1U);
  EXPECT_EQ(world.results.at("unsendable"), JobResult::kRefused);
  world.Submit(receiver, "next", 1, {100});
  world.RunFor({300});
  ASSERT_EQ(world.results.count("next"), 1U);
  EXPECT_EQ(world.results.at("next"), JobResult::kCompleted);
}

}  // namespace
}  // namespace dogwoodfall
