#ifndef DOGWOODFALL_MODULES_ADAPTERS_HTTP_HTTP_ADDRESS_H_
#define DOGWOODFALL_MODULES_ADAPTERS_HTTP_HTTP_ADDRESS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

namespace dogwoodfall {

/** Address of an HTTP server. */
struct HttpAddress {
  std::string ip;
  uint16_t port = 0;

  friend bool operator<(const HttpAddress& a, const HttpAddress& b) {
    return std::tie(a.ip, a.port) < std::tie(b.ip, b.port);
  }
};

/** Returns true for an IPv4 address in dotted-decimal form. */
bool IsIpv4Address(const std::string& text);

/** Parses "HOST:PORT". The host is not validated.
 *
 * @return nothing when the host is empty or the port is not 1 to 65535
 */
std::optional<HttpAddress> ParseHttpAddress(const std::string& text);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_ADAPTERS_HTTP_HTTP_ADDRESS_H_
