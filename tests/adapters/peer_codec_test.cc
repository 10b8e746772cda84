#include "adapters/peers/peer_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cmath>
#include <cstring>
#include <nlohmann/json.hpp>
#include <string>

#include "platform/item_codec.h"

namespace dogwoodfall {
namespace {

PeerFrame MakeSampleFrame() {
  TaskAssignment assignment;
  assignment.submission = SubmissionId("m1.north.d1.5.6.7");
  assignment.customer = CustomerId("wharf");
  assignment.task.id = TaskId("t1");
  assignment.task.payload = "payload";
  assignment.first_attempt = Attempt(3);
  assignment.time_left = {1'234};
  PeerFrame frame;
  frame.from = {DaemonId("d1"), Incarnation(5)};
  frame.to = {DaemonId("d2"), Incarnation(6)};
  frame.sequence = 9;
  frame.acknowledged = 4;
  frame.message = TaskBatch{{assignment, assignment}};
  return frame;
}

TEST(PeerCodecTest, FrameRoundTrips) {
  const std::string bytes = EncodeFrame(MakeSampleFrame());
  const std::optional<PeerFrame> frame = DecodeFrame(bytes);
  ASSERT_TRUE(frame.has_value());
  EXPECT_EQ(EncodeFrame(*frame), bytes);
  EXPECT_EQ(std::get<TaskBatch>(*frame->message).tasks[1].time_left,
            Millis{1'234});
}

TEST(PeerCodecTest, HeartbeatRoundTrips) {
  Heartbeat heartbeat;
  heartbeat.from = {DaemonId("d1"), Incarnation(5)};
  heartbeat.draining = true;
  heartbeat.leaving_endpoints = {EndpointId("e1"), EndpointId("e2")};
  heartbeat.demands = {{CustomerId("wharf"), 2, 3}};
  heartbeat.acknowledged_jobs = {SubmissionId("job")};
  const std::string bytes = EncodeHeartbeat(heartbeat);
  const std::optional<Heartbeat> decoded = DecodeHeartbeat(bytes);
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(EncodeHeartbeat(*decoded), bytes);
}

TEST(PeerCodecTest, LostEndpointsReportRoundTrips) {
  PeerFrame frame = MakeSampleFrame();
  frame.message = LostEndpointsReport{SubmissionId("job"),
                                      {{1, 2, {{EndpointId("e1"), 5}}, true}},
                                      {{EndpointId("e2"), 6}}};
  const std::string bytes = EncodeFrame(frame);
  const std::optional<PeerFrame> decoded = DecodeFrame(bytes);
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(EncodeFrame(*decoded), bytes);
  const auto& report = std::get<LostEndpointsReport>(*decoded->message);
  EXPECT_EQ(report.answered_again,
            (std::vector<EndpointIncarnation>{{EndpointId("e2"), 6}}));
  EXPECT_EQ(report.tasks[0].endpoints[0].started_at_ms, 5);
  EXPECT_TRUE(report.tasks[0].is_given_up);
}

// Guards against a message that fills the receiver's state: too many pairs, and
// ratios that are no numbers, are rejected.
TEST(PeerCodecTest, InterferenceNoticeRoundTripsAndIsBounded) {
  PeerFrame frame = MakeSampleFrame();
  InterferenceNotice notice{{{"a", "b", 0.4, 57}}};
  frame.message = notice;
  const std::string bytes = EncodeFrame(frame);
  const std::optional<PeerFrame> decoded = DecodeFrame(bytes);
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(EncodeFrame(*decoded), bytes);
  const auto& pair = std::get<InterferenceNotice>(*decoded->message).pairs[0];
  EXPECT_EQ(pair.neighbour, "b");
  EXPECT_EQ(pair.runs, 57U);

  const double ratio = 0.4;
  const double no_number = std::nan("");
  std::string encoded(sizeof(ratio), '\0');
  std::memcpy(encoded.data(), &ratio, sizeof(ratio));
  const size_t position = bytes.find(encoded);
  ASSERT_NE(position, std::string::npos);
  std::memcpy(encoded.data(), &no_number, sizeof(no_number));
  std::string invalid = bytes;
  invalid.replace(position, encoded.size(), encoded);
  EXPECT_FALSE(DecodeFrame(invalid).has_value());

  // The limits are checked in both directions by the same code.
  notice.pairs.assign(kMaxNoticePairs, notice.pairs.front());
  frame.message = notice;
  EXPECT_TRUE(DecodeFrame(EncodeFrame(frame)).has_value());
  notice.pairs.push_back(notice.pairs.front());
  frame.message = notice;
  EXPECT_ANY_THROW(EncodeFrame(frame));
}

// Whatever stretch the store may hold, messages with it can be sent.
TEST(PeerCodecTest, RoutesOfTheStoreCanBeSentToPeers) {
  for (const char* stretch : {"2000", "1000000", "-0.5", "-1000000"}) {
    const RouteTable table = DecodeRoutes(nlohmann::json::parse(
        std::string(R"({"version":1,"routes":[{"name":"r","host":"h",)") +
        R"("prefix":"/p/","service":"s","stretch":)" + stretch + "}]}"));
    PeerFrame frame;
    frame.message = RoutesNotice{table};
    EXPECT_TRUE(DecodeFrame(EncodeFrame(frame)).has_value()) << stretch;
    JobSubmission submission;
    submission.job.stretch = table.routes.at(0).stretch;
    frame.message = submission;
    EXPECT_TRUE(DecodeFrame(EncodeFrame(frame)).has_value()) << stretch;
  }
}

// Guards against a decoder that reads past the end of a frame, or that accepts
// a part of one.
TEST(PeerCodecTest, RejectsTruncatedFramesAndTrailingBytes) {
  const std::string bytes = EncodeFrame(MakeSampleFrame());
  for (size_t size = 0; size < bytes.size(); ++size)
    EXPECT_FALSE(DecodeFrame(bytes.substr(0, size)).has_value()) << size;
  EXPECT_FALSE(DecodeFrame(bytes + "x").has_value());
}

TEST(PeerCodecTest, RejectsOtherVersions) {
  std::string bytes = EncodeFrame(MakeSampleFrame());
  constexpr size_t kVersionOffset = 4;
  ++bytes[kVersionOffset];
  EXPECT_FALSE(DecodeFrame(bytes).has_value());
}

// Guards against a decoder that reserves memory for the element count that a
// frame claims: at least 2 GB here.
TEST(PeerCodecTest, HugeElementCountsCauseNoLargeAllocation) {
  const std::string frame = EncodeFrame(MakeSampleFrame());
  // Any four bytes may be an element count.
  for (size_t position = 6; position + 4 <= frame.size(); ++position) {
    std::string bytes = frame;
    bytes.replace(position, 4, "\xff\xff\xff\x7f");
    (void)DecodeFrame(bytes);
  }
}

TEST(PeerCodecTest, MutatedFramesAreRejectedOrRoundTrip) {
  const std::string valid_bytes = EncodeFrame(MakeSampleFrame());
  EXPECT_TRUE(rc::check("mutated frames", [&valid_bytes] {
    std::string bytes = valid_bytes;
    const auto mutations =
        *rc::gen::container<std::vector<std::pair<uint16_t, char>>>(
            rc::gen::arbitrary<std::pair<uint16_t, char>>());
    for (const auto& [position, value] : mutations)
      bytes[position % bytes.size()] = value;
    const std::optional<PeerFrame> frame = DecodeFrame(bytes);
    // An accepted frame was decoded completely: it encodes to the same bytes.
    if (frame)
      RC_ASSERT(EncodeFrame(*frame) == bytes);
  }));
}

}  // namespace
}  // namespace dogwoodfall
