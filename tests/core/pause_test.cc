#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <variant>

#include "core/fleet/fleet_view.h"
#include "fleet_world.h"

namespace dogwoodfall {
namespace {

template <typename Content>
bool HasEndpointCommand(const Actions& actions) {
  for (const Action& action : actions) {
    const auto* call = std::get_if<CallEndpoint>(&action);
    if (call != nullptr &&
        std::holds_alternative<Content>(call->command.command))
      return true;
  }
  return false;
}

/** Returns the call that reads what has changed in a scope by now. */
const CallKeyValue* FindConfirmation(const Actions& actions, ItemScope scope) {
  for (const Action& action : actions) {
    const auto* call = std::get_if<CallKeyValue>(&action);
    const auto* watch =
        call == nullptr ? nullptr : std::get_if<WatchItems>(&call->call);
    if (watch != nullptr && watch->scope == scope && watch->wait < Millis{10})
      return call;
  }
  return nullptr;
}

template <typename Call>
const CallKeyValue* FindStoreCall(const Actions& actions) {
  for (const Action& action : actions) {
    const auto* call = std::get_if<CallKeyValue>(&action);
    if (call != nullptr && std::holds_alternative<Call>(call->call))
      return call;
  }
  return nullptr;
}

// A daemon resumes, and its timer fires before the heartbeats are read that
// arrived during the pause. It must not evict its healthy peers.
TEST(PauseTest, ResumedDaemonEvictsNobody) {
  for (int64_t pause_ms = 300; pause_ms <= 10'000; pause_ms += 485) {
    FleetWorld world;
    SetUpTwoZones(world);
    for (const char* id : {"north0", "north1"}) {
      Actions actions;
      OnTick(world.Node(id), world.now + Millis{pause_ms}, actions);
      EXPECT_EQ(FindStoreCall<RemoveMember>(actions), nullptr)
          << id << " " << pause_ms;
    }
  }
}

// A daemon that was paused may have lost its endpoints to another daemon. It
// must not start a waiting task before the store has confirmed that they are
// still its own and has shown their present capacity.
TEST(PauseTest, ResumedDaemonStartsNothingBeforeConfirmation) {
  FleetWorld world;
  SetUpTwoZones(world);
  const std::string owner = world.OwnerOf("north");
  FleetNode& node = world.Node(owner);
  // The job waits, as one that another daemon may have started.
  TransientJob job;
  JobStep step;
  step.task_count = 1;
  step.resources = {7'000, 64, 0};
  step.declared_run_time = {100};
  job.id = SubmissionId("job");
  job.service = "service";
  job.steps = {step};
  job.max_attempts = 3;
  job.stretch = 1.6;
  job.target_latency = {9'000};
  job.time_left = {9'000};
  const Millis resumed_at = world.now + Millis{700};
  Actions actions;
  OnJob(node, resumed_at, CallerToken(1), job, std::nullopt, actions);
  EXPECT_FALSE(HasEndpointCommand<StartRun>(
      AnswerClockReadings(world, owner, actions, resumed_at)));
  const CallKeyValue* confirmation =
      FindConfirmation(actions, ItemScope::kDaemons);
  const CallKeyValue* endpoints =
      FindConfirmation(actions, ItemScope::kEndpoints);
  ASSERT_NE(confirmation, nullptr);
  ASSERT_NE(endpoints, nullptr);
  Actions tick;
  OnTick(node, resumed_at + Millis{20}, tick);
  EXPECT_FALSE(HasEndpointCommand<StartRun>(
      AnswerClockReadings(world, owner, tick, resumed_at + Millis{20})));

  const Millis confirmed_at = resumed_at + Millis{60};
  KeyValueReply reply;
  reply.outcome = KeyValueOutcome::kDone;
  reply.store_revision = node.view.revision;
  Actions confirmed;
  OnKeyValueReply(node, confirmed_at, confirmation->token, reply, confirmed);
  EXPECT_FALSE(HasEndpointCommand<StartRun>(
      AnswerClockReadings(world, owner, confirmed, confirmed_at)));
  confirmed.clear();
  OnKeyValueReply(node, confirmed_at, endpoints->token, reply, confirmed);
  EXPECT_TRUE(HasEndpointCommand<StartRun>(
      AnswerClockReadings(world, owner, confirmed, confirmed_at)));
}

// The confirmation shows that another daemon has taken over. The resumed one
// must then start nothing on its former endpoints.
TEST(PauseTest, ResumedDaemonThatWasReplacedStartsNothing) {
  FleetWorld world;
  SetUpTwoZones(world);
  const std::string owner = world.OwnerOf("north");
  FleetNode& node = world.Node(owner);
  Actions actions;
  OnTick(node, world.now + Millis{900}, actions);
  const CallKeyValue* confirmation =
      FindConfirmation(actions, ItemScope::kDaemons);
  ASSERT_NE(confirmation, nullptr);
  KeyValueReply reply;
  reply.outcome = KeyValueOutcome::kDone;
  reply.store_revision = node.view.revision + 1;
  reply.changes.push_back(MemberRemoved{node.self.id, node.view.revision + 1});
  Actions confirmed;
  OnKeyValueReply(node, world.now + Millis{910}, confirmation->token, reply,
                  confirmed);
  EXPECT_FALSE(HasEndpointCommand<StartRun>(confirmed));
  EXPECT_NE(OwnerOfGroup(node.view, {ZoneId("north"), 0})->address.id,
            node.self.id);
}

// A scheduler is paused for 0.3 to 10 s at each point of a job's life, while
// its peers may take over. No task may have two runs at a time.
TEST(PauseTest, PausedSchedulerCausesNoDuplicateRuns) {
  for (const int64_t pause_ms : {300, 450, 600, 800, 1'200, 3'000, 10'000}) {
    for (int64_t offset_ms = 0; offset_ms <= 330; offset_ms += 30) {
      FleetWorld world;
      SetUpTwoZones(world);
      const std::string owner = world.OwnerOf("north");
      const std::string other = OtherDaemonInZone(owner);
      for (int i = 0; i < 6; ++i) {
        world.Submit(i % 2 == 0 ? owner : other, "job" + std::to_string(i), 2,
                     {300});
        world.RunFor({10});
      }
      world.RunFor({offset_ms});
      world.paused_daemons = {owner};
      for (int64_t elapsed = 0; elapsed < pause_ms; elapsed += 100) {
        world.Submit(other, "during" + std::to_string(elapsed), 1, {200});
        world.RunFor({100});
      }
      world.paused_daemons.clear();
      world.RunFor({2'500});
      EXPECT_TRUE(world.overlaps.empty()) << pause_ms << " " << offset_ms;
    }
  }
}

TEST(PauseTest, PausedDaemonStartsNothingByAnOldCapacity) {
  for (int64_t delay_ms = 0; delay_ms < 2'500; delay_ms += 50) {
    FleetWorld world;
    world.StartDaemon("north0", "north");
    for (int i = 0; i < 4; ++i)
      world.AddEndpoint("north-e" + std::to_string(i), "north");
    for (auto& [id, endpoint] : world.endpoints)
      endpoint.checks_admission = false;
    world.RunFor({3'000 + delay_ms});
    world.paused_daemons.insert("north0");
    world.RunFor({10});
    for (auto& [id, endpoint] : world.endpoints)
      world.ChangeEndpointCapacity(id.value, {8'000, 64'000, 0});
    world.RunFor({5'000});
    for (int i = 0; i < 8; ++i)
      world.Submit("north0", "job" + std::to_string(i), 1, {200});
    world.paused_daemons.clear();
    for (int i = 8; i < 80; ++i) {
      world.Submit("north0", "job" + std::to_string(i), 1, {200});
      world.RunFor({10});
    }
    for (const auto& [id, endpoint] : world.endpoints)
      EXPECT_TRUE(endpoint.starts_over_capacity.empty())
          << id.value << " " << delay_ms;
  }
}

// The call of its watch has ended without an answer when it goes on.
TEST(PauseTest, PausedDaemonWhoseWatchIsLostStartsNothingByAnOldCapacity) {
  for (int64_t delay_ms = 0; delay_ms < 2'500; delay_ms += 100) {
    FleetWorld world;
    world.StartDaemon("north0", "north");
    for (int i = 0; i < 4; ++i)
      world.AddEndpoint("north-e" + std::to_string(i), "north");
    for (auto& [id, endpoint] : world.endpoints)
      endpoint.checks_admission = false;
    world.RunFor({3'000 + delay_ms});
    world.paused_daemons.insert("north0");
    bool is_cut = true;
    world.is_store_unreachable = [&is_cut](const DaemonId&) { return is_cut; };
    world.RunFor({10});
    for (auto& [id, endpoint] : world.endpoints)
      world.ChangeEndpointCapacity(id.value, {8'000, 64'000, 0});
    world.RunFor({5'000});
    is_cut = false;
    for (int i = 0; i < 8; ++i)
      world.Submit("north0", "job" + std::to_string(i), 1, {200});
    world.paused_daemons.clear();
    for (int i = 8; i < 200; ++i) {
      world.Submit("north0", "job" + std::to_string(i), 1, {200});
      world.RunFor({10});
    }
    for (const auto& [id, endpoint] : world.endpoints)
      EXPECT_TRUE(endpoint.starts_over_capacity.empty())
          << id.value << " " << delay_ms;
  }
}

// Its scheduler takes it for lost and ends the job.
TEST(PauseTest, CallerOfAPausedReceiverIsNotKeptUntilItsTimeLimit) {
  FleetWorld world;
  SetUpTwoZones(world);
  const std::string owner = world.OwnerOf("north");
  const std::string receiver = OtherDaemonInZone(owner);
  world.Submit(receiver, "job", 1, {700});
  world.RunFor({50});
  world.paused_daemons.insert(receiver);
  world.RunFor({600});
  world.paused_daemons.clear();
  world.RunFor({100});
  EXPECT_TRUE(world.results.count("job") == 1 || world.CountRuns("job") == 1);
}

TransientJob MakeJob(const std::string& id, Millis time_left) {
  TransientJob job;
  job.id = SubmissionId(id);
  job.service = "service";
  job.steps.resize(1);
  job.steps[0].task_count = 1;
  job.time_left = time_left;
  return job;
}

/** Lets a receiver, which may own its zone's endpoints, read requests after a
 * pause whose callers have sent their jobs again to the other zone. The first
 * connections stay open.
 */
void PlayRepeatsOfRequestsToPausedReceiver(bool is_owner,
                                           bool measures_request_age,
                                           Millis pause,
                                           Millis retransmit_after) {
  constexpr int kJobs = 6;
  constexpr Millis kRunTime{900};
  FleetWorld world;
  world.measures_request_age = measures_request_age;
  SetUpTwoZones(world);
  const std::string owner = world.OwnerOf("north");
  const std::string receiver = is_owner ? owner : OtherDaemonInZone(owner);
  world.paused_daemons.insert(receiver);
  const Millis paused_at = world.now;
  std::map<Millis, std::string> repeats;
  for (int i = 0; i < kJobs; ++i) {
    const std::string job = "job" + std::to_string(i);
    world.Submit(receiver, job, 2, kRunTime);
    repeats[world.now + retransmit_after] = job;
    world.RunFor({100});
  }
  const Millis end = paused_at + pause + Millis{2'500};
  while (world.now < end) {
    if (world.now >= paused_at + pause)
      world.paused_daemons.clear();
    const auto repeat = repeats.find(world.now);
    if (repeat != repeats.end())
      world.Submit("south0", repeat->second, 2, kRunTime);
    world.RunFor({10});
  }
  EXPECT_TRUE(world.overlaps.empty())
      << "pause " << pause.count << " ms, repeats after "
      << retransmit_after.count << " ms, owner " << is_owner << ", measured "
      << measures_request_age;
}

// A receiver is paused, and its callers send their jobs again elsewhere. It
// must not have the old requests run beside their repeats, even if the first
// connections are still open.
TEST(PauseTest, RequestsThatWaitedForAPausedReceiverRunBesideNoRepeat) {
  for (const int64_t retransmit_ms : {1'300, 2'000, 2'800}) {
    for (int64_t pause_ms = 700; pause_ms <= 4'300; pause_ms += 200) {
      for (const bool is_owner : {false, true}) {
        for (const bool measures_request_age : {false, true}) {
          PlayRepeatsOfRequestsToPausedReceiver(is_owner, measures_request_age,
                                                {pause_ms}, {retransmit_ms});
        }
      }
    }
  }
}

// Refuses only the requests that are too old, and these at once.
TEST(PauseTest, RequestsOfUnknownOrHighAgeAreRefusedAndYoungOnesServed) {
  for (const bool measures_request_age : {false, true}) {
    FleetWorld world;
    world.measures_request_age = measures_request_age;
    SetUpTwoZones(world);
    const std::string receiver = OtherDaemonInZone(world.OwnerOf("north"));
    world.paused_daemons.insert(receiver);
    world.Submit(receiver, "old", 1, {100});
    world.RunFor({1'500});
    world.Submit(receiver, "young", 1, {100});
    world.RunFor({50});
    world.paused_daemons.clear();
    world.RunFor({10});
    EXPECT_EQ(world.results.at("old"), JobResult::kRefused);
    world.RunFor({300});
    EXPECT_EQ(world.results.at("young"), measures_request_age
                                             ? JobResult::kCompleted
                                             : JobResult::kRefused);
    world.Submit(receiver, "new", 1, {100});
    world.RunFor({300});
    EXPECT_EQ(world.results.at("new"), JobResult::kCompleted);
  }
}

// A receiver with a long backlog reads old requests long after a pause, or
// after another pause.
TEST(PauseTest, RequestReadLateFromABacklogIsRefused) {
  constexpr Millis kTick{20};
  for (const Millis last_read_after : {Millis{200}, Millis{500}}) {
    FleetWorld world;
    SetUpTwoZones(world);
    FleetNode& node = world.Node(OtherDaemonInZone(world.OwnerOf("north")));
    const Millis resumed_at = world.now + Millis{1'500};
    Actions actions;
    uint64_t requests = 0;
    const auto read_request = [&](Millis now) {
      ++requests;
      OnJob(node, now, CallerToken(requests),
            MakeJob("job" + std::to_string(requests), {9'000}), std::nullopt,
            actions);
    };
    for (Millis now = resumed_at; now < resumed_at + Millis{200};
         now = now + kTick) {
      OnTick(node, now, actions);
      read_request(now);
    }
    read_request(resumed_at + last_read_after);
    EXPECT_EQ(node.reception.counters
                  .answers[static_cast<size_t>(JobResult::kRefused)],
              requests)
        << last_read_after.count;
  }
}

// The submission of a job was held back until its repeat may run elsewhere. Its
// scheduler redirects it.
TEST(PauseTest, JobRedirectedAfterALongTimeIsRefused) {
  FleetWorld world;
  SetUpTwoZones(world);
  const std::string owner = world.OwnerOf("north");
  const std::string receiver = OtherDaemonInZone(owner);
  FleetNode& node = world.Node(receiver);
  Actions actions;
  OnJob(node, world.now, CallerToken(1), MakeJob("job", {9'000}), Millis(),
        actions);
  world.now = world.now + Millis{1'200};
  JobRedirect redirect;
  redirect.job = SubmissionId("job");
  redirect.to = DaemonId(owner);
  redirect.group = {ZoneId("south"), 0};
  redirect.view_revision = node.view.revision;
  const Actions reaction = Deliver(world, owner, receiver, redirect);
  EXPECT_TRUE(
      std::any_of(reaction.begin(), reaction.end(), [](const Action& action) {
        const auto* answer = std::get_if<AnswerJob>(&action);
        return answer != nullptr &&
               answer->outcome.result == JobResult::kRefused;
      }));
}

// An old request that joins a pending job must not extend the time for which
// its callers wait.
TEST(PauseTest, OldRequestForAPendingJobExtendsNoDeadline) {
  FleetWorld world;
  SetUpTwoZones(world);
  FleetNode& node = world.Node(OtherDaemonInZone(world.OwnerOf("north")));
  const TransientJob job = MakeJob("job", {1'500});
  Actions actions;
  OnJob(node, world.now, CallerToken(1), job, Millis(), actions);
  ASSERT_EQ(node.reception.pending.count(job.id), 1U);
  const Millis deadline = node.reception.pending.at(job.id).caller_deadline;
  OnJob(node, world.now + Millis{100}, CallerToken(2), job, Millis{1'400},
        actions);
  ASSERT_EQ(node.reception.pending.count(job.id), 1U);
  EXPECT_EQ(node.reception.pending.at(job.id).caller_deadline, deadline);
}

}  // namespace
}  // namespace dogwoodfall
