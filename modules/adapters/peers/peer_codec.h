#ifndef DOGWOODFALL_MODULES_ADAPTERS_PEERS_PEER_CODEC_H_
#define DOGWOODFALL_MODULES_ADAPTERS_PEERS_PEER_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "model/heartbeat.h"
#include "model/peer_frame.h"

namespace dogwoodfall {

/** Number of the form of frames and heartbeats; others are not read. */
inline constexpr uint16_t kPeerProtocolVersion = 3;

/** The bytes of a frame, without a length. */
std::string EncodeFrame(const PeerFrame& frame);

/** Reads a frame; nothing when the bytes are not exactly one frame of this
 * version. Needs memory in proportion to the bytes, whatever they say.
 */
std::optional<PeerFrame> DecodeFrame(std::string_view bytes);

/** The bytes of a heartbeat. */
std::string EncodeHeartbeat(const Heartbeat& heartbeat);

/** Reads a heartbeat; nothing when the bytes are not exactly one. */
std::optional<Heartbeat> DecodeHeartbeat(std::string_view bytes);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_ADAPTERS_PEERS_PEER_CODEC_H_
