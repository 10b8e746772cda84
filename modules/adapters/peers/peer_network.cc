#include "adapters/peers/peer_network.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include "adapters/logging/guard.h"
#include "adapters/logging/logging.h"
#include "adapters/peers/peer_codec.h"

namespace dogwoodfall {
namespace {

constexpr size_t kLengthPrefixBytes = 4;
constexpr size_t kMaxDatagramBytes = 60'000;
/** Queues of peers up to this size are not checked against the bound on all
 * queues.
 */
constexpr size_t kSmallQueueBytes = 64'000;
constexpr int kListenBacklog = 128;
/** Time without write progress after which an outbound connection is closed.
 * The next frame opens a new one.
 */
constexpr timeval kWriteTimeout = {3, 0};
/** TCP keepalive: after this idle time, probes are sent at this interval. The
 * connection is closed after this number of unanswered probes.
 */
constexpr int kKeepaliveIdleSeconds = 10;
constexpr int kKeepaliveIntervalSeconds = 5;
constexpr int kKeepaliveProbes = 3;
/** Max datagrams read per event, so that other events are not delayed. */
constexpr int kMaxDatagramsPerEvent = 256;

std::optional<sockaddr_in> MakeSocketAddress(const std::string& ip,
                                             uint16_t port) {
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  if (inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1)
    return std::nullopt;
  return address;
}

sockaddr* AsSockaddr(sockaddr_in& address) {
  return reinterpret_cast<sockaddr*>(&address);
}

/** Enables TCP keepalive, so that the system detects connections whose peer
 * disappeared without closing them.
 */
void EnableKeepalive(int socket) {
  const int on = 1;
  setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &kKeepaliveIdleSeconds,
             sizeof(kKeepaliveIdleSeconds));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &kKeepaliveIntervalSeconds,
             sizeof(kKeepaliveIntervalSeconds));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &kKeepaliveProbes,
             sizeof(kKeepaliveProbes));
}

void DisableSendDelay(bufferevent* stream) {
  const int on = 1;
  setsockopt(bufferevent_getfd(stream), IPPROTO_TCP, TCP_NODELAY, &on,
             sizeof(on));
}

}  // namespace

PeerNetwork::PeerNetwork(event_base* base,
                         const PeerNetworkLimits& limits,
                         FrameHandler on_frame,
                         HeartbeatHandler on_heartbeat)
    : base(base),
      limits(limits),
      on_frame(std::move(on_frame)),
      on_heartbeat(std::move(on_heartbeat)) {}

Result<std::unique_ptr<PeerNetwork>> PeerNetwork::Create(
    event_base* base,
    const std::string& ip,
    uint16_t tcp_port,
    uint16_t udp_port,
    const PeerNetworkLimits& limits,
    FrameHandler on_frame,
    HeartbeatHandler on_heartbeat) {
  std::unique_ptr<PeerNetwork> created(new PeerNetwork(
      base, limits, std::move(on_frame), std::move(on_heartbeat)));
  const Result<bool> listening = created->Listen(ip, tcp_port, udp_port);
  if (!listening.ok())
    return listening.error();
  return created;
}

Result<bool> PeerNetwork::Listen(const std::string& ip,
                                 uint16_t tcp_port,
                                 uint16_t udp_port) {
  std::optional<sockaddr_in> tcp = MakeSocketAddress(ip, tcp_port);
  std::optional<sockaddr_in> udp = MakeSocketAddress(ip, udp_port);
  if (!tcp || !udp)
    return Error{ResultCode::kConnectionFailed, "not an IPv4 address: " + ip};
  this->listener = evconnlistener_new_bind(
      this->base, &PeerNetwork::OnAccept, this,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
      kListenBacklog, AsSockaddr(*tcp), sizeof(*tcp));
  if (this->listener == nullptr) {
    return Error{ResultCode::kConnectionFailed,
                 "can't listen on TCP " + ip + ":" + std::to_string(tcp_port)};
  }
  this->datagram_socket =
      socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (bind(this->datagram_socket, AsSockaddr(*udp), sizeof(*udp)) != 0) {
    return Error{ResultCode::kConnectionFailed,
                 "can't listen on UDP " + ip + ":" + std::to_string(udp_port)};
  }
  this->datagram_event =
      event_new(this->base, this->datagram_socket, EV_READ | EV_PERSIST,
                &PeerNetwork::OnDatagram, this);
  event_add(this->datagram_event, nullptr);
  return true;
}

