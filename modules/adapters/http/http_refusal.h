#ifndef DOGWOODFALL_MODULES_ADAPTERS_HTTP_HTTP_REFUSAL_H_
#define DOGWOODFALL_MODULES_ADAPTERS_HTTP_HTTP_REFUSAL_H_

#include <array>
#include <cstddef>
#include <cstdint>

namespace dogwoodfall {

/** Limits of a listener at which a client is refused or its connection closed.
 * See docs/design/UNTRUSTED-CLIENTS.md for what happens at each.
 */
enum class HttpRefusal : uint8_t {
  kHeadTooLarge = 0,
  kTooManyHeaderLines = 1,
  kTooManyEmptyLines = 2,
  kHeadTooSlow = 3,
  kBodyTooLarge = 4,
  kBodyTooSlow = 5,
  kTooManyConnections = 6,
  kMemoryFull = 7,
  kOutputNotRead = 8,
  kTooManyRequestsAhead = 9,
};

inline constexpr size_t kHttpRefusalCount = 10;

/** Number of refusals by kind since the listener was created. */
using HttpRefusalCounts = std::array<uint64_t, kHttpRefusalCount>;

/** Adds the refusals of a listener to a sum. */
inline void AddTo(HttpRefusalCounts& sum, const HttpRefusalCounts& counts) {
  for (size_t i = 0; i < kHttpRefusalCount; ++i)
    sum[i] += counts[i];
}

/** Returns the name of a kind of refusal in logs and metrics. */
constexpr const char* NameOf(HttpRefusal refusal) {
  constexpr std::array<const char*, kHttpRefusalCount> kNames = {
      "head_too_large",         "too_many_header_lines", "too_many_empty_lines",
      "head_too_slow",          "body_too_large",        "body_too_slow",
      "too_many_connections",   "memory_full",           "output_not_read",
      "too_many_requests_ahead"};
  return kNames[static_cast<size_t>(refusal)];
}

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_ADAPTERS_HTTP_HTTP_REFUSAL_H_
