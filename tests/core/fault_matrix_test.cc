#include <gtest/gtest.h>

#include <fstream>
#include <functional>
#include <iomanip>
#include <iostream>
#include <map>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "fake_world.h"

namespace dogwoodfall {
namespace {

constexpr size_t kTasks = 3;
constexpr Millis kRunTime{400};
constexpr Millis kFillerTime{300};
constexpr Millis kFaultTime{5'000};
constexpr Millis kResubmitAfter{200};
constexpr Millis kSettleTime{15'000};
const CustomerId kCustomer("alpha");

/** One submission on its way, and who plays which part. */
struct Scene {
  FakeWorld world{{"north", "north", "south", "south"}, 1};
  Submission job;
  /** Where the caller is connected: in another zone than the home. */
  size_t receiver = 0;
  size_t home = 0;
};

/** A point in the life of a submission at which a fault strikes. */
struct Step {
  std::string name;
  /** Time after the submission was sent; less than 0 is before. */
  Millis after_sending;
};

const std::vector<Step> kSteps = {
    {"before sending", {-1}}, {"on its way home", {0}}, {"being claimed", {3}},
    {"queued", {100}},        {"running", {500}},       {"answered", {2'000}},
};

struct Fault {
  std::string name;
  std::function<void(Scene&)> strike;
};

void SetAllEndpoints(Scene& scene, EndpointMode mode) {
  for (size_t i = 0; i < scene.world.EndpointCount(); ++i)
    scene.world.SetEndpoint(i, mode);
}

std::string HomeZone(const Scene& scene) {
  return scene.world.DaemonAt(scene.home).settings.zone.value;
}

const std::vector<Fault>& Faults() {
  static const std::vector<Fault> kFaults = {
      {"frames lost", [](Scene& s) { s.world.LoseFrames(3); }},
      {"frames late", [](Scene& s) { s.world.DelayFrames(3); }},
      {"frames doubled", [](Scene& s) { s.world.DuplicateFrames(3); }},
      {"answers crossed",
       [](Scene& s) { SetAllEndpoints(s, EndpointMode::kCrosses); }},
      {"answers doubled",
       [](Scene& s) { SetAllEndpoints(s, EndpointMode::kDoubles); }},
      {"endpoints die",
       [](Scene& s) { SetAllEndpoints(s, EndpointMode::kDies); }},
      {"endpoints refuse",
       [](Scene& s) { SetAllEndpoints(s, EndpointMode::kRefuses); }},
      {"endpoints hang",
       [](Scene& s) { SetAllEndpoints(s, EndpointMode::kHangs); }},
      {"home replaced",
       [](Scene& s) {
         s.world.Kill(s.home);
         s.world.SetListed(s.home, false);
       }},
      {"home restarts",
       [](Scene& s) {
         s.world.Kill(s.home);
         s.world.Restart(s.home);
       }},
      {"receiver dies", [](Scene& s) { s.world.Kill(s.receiver); }},
      {"home pauses", [](Scene& s) { s.world.Pause(s.home); }},
      {"home pauses, unlisted",
       [](Scene& s) {
         s.world.Pause(s.home);
         s.world.SetListed(s.home, false);
       }},
      {"store out", [](Scene& s) { s.world.SetStore(StoreMode::kDown); }},
      {"store slow", [](Scene& s) { s.world.SetStore(StoreMode::kSlow); }},
      {"store answers lost",
       [](Scene& s) { s.world.SetStore(StoreMode::kLoseAnswers); }},
      {"store restored", [](Scene& s) { s.world.RestoreStore(); }},
      {"zone cut from zones",
       [](Scene& s) { s.world.PartitionZone(HomeZone(s), false); }},
      {"zone cut from all",
       [](Scene& s) { s.world.PartitionZone(HomeZone(s), true); }},
      {"cancel",
       [](Scene& s) { s.world.Cancel(s.receiver, kCustomer, s.job.id); }},
      {"home stops", [](Scene& s) { s.world.Drain(s.home); }},
      {"receiver stops", [](Scene& s) { s.world.Drain(s.receiver); }},
      {"resubmissions",
       [](Scene& s) {
         for (size_t i = 0; i < s.world.DaemonCount(); ++i)
           s.world.Submit(i, s.job);
       }},
  };
  return kFaults;
}

/** Sets a scene: the home is known, and fillers hold every slot. */
void SetScene(Scene& scene, bool minted) {
  scene.world.WaitUntilReady();
  scene.world.SaveStore();
  const SubmissionId id =
      minted ? scene.world.Mint(1) : scene.world.ChosenId("job");
  scene.job = scene.world.MakeSubmission(id, kTasks, kRunTime);
  for (size_t i = 0; i < scene.world.DaemonCount() && !minted; ++i) {
    const ClaimRegistry& claims = scene.world.NodeAt(i).claims;
    if (claims.serving[SlotOf(claims, KeyOf(kCustomer, id))])
      scene.home = i;
  }
  if (minted)
    scene.home = 1;
  scene.receiver = scene.home < 2 ? 2 : 0;
  for (size_t i = 0; i < scene.world.DaemonCount(); ++i) {
    Submission filler = scene.world.MakeSubmission({}, 2, kFillerTime);
    filler.customer = CustomerId("beta");
    scene.world.Submit(i, filler);
  }
}

void HealScene(Scene& scene) {
  scene.world.ClearFaults();
  for (size_t i = 0; i < scene.world.DaemonCount(); ++i) {
    scene.world.SetListed(i, true);
    if (!scene.world.IsAlive(i))
      scene.world.Restart(i);
  }
}

/** The name of what the caller last connected to a daemon was told. */
std::string LastTold(const Scene& scene) {
  const std::vector<Answer> answers =
      AnswersOf(scene.world.oracle, kCustomer, scene.job.id);
  if (!answers.empty())
    return std::string(RowOf(answers.back().code).name);
  return scene.world.oracle.open_calls.empty() ? "connection lost" : "waiting";
}

/** Plays a submission with faults at one step, a resubmission through another
 * daemon during the faults and one after them. Returns what the last two told.
 */
std::string Play(const std::vector<const Fault*>& faults,
                 const Step& step,
                 bool minted) {
  Scene scene;
  SetScene(scene, minted);
  const auto strike = [&] {
    for (const Fault* fault : faults) {
      if (scene.world.IsAlive(scene.home) &&
          scene.world.IsAlive(scene.receiver))
        fault->strike(scene);
    }
  };
  if (step.after_sending < Millis{})
    strike();
  if (scene.world.IsAlive(scene.receiver))
    scene.world.Submit(scene.receiver, scene.job);
  if (step.after_sending >= Millis{}) {
    scene.world.Advance(step.after_sending);
    strike();
  }
  scene.world.Advance(kResubmitAfter);
  // The other daemon of the receiver's zone.
  const size_t through = scene.receiver + 1;
  if (scene.world.IsAlive(through))
    scene.world.Submit(through, scene.job);
  scene.world.Advance(kFaultTime);
  const std::string during = LastTold(scene);
  HealScene(scene);
  scene.world.Advance(kSettleTime);
  // A daemon that stopped meanwhile is started again; a caller could not
  // connect to it otherwise.
  HealScene(scene);
  scene.world.Advance(kFaultTime);
  scene.world.Submit(scene.receiver, scene.job);
  scene.world.Advance(kFaultTime);
  const std::string after = LastTold(scene);
  for (const std::string& violation : scene.world.oracle.violations)
    ADD_FAILURE() << step.name << ": " << violation;
  EXPECT_TRUE(scene.world.oracle.open_calls.empty())
      << step.name << ": a caller was never answered";
  EXPECT_LE(StartsOf(scene.world.oracle, kCustomer, scene.job.id), kTasks);
  return during + ", " + after;
}

std::string MatrixFor(bool minted) {
  std::ostringstream matrix;
  matrix << "| fault |";
  for (const Step& step : kSteps)
    matrix << " " << step.name << " |";
  matrix << "\n|---|";
  for (size_t i = 0; i < kSteps.size(); ++i)
    matrix << "---|";
  matrix << "\n";
  for (const Fault& fault : Faults()) {
    matrix << "| " << fault.name << " |";
    for (const Step& step : kSteps) {
      SCOPED_TRACE(fault.name);
      matrix << " " << Play({&fault}, step, minted) << " |";
    }
    matrix << "\n";
  }
  return matrix.str();
}

/** The expected outcomes stand in docs/FAULT-MATRIX.md, a cell each. */
void ExpectDocumented(const std::string& matrix) {
  std::ifstream file(std::string(SOURCE_FOLDER) + "/docs/FAULT-MATRIX.md");
  std::stringstream page;
  page << file.rdbuf();
  EXPECT_NE(page.str().find(matrix), std::string::npos);
}

TEST(FaultMatrixTest, MintedIdsHaveTheDocumentedOutcomes) {
  const std::string matrix = MatrixFor(true);
  std::cout << matrix;
  ExpectDocumented(matrix);
}

TEST(FaultMatrixTest, ChosenIdsHaveTheDocumentedOutcomes) {
  const std::string matrix = MatrixFor(false);
  std::cout << matrix;
  ExpectDocumented(matrix);
}

/** Two faults at the same step, for every pair. */
void PlayPairs(const Step& step, bool minted) {
  for (size_t a = 0; a < Faults().size(); ++a) {
    for (size_t b = a + 1; b < Faults().size(); ++b) {
      SCOPED_TRACE(Faults()[a].name + " with " + Faults()[b].name);
      Play({&Faults()[a], &Faults()[b]}, step, minted);
    }
  }
}

TEST(FaultMatrixTest, PairsOfFaultsOnTheWayHomeBreakNoPromise) {
  PlayPairs(kSteps[1], false);
}

TEST(FaultMatrixTest, PairsOfFaultsDuringTheClaimBreakNoPromise) {
  PlayPairs(kSteps[2], false);
}

TEST(FaultMatrixTest, PairsOfFaultsWhileQueuedBreakNoPromise) {
  PlayPairs(kSteps[3], true);
}

TEST(FaultMatrixTest, PairsOfFaultsWhileRunningBreakNoPromise) {
  PlayPairs(kSteps[4], true);
  PlayPairs(kSteps[4], false);
}

}  // namespace
}  // namespace dogwoodfall
