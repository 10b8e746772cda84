#include "adapters/http/http_address.h"

#include <arpa/inet.h>

#include <charconv>

namespace dogwoodfall {

bool IsIpv4Address(const std::string& text) {
  in_addr address = {};
  return text.find('\0') == std::string::npos &&
         inet_pton(AF_INET, text.c_str(), &address) == 1;
}

std::optional<HttpAddress> ParseHttpAddress(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0)
    return std::nullopt;
  HttpAddress address;
  address.ip = text.substr(0, colon);
  const char* end = text.data() + text.size();
  const auto read = std::from_chars(text.data() + colon + 1, end, address.port);
  if (read.ec != std::errc() || read.ptr != end || address.port == 0)
    return std::nullopt;
  return address;
}

}  // namespace dogwoodfall
