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

/** Starts and stops tasks on endpoints over HTTP, with POST /v1/tasks and
 * POST /v1/tasks/stop. See docs/ENDPOINTS.md.
 */
class EndpointClient {
 public:
  using Handler = std::function<void(const EndpointEvent&)>;

  /** @param http must outlive the client
   * @param handler called with the result of each start
   */
  EndpointClient(HttpClient& http, Handler handler);

  /** Sets the address of an endpoint. Needed before its first start or stop. */
  void SetAddress(const EndpointId& endpoint, const HttpAddress& address);

  /** Sends a start. The handler receives exactly one event with its lease. */
  void Start(const StartTask& start);

  /** Sends a stop. Its response is ignored. */
  void Stop(const StopTask& stop);

 private:
  void HandleResponse(const StartTask& start, const HttpResponse& response);

  HttpClient& http;
  Handler handler;
  std::map<EndpointId, HttpAddress> addresses;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_ADAPTERS_ENDPOINTS_ENDPOINT_CLIENT_H_
