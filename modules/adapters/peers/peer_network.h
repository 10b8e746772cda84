#ifndef DOGWOODFALL_MODULES_ADAPTERS_PEERS_PEER_NETWORK_H_
#define DOGWOODFALL_MODULES_ADAPTERS_PEERS_PEER_NETWORK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "model/daemon_member.h"
#include "model/heartbeat.h"
#include "model/peer_frame.h"

struct bufferevent;
struct event;
struct event_base;
struct evconnlistener;
struct sockaddr;

namespace dogwoodfall {

/** Limits on the traffic between daemons. */
struct PeerNetworkLimits {
  /** Max size of a frame that is sent or accepted. */
  size_t max_frame_bytes = 8'000'000;
  /** Max bytes queued for a peer. Further frames are dropped; the peer session
   * resends them.
   */
  size_t max_queued_bytes = 16'000'000;
  /** Max number of inbound connections. */
  size_t max_connections = 400;
  /** Max bytes of incomplete frames of all inbound connections. Beyond it, the
   * connection with the largest incomplete frame is closed; its peer sends the
   * frame again. 0 for no bound.
   */
  size_t max_held_bytes = 0;
  /** Max bytes queued for all peers. Further frames are dropped. 0 for no
   * bound.
   */
  size_t max_queued_bytes_in_all = 0;
};

/** Counters of sent, received and dropped messages. */
struct PeerNetworkCounters {
  uint64_t frames_sent = 0;
  uint64_t frames_received = 0;
  uint64_t bytes_sent = 0;
  uint64_t bytes_received = 0;
  uint64_t datagrams_sent = 0;
  uint64_t datagrams_received = 0;
  /** Messages and connections from addresses that belong to no member, and
   * connections beyond max_connections.
   */
  uint64_t dropped_non_member = 0;
  /** Malformed messages and messages of another protocol version. */
  uint64_t dropped_malformed = 0;
  /** Messages that exceed the max size. */
  uint64_t dropped_too_large = 0;
  /** Frames not sent because the queue of the peer was full. */
  uint64_t dropped_queue_full = 0;
  /** Inbound connections closed because incomplete frames exceeded
   * max_held_bytes.
   */
  uint64_t closed_memory_full = 0;
};

/** Network transport between daemons (libevent): frames over TCP, heartbeats
 * over UDP. Connections and datagrams from addresses that belong to no member
 * are dropped.
 */
class PeerNetwork {
 public:
  using FrameHandler = std::function<void(const PeerFrame&)>;
  using HeartbeatHandler = std::function<void(const Heartbeat&)>;

  /** Creates a network that listens on the TCP and the UDP port of an address.
   *
   * @param base the event loop; must outlive the network
   * @return kConnectionFailed when a port can't be bound
   */
  static Result<std::unique_ptr<PeerNetwork>> Create(
      event_base* base,
      const std::string& ip,
      uint16_t tcp_port,
      uint16_t udp_port,
      const PeerNetworkLimits& limits,
      FrameHandler on_frame,
      HeartbeatHandler on_heartbeat);

  PeerNetwork(const PeerNetwork&) = delete;
  PeerNetwork& operator=(const PeerNetwork&) = delete;
  ~PeerNetwork();

  /** Replaces the list of members. Outbound connections to daemons that are no
   * longer members, or whose address changed, are closed.
   */
  void SetMembers(const std::vector<DaemonMember>& members);

  /** Sends a frame. Delivery is not guaranteed.
   * @return false if it can never be sent: it can't be encoded or is too large
   */
  bool SendFrame(const PeerFrame& frame);

  /** Sends a heartbeat to peers. Delivery is not guaranteed. */
  void SendHeartbeat(const std::vector<DaemonId>& to,
                     const Heartbeat& heartbeat);

  /** Closes the outbound connection to a peer. The next frame opens a new one.
   */
  void ResetLink(const DaemonId& peer);

  /** Counters since the network was created. */
  const PeerNetworkCounters& Counters() const { return this->counters; }

 private:
  PeerNetwork(event_base* base,
              const PeerNetworkLimits& limits,
              FrameHandler on_frame,
              HeartbeatHandler on_heartbeat);

  static void OnAccept(evconnlistener* listener,
                       int socket,
                       sockaddr* address,
                       int length,
                       void* self);
  static void OnInboundData(bufferevent* stream, void* self);
  static void OnInboundEvent(bufferevent* stream, short what, void* self);
  static void OnOutboundData(bufferevent* stream, void* self);
  static void OnOutboundEvent(bufferevent* stream, short what, void* self);
  static void OnDatagram(int socket, short what, void* self);

  Result<bool> Listen(const std::string& ip,
                      uint16_t tcp_port,
                      uint16_t udp_port);
  bufferevent* FindOrOpenOutbound(const DaemonId& peer);
  void CloseOutbound(bufferevent* stream);
  void CloseInbound(bufferevent* stream);
  bool IsMemberAddress(const sockaddr* address, bool check_port) const;
  bool ReadFrame(bufferevent* stream);
  void EnforceMemoryLimit();
  size_t QueuedBytes() const;

  event_base* base;
  PeerNetworkLimits limits;
  FrameHandler on_frame;
  HeartbeatHandler on_heartbeat;
  PeerNetworkCounters counters;
  evconnlistener* listener = nullptr;
  int datagram_socket = -1;
  event* datagram_event = nullptr;
  std::map<DaemonId, DaemonMember> members;
  /** Addresses from which the members send, with their UDP port or with 0. */
  std::set<std::pair<uint32_t, uint16_t>> member_addresses;
  std::map<DaemonId, bufferevent*> outbound;
  std::set<bufferevent*> inbound;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_ADAPTERS_PEERS_PEER_NETWORK_H_