PeerNetwork::~PeerNetwork() {
  for (const auto& [id, stream] : this->outbound)
    bufferevent_free(stream);
  for (bufferevent* stream : this->inbound)
    bufferevent_free(stream);
  if (this->datagram_event != nullptr)
    event_free(this->datagram_event);
  if (this->datagram_socket >= 0)
    close(this->datagram_socket);
  if (this->listener != nullptr)
    evconnlistener_free(this->listener);
}

void PeerNetwork::SetMembers(const std::vector<DaemonMember>& members) {
  std::map<DaemonId, DaemonMember> updated;
  for (const DaemonMember& member : members)
    updated[member.id] = member;
  for (auto link = this->outbound.begin(); link != this->outbound.end();) {
    const auto old_member = this->members.find(link->first);
    const auto new_member = updated.find(link->first);
    const bool is_unchanged =
        new_member != updated.end() &&
        old_member->second.ip == new_member->second.ip &&
        old_member->second.peer_tcp_port == new_member->second.peer_tcp_port;
    if (!is_unchanged)
      bufferevent_free(link->second);
    link = is_unchanged ? std::next(link) : this->outbound.erase(link);
  }
  this->members = std::move(updated);
  this->member_addresses.clear();
  for (const auto& [id, member] : this->members) {
    const auto address = MakeSocketAddress(member.ip, member.peer_udp_port);
    if (!address)
      continue;
    this->member_addresses.insert(
        {address->sin_addr.s_addr, member.peer_udp_port});
    this->member_addresses.insert({address->sin_addr.s_addr, 0});
  }
}

bool PeerNetwork::SendFrame(const PeerFrame& frame) {
  std::string bytes;
  const bool is_encoded =
      RunGuarded("encode_frame", [&]() { bytes = EncodeFrame(frame); });
  if (!is_encoded)
    return false;
  if (bytes.size() > this->limits.max_frame_bytes) {
    ++this->counters.dropped_too_large;
    return false;
  }
  bufferevent* stream = this->FindOrOpenOutbound(frame.to.id);
  if (stream == nullptr)
    return true;
  evbuffer* output = bufferevent_get_output(stream);
  const bool is_large =
      evbuffer_get_length(output) + bytes.size() > kSmallQueueBytes;
  if (evbuffer_get_length(output) + bytes.size() >
          this->limits.max_queued_bytes ||
      (is_large && this->limits.max_queued_bytes_in_all > 0 &&
       this->QueuedBytes() + bytes.size() >
           this->limits.max_queued_bytes_in_all)) {
    ++this->counters.dropped_queue_full;
    return true;
  }
  const uint32_t length = htonl(static_cast<uint32_t>(bytes.size()));
  evbuffer_add(output, &length, sizeof(length));
  evbuffer_add(output, bytes.data(), bytes.size());
  ++this->counters.frames_sent;
  this->counters.bytes_sent += bytes.size() + kLengthPrefixBytes;
  return true;
}

void PeerNetwork::SendHeartbeat(const std::vector<DaemonId>& to,
                                const Heartbeat& heartbeat) {
  const std::string bytes = EncodeHeartbeat(heartbeat);
  if (bytes.size() > kMaxDatagramBytes) {
    ++this->counters.dropped_too_large;
    return;
  }
  for (const DaemonId& id : to) {
    const auto member = this->members.find(id);
    if (member == this->members.end())
      continue;
    std::optional<sockaddr_in> address =
        MakeSocketAddress(member->second.ip, member->second.peer_udp_port);
    if (!address)
      continue;
    sendto(this->datagram_socket, bytes.data(), bytes.size(), 0,
           AsSockaddr(*address), sizeof(*address));
    ++this->counters.datagrams_sent;
    this->counters.bytes_sent += bytes.size();
  }
}

