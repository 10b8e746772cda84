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

constexpr size_t kTaskCount = 3;
constexpr Millis kRunTime{400};
constexpr Millis kFillerRunTime{300};
constexpr Millis kFaultDuration{5'000};
constexpr Millis kResubmitDelay{200};
constexpr Millis kRecoveryTime{15'000};
const CustomerId kCustomer("alpha");

/** A simulated fleet with one submission, and the daemons that handle it. */
struct Scenario {
  FakeWorld world{{"north", "north", "south", "south"}, 1};
  Submission job;
  /** The daemon that the caller is connected to, in another zone than the home.
   */
  size_t receiver = 0;
  size_t home = 0;
};

/** A step in the handling of a submission at which faults are injected. */
struct Step {
  std::string name;
  /** Time after the submission was sent; negative if before. */
  Millis after_sending;
};

const std::vector<Step> kSteps = {
    {"before sending", {-1}}, {"on its way home", {0}}, {"being claimed", {3}},
    {"queued", {100}},        {"running", {500}},       {"answered", {2'000}},
};

struct Fault {
  std::string name;
  std::function<void(Scenario&)> inject;
};

void SetAllEndpoints(Scenario& scenario, EndpointMode mode) {
  for (size_t i = 0; i < scenario.world.EndpointCount(); ++i)
    scenario.world.SetEndpoint(i, mode);
}

std::string HomeZone(const Scenario& scenario) {
  return scenario.world.DaemonAt(scenario.home).settings.zone.value;
}

const std::vector<Fault>& Faults() {
  static const std::vector<Fault> kFaults = {
      {"frames lost", [](Scenario& s) { s.world.LoseFrames(3); }},
      {"frames late", [](Scenario& s) { s.world.DelayFrames(3); }},
      {"frames doubled", [](Scenario& s) { s.world.DuplicateFrames(3); }},
      {"answers crossed",
       [](Scenario& s) {
         SetAllEndpoints(s, EndpointMode::kAnswersForOtherTask);
       }},
      {"answers doubled",
       [](Scenario& s) { SetAllEndpoints(s, EndpointMode::kAnswersTwice); }},
      {"endpoints die",
       [](Scenario& s) { SetAllEndpoints(s, EndpointMode::kLostAfterStart); }},
      {"endpoints refuse",
       [](Scenario& s) { SetAllEndpoints(s, EndpointMode::kRefuses); }},
      {"endpoints hang",
       [](Scenario& s) { SetAllEndpoints(s, EndpointMode::kNeverAnswers); }},
      {"home replaced",
       [](Scenario& s) {
         s.world.Kill(s.home);
         s.world.SetListed(s.home, false);
       }},
      {"home restarts",
       [](Scenario& s) {
         s.world.Kill(s.home);
         s.world.Restart(s.home);
       }},
      {"receiver dies", [](Scenario& s) { s.world.Kill(s.receiver); }},
      {"home pauses", [](Scenario& s) { s.world.Pause(s.home); }},
      {"home pauses, unlisted",
       [](Scenario& s) {
         s.world.Pause(s.home);
         s.world.SetListed(s.home, false);
       }},
      {"store out", [](Scenario& s) { s.world.SetStore(StoreMode::kDown); }},
      {"store slow", [](Scenario& s) { s.world.SetStore(StoreMode::kSlow); }},
      {"store answers lost",
       [](Scenario& s) { s.world.SetStore(StoreMode::kLoseAnswers); }},
      {"store restored", [](Scenario& s) { s.world.RestoreStore(); }},
      {"zone cut from zones",
       [](Scenario& s) { s.world.PartitionZone(HomeZone(s), false); }},
      {"zone cut from all",
       [](Scenario& s) { s.world.PartitionZone(HomeZone(s), true); }},
      {"cancel",
       [](Scenario& s) { s.world.Cancel(s.receiver, kCustomer, s.job.id); }},
      {"home stops", [](Scenario& s) { s.world.Drain(s.home); }},
      {"receiver stops", [](Scenario& s) { s.world.Drain(s.receiver); }},
      {"resubmissions",
       [](Scenario& s) {
         for (size_t i = 0; i < s.world.DaemonCount(); ++i)
           s.world.Submit(i, s.job);
       }},
  };
  return kFaults;
}

/** Starts the daemons, determines the home of the submission, and submits
 * filler jobs that occupy every slot.
 */
void SetUpScenario(Scenario& scenario, bool is_minted) {
  scenario.world.WaitUntilReady();
  scenario.world.SaveStore();
  const SubmissionId id =
      is_minted ? scenario.world.Mint(1) : scenario.world.ChosenId("job");
  scenario.job = scenario.world.MakeSubmission(id, kTaskCount, kRunTime);
  for (size_t i = 0; i < scenario.world.DaemonCount() && !is_minted; ++i) {
    const ClaimRegistry& claims = scenario.world.NodeAt(i).claims;
    if (claims.serving[SlotOf(claims, KeyOf(kCustomer, id))])
      scenario.home = i;
  }
  if (is_minted)
    scenario.home = 1;
  scenario.receiver = scenario.home < 2 ? 2 : 0;
  for (size_t i = 0; i < scenario.world.DaemonCount(); ++i) {
    Submission filler = scenario.world.MakeSubmission({}, 2, kFillerRunTime);
    filler.customer = CustomerId("beta");
    scenario.world.Submit(i, filler);
  }
}

void ClearScenarioFaults(Scenario& scenario) {
  scenario.world.ClearFaults();
  for (size_t i = 0; i < scenario.world.DaemonCount(); ++i) {
    scenario.world.SetListed(i, true);
    if (!scenario.world.IsAlive(i))
      scenario.world.Restart(i);
  }
}

/** Returns the result code name of the last answer, or the state of the
 * connection.
 */
std::string DescribeLastAnswer(const Scenario& scenario) {
  const std::vector<Answer> answers =
      AnswersOf(scenario.world.oracle, kCustomer, scenario.job.id);
  if (!answers.empty())
    return std::string(RowOf(answers.back().code).name);
  return scenario.world.oracle.open_calls.empty() ? "connection lost"
                                                  : "waiting";
}

/** Runs a submission with faults at one step, a resubmission through another
 * daemon during the faults, and a resubmission after the faults have ended.
 * Checks the oracle's invariants, that all callers are answered, and that there
 * are no more starts than tasks. Returns the last answer seen during the faults
 * and the one seen after them.
 */
std::string RunScenario(const std::vector<const Fault*>& faults,
                        const Step& step,
                        bool is_minted) {
  Scenario scenario;
  SetUpScenario(scenario, is_minted);
  const auto inject = [&] {
    for (const Fault* fault : faults) {
      if (scenario.world.IsAlive(scenario.home) &&
          scenario.world.IsAlive(scenario.receiver))
        fault->inject(scenario);
    }
  };
  if (step.after_sending < Millis{})
    inject();
  if (scenario.world.IsAlive(scenario.receiver))
    scenario.world.Submit(scenario.receiver, scenario.job);
  if (step.after_sending >= Millis{}) {
    scenario.world.Advance(step.after_sending);
    inject();
  }
  scenario.world.Advance(kResubmitDelay);
  // The other daemon in the receiver's zone.
  const size_t second_receiver = scenario.receiver + 1;
  if (scenario.world.IsAlive(second_receiver))
    scenario.world.Submit(second_receiver, scenario.job);
  scenario.world.Advance(kFaultDuration);
  const std::string answer_during_faults = DescribeLastAnswer(scenario);
  ClearScenarioFaults(scenario);
  scenario.world.Advance(kRecoveryTime);
  // Restarts daemons that have shut down since; callers could not connect to
  // them otherwise.
  ClearScenarioFaults(scenario);
  scenario.world.Advance(kFaultDuration);
  scenario.world.Submit(scenario.receiver, scenario.job);
  scenario.world.Advance(kFaultDuration);
  const std::string answer_after_faults = DescribeLastAnswer(scenario);
  for (const std::string& violation : scenario.world.oracle.violations)
    ADD_FAILURE() << step.name << ": " << violation;
  EXPECT_TRUE(scenario.world.oracle.open_calls.empty())
      << step.name << ": a caller was never answered";
  EXPECT_LE(StartsOf(scenario.world.oracle, kCustomer, scenario.job.id),
            kTaskCount);
  return answer_during_faults + ", " + answer_after_faults;
}

std::string BuildMatrix(bool is_minted) {
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
      matrix << " " << RunScenario({&fault}, step, is_minted) << " |";
    }
    matrix << "\n";
  }
  return matrix.str();
}

/** Compares the outcomes with docs/FAULT-MATRIX.md, which lists the expected
 * ones, one cell for each fault and step.
 */
void ExpectDocumented(const std::string& matrix) {
  std::ifstream file(std::string(SOURCE_FOLDER) + "/docs/FAULT-MATRIX.md");
  std::stringstream page;
  page << file.rdbuf();
  EXPECT_NE(page.str().find(matrix), std::string::npos);
}

// Guards against answers that differ from the documented ones: each single
// fault at each step, for a submission whose id was minted by its home.
TEST(FaultMatrixTest, MintedIdsHaveTheDocumentedOutcomes) {
  const std::string matrix = BuildMatrix(true);
  std::cout << matrix;
  ExpectDocumented(matrix);
}

// The same for a submission with a caller-chosen id, which has to be claimed in
// the store first.
TEST(FaultMatrixTest, ChosenIdsHaveTheDocumentedOutcomes) {
  const std::string matrix = BuildMatrix(false);
  std::cout << matrix;
  ExpectDocumented(matrix);
}

/** Runs the submission with every pair of faults at the same step. */
void RunFaultPairs(const Step& step, bool is_minted) {
  for (size_t a = 0; a < Faults().size(); ++a) {
    for (size_t b = a + 1; b < Faults().size(); ++b) {
      SCOPED_TRACE(Faults()[a].name + " with " + Faults()[b].name);
      RunScenario({&Faults()[a], &Faults()[b]}, step, is_minted);
    }
  }
}

// The tests of pairs guard against combined faults that leave a caller without
// an answer, start a task twice, or cause another violation of the oracle. Here
// the faults occur while the receiver forwards the submission to its home.
TEST(FaultMatrixTest, PairsOfFaultsDuringForwardingKeepGuarantees) {
  RunFaultPairs(kSteps[1], false);
}

// The faults occur while the id is being claimed in the store.
TEST(FaultMatrixTest, PairsOfFaultsDuringTheClaimKeepGuarantees) {
  RunFaultPairs(kSteps[2], false);
}

// The faults occur while the tasks wait for a free slot.
TEST(FaultMatrixTest, PairsOfFaultsWhileQueuedKeepGuarantees) {
  RunFaultPairs(kSteps[3], true);
}

// The faults occur while the tasks run on endpoints.
TEST(FaultMatrixTest, PairsOfFaultsWhileRunningKeepGuarantees) {
  RunFaultPairs(kSteps[4], true);
  RunFaultPairs(kSteps[4], false);
}

}  // namespace
}  // namespace dogwoodfall
