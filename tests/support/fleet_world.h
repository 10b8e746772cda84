#ifndef DOGWOODFALL_TESTS_SUPPORT_FLEET_WORLD_H_
#define DOGWOODFALL_TESTS_SUPPORT_FLEET_WORLD_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/fleet/fleet_events.h"
#include "fake_endpoint.h"

namespace dogwoodfall {

/** Several daemons on the platform, joined by fakes of the network, the store
 * and the endpoints, on a fake clock of 1 ms steps. Deterministic.
 */
class FleetWorld {
 public:
  /** Starts a daemon, or starts it anew. */
  void StartDaemon(const std::string& id, const std::string& zone);
  /** Ends a daemon without a word. */
  void KillDaemon(const std::string& id);
  void StopDaemon(const std::string& id);
  bool IsRunning(const std::string& id) const;
  void AddEndpoint(const std::string& id, const std::string& zone);
  /** Takes the items of all daemons out of the store; their leases live on. */
  void RemoveAllMembers();
  /** Takes an endpoint's item out of the store; it lives on. */
  void DeregisterEndpoint(const std::string& id);

  /** Sends a job of one step to a daemon. @return the caller's token */
  CallerToken Submit(const std::string& daemon,
                     const std::string& job,
                     uint32_t tasks,
                     Millis nominal);
  void Run(Millis time);

  FleetNode& Node(const std::string& id);
  /** The one daemon that owns the endpoints of a zone; empty when views differ
   * or nobody does.
   */
  std::string OwnerOf(const std::string& zone);

  /** Prints the daemons' log; set by the environment variable FLEET_WORLD_LOG.
   */
  bool prints_log;
  std::map<std::string, JobResult> ends;
  std::set<JobTask> overlaps;
  std::map<EndpointId, FakeEndpoint> endpoints;
  /** True for pairs of daemons that can't reach each other. */
  std::function<bool(const DaemonId&, const DaemonId&)> is_cut;
  /** True for daemons that the store does not answer. */
  std::function<bool(const DaemonId&)> is_cut_from_store;
  /** True for daemons that do not run for now. */
  std::set<std::string> frozen;
  Millis now{1'000'000};

  FleetWorld();

 private:
  struct StoredMember {
    FleetMember member;
    uint64_t lease = 0;
  };
  struct Event {
    Millis at;
    uint64_t command;
    std::function<void()> run;
    friend bool operator<(const Event& a, const Event& b) {
      return a.at != b.at ? a.at < b.at : a.command < b.command;
    }
  };
  struct Watch {
    std::string daemon;
    uint64_t life;
    StoreToken token;
    WatchItems watch;
    Millis until;
  };

  void At(Millis delay, std::function<void()> run);
  void Step();
  void Deliver(const std::string& daemon, const Actions& actions);
  void Feed(const std::string& daemon,
            uint64_t life,
            const std::function<void(FleetNode&, Actions&)>& event);
  void CallStore(const std::string& daemon, const CallKeyValue& call);
  KeyValueReply Answer(const CallKeyValue& call);
  void AnswerWatches();
  void Reply(const std::string& daemon,
             uint64_t life,
             StoreToken token,
             const KeyValueReply& reply);
  void CarryOrder(const std::string& daemon, const EndpointCommand& command);
  void RemoveMember(const DaemonId& id);
  void ExpireLeases();
  void RecordOverlaps();

  std::map<std::string, FleetNode> nodes;
  std::map<std::string, uint64_t> lives;
  std::map<DaemonId, StoredMember> members;
  std::map<EndpointId, EndpointEntry> items;
  std::vector<std::pair<uint64_t, StoreChange>> history;
  std::map<uint64_t, Millis> leases;
  std::map<uint64_t, Millis> lease_lengths;
  std::vector<Watch> watches;
  std::multiset<Event> events;
  std::map<CallerToken, std::string> callers;
  std::map<SubmissionId, Millis> nominal;
  std::map<SubmissionId, TaskResources> rooms;
  uint64_t revision = 1;
  uint64_t last_lease = 0;
  uint64_t last_life = 0;
  uint64_t last_caller = 0;
  uint64_t last_event = 0;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_TESTS_SUPPORT_FLEET_WORLD_H_
