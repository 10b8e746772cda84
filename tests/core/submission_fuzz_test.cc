#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <iostream>
#include <string>
#include <vector>

#include "fake_world.h"

namespace dogwoodfall {
namespace {

constexpr size_t kDaemons = 4;
constexpr size_t kEndpoints = 4;
/** Time after which everything that can be answered is. */
constexpr Millis kEnough{40'000};

uint64_t steps_run = 0;

/** What a step does to the world. */
enum class StepKind {
  kSubmitNew,
  kResubmit,
  kCancel,
  kWait,
  kKill,
  kRestart,
  kReplace,
  kPause,
  kResume,
  kDrain,
  kPartitionZone,
  kHealPartitions,
  kStore,
  kSaveStore,
  kRestoreStore,
  kEndpoint,
  kLoseFrames,
  kDuplicateFrames,
  kDelayFrames,
};

/** The model needs no state: every step is allowed at any time. */
struct Model {};

/** The system under test with the submissions sent so far. */
struct Fuzzed {
  explicit Fuzzed(uint64_t seed)
      : world({"north", "north", "south", "south"}, seed) {
    this->world.WaitUntilReady();
  }

  FakeWorld world;
  std::vector<Submission> submissions;
};

class Step : public rc::state::Command<Model, Fuzzed> {
 public:
  Step()
      : kind(*rc::gen::weightedElement<StepKind>(
            {{12, StepKind::kSubmitNew},
             {12, StepKind::kResubmit},
             {2, StepKind::kCancel},
             {24, StepKind::kWait},
             {2, StepKind::kKill},
             {3, StepKind::kRestart},
             {1, StepKind::kReplace},
             {2, StepKind::kPause},
             {4, StepKind::kResume},
             {2, StepKind::kDrain},
             {2, StepKind::kPartitionZone},
             {3, StepKind::kHealPartitions},
             {6, StepKind::kStore},
             {1, StepKind::kSaveStore},
             {1, StepKind::kRestoreStore},
             {8, StepKind::kEndpoint},
             {2, StepKind::kLoseFrames},
             {2, StepKind::kDuplicateFrames},
             {2, StepKind::kDelayFrames}})),
        daemon(*rc::gen::inRange<size_t>(0, kDaemons)),
        number(*rc::gen::inRange<size_t>(0, 1'000)) {}

  void run(const Model&, Fuzzed& fuzzed) const override {
    ++steps_run;
    this->RunOn(fuzzed);
    RC_ASSERT(fuzzed.world.oracle.violations == std::vector<std::string>());
  }

  void show(std::ostream& out) const override {
    out << "step " << static_cast<int>(this->kind) << " daemon " << this->daemon
        << " number " << this->number;
  }

 private:
  void RunOn(Fuzzed& fuzzed) const {
    FakeWorld& world = fuzzed.world;
    const bool alive = world.IsAlive(this->daemon);
    const std::string zone = this->number % 2 == 0 ? "north" : "south";
    switch (this->kind) {
      case StepKind::kSubmitNew:
        if (alive)
          this->SubmitNew(fuzzed);
        return;
      case StepKind::kResubmit:
        if (alive && !fuzzed.submissions.empty())
          world.Submit(this->daemon, this->Chosen(fuzzed));
        return;
      case StepKind::kCancel:
        if (alive && !fuzzed.submissions.empty()) {
          const Submission& chosen = this->Chosen(fuzzed);
          world.Cancel(this->daemon, chosen.customer, chosen.id);
        }
        return;
      case StepKind::kWait:
        world.Advance(this->number % 8 == 0
                          ? Millis{static_cast<int64_t>(this->number) * 8}
                          : Millis{static_cast<int64_t>(this->number) / 5});
        return;
      case StepKind::kKill:
        world.Kill(this->daemon);
        return;
      case StepKind::kRestart:
        if (!alive) {
          world.Restart(this->daemon);
          world.SetListed(this->daemon, true);
        }
        return;
      case StepKind::kReplace:
        world.Kill(this->daemon);
        world.SetListed(this->daemon, false);
        return;
      case StepKind::kPause:
        if (alive) {
          world.Pause(this->daemon);
          // The platform may take a silent daemon off its list.
          world.SetListed(this->daemon, this->number % 2 == 0);
        }
        return;
      case StepKind::kResume:
        if (alive) {
          world.Resume(this->daemon);
          world.SetListed(this->daemon, true);
        }
        return;
      case StepKind::kDrain:
        if (alive && !world.DaemonAt(this->daemon).paused)
          world.Drain(this->daemon);
        return;
      case StepKind::kPartitionZone:
        world.PartitionZone(zone, this->number % 4 < 2);
        return;
      case StepKind::kHealPartitions:
        world.HealPartitions();
        return;
      case StepKind::kStore:
        world.SetStore(static_cast<StoreMode>(this->number % 7 % 5));
        return;
      case StepKind::kSaveStore:
        world.SaveStore();
        return;
      case StepKind::kRestoreStore:
        world.RestoreStore();
        return;
      case StepKind::kEndpoint:
        world.SetEndpoint(this->number % kEndpoints,
                          static_cast<EndpointMode>(
                              this->daemon == 0 ? this->number / 4 % 9 : 0));
        return;
      case StepKind::kLoseFrames:
        world.LoseFrames(this->number % 4 + 1);
        return;
      case StepKind::kDuplicateFrames:
        world.DuplicateFrames(this->number % 4 + 1);
        return;
      case StepKind::kDelayFrames:
        world.DelayFrames(this->number % 4 + 1);
        return;
    }
  }

  const Submission& Chosen(const Fuzzed& fuzzed) const {
    return fuzzed.submissions[this->number % fuzzed.submissions.size()];
  }

  void SubmitNew(Fuzzed& fuzzed) const {
    FakeWorld& world = fuzzed.world;
    const size_t tasks = this->number % 5 + 1;
    const Millis run_time{static_cast<int64_t>(this->number % 7) * 60 + 10};
    SubmissionId id;
    if (this->number % 3 == 0)
      id = world.Mint(this->daemon);
    else if (this->number % 3 == 1)
      id = world.ChosenId("c" + std::to_string(fuzzed.submissions.size()));
    Submission submission = world.MakeSubmission(id, tasks, run_time);
    submission.customer = CustomerId(this->number % 2 == 0 ? "alpha" : "beta");
    if (this->number % 4 == 3) {
      submission.single_request = true;
      submission.tasks.resize(1);
      // Without an id the oracle can't tell which starts may be repeated.
      submission.tasks[0].idempotent =
          this->number % 8 == 3 && !id.value.empty();
    }
    world.Submit(this->daemon, submission);
    if (!id.value.empty())
      fuzzed.submissions.push_back(submission);
  }

  StepKind kind;
  size_t daemon;
  size_t number;
};

/** Ends all faults and checks that every caller gets an answer. */
void CheckEverybodyIsAnswered(Fuzzed& fuzzed) {
  FakeWorld& world = fuzzed.world;
  world.ClearFaults();
  for (size_t i = 0; i < world.DaemonCount(); ++i) {
    world.SetListed(i, true);
    if (!world.IsAlive(i))
      world.Restart(i);
  }
  world.Advance(kEnough);
  RC_ASSERT(world.oracle.violations == std::vector<std::string>());
  RC_ASSERT(world.oracle.open_calls.size() == 0U);
}

TEST(SubmissionFuzzTest, EveryInvariantHoldsAfterEveryStep) {
  uint64_t starts = 0;
  uint64_t complete = 0;
  const bool held = rc::check([&] {
    Fuzzed fuzzed(*rc::gen::arbitrary<uint64_t>());
    rc::state::check(Model(), fuzzed,
                     rc::state::gen::execOneOfWithArgs<Step>());
    CheckEverybodyIsAnswered(fuzzed);
    starts += fuzzed.world.oracle.total_starts;
    complete += fuzzed.world.oracle.answers[ResultCode::kOk];
  });
  std::cout << "steps " << steps_run << " starts " << starts
            << " complete answers " << complete << "\n";
  EXPECT_TRUE(held);
  // A run that starts or completes nothing would prove nothing.
  EXPECT_GT(starts, 0U);
  EXPECT_GT(complete, 0U);
}

}  // namespace
}  // namespace dogwoodfall
