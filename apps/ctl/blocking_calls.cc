#include "ctl/blocking_calls.h"

#include <event2/event.h>

#include <charconv>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>

#include "adapters/store/store_gateway.h"

namespace dogwoodfall {
namespace {

using EventBase = std::unique_ptr<event_base, decltype(&event_base_free)>;

}  // namespace

Result<HttpAddress> ParseAddress(const std::string& text) {
  const size_t colon = text.rfind(':');
  HttpAddress address;
  if (colon != std::string::npos) {
    address.ip = text.substr(0, colon);
    const char* begin = text.data() + colon + 1;
    const char* end = text.data() + text.size();
    const auto [parsed_end, error] = std::from_chars(begin, end, address.port);
    if (error == std::errc() && parsed_end == end && !address.ip.empty())
      return address;
  }
  return Error{ResultCode::kValueOutOfRange, text + " is not IP:PORT"};
}

HttpResponse CallHttp(const HttpAddress& address,
                      const std::string& method,
                      const std::string& path,
                      const std::string& body,
                      Millis timeout) {
  const EventBase base(event_base_new(), &event_base_free);
  HttpClient client(base.get());
  HttpResponse result;
  client.Send(address, method, path, body, timeout,
              [&](const HttpResponse& answer) {
                result = answer;
                event_base_loopbreak(base.get());
              });
  event_base_dispatch(base.get());
  return result;
}

StoreReply CallStoreOnce(const HttpAddress& address,
                         const StoreRequest& request,
                         Millis timeout) {
  const EventBase base(event_base_new(), &event_base_free);
  HttpClient client(base.get());
  StoreGateway gateway(client, address, timeout);
  StoreReply result;
  gateway.Call(StorePurpose::kConfiguration, request,
               [&](const StoreReply& reply) {
                 result = reply;
                 event_base_loopbreak(base.get());
               });
  event_base_dispatch(base.get());
  return result;
}

Result<std::string> ReadWholeFile(const std::string& path) {
  std::stringstream text;
  if (path == "-") {
    text << std::cin.rdbuf();
    return text.str();
  }
  std::ifstream file(path);
  if (!file)
    return Error{ResultCode::kMalformedRequest, path + " can't be read"};
  text << file.rdbuf();
  return text.str();
}

}  // namespace dogwoodfall
