#include "core/dispatch/endpoint_pool.h"

#include <gtest/gtest.h>

#include "core/dispatch/fair_queue.h"

namespace dogwoodfall {
namespace {

// A pool may lose its only endpoint to ejection, so that its tasks go to other
// daemons. It must get the endpoint back with one task after the first pause.
TEST(EndpointPoolTest, OnlyEndpointReturnsAfterItsPause) {
  EndpointPool pool;
  EndpointMember member;
  member.id = EndpointId("e0");
  member.slots = 8;
  SetOwnedEndpoints(pool, {member});
  const EjectionLimits limits;
  const Millis now{1'000};
  for (uint32_t i = 0; i < limits.failures_in_row; ++i)
    RecordFailure(pool, pool.endpoints.at(member.id), limits, now);
  EXPECT_EQ(FreeSlots(pool, now), 0U);
  EXPECT_EQ(FreeSlots(pool, now + limits.initial_pause), 1U);
}

// A paused task is removed and paused again. It must not resume at the end of
// its first pause.
TEST(FairQueueTest, TaskPausedAgainResumesAtItsLastEnd) {
  FairQueue queue;
  QueuedTask task;
  PushPaused(queue, task, {1'000});
  Remove(queue, KeyOf(task));
  PushPaused(queue, task, {5'000});
  ResumePausedTasks(queue, {2'000});
  EXPECT_EQ(queue.paused.size(), 1U);
  ResumePausedTasks(queue, {5'000});
  EXPECT_TRUE(queue.paused.empty());
}

}  // namespace
}  // namespace dogwoodfall
