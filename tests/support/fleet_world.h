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

/** Several daemons on the platform, connected by fakes of the network, the
 * store and the endpoints, on a fake clock with steps of 1 ms. Deterministic.
 */
class FleetWorld {
 public:
  /** Starts or restarts a daemon. */
  void StartDaemon(const std::string& id, const std::string& zone);
  /** Ends a daemon at once, without a shutdown. */
  void KillDaemon(const std::string& id);
  /** Begins a graceful shutdown of a daemon. */
  void StopDaemon(const std::string& id);
  bool IsRunning(const std::string& id) const;
  void AddEndpoint(const std::string& id, const std::string& zone);
  /** Writes a configuration without routes to the store. */
  void ChangeRoutes(uint64_t version);
  /** Writes the request to evacuate a zone to the store. */
  void EvacuateZone(const std::string& zone);
  /** Removes the request to evacuate a zone from the store. */
  void TakeZoneBack(const std::string& zone);
  /** Silences connections to the store: the watches that wait get no answer,
   * and neither do the given number of later calls of each daemon, which are
   * sent on idle connections.
   */
  void SilenceStoreConnections(int idle_connections);
  /** Removes the items of all daemons from the store, but not their leases. */
  void RemoveAllMembers();
  /** Overwrites a daemon's item in the store. */
  void ReplaceMember(const FleetMember& member);
  /** Removes a daemon's item from the store, but not its lease. */
  void DeregisterDaemon(const std::string& id);
  /** Removes an endpoint's item from the store; the endpoint keeps running. */
  void DeregisterEndpoint(const std::string& id);

  /** Starts an endpoint anew under its former id.
   * @param back_at when it is up again
   * @param listed_at when its item in the store shows the restart
   */
  void RestartEndpoint(const std::string& id, Millis back_at, Millis listed_at);
  /** Changes the capacity of an endpoint and its item in the store. */
  void ChangeEndpointCapacity(const std::string& id,
                              const TaskResources& capacity);

  /** Sends a job of one step to a daemon.
   * @param nominal_run_time run time of each task on an endpoint of nominal
   * speed
   * @return the caller's token
   */
  CallerToken Submit(const std::string& daemon,
                     const std::string& job,
                     uint32_t tasks,
                     Millis nominal_run_time);
  /** Requests a daemon to cancel a job.
   * @return the caller's token
   */
  CallerToken Cancel(const std::string& daemon, const std::string& job);
  /** Lets a daemon send a message to another one. */
  void SendMessage(const std::string& from,
                   const std::string& to,
                   const PeerMessage& message);
  /** Closes a caller's connection. */
  void Disconnect(const std::string& daemon, CallerToken caller);
  /** Returns the number of runs of a job that are active on endpoints. */
  size_t CountRuns(const std::string& job) const;
  /** Returns the number of starts that the endpoints of each zone have executed
   * so far.
   */
  std::map<std::string, uint64_t> CountStartsByZone() const;
  /** Advances the clock. */
  void RunFor(Millis duration);

  FleetNode& Node(const std::string& id);
  /** Returns the daemon that owns the endpoints of a zone; empty when the
   * daemons' views differ or there is no owner.
   */
  std::string OwnerOf(const std::string& zone);

  /** Prints the daemons' log; set by the environment variable FLEET_WORLD_LOG.
   */
  bool prints_log;
  /** Number of heartbeats sent so far. */
  uint64_t heartbeat_count = 0;
  /** Number of calls to the store so far. */
  uint64_t store_call_count = 0;
  /** Outcomes by job id. */
  std::map<std::string, JobOutcome> outcomes;
  /** Results by job id. */
  std::map<std::string, JobResult> results;
  /** Results of the requests to cancel jobs. */
  std::map<CallerToken, CancellationResult> cancellations;
  /** Tasks that had two runs at the same time. */
  std::set<JobTask> overlaps;
  std::map<EndpointId, FakeEndpoint> endpoints;
  /** True for pairs of daemons that can't reach each other. */
  std::function<bool(const DaemonId&, const DaemonId&)> is_partitioned;
  /** False for frames that can't be sent. */
  std::function<bool(const PeerFrame&)> is_frame_sendable;
  /** Time by which messages from one daemon to another are delayed. */
  std::function<Millis(const DaemonId&, const DaemonId&)> message_delay;
  /** True for heartbeats that are lost. */
  std::function<bool(const DaemonId&, const DaemonId&)> is_heartbeat_lost;
  /** Time by which a daemon reads the requests of its callers, and sees their
   * connections closed, late.
   */
  std::function<Millis(const DaemonId&)> caller_delay;
  /** Time by which commands of a daemon to endpoints are delayed. */
  std::function<Millis(const DaemonId&)> command_delay;
  /** Time after which an endpoint executes a command without answering it; zero
   * for commands that it executes and answers.
   */
  std::function<Millis(const EndpointCommand&)> command_execution_delay;
  /** True for endpoints that a daemon can't reach. */
  std::function<bool(const DaemonId&, const EndpointId&)>
      is_endpoint_unreachable;
  /** Decides whether the answer to an executed endpoint command is lost. */
  std::function<bool(const EndpointCommand&)> is_answer_lost;
  /** Additional time that an answer of the store takes to a daemon. */
  std::function<Millis(const DaemonId&)> store_delay;
  /** Additional time that changes of the members take to a daemon. */
  std::function<Millis(const DaemonId&)> member_news_delay;
  /** Time after which the store executes a call without answering it; zero for
   * calls that it executes and answers.
   */
  std::function<Millis(const DaemonId&, const KeyValueCall&)>
      store_execution_delay;
  /** Changes an answer of the store before it is sent. */
  std::function<void(const DaemonId&, const KeyValueCall&, KeyValueReply&)>
      alter_store_reply;
  /** True for daemons that the store does not answer. */
  std::function<bool(const DaemonId&)> is_store_unreachable;
  /** Whether daemons are told how long a request has waited for them. */
  bool measures_request_age = false;
  /** True for daemons whose lease in the store is renewed while they are
   * paused.
   */
  std::function<bool(const std::string&)> is_renewed_while_paused;
  /** Paused daemons: their events are delayed until they are removed here. */
  std::set<std::string> paused_daemons;
  Millis now{1'000'000};

