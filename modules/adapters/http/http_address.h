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

/** True for an IPv4 number in dotted form. */
bool IsIpv4Address(const std::string& text);

/** Reads "HOST:PORT"; the host is not checked. */
std::optional<HttpAddress> ParseHttpAddress(const std::string& text);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_ADAPTERS_HTTP_HTTP_ADDRESS_H_
