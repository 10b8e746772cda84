#ifndef DOGWOODFALL_MODULES_ADAPTERS_PEERS_PEER_CODEC_H_
#define DOGWOODFALL_MODULES_ADAPTERS_PEERS_PEER_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "model/heartbeat.h"
#include "model/peer_frame.h"

namespace dogwoodfall {

/** Version of the format of frames and heartbeats. Other versions are rejected.
 */
inline constexpr uint16_t kPeerProtocolVersion = 4;

/** Encodes a frame, without a length prefix. */
std::string EncodeFrame(const PeerFrame& frame);

/** Decodes a frame. Allocates memory only in proportion to the number of bytes,
 * whatever sizes the bytes claim.
 *
 * @return nothing when the bytes are not exactly one frame of this version
 */
std::optional<PeerFrame> DecodeFrame(std::string_view bytes);

/** Encodes a heartbeat. */
std::string EncodeHeartbeat(const Heartbeat& heartbeat);

/** Decodes a heartbeat.
 *
 * @return nothing when the bytes are not exactly one heartbeat of this version
 */
std::optional<Heartbeat> DecodeHeartbeat(std::string_view bytes);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_ADAPTERS_PEERS_PEER_CODEC_H_