  FleetWorld();

 private:
  struct StoredMember {
    FleetMember member;
    uint64_t lease = 0;
  };
  struct Event {
    Millis at;
    uint64_t sequence;
    std::function<void()> callback;
    friend bool operator<(const Event& a, const Event& b) {
      return a.at != b.at ? a.at < b.at : a.sequence < b.sequence;
    }
  };
  struct Watch {
    std::string daemon;
    uint64_t incarnation;
    StoreToken token;
    WatchItems request;
    Millis deadline;
    Millis timeout_at;
  };

  void Schedule(Millis delay, std::function<void()> callback);
  void Step();
  void ExecuteActions(const std::string& daemon, const Actions& actions);
  /** Delivers what a caller has sent when the daemon reads it. */
  void DeliverCallerEvent(
      const std::string& daemon,
      const std::function<void(FleetNode&, Actions&)>& event);
  void DeliverEvent(const std::string& daemon,
                    uint64_t incarnation,
                    const std::function<void(FleetNode&, Actions&)>& event);
  void CallStore(const std::string& daemon, const CallKeyValue& call);
  KeyValueReply AnswerStoreCall(const CallKeyValue& call);
  void AnswerWatches();
  void DeliverStoreReply(const std::string& daemon,
                         uint64_t incarnation,
                         StoreToken token,
                         const KeyValueReply& reply);
  void DeliverHeartbeat(const DaemonId& from,
                        const DaemonId& to,
                        const Heartbeat& heartbeat);
  void ExecuteEndpointCommand(const std::string& daemon,
                              const EndpointCommand& command);
  EndpointReply ExecuteOnEndpoint(FakeEndpoint& endpoint,
                                  const EndpointCommand& command);
  void LeaveUnanswered(const std::string& daemon,
                       const EndpointCommand& command);
  void RenewLeasesOfPausedDaemons();
  void RemoveMember(const DaemonId& id);
  void LeaveStoreCallUnanswered(const std::string& daemon,
                                uint64_t incarnation,
                                StoreToken token,
                                Millis timeout_at);
  /** Returns the revision of a daemon's item; 0 if there is none. */
  uint64_t RevisionOfMember(const DaemonId& id) const;
  /** Writes an endpoint's item to the store. */
  void WriteEntry(EndpointEntry entry);
  void ExpireLeases();
  void RecordOverlaps();

  std::map<std::string, FleetNode> nodes;
  /** Number of each running daemon's current incarnation. */
  std::map<std::string, uint64_t> incarnations;
  std::map<DaemonId, StoredMember> members;
  std::map<EndpointId, EndpointEntry> endpoint_entries;
  /** Requests to evacuate zones. */
  std::map<ZoneId, EvacuationRequested> evacuations;
  /** All changes of the store, with their revisions. */
  std::vector<std::pair<uint64_t, StoreChange>> history;
  /** Expiry times of the leases. */
  std::map<uint64_t, Millis> leases;
  std::map<uint64_t, Millis> lease_lengths;
  std::vector<Watch> watches;
  /** Idle connections of each daemon to the store that are silent. */
  std::map<std::string, int> silent_connections;
  std::multiset<Event> events;
  /** The job that each caller has sent. */
  std::map<CallerToken, std::string> callers;
  std::map<SubmissionId, Millis> nominal_run_times;
  std::map<SubmissionId, TaskResources> resources_by_job;
  uint64_t revision = 1;
  uint64_t last_lease = 0;
  uint64_t last_incarnation = 0;
  uint64_t last_caller = 0;
  uint64_t last_event = 0;
};

/** Starts the zones "north" and "south" with two daemons and four endpoints
 * each, and runs them until they are ready.
 */
void SetUpTwoZones(FleetWorld& world);

/** Returns the other daemon of a zone that SetUpTwoZones() has started. */
std::string OtherDaemonInZone(const std::string& daemon);

/** Sends a message from one daemon to another; it arrives at once.
 * @return what the receiver does then
 */
Actions Deliver(FleetWorld& world,
                const std::string& from,
                const std::string& to,
                PeerMessage message);

/** Executes the renewals among a daemon's actions, which read the clocks of
 * endpoints before starts.
 *
 * @return the actions and those that the answers cause
 */
Actions AnswerClockReadings(FleetWorld& world,
                            const std::string& daemon,
                            const Actions& actions,
                            Millis now);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_TESTS_SUPPORT_FLEET_WORLD_H_
