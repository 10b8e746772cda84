#ifndef DOGWOODFALL_MODULES_ADAPTERS_ENDPOINTS_ENDPOINT_CLIENT_H_
#define DOGWOODFALL_MODULES_ADAPTERS_ENDPOINTS_ENDPOINT_CLIENT_H_

#include <functional>
#include <map>

#include "adapters/http/http_client.h"
#include "base/ids.h"
#include "model/endpoint_member.h"
#include "ports/action.h"
#include "ports/endpoint_event.h"

namespace dogwoodfall {

/** Starts and stops tasks on endpoints over HTTP.
 *
 * A start is POST /v1/tasks; docs/ENDPOINTS.md describes it.
 */
class EndpointClient {
 public:
  using Handler = std::function<void(const EndpointEvent&)>;

  /** @param http must live as long as the client */
  EndpointClient(HttpClient& http, Handler handler);

  /** Notes where an endpoint is. */
  void SetAddress(const EndpointId& endpoint, const HttpAddress& address);

  /** Sends a start; the handler gets exactly one event for its lease. */
  void Start(const StartTask& start);

  /** Sends a stop; its answer is not looked at. */
  void Stop(const StopTask& stop);

 private:
  void TakeAnswer(const StartTask& start, const HttpResponse& answer);

  HttpClient& http;
  Handler handler;
  std::map<EndpointId, HttpAddress> addresses;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_ADAPTERS_ENDPOINTS_ENDPOINT_CLIENT_H_
