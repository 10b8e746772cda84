#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <iostream>
#include <string>
#include <vector>

#include "fake_world.h"

namespace dogwoodfall {
namespace {

constexpr size_t kDaemonCount = 4;
constexpr size_t kEndpointCount = 4;
/** Time within which every open request is answered once no fault is active. */
constexpr Millis kMaxAnswerTime{40'000};

uint64_t steps_run = 0;

/** Kind of event that a step causes. */
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

/** Empty model: every step is allowed at any time. */
struct Model {};

/** The simulated system with the submissions sent so far. */
struct Simulation {
  explicit Simulation(uint64_t seed)
      : world({"north", "north", "south", "south"}, seed) {
    this->world.WaitUntilReady();
  }

  FakeWorld world;
  std::vector<Submission> submissions;
};

class Step : public rc::state::Command<Model, Simulation> {
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
        daemon(*rc::gen::inRange<size_t>(0, kDaemonCount)),
        number(*rc::gen::inRange<size_t>(0, 1'000)) {}

  void run(const Model&, Simulation& simulation) const override {
    ++steps_run;
    this->RunOn(simulation);
    RC_ASSERT(simulation.world.oracle.violations == std::vector<std::string>());
  }

  void show(std::ostream& out) const override {
    out << "step " << static_cast<int>(this->kind) << " daemon " << this->daemon
        << " number " << this->number;
  }

 private:
  void RunOn(Simulation& simulation) const {
    FakeWorld& world = simulation.world;
    const bool is_alive = world.IsAlive(this->daemon);
    const std::string zone = this->number % 2 == 0 ? "north" : "south";
    switch (this->kind) {
      case StepKind::kSubmitNew:
        if (is_alive)
          this->SubmitNew(simulation);
        return;
      case StepKind::kResubmit:
        if (is_alive && !simulation.submissions.empty())
          world.Submit(this->daemon, this->PickSubmission(simulation));
        return;
      case StepKind::kCancel:
        if (is_alive && !simulation.submissions.empty()) {
          const Submission& chosen = this->PickSubmission(simulation);
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
        if (!is_alive) {
          world.Restart(this->daemon);
          world.SetListed(this->daemon, true);
        }
        return;
      case StepKind::kReplace:
        world.Kill(this->daemon);
        world.SetListed(this->daemon, false);
        return;
      case StepKind::kPause:
        if (is_alive) {
          world.Pause(this->daemon);
          // The platform may remove an unresponsive daemon from its list.
          world.SetListed(this->daemon, this->number % 2 == 0);
        }
        return;
      case StepKind::kResume:
        if (is_alive) {
          world.Resume(this->daemon);
          world.SetListed(this->daemon, true);
        }
        return;
      case StepKind::kDrain:
        if (is_alive && !world.DaemonAt(this->daemon).paused)
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
        world.SetEndpoint(this->number % kEndpointCount,
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

  const Submission& PickSubmission(const Simulation& simulation) const {
    return simulation.submissions[this->number % simulation.submissions.size()];
  }

  void SubmitNew(Simulation& simulation) const {
    FakeWorld& world = simulation.world;
    const size_t tasks = this->number % 5 + 1;
    const Millis run_time{static_cast<int64_t>(this->number % 7) * 60 + 10};
    SubmissionId id;
    if (this->number % 3 == 0)
      id = world.Mint(this->daemon);
    else if (this->number % 3 == 1)
      id = world.ChosenId("c" + std::to_string(simulation.submissions.size()));
    Submission submission = world.MakeSubmission(id, tasks, run_time);
    submission.customer = CustomerId(this->number % 2 == 0 ? "alpha" : "beta");
    if (this->number % 4 == 3) {
      submission.single_request = true;
      submission.tasks.resize(1);
      // Without an id the oracle can't determine which starts may be repeated,
      // so only submissions with an id are idempotent.
      submission.tasks[0].idempotent =
          this->number % 8 == 3 && !id.value.empty();
    }
    world.Submit(this->daemon, submission);
    if (!id.value.empty())
      simulation.submissions.push_back(submission);
  }

  StepKind kind;
  size_t daemon;
  /** Random number from which the parameters of the step are derived. */
  size_t number;
};

/** Clears all faults and checks that every open request is answered. */
void CheckEveryCallerIsAnswered(Simulation& simulation) {
  FakeWorld& world = simulation.world;
  world.ClearFaults();
  for (size_t i = 0; i < world.DaemonCount(); ++i) {
    world.SetListed(i, true);
    if (!world.IsAlive(i))
      world.Restart(i);
  }
  world.Advance(kMaxAnswerTime);
  RC_ASSERT(world.oracle.violations == std::vector<std::string>());
  RC_ASSERT(world.oracle.open_calls.size() == 0U);
}

// Guards against broken invariants that only a certain sequence of faults
// reveals: random steps submit, resubmit and cancel submissions while daemons
// stop, pause or drain, zones are partitioned, the store fails or is restored,
// endpoints fail and frames are lost, duplicated or delayed. The oracle is
// checked after every step, and at the end every request must be answered.
TEST(SubmissionFuzzTest, EveryInvariantHoldsAfterEveryStep) {
  uint64_t starts = 0;
  uint64_t complete = 0;
  const bool is_satisfied = rc::check([&] {
    Simulation simulation(*rc::gen::arbitrary<uint64_t>());
    rc::state::check(Model(), simulation,
                     rc::state::gen::execOneOfWithArgs<Step>());
    CheckEveryCallerIsAnswered(simulation);
    starts += simulation.world.oracle.total_starts;
    complete += simulation.world.oracle.answers[ResultCode::kOk];
  });
  std::cout << "steps " << steps_run << " starts " << starts
            << " complete answers " << complete << "\n";
  EXPECT_TRUE(is_satisfied);
  // Without any start or complete answer the test would check nothing.
  EXPECT_GT(starts, 0U);
  EXPECT_GT(complete, 0U);
}

}  // namespace
}  // namespace dogwoodfall
