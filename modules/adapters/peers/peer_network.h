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

/** Bounds of what passes between daemons. */
struct PeerNetworkLimits {
  /** Largest frame that is sent or read. */
  size_t max_frame_bytes = 8'000'000;
  /** Bytes waiting for a peer beyond which frames are dropped; the session
   * sends them again.
   */
  size_t max_queued_bytes = 16'000'000;
  /** Connections taken from peers. */
  size_t max_connections = 400;
};

/** What was sent, received and dropped. */
struct PeerNetworkCounters {
  uint64_t frames_sent = 0;
  uint64_t frames_received = 0;
  uint64_t bytes_sent = 0;
  uint64_t bytes_received = 0;
  uint64_t datagrams_sent = 0;
  uint64_t datagrams_received = 0;
  /** From an address that is no member's. */
  uint64_t dropped_non_member = 0;
  /** Unreadable, or of another version. */
  uint64_t dropped_malformed = 0;
  /** Larger than allowed. */
  uint64_t dropped_too_large = 0;
  /** Not sent since too much waits for the peer. */
  uint64_t dropped_queue_full = 0;
};

/** TCP for frames and UDP for heartbeats between daemons (libevent). Whatever
 * comes from an address that is no member's is dropped.
 */
class PeerNetwork {
 public:
  using FrameHandler = std::function<void(const PeerFrame&)>;
  using HeartbeatHandler = std::function<void(const Heartbeat&)>;

  /** Listens on both ports of an address.
   *
   * @return kConnectionFailed when one can't be bound
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

  /** Takes over who the members are; links to others are cut. */
  void SetMembers(const std::vector<DaemonMember>& members);

  /** Sends a frame; it may be lost. */
  void SendFrame(const PeerFrame& frame);

  /** Sends a heartbeat to one peer; it may be lost. */
  void SendHeartbeat(const DaemonId& to, const Heartbeat& heartbeat);

  /** Closes the connection to a peer; the next frame opens another. */
  void ResetConnection(const DaemonId& peer);

  /** What was sent, received and dropped. */
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
  bufferevent* OutboundTo(const DaemonId& peer);
  void CloseOutbound(bufferevent* stream);
  void CloseInbound(bufferevent* stream);
  bool IsMemberAddress(const sockaddr* address, bool with_port) const;
  bool ReadFrame(bufferevent* stream);

  event_base* base;
  PeerNetworkLimits limits;
  FrameHandler on_frame;
  HeartbeatHandler on_heartbeat;
  PeerNetworkCounters counters;
  evconnlistener* listener = nullptr;
  int datagram_socket = -1;
  event* datagram_event = nullptr;
  std::map<DaemonId, DaemonMember> members;
  std::map<DaemonId, bufferevent*> outbound;
  std::set<bufferevent*> inbound;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_ADAPTERS_PEERS_PEER_NETWORK_H_
