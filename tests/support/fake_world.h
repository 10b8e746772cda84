#ifndef DOGWOODFALL_TESTS_SUPPORT_FAKE_WORLD_H_
#define DOGWOODFALL_TESTS_SUPPORT_FAKE_WORLD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/node/node.h"
#include "core/node/node_events.h"
#include "key_value_table.h"
#include "oracle.h"
#include "ports/action.h"

namespace dogwoodfall {

/** How the fake store handles calls. */
enum class StoreMode {
  kOk,
  /** No call is executed or answered. */
  kDown,
  /** Calls are executed, but their answers are lost. */
  kLoseAnswers,
  /** Calls are executed after the timeout of the caller. */
  kLate,
  /** Calls and answers take hundreds of ms. */
  kSlow,
};

/** How a fake endpoint handles start commands. */
enum class EndpointMode {
  kOk,
  kRefuses,
  /** Accepts no connection. */
  kDown,
  /** Starts the task, then the endpoint is lost. */
  kLostAfterStart,
  /** The endpoint is lost before the task starts. The daemon can't distinguish
   * this from kLostAfterStart.
   */
  kLostBeforeStart,
  /** Starts the task and never answers. */
  kNeverAnswers,
  /** Answers twice. */
  kAnswersTwice,
  /** Answers with the id of another task, then with the right one. */
  kAnswersForOtherTask,
  /** Starts the task, which fails. */
  kFails,
};

/** A daemon's core and its simulated environment. */
struct FakeDaemon {
  NodeSettings settings;
  /** Not set while the process is dead. */
  std::optional<Node> node;
  bool paused = false;
  bool listed = true;
  /** False while the daemon can't reach the store and the instance list. */
  bool can_reach_platform = true;
  /** Set by an ExitProcess action to its is_clean value. */
  std::optional<bool> exited_cleanly;
  /** Events that are held until the daemon is resumed. */
  std::vector<std::function<void()>> backlog;
};

/** Simulates several daemons: their cores, connected by fakes of all ports, on
 * a simulated clock.
 */
class FakeWorld {
 public:
  /** @param zones the zone of each daemon; the daemons are named d0, d1 and so
   *        on, and every zone has two endpoints with two slots each
   * @param seed seed of the random numbers
   */
  FakeWorld(const std::vector<std::string>& zones, uint64_t seed);

  /** Advances the clock and runs the events that become due. */
  void Advance(Millis duration);

  /** Advances the clock until the cores have discovered each other and are
   * ready.
   */
  void WaitUntilReady();

  /** Submits as a caller. The answer is recorded in the oracle. */
  void Submit(size_t daemon, const Submission& submission);
  void Cancel(size_t daemon, const CustomerId& customer, SubmissionId id);
  SubmissionId Mint(size_t daemon);

  void Kill(size_t daemon);
  /** Starts a new incarnation of a killed daemon. */
  void Restart(size_t daemon);
  void Pause(size_t daemon);
  void Resume(size_t daemon);
  void Drain(size_t daemon);
  /** Adds a daemon to the platform's instance list or removes it. */
  void SetListed(size_t daemon, bool listed);
  /** Partitions a zone from the other zones and optionally from the platform.
   */
  void PartitionZone(const std::string& zone, bool from_platform);
  void HealPartitions();
  void SetStore(StoreMode mode) { this->store_mode = mode; }
  void SaveStore() { this->saved_store = this->store; }
  /** Restores the saved state under a new cluster id, as etcd does. */
  void RestoreStore();
  /** Restores the saved state and keeps the cluster id. */
  void RollBackStore();
  void SetEndpoint(size_t endpoint, EndpointMode mode);
  void SetLeaving(size_t endpoint);
  /** Drops, duplicates or delays the next frames between daemons. */
  void LoseFrames(size_t count) { this->frames_to_lose += count; }
  void DuplicateFrames(size_t count) { this->frames_to_duplicate += count; }
  void DelayFrames(size_t count) { this->frames_to_delay += count; }
  /** Ends every fault. Killed daemons are not restarted. */
  void ClearFaults();

  bool IsAlive(size_t daemon) const;
  size_t DaemonCount() const { return this->daemons.size(); }
  size_t EndpointCount() const { return this->endpoint_modes.size(); }
  const FakeDaemon& DaemonAt(size_t daemon) const {
    return this->daemons[daemon];
  }
  Node& NodeAt(size_t daemon) { return *this->daemons[daemon].node; }
  Millis Now() const { return this->now; }

  /** Creates a submission of customer "alpha".
   *
   * @param run_time run time of each task
   */
  Submission MakeSubmission(const SubmissionId& id,
                            size_t tasks,
                            Millis run_time) const;

  /** Creates a caller-chosen id with the current time as timestamp. */
  SubmissionId ChosenId(const std::string& name) const;

  Oracle oracle;

 private:
  using Handler = std::function<void(Node&, Actions&)>;

  void ScheduleAt(Millis time, std::function<void()> callback);
  void DeliverEvent(size_t daemon,
                    Incarnation incarnation,
                    const Handler& handler);
  void HandleEvent(size_t daemon, const Handler& handler);
  void Perform(size_t daemon, const Action& action);
  void DeliverFrame(size_t from, const PeerFrame& frame);
  void DeliverHeartbeat(size_t from,
                        const DaemonId& receiver,
                        const Heartbeat& sent);
  void SimulateStart(size_t daemon, const StartTask& start);
  void SimulateStoreCall(size_t daemon, const CallStore& call);
  void TickAll();
  void DeliverInstanceLists();
  bool IsPartitioned(size_t from, size_t to) const;
  std::optional<size_t> IndexOf(const DaemonId& id) const;
  Incarnation IncarnationOf(size_t daemon) const;

  Millis now{1'000'000'000};
  std::mt19937_64 random;
  std::vector<FakeDaemon> daemons;
  std::vector<EndpointMember> endpoints;
  std::vector<EndpointMode> endpoint_modes;
  std::multimap<Millis, std::function<void()>> events;
  KeyValueTable store;
  KeyValueTable saved_store;
  StoreMode store_mode = StoreMode::kOk;
  std::set<std::string> partitioned_zones;
  size_t frames_to_lose = 0;
  size_t frames_to_duplicate = 0;
  size_t frames_to_delay = 0;
  uint64_t last_caller = 0;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_TESTS_SUPPORT_FAKE_WORLD_H_
