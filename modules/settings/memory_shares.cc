#include "settings/memory_shares.h"

#include <algorithm>

#include "adapters/http/http_client_limits.h"
#include "adapters/http/http_server_limits.h"
#include "adapters/peers/peer_network.h"

namespace dogwoodfall {
namespace {

constexpr size_t kBytesPerMb = 1'000'000;
/** Buffers take up to twice the bytes that they hold, so these shares take at
 * most 1.2 of the memory in the worst case of all at once, and 0.25 for the
 * listeners that clients reach.
 */
constexpr size_t kCallersDivisor = 8;
constexpr size_t kOperatorsDivisor = 32;
constexpr size_t kHttpClientDivisor = 8;
constexpr size_t kPeersDivisor = 8;
/** A response of the store has up to 1 MB; less would not let it be read. */
constexpr size_t kMinResponseBytes = 4'000'000;
/** Connections of operators, their monitoring and readiness checks. */
constexpr uint32_t kMaxOperatorConnections = 64;
/** Requests of operators have no bodies of use. */
constexpr size_t kMaxOperatorBodyBytes = 16'384;

}  // namespace

void ShareMemory(uint32_t memory_mb, const MemorySharers& sharers) {
  const size_t memory = memory_mb * kBytesPerMb;
  HttpServerLimits& callers = sharers.callers;
  if (callers.max_held_bytes == 0)
    callers.max_held_bytes = memory / kCallersDivisor;
  callers.name = "callers";
  HttpServerLimits& operators = sharers.operators;
  operators = callers;
  operators.captured_headers.clear();
  operators.on_caller_disconnected = nullptr;
  operators.name = "operators";
  operators.max_held_bytes = memory / kOperatorsDivisor;
  operators.max_connections =
      std::min(callers.max_connections, kMaxOperatorConnections);
  operators.max_body_bytes =
      std::min(callers.max_body_bytes, kMaxOperatorBodyBytes);
  HttpClientLimits& client = sharers.http_client;
  client.max_held_bytes =
      std::max(memory / kHttpClientDivisor, kMinResponseBytes);
  client.max_body_bytes =
      std::min(client.max_body_bytes, client.max_held_bytes);
  PeerNetworkLimits& peers = sharers.peers;
  // One frame of each direction must fit.
  const size_t peers_share =
      std::max(memory / kPeersDivisor, peers.max_frame_bytes + 4);
  peers.max_held_bytes = peers_share;
  peers.max_queued_bytes_in_all = peers_share;
}

}  // namespace dogwoodfall