bufferevent* PeerNetwork::FindOrOpenOutbound(const DaemonId& peer) {
  const auto found = this->outbound.find(peer);
  if (found != this->outbound.end())
    return found->second;
  const auto member = this->members.find(peer);
  if (member == this->members.end())
    return nullptr;
  std::optional<sockaddr_in> address =
      MakeSocketAddress(member->second.ip, member->second.peer_tcp_port);
  if (!address)
    return nullptr;
  bufferevent* stream =
      bufferevent_socket_new(this->base, -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(stream, &PeerNetwork::OnOutboundData, nullptr,
                    &PeerNetwork::OnOutboundEvent, this);
  bufferevent_set_timeouts(stream, nullptr, &kWriteTimeout);
  bufferevent_enable(stream, EV_READ | EV_WRITE);
  // Stored before the call, as the call itself may report the failure to
  // OnOutboundEvent.
  this->outbound[peer] = stream;
  if (bufferevent_socket_connect(stream, AsSockaddr(*address),
                                 sizeof(*address)) != 0) {
    this->CloseOutbound(stream);
    return nullptr;
  }
  const auto opened = this->outbound.find(peer);
  return opened == this->outbound.end() ? nullptr : opened->second;
}

void PeerNetwork::ResetLink(const DaemonId& peer) {
  const auto link = this->outbound.find(peer);
  if (link != this->outbound.end())
    this->CloseOutbound(link->second);
}

void PeerNetwork::CloseOutbound(bufferevent* stream) {
  for (auto link = this->outbound.begin(); link != this->outbound.end();
       ++link) {
    if (link->second != stream)
      continue;
    this->outbound.erase(link);
    bufferevent_free(stream);
    return;
  }
}

void PeerNetwork::CloseInbound(bufferevent* stream) {
  if (this->inbound.erase(stream) > 0)
    bufferevent_free(stream);
}

bool PeerNetwork::IsMemberAddress(const sockaddr* address,
                                  bool check_port) const {
  if (address->sa_family != AF_INET)
    return false;
  const auto* ipv4_address = reinterpret_cast<const sockaddr_in*>(address);
  const uint16_t port = check_port ? ntohs(ipv4_address->sin_port) : 0;
  return this->member_addresses.count({ipv4_address->sin_addr.s_addr, port}) >
         0;
}

void PeerNetwork::OnAccept(evconnlistener*,
                           int socket,
                           sockaddr* address,
                           int,
                           void* argument) {
  auto* self = static_cast<PeerNetwork*>(argument);
  if (!self->IsMemberAddress(address, false) ||
      self->inbound.size() >= self->limits.max_connections) {
    ++self->counters.dropped_non_member;
    close(socket);
    return;
  }
  EnableKeepalive(socket);
  bufferevent* stream = bufferevent_socket_new(
      self->base, socket, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  bufferevent_setcb(stream, &PeerNetwork::OnInboundData, nullptr,
                    &PeerNetwork::OnInboundEvent, self);
  bufferevent_setwatermark(stream, EV_READ, 0,
                           self->limits.max_frame_bytes + kLengthPrefixBytes);
  bufferevent_enable(stream, EV_READ);
  self->inbound.insert(stream);
}

bool PeerNetwork::ReadFrame(bufferevent* stream) {
  evbuffer* input = bufferevent_get_input(stream);
  uint32_t length = 0;
  if (evbuffer_copyout(input, &length, sizeof(length)) !=
      static_cast<ev_ssize_t>(sizeof(length)))
    return false;
  length = ntohl(length);
  if (length > this->limits.max_frame_bytes) {
    ++this->counters.dropped_too_large;
    this->CloseInbound(stream);
    return false;
  }
  if (evbuffer_get_length(input) < kLengthPrefixBytes + length)
    return false;
  evbuffer_drain(input, kLengthPrefixBytes);
  std::string bytes(length, '\0');
  evbuffer_remove(input, bytes.data(), length);
  this->counters.bytes_received += length + kLengthPrefixBytes;
  const std::optional<PeerFrame> frame = DecodeFrame(bytes);
  if (!frame) {
    // After malformed bytes the start of the next frame is unknown.
    ++this->counters.dropped_malformed;
    this->CloseInbound(stream);
    return false;
  }
  ++this->counters.frames_received;
  this->on_frame(*frame);
  return this->inbound.count(stream) > 0;
}

void PeerNetwork::OnInboundData(bufferevent* stream, void* argument) {
  auto* self = static_cast<PeerNetwork*>(argument);
  while (self->ReadFrame(stream)) {
  }
  if (self->inbound.count(stream) > 0 &&
      evbuffer_get_length(bufferevent_get_input(stream)) > 0)
    self->EnforceMemoryLimit();
}

void PeerNetwork::EnforceMemoryLimit() {
  if (this->limits.max_held_bytes == 0)
    return;
  const auto held = [](bufferevent* stream) {
    return evbuffer_get_length(bufferevent_get_input(stream));
  };
  size_t sum = 0;
  for (bufferevent* stream : this->inbound)
    sum += held(stream);
  while (sum > this->limits.max_held_bytes) {
    bufferevent* largest = *std::max_element(
        this->inbound.begin(), this->inbound.end(),
        [&held](bufferevent* a, bufferevent* b) { return held(a) < held(b); });
    sum -= held(largest);
    ++this->counters.closed_memory_full;
    WriteLog(
        {"client_refused", {{"listener", "peers"}, {"cause", "memory_full"}}});
    this->CloseInbound(largest);
  }
}

size_t PeerNetwork::QueuedBytes() const {
  size_t sum = 0;
  for (const auto& [id, stream] : this->outbound)
    sum += evbuffer_get_length(bufferevent_get_output(stream));
  return sum;
}

void PeerNetwork::OnInboundEvent(bufferevent* stream,
                                 short what,
                                 void* argument) {
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
    static_cast<PeerNetwork*>(argument)->CloseInbound(stream);
}

void PeerNetwork::OnOutboundData(bufferevent* stream, void*) {
  // Peers never send data on this connection; anything received is discarded.
  evbuffer* input = bufferevent_get_input(stream);
  evbuffer_drain(input, evbuffer_get_length(input));
}

void PeerNetwork::OnOutboundEvent(bufferevent* stream,
                                  short what,
                                  void* argument) {
  if ((what & BEV_EVENT_CONNECTED) != 0)
    DisableSendDelay(stream);
  else if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0)
    static_cast<PeerNetwork*>(argument)->CloseOutbound(stream);
}

void PeerNetwork::OnDatagram(int socket, short, void* argument) {
  auto* self = static_cast<PeerNetwork*>(argument);
  std::array<char, kMaxDatagramBytes> buffer = {};
  for (int i = 0; i < kMaxDatagramsPerEvent; ++i) {
    sockaddr_in from = {};
    socklen_t length = sizeof(from);
    const ssize_t size = recvfrom(socket, buffer.data(), buffer.size(),
                                  MSG_TRUNC, AsSockaddr(from), &length);
    if (size < 0)
      return;
    if (!self->IsMemberAddress(AsSockaddr(from), true)) {
      ++self->counters.dropped_non_member;
      continue;
    }
    if (static_cast<size_t>(size) > buffer.size()) {
      ++self->counters.dropped_too_large;
      continue;
    }
    const std::optional<Heartbeat> heartbeat = DecodeHeartbeat(
        std::string_view(buffer.data(), static_cast<size_t>(size)));
    if (!heartbeat) {
      ++self->counters.dropped_malformed;
      continue;
    }
    ++self->counters.datagrams_received;
    self->counters.bytes_received += static_cast<uint64_t>(size);
    self->on_heartbeat(*heartbeat);
  }
}

}  // namespace dogwoodfall
