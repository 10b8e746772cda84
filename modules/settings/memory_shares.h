#ifndef DOGWOODFALL_MODULES_SETTINGS_MEMORY_SHARES_H_
#define DOGWOODFALL_MODULES_SETTINGS_MEMORY_SHARES_H_

#include <cstdint>

namespace dogwoodfall {

struct HttpClientLimits;
struct HttpServerLimits;
struct PeerNetworkLimits;

/** Memory of the smallest instance, assumed where no memory is set. */
inline constexpr uint32_t kDefaultMemoryMb = 120;

/** Limits that share the memory of an instance. */
struct MemorySharers {
  HttpServerLimits& callers;
  /** Of each listener other than the callers' one. */
  HttpServerLimits& operators;
  HttpClientLimits& http_client;
  PeerNetworkLimits& peers;
};

/** Sets the bounds on what listeners and clients hold, as shares of the memory
 * of the instance. A bound for callers that is not 0 is kept. The time and size
 * limits for callers also apply to the operators' listeners.
 *
 * @param memory_mb memory of the instance in MB
 */
void ShareMemory(uint32_t memory_mb, const MemorySharers& sharers);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_SETTINGS_MEMORY_SHARES_H_
