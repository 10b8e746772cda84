#include <gtest/gtest.h>

#include <cstdint>
#include <vector>

#include "faulty_fleet.h"

namespace dogwoodfall {
namespace {

void ExpectNoDuplicateRuns(const FaultOptions& options,
                           const std::vector<uint32_t>& seeds) {
  for (const uint32_t seed : seeds) {
    for (const JobTask& task : FaultyFleet(seed, options).Play())
      ADD_FAILURE() << "seed " << seed << ": " << task.job.value << "."
                    << task.index;
  }
}

// Callers of a killed daemon send their jobs to another one.
TEST(DaemonFaultsTest, KilledDaemonsCauseNoDuplicateRuns) {
  FaultOptions options;
  options.faults = {DaemonFault::kKill};
  ExpectNoDuplicateRuns(options, {1, 2, 3, 36, 49});
}

TEST(DaemonFaultsTest, FaultyDaemonsCauseNoDuplicateRuns) {
  ExpectNoDuplicateRuns(AllFaults(), {1, 2, 3, 7, 28, 74, 223});
}

TEST(DaemonFaultsTest, RareFaultsOfDaemonsCauseNoDuplicateRuns) {
  FaultOptions options = AllFaults();
  options.rounds_per_fault = 60;
  ExpectNoDuplicateRuns(options, {7, 28, 74, 223});
}

// A run that is being stopped is still active.
TEST(DaemonFaultsTest, FaultyDaemonsCauseNoDuplicateRunsWhileRunsStop) {
  FaultOptions options = AllFaults();
  options.daemons_per_zone = 5;
  options.stop_duration = {45};
  ExpectNoDuplicateRuns(options, {1, 2, 3, 61});
}

TEST(DaemonFaultsTest, RepeatsOfConnectedCallersCauseNoDuplicateRuns) {
  FaultOptions options;
  options.has_silent_repeats = true;
  ExpectNoDuplicateRuns(options, {1, 2, 3});
}

// Their first receivers still wait for the jobs.
TEST(DaemonFaultsTest,
     RepeatsOfConnectedCallersAmongFaultsCauseNoDuplicateRuns) {
  ExpectNoDuplicateRuns(RareFaultsAndRepeats(),
                        {1001, 1077, 1081, 2043, 2072, 5001});
}

TEST(DaemonFaultsTest, JobsThatAreNotAnnouncedCauseNoDuplicateRuns) {
  ExpectNoDuplicateRuns(RareFaultsAndRepeats(), {2052, 5005, 5022, 5047, 5054});
}

// Its scheduler doesn't know the latency of its receiver's messages.
TEST(DaemonFaultsTest, JobHeldUpBetweenDaemonsCausesNoDuplicateRuns) {
  ExpectNoDuplicateRuns(RareFaultsAndRepeats(), {9004});
}

TEST(DaemonFaultsTest, SeriesOfHandoversCausesNoDuplicateRuns) {
  ExpectNoDuplicateRuns(RareFaultsAndRepeats(), {1037});
}

FaultOptions RareKills() {
  FaultOptions options;
  options.faults = {DaemonFault::kKill};
  options.rounds_per_fault = 60;
  return options;
}

TEST(DaemonFaultsTest, ProgressLostTwoHandoversOnCausesNoDuplicateRuns) {
  ExpectNoDuplicateRuns(RareKills(), {55});
}

TEST(DaemonFaultsTest, JobAnnouncedToLostDaemonsOnlyCausesNoDuplicateRuns) {
  ExpectNoDuplicateRuns(RareKills(), {77});
}

TEST(DaemonFaultsTest, EndpointOfAThirdOwnerCausesNoDuplicateRuns) {
  ExpectNoDuplicateRuns(RareKills(), {96});
}

TEST(DaemonFaultsTest, FrequentFaultsOfDaemonsCauseNoDuplicateRuns) {
  ExpectNoDuplicateRuns(AllFaults(), {72});
}

TEST(DaemonFaultsTest,
     EndpointThatChangesItsOwnerSeveralTimesCausesNoDuplicateRuns) {
  ExpectNoDuplicateRuns(AllFaults(), {117});
}

TEST(DaemonFaultsTest, SlowDaemonsCauseNoDuplicateRuns) {
  ExpectNoDuplicateRuns(SlowDaemons(), {1007, 1016, 1052, 1081, 1083, 1095});
}

FaultOptions SlowDaemonsAmongFaults() {
  FaultOptions options = SlowDaemons();
  options.faults.insert(options.faults.end(),
                        {DaemonFault::kKill, DaemonFault::kCutFromDaemons});
  return options;
}

TEST(DaemonFaultsTest, SlowDaemonsAmongFaultsCauseNoDuplicateRuns) {
  ExpectNoDuplicateRuns(SlowDaemonsAmongFaults(), {1, 2, 3});
}

TEST(DaemonFaultsTest, RequestsReadLateCauseNoDuplicateRuns) {
  ExpectNoDuplicateRuns(SlowDaemonsAmongFaults(), {131, 194});
}

TEST(DaemonFaultsTest, FramesHeldUpInCutsCauseNoDuplicateRuns) {
  ExpectNoDuplicateRuns(HeldUpFrames(), {1, 2, 3});
}

FaultOptions HeldUpFramesAndRequests() {
  FaultOptions options = HeldUpFrames();
  options.holds_up_requests = true;
  return options;
}

TEST(DaemonFaultsTest, FramesAndRequestsHeldUpInCutsCauseNoDuplicateRuns) {
  ExpectNoDuplicateRuns(HeldUpFramesAndRequests(), {1, 2, 3});
}

// The age of such a request counts from its reading.
TEST(DaemonFaultsTest, RequestsHeldUpInCutsCauseNoDuplicateRuns) {
  ExpectNoDuplicateRuns(HeldUpFramesAndRequests(), {9, 50, 56, 58, 100, 116});
}

// Their receivers take them for new ones.
TEST(DaemonFaultsTest, RequestsHeldUpInUnnoticedCutsCauseNoDuplicateRuns) {
  ExpectNoDuplicateRuns(HeldUpFramesAndRequests(), {6, 15, 16, 37});
}

TEST(DaemonFaultsTest, ZonesThatOnlyHearAThirdOneCauseNoDuplicateRuns) {
  ExpectNoDuplicateRuns(ThreeZones(), {1, 2, 3});
}

TEST(DaemonFaultsTest, ZoneThatIsBrieflyUnlistedCausesNoDuplicateRuns) {
  ExpectNoDuplicateRuns(ThreeZones(), {44});
}

TEST(DaemonFaultsTest, LostHeartbeatsCauseNoDuplicateRuns) {
  ExpectNoDuplicateRuns(LostHeartbeats(), {1, 2, 3});
}

TEST(DaemonFaultsTest, LateNewsOfMembersCauseNoDuplicateRuns) {
  ExpectNoDuplicateRuns(LaggingViews(), {1, 2, 3});
}

}  // namespace
}  // namespace dogwoodfall
