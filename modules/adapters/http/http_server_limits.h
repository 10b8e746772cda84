#ifndef DOGWOODFALL_MODULES_ADAPTERS_HTTP_HTTP_SERVER_LIMITS_H_
#define DOGWOODFALL_MODULES_ADAPTERS_HTTP_HTTP_SERVER_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace dogwoodfall {

/** Identifies a request that has not been answered yet. */
using HttpToken = uint64_t;

/** Limits and options of a listener. */
struct HttpServerLimits {
  size_t max_body_bytes = 1'000'000;
  /** Max number of open connections. While more are open, every request is
   * refused with kTooManyConnections. From twice this number on, new
   * connections are closed without a response.
   */
  uint32_t max_connections = 1'000;
  /** Connections without progress for this time are closed. */
  int64_t read_timeout_ms = 30'000;
  /** Max size of a request line with its header lines. The platform's callers
   * send at most 16,384 bytes.
   */
  size_t max_head_bytes = 32'768;
  /** Max header lines of a head. A head of 16,384 bytes holds at most 4,096
   * lines, as a line has at least 4 bytes.
   */
  uint32_t max_header_lines = 5'000;
  /** Max empty lines before a request. */
  uint32_t max_empty_lines = 100;
  /** Max time from the first byte of a head to its end. The platform's callers
   * take at most 3,000 ms.
   */
  int64_t head_timeout_ms = 10'000;
  /** Min mean rate of a body in bytes per second, after its first
   * kBodyGracePeriod; 0 for none.
   */
  int64_t min_body_rate = 100;
  /** Max bytes that all connections hold together: heads and bodies that are
   * not answered yet, parsed forms, and output that clients have not read. 0
   * for no bound.
   */
  size_t max_held_bytes = 0;
  /** Name of the listener in logs. */
  std::string name;
  /** Lower-case names of the headers that are passed to the handler. */
  std::vector<std::string> captured_headers;
  /** Called when a caller closes its connection before its request is
   * answered. With this callback connections are read while a request is
   * pending, and a connection that sends a second request meanwhile is closed.
   */
  std::function<void(HttpToken)> on_caller_disconnected;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_ADAPTERS_HTTP_HTTP_SERVER_LIMITS_H_
