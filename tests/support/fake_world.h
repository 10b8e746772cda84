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

/** What the fake store does with calls. */
enum class StoreMode {
  kOk,
  /** No call is carried out or answered. */
  kDown,
  /** Calls are carried out, answers are lost. */
  kLoseAnswers,
  /** Calls are carried out long after the caller gave up. */
  kLate,
  /** Calls and answers take hundreds of ms. */
  kSlow,
};

/** What a fake endpoint does with starts. */
enum class EndpointMode {
  kOk,
  kRefuses,
  /** Takes no connection. */
  kDown,
  /** Begins the task and is lost. */
  kDies,
  /** Is lost before the task begins; the daemon can't tell. */
  kLosesStart,
  /** Begins the task and never answers. */
  kHangs,
  /** Answers twice. */
  kDoubles,
  /** Answers with the id of another task, then with the right one. */
  kCrosses,
  /** The task runs and fails. */
  kFails,
};

/** A daemon's core with what the world does to it. */
struct FakeDaemon {
  NodeSettings settings;
  /** None while the process is dead. */
  std::optional<Node> node;
  bool paused = false;
  bool listed = true;
  /** False while it can't reach the store and the list. */
  bool sees_platform = true;
  /** Set by an ExitProcess action. */
  std::optional<bool> exited_clean;
  /** Events that wait until it is resumed. */
  std::vector<std::function<void()>> backlog;
};

/** Several cores joined by fakes of all ports, on a fake clock. */
class FakeWorld {
 public:
  /** @param zones the zone of each daemon, d0, d1 and so on; every zone gets
   * two endpoints of two slots
   */
  FakeWorld(const std::vector<std::string>& zones, uint64_t seed);

  /** Lets time pass. */
  void Advance(Millis time);

  /** Lets time pass until the cores know each other and are ready. */
  void WaitUntilReady();

  /** A caller submits; the answer goes to the oracle. */
  void Submit(size_t daemon, const Submission& submission);
  void Cancel(size_t daemon, const CustomerId& customer, SubmissionId id);
  SubmissionId Mint(size_t daemon);

  void Kill(size_t daemon);
  /** Starts a new life of a dead daemon. */
  void Restart(size_t daemon);
  void Pause(size_t daemon);
  void Resume(size_t daemon);
  void Drain(size_t daemon);
  /** Takes a daemon off the platform's list, or puts it back. */
  void SetListed(size_t daemon, bool listed);
  /** Cuts zone from the other zones, and from the platform if wanted. */
  void PartitionZone(const std::string& zone, bool from_platform);
  void HealPartitions();
  void SetStore(StoreMode mode) { this->store_mode = mode; }
  void SaveStore() { this->saved_store = this->store; }
  /** Brings the saved state back under a new cluster id, as etcd does. */
  void RestoreStore();
  /** Brings the saved state back and keeps the cluster id. */
  void RollBackStore();
  void SetEndpoint(size_t endpoint, EndpointMode mode);
  void SetLeaving(size_t endpoint);
  /** The next frames between daemons are lost, doubled or late. */
  void LoseFrames(size_t count) { this->frames_to_lose += count; }
  void DuplicateFrames(size_t count) { this->frames_to_double += count; }
  void DelayFrames(size_t count) { this->frames_to_delay += count; }
  /** Ends every fault but dead daemons. */
  void ClearFaults();

  bool IsAlive(size_t daemon) const;
  size_t DaemonCount() const { return this->daemons.size(); }
  size_t EndpointCount() const { return this->endpoint_modes.size(); }
  const FakeDaemon& DaemonAt(size_t daemon) const {
    return this->daemons[daemon];
  }
  Node& NodeAt(size_t daemon) { return *this->daemons[daemon].node; }
  Millis Now() const { return this->now; }

  /** A new submission of a customer.
   *
   * @param run_time of each task
   */
  Submission MakeSubmission(const SubmissionId& id,
                            size_t tasks,
                            Millis run_time) const;

  /** A caller's own id of this moment. */
  SubmissionId ChosenId(const std::string& name) const;

  Oracle oracle;

 private:
  using Handler = std::function<void(Node&, Actions&)>;

  void At(Millis time, std::function<void()> what);
  void Feed(size_t daemon, Incarnation life, const Handler& handler);
  void FeedNow(size_t daemon, const Handler& handler);
  void Perform(size_t daemon, const Action& action);
  void CarryFrame(size_t from, const PeerFrame& frame);
  void CarryHeartbeat(size_t from, const SendHeartbeat& action);
  void CarryStart(size_t daemon, const StartTask& start);
  void CarryStoreCall(size_t daemon, const CallStore& call);
  void TickAll();
  void GiveLists();
  bool IsCut(size_t from, size_t to) const;
  std::optional<size_t> IndexOf(const DaemonId& id) const;
  Incarnation LifeOf(size_t daemon) const;

  Millis now{1'000'000'000};
  std::mt19937_64 random;
  std::vector<FakeDaemon> daemons;
  std::vector<EndpointMember> endpoints;
  std::vector<EndpointMode> endpoint_modes;
  std::multimap<Millis, std::function<void()>> events;
  KeyValueTable store;
  KeyValueTable saved_store;
  StoreMode store_mode = StoreMode::kOk;
  std::set<std::string> cut_zones;
  size_t frames_to_lose = 0;
  size_t frames_to_double = 0;
  size_t frames_to_delay = 0;
  uint64_t last_caller = 0;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_TESTS_SUPPORT_FAKE_WORLD_H_
