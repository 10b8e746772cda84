#include <gtest/gtest.h>

#include "fake_world.h"

namespace dogwoodfall {
namespace {

const CustomerId kAlpha("alpha");

class SubmissionTest : public testing::Test {
 protected:
  SubmissionTest() : world({"north", "north", "south"}, 1) {
    this->world.WaitUntilReady();
  }

  ~SubmissionTest() override {
    EXPECT_TRUE(this->world.oracle.violations.empty())
        << this->world.oracle.violations.front();
  }

  /** Returns the answer of a submission; fails the test unless there is exactly
   * one.
   */
  Answer OnlyAnswer(const SubmissionId& id) {
    const std::vector<Answer> answers =
        AnswersOf(this->world.oracle, kAlpha, id);
    EXPECT_EQ(answers.size(), 1U) << id.value;
    return answers.empty() ? Answer() : answers.front();
  }

  FakeWorld world;
};

// The job has more tasks than the endpoints have slots. All of them must
// complete, and each must start exactly once.
TEST_F(SubmissionTest, JobWithMintedIdCompletes) {
  const SubmissionId id = this->world.Mint(0);
  this->world.Submit(0, this->world.MakeSubmission(id, 30, {100}));
  this->world.Advance({3'000});
  EXPECT_EQ(this->OnlyAnswer(id).status, AnswerStatus::kComplete);
  EXPECT_EQ(StartsOf(this->world.oracle, kAlpha, id), 30U);
}

// A caller-chosen id is claimed in the store before its job starts. Guards
// against a claim that keeps the job from starting or completing.
TEST_F(SubmissionTest, JobWithChosenIdCompletes) {
  const SubmissionId id = this->world.ChosenId("job");
  this->world.Submit(2, this->world.MakeSubmission(id, 5, {100}));
  this->world.Advance({2'000});
  EXPECT_EQ(this->OnlyAnswer(id).status, AnswerStatus::kComplete);
}

// Guards against tasks that start again when a caller sends a submission
// several times, through any daemon, while it runs and after it has ended.
TEST_F(SubmissionTest, ResubmissionsThroughEveryDaemonStartNothing) {
  for (const bool is_minted : {true, false}) {
    const SubmissionId id =
        is_minted ? this->world.Mint(1) : this->world.ChosenId("again");
    const Submission job = this->world.MakeSubmission(id, 5, {200});
    for (const size_t daemon : {0, 1, 2, 0})
      this->world.Submit(daemon, job);
    this->world.Advance({2'000});
    this->world.Submit(2, job);
    this->world.Advance({2'000});
    const std::vector<Answer> answers =
        AnswersOf(this->world.oracle, kAlpha, id);
    ASSERT_EQ(answers.size(), 5U);
    for (const Answer& answer : answers)
      EXPECT_EQ(answer.status, AnswerStatus::kComplete);
    EXPECT_EQ(StartsOf(this->world.oracle, kAlpha, id), 5U);
  }
}

// A job of one task with a caller-chosen id must complete after its claim.
TEST_F(SubmissionTest, OneTaskJobWithChosenIdCompletes) {
  const SubmissionId id = this->world.ChosenId("write");
  this->world.Submit(0, this->world.MakeSubmission(id, 1, {10}));
  this->world.Advance({1'000});
  EXPECT_EQ(this->OnlyAnswer(id).status, AnswerStatus::kComplete);
}

// Minted ids need no claim, so they must be served while the store is down. A
// caller-chosen id can't be claimed then and must not start.
TEST_F(SubmissionTest, MintedIdsAreServedDuringStoreOutage) {
  this->world.SetStore(StoreMode::kDown);
  const SubmissionId minted = this->world.Mint(0);
  const SubmissionId chosen = this->world.ChosenId("out");
  this->world.Submit(0, this->world.MakeSubmission(minted, 3, {50}));
  this->world.Submit(0, this->world.MakeSubmission(chosen, 3, {50}));
  this->world.Advance({5'000});
  EXPECT_EQ(this->OnlyAnswer(minted).status, AnswerStatus::kComplete);
  EXPECT_EQ(this->OnlyAnswer(chosen).status, AnswerStatus::kPending);
  EXPECT_EQ(StartsOf(this->world.oracle, kAlpha, chosen), 0U);
}

// A claim is written, but the store's reply is lost. The daemon must read the
// claim back and start the job once, not refuse it or start it twice.
TEST_F(SubmissionTest, ClaimWithLostReplyStartsOnceAfterReadBack) {
  this->world.SetStore(StoreMode::kLoseAnswers);
  const SubmissionId id = this->world.ChosenId("lost");
  const Submission job = this->world.MakeSubmission(id, 3, {50});
  this->world.Submit(0, job);
  this->world.Advance({1'100});
  this->world.SetStore(StoreMode::kOk);
  this->world.Advance({3'000});
  this->world.Submit(1, job);
  this->world.Advance({3'000});
  EXPECT_EQ(StartsOf(this->world.oracle, kAlpha, id), 3U);
  EXPECT_EQ(AnswersOf(this->world.oracle, kAlpha, id).back().status,
            AnswerStatus::kComplete);
}

// The home dies and leaves the platform's list. No other daemon has a record of
// what was started, so the answer must be final and report "may have started".
TEST_F(SubmissionTest, GoneHomeIsAnsweredAsFailedMayHaveStarted) {
  const SubmissionId id = this->world.Mint(0);
  const Submission job = this->world.MakeSubmission(id, 4, {500});
  this->world.Submit(1, job);
  this->world.Advance({100});
  this->world.Kill(0);
  this->world.Submit(2, job);
  this->world.Advance({500});
  this->world.SetListed(0, false);
  this->world.Advance({10'000});
  this->world.Submit(2, job);
  this->world.Advance({1'000});
  const std::vector<Answer> answers = AnswersOf(this->world.oracle, kAlpha, id);
  ASSERT_EQ(answers.size(), 3U);
  EXPECT_EQ(answers.back().status, AnswerStatus::kFailed);
  EXPECT_EQ(answers.back().code, ResultCode::kHomeGone);
  EXPECT_EQ(answers.back().state, StartState::kMayHaveStarted);
}

// The home is partitioned from the receiver but may still run the job, so the
// answer must not be final.
TEST_F(SubmissionTest, UnreachableHomeIsUndecided) {
  const SubmissionId id = this->world.Mint(2);
  this->world.PartitionZone("south", false);
  this->world.Advance({3'000});
  this->world.Submit(0, this->world.MakeSubmission(id, 1, {10}));
  this->world.Advance({3'000});
  EXPECT_EQ(this->OnlyAnswer(id).status, AnswerStatus::kPending);
  EXPECT_EQ(this->OnlyAnswer(id).code, ResultCode::kHomeUnreachable);
}

// The platform's list lags: a home that started recently may be missing from it
// and must not count as gone. One that started long ago and is missing is gone.
TEST_F(SubmissionTest, HomeMissingFromTheListIsUndecidedWhileRecent) {
  const auto make_id_of_home_started_at = [this](Millis started_at) {
    const DaemonRef home{DaemonId("new"),
                         Incarnation(static_cast<uint64_t>(started_at.count))};
    return FormatMintedId({ZoneId("north"), home, this->world.Now(), 1});
  };
  const SubmissionId fresh =
      make_id_of_home_started_at(this->world.Now() - Millis{1'000});
  const SubmissionId old =
      make_id_of_home_started_at(this->world.Now() - Millis{60'000});
  this->world.Submit(0, this->world.MakeSubmission(fresh, 1, {10}));
  this->world.Submit(0, this->world.MakeSubmission(old, 1, {10}));
  this->world.Advance({2'000});
  EXPECT_EQ(this->OnlyAnswer(fresh).status, AnswerStatus::kPending);
  EXPECT_EQ(this->OnlyAnswer(old).code, ResultCode::kHomeGone);
}

// The owner of some hash slots dies. The next owners must load its claims, or
// the resubmissions would start the jobs a second time.
TEST_F(SubmissionTest, ClaimsOfADeadOwnerAreInherited) {
  std::vector<SubmissionId> ids;
  for (int i = 0; i < 20; ++i) {
    ids.push_back(this->world.ChosenId("dead" + std::to_string(i)));
    this->world.Submit(1, this->world.MakeSubmission(ids.back(), 1, {10}));
  }
  this->world.Advance({1'000});
  this->world.Kill(0);
  this->world.SetListed(0, false);
  this->world.Advance({15'000});
  for (const SubmissionId& id : ids)
    this->world.Submit(2, this->world.MakeSubmission(id, 1, {10}));
  this->world.Advance({3'000});
  size_t home_gone_answers = 0;
  for (const SubmissionId& id : ids) {
    const Answer answer = AnswersOf(this->world.oracle, kAlpha, id).back();
    EXPECT_EQ(StartsOf(this->world.oracle, kAlpha, id), 1U);
    EXPECT_NE(answer.status, AnswerStatus::kPending) << id.value;
    home_gone_answers += answer.code == ResultCode::kHomeGone ? 1 : 0;
  }
  EXPECT_GT(home_gone_answers, 0U);
  EXPECT_LT(home_gone_answers, ids.size());
}

// A paused owner must not start a job after the others have taken ownership of
// its hash slots and started the job.
TEST_F(SubmissionTest, PausedOwnerIsFenced) {
  // One of the three daemons owns the hash slot. Each one is paused in turn
  // right after a submission, loses its slots to the others, and is resumed.
  for (size_t paused = 0; paused < 3; ++paused) {
    const SubmissionId id =
        this->world.ChosenId("paused" + std::to_string(paused));
    const Submission job = this->world.MakeSubmission(id, 2, {20});
    this->world.Submit(paused, job);
    this->world.Pause(paused);
    this->world.SetListed(paused, false);
    this->world.Advance({10'000});
    this->world.Submit((paused + 1) % 3, job);
    this->world.Advance({5'000});
    this->world.Resume(paused);
    this->world.SetListed(paused, true);
    this->world.Advance({10'000});
    EXPECT_LE(StartsOf(this->world.oracle, kAlpha, id), 2U);
  }
}

// The append of a claim is lost and its owner is paused. Another daemon seals
// the journal of the owner and runs the job. The retry of the append must fail
// when the owner resumes, or the job would start a second time.
TEST_F(SubmissionTest, ClaimRetryFailsAfterTheJournalWasSealed) {
  const SubmissionId id = this->world.ChosenId("fenced");
  const Submission job = this->world.MakeSubmission(id, 2, {20});
  size_t owner = 0;
  for (size_t i = 0; i < this->world.DaemonCount(); ++i) {
    ClaimRegistry& claims = this->world.NodeAt(i).claims;
    this->world.NodeAt(i).settings.claims.max_wait = {60'000};
    // Retries before peers can notify the owner that it was declared ended.
    this->world.NodeAt(i).settings.claims.retry_after = {0};
    if (claims.serving[SlotOf(claims, KeyOf(kAlpha, id))])
      owner = i;
  }
  const size_t other = (owner + 1) % this->world.DaemonCount();
  // The append is lost, the owner is paused, and its journal is sealed.
  this->world.SetStore(StoreMode::kDown);
  this->world.Submit(owner, job);
  this->world.Advance({10});
  this->world.Pause(owner);
  this->world.SetListed(owner, false);
  this->world.SetStore(StoreMode::kOk);
  this->world.Advance({15'000});
  this->world.Submit(other, job);
  this->world.Advance({2'000});
  EXPECT_EQ(StartsOf(this->world.oracle, kAlpha, id), 2U);
  this->world.Resume(owner);
  this->world.Advance({10'000});
  EXPECT_EQ(StartsOf(this->world.oracle, kAlpha, id), 2U);
  EXPECT_EQ(AnswersOf(this->world.oracle, kAlpha, id).back().code,
            ResultCode::kClaimUndecided);
}

// A graceful shutdown must complete running work, forward new submissions, and
// hand over ended ones: resubmissions get the stored answer and start nothing.
TEST_F(SubmissionTest, GracefulShutdownHandsOverAllSubmissions) {
  const SubmissionId minted = this->world.Mint(0);
  const SubmissionId running = this->world.Mint(0);
  const SubmissionId chosen = this->world.ChosenId("stop");
  this->world.Submit(0, this->world.MakeSubmission(minted, 3, {50}));
  this->world.Submit(0, this->world.MakeSubmission(chosen, 3, {50}));
  this->world.Advance({1'000});
  this->world.Submit(0, this->world.MakeSubmission(running, 20, {300}));
  this->world.Advance({50});
  this->world.Drain(0);
  this->world.Submit(0, this->world.MakeSubmission({}, 1, {10}));
  this->world.Advance({20'000});
  ASSERT_TRUE(this->world.DaemonAt(0).exited_cleanly.has_value());
  EXPECT_TRUE(*this->world.DaemonAt(0).exited_cleanly);
  this->world.SetListed(0, false);
  this->world.Advance({5'000});
  for (const SubmissionId& id : {minted, running, chosen}) {
    const size_t tasks = id == running ? 20 : 3;
    const Millis run_time{id == running ? 300 : 50};
    this->world.Submit(2, this->world.MakeSubmission(id, tasks, run_time));
    this->world.Advance({1'000});
    const std::vector<Answer> answers =
        AnswersOf(this->world.oracle, kAlpha, id);
    ASSERT_EQ(answers.size(), 2U) << id.value;
    EXPECT_EQ(answers[0].status, AnswerStatus::kComplete) << id.value;
    EXPECT_EQ(answers[1].status, AnswerStatus::kComplete)
        << id.value << " " << RowOf(answers[1].code).name;
    EXPECT_EQ(StartsOf(this->world.oracle, kAlpha, id), tasks);
  }
}

// After a cancel the answer reports "may have started", and no more tasks
// start.
TEST_F(SubmissionTest, CancelEndsAJobAndReportsItsStartState) {
  const SubmissionId id = this->world.Mint(0);
  this->world.Submit(1, this->world.MakeSubmission(id, 40, {500}));
  this->world.Advance({100});
  this->world.Cancel(2, kAlpha, id);
  this->world.Advance({200});
  const std::vector<Answer> answers = AnswersOf(this->world.oracle, kAlpha, id);
  ASSERT_EQ(answers.size(), 2U);
  EXPECT_EQ(answers[0].code, ResultCode::kCancelled);
  EXPECT_EQ(answers[0].state, StartState::kMayHaveStarted);
  const uint32_t started = StartsOf(this->world.oracle, kAlpha, id);
  this->world.Advance({5'000});
  EXPECT_EQ(StartsOf(this->world.oracle, kAlpha, id), started);
}

// Guards against cancels that do work for every queued task, which would make
// them expensive on a loaded daemon.
TEST_F(SubmissionTest, CostOfACancelDoesNotGrowWithTheQueue) {
  // The number of actions is the measure of the cost.
  const auto actions_per_cancel = [](size_t jobs) {
    FakeWorld world({"north"}, 1);
    world.WaitUntilReady();
    Node& node = world.NodeAt(0);
    std::vector<SubmissionId> ids;
    Actions actions;
    for (size_t i = 0; i < jobs; ++i) {
      ids.push_back(OnMint(node, world.Now()));
      OnSubmit(node, world.Now(), CallerToken(1'000'000 + i),
               world.MakeSubmission(ids.back(), 1, {600'000}), actions);
    }
    EXPECT_GE(SizeOf(node.dispatch.queue) + 10, jobs);
    actions.clear();
    for (const SubmissionId& id : ids)
      OnCancel(node, world.Now(), CallerToken(2'000'000), kAlpha, id, actions);
    EXPECT_EQ(SizeOf(node.dispatch.queue), 0U);
    EXPECT_TRUE(node.ledger.open_by_deadline.empty());
    return static_cast<double>(actions.size()) / static_cast<double>(jobs);
  };
  EXPECT_LE(actions_per_cancel(10'000), 1.1 * actions_per_cancel(100));
}

// One endpoint refuses all starts and another accepts no connection. No task
// has run there, so the job must complete on the others.
TEST_F(SubmissionTest, RefusedStartsAreRetriedOnOtherEndpoints) {
  this->world.SetEndpoint(0, EndpointMode::kRefuses);
  this->world.SetEndpoint(2, EndpointMode::kDown);
  const SubmissionId id = this->world.Mint(0);
  this->world.Submit(0, this->world.MakeSubmission(id, 10, {50}));
  this->world.Advance({5'000});
  EXPECT_EQ(this->OnlyAnswer(id).status, AnswerStatus::kComplete);
  EXPECT_GT(this->OnlyAnswer(id).waste.Total(), 0U);
}

// A task on a lost endpoint may have run, so a job must fail and not start the
// task again.
TEST_F(SubmissionTest, LostEndpointFailsAJobWithoutRetry) {
  for (size_t i = 0; i < this->world.EndpointCount(); ++i)
    this->world.SetEndpoint(i, EndpointMode::kLostAfterStart);
  const SubmissionId id = this->world.Mint(0);
  this->world.Submit(0, this->world.MakeSubmission(id, 1, {50}));
  this->world.Advance({5'000});
  EXPECT_EQ(this->OnlyAnswer(id).code, ResultCode::kEndpointLost);
  EXPECT_EQ(this->OnlyAnswer(id).state, StartState::kMayHaveStarted);
  EXPECT_EQ(StartsOf(this->world.oracle, kAlpha, id), 1U);
}

// An idempotent single request may run again after its endpoint is lost, but
// only a limited number of times, since the request itself may crash endpoints.
TEST_F(SubmissionTest, IdempotentSingleRequestIsRetriedUpToALimit) {
  for (size_t i = 0; i < this->world.EndpointCount(); ++i)
    this->world.SetEndpoint(i, EndpointMode::kLostAfterStart);
  const SubmissionId id = this->world.Mint(0);
  Submission request = this->world.MakeSubmission(id, 1, {50});
  request.single_request = true;
  request.tasks[0].idempotent = true;
  this->world.Submit(0, request);
  this->world.Advance({5'000});
  EXPECT_EQ(this->OnlyAnswer(id).code, ResultCode::kEndpointsLostByJob);
  EXPECT_EQ(StartsOf(this->world.oracle, kAlpha, id), 3U);
}

// A request on a lost endpoint may have run, so it must not be started again
// unless it is idempotent.
TEST_F(SubmissionTest, NonIdempotentSingleRequestRunsAtMostOnce) {
  for (size_t i = 0; i < this->world.EndpointCount(); ++i)
    this->world.SetEndpoint(i, EndpointMode::kLostAfterStart);
  const SubmissionId id = this->world.Mint(0);
  Submission request = this->world.MakeSubmission(id, 1, {50});
  request.single_request = true;
  this->world.Submit(0, request);
  this->world.Advance({5'000});
  EXPECT_EQ(StartsOf(this->world.oracle, kAlpha, id), 1U);
}

// Outputs that do not fit into one message between daemons must fail the job
// and not leave its caller without an answer.
TEST_F(SubmissionTest, OutputsTooLargeForOneAnswerFailTheJob) {
  for (size_t i = 0; i < this->world.DaemonCount(); ++i)
    this->world.NodeAt(i).settings.max_output_bytes = 100;
  const SubmissionId small = this->world.Mint(0);
  const SubmissionId large = this->world.Mint(0);
  this->world.Submit(2, this->world.MakeSubmission(small, 1, {50}));
  this->world.Submit(2, this->world.MakeSubmission(large, 10, {50}));
  this->world.Advance({5'000});
  EXPECT_EQ(this->OnlyAnswer(small).status, AnswerStatus::kComplete);
  EXPECT_EQ(this->OnlyAnswer(large).code, ResultCode::kAnswerTooLarge);
  EXPECT_EQ(this->OnlyAnswer(large).state, StartState::kStarted);
}

// One endpoint answers with the id of another task before its right answer, and
// another one sends each answer twice. The wrong answers and the second copies
// must be dropped, and the job must complete.
TEST_F(SubmissionTest, MismatchedAndDuplicateAnswersAreDropped) {
  this->world.SetEndpoint(0, EndpointMode::kAnswersForOtherTask);
  this->world.SetEndpoint(1, EndpointMode::kAnswersTwice);
  const SubmissionId id = this->world.Mint(0);
  this->world.Submit(0, this->world.MakeSubmission(id, 10, {50}));
  this->world.Advance({5'000});
  EXPECT_EQ(this->OnlyAnswer(id).status, AnswerStatus::kComplete);
}

// A job with one task that fits no endpoint must be refused as a whole, before
// any of its tasks has started.
TEST_F(SubmissionTest, JobThatFitsNoEndpointIsRefusedAtOnce) {
  const SubmissionId id = this->world.Mint(0);
  Submission job = this->world.MakeSubmission(id, 2, {50});
  job.tasks[1].declared_memory_mb = 1'000'000;
  this->world.Submit(0, job);
  this->world.Advance({100});
  EXPECT_EQ(this->OnlyAnswer(id).code, ResultCode::kNoEndpointFits);
  EXPECT_EQ(this->OnlyAnswer(id).state, StartState::kNotStarted);
}

// A customer that sends the minted id of another customer must not receive that
// customer's answer.
TEST_F(SubmissionTest, MintedIdOfAnotherCustomerIsRefused) {
  const SubmissionId id = this->world.Mint(0);
  const Submission job = this->world.MakeSubmission(id, 1, {50});
  this->world.Submit(0, job);
  this->world.Advance({1'000});
  Submission other_submission = job;
  other_submission.customer = CustomerId("beta");
  this->world.Submit(1, other_submission);
  this->world.Advance({1'000});
  const std::vector<Answer> answers =
      AnswersOf(this->world.oracle, CustomerId("beta"), id);
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_EQ(answers[0].code, ResultCode::kIdOfAnotherCustomer);
}

// Once the list marks an endpoint as leaving, it must receive no starts. The
// endpoint loses its tasks here, so any start would fail a job.
TEST_F(SubmissionTest, LeavingEndpointReceivesNoStarts) {
  this->world.SetLeaving(0);
  this->world.Advance({1'000});
  for (size_t i = 0; i < 10; ++i)
    this->world.Submit(
        0, this->world.MakeSubmission(this->world.Mint(0), 4, {50}));
  this->world.SetEndpoint(0, EndpointMode::kLostAfterStart);
  this->world.Advance({5'000});
  EXPECT_EQ(this->world.oracle.answers[ResultCode::kEndpointLost], 0U);
  EXPECT_EQ(this->world.oracle.answers[ResultCode::kOk], 10U);
}

// A restore of the store loses recent claims. Ids with timestamps around the
// restore must be refused as too old, or resubmissions would start again.
TEST_F(SubmissionTest, StoreRestoredToAnOlderStateStartsNothingAgain) {
  this->world.SaveStore();
  const SubmissionId first = this->world.ChosenId("before");
  this->world.Submit(0, this->world.MakeSubmission(first, 1, {10}));
  this->world.Advance({1'000});
  EXPECT_EQ(this->OnlyAnswer(first).status, AnswerStatus::kComplete);
  this->world.RestoreStore();
  this->world.Advance({3'000});
  const SubmissionId second = this->world.ChosenId("after");
  this->world.Submit(0, this->world.MakeSubmission(second, 1, {10}));
  this->world.Submit(1, this->world.MakeSubmission(first, 1, {10}));
  this->world.Advance({3'000});
  // The claims of ids from the time around the restore may be lost.
  EXPECT_EQ(this->OnlyAnswer(second).code, ResultCode::kIdTooOld);
  EXPECT_EQ(StartsOf(this->world.oracle, kAlpha, first), 1U);
  // Ids stay too old until two clock skews (120 s) after the restore.
  this->world.Advance({130'000});
  const SubmissionId third = this->world.ChosenId("later");
  this->world.Submit(2, this->world.MakeSubmission(third, 1, {10}));
  this->world.Advance({1'000});
  EXPECT_EQ(this->OnlyAnswer(third).status, AnswerStatus::kComplete);
}

// The store is rolled back to a state without a claim, but its cluster id stays
// the same. The daemons must detect the rollback by the store revision, or the
// resubmissions would start the job again.
TEST_F(SubmissionTest, StoreRolledBackUnderTheSameClusterIdIsDetected) {
  const SubmissionId first = this->world.ChosenId("before");
  this->world.SaveStore();
  this->world.Submit(0, this->world.MakeSubmission(first, 1, {10}));
  this->world.Advance({1'500});
  this->world.RollBackStore();
  this->world.Advance({3'000});
  for (size_t i = 0; i < this->world.DaemonCount(); ++i)
    this->world.Submit(i, this->world.MakeSubmission(first, 1, {10}));
  this->world.Advance({3'000});
  EXPECT_EQ(StartsOf(this->world.oracle, kAlpha, first), 1U);
  EXPECT_GT(this->world.NodeAt(0).claims.restores, 0U);
}

}  // namespace
}  // namespace dogwoodfall
