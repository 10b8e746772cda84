#ifndef DOGWOODFALL_MODULES_ADAPTERS_HTTP_HTTP_CLIENT_H_
#define DOGWOODFALL_MODULES_ADAPTERS_HTTP_HTTP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "adapters/http/http_address.h"
#include "base/millis.h"

struct event_base;

namespace dogwoodfall {

/** How a request to an outside system ended. */
enum class HttpOutcome : uint8_t {
  /** There is a status and a body. */
  kAnswered = 0,
  /** Not one byte of the request left; the other side has not seen it. */
  kNotSent = 1,
  /** Bytes left, but no whole answer came back. */
  kLost = 2,
};

/** Answer to a request, or why there is none. */
struct HttpResponse {
  HttpOutcome outcome = HttpOutcome::kLost;
  int status = 0;
  std::string body;
  /** True when the connection was refused: no process listens there. */
  bool is_connection_refused = false;
};

/** Headers of a request beside its host and content type. */
using HttpClientHeaders = std::vector<std::pair<std::string, std::string>>;

class HttpClientConnection;

/** HTTP requests on the event loop over kept connections (evhttp). Each
 * connection carries one request at a time; nothing is ever sent twice.
 */
class HttpClient {
 public:
  /** Called exactly once for each request that is not cancelled by the end of
   * the client.
   */
  using Callback = std::function<void(const HttpResponse&)>;

  /** @param base the event loop; must live as long as the client */
  explicit HttpClient(event_base* base);
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  ~HttpClient();

  /** Sends a request.
   *
   * @param timeout time without progress after which it counts as lost
   */
  void Send(const HttpAddress& address,
            const std::string& method,
            const std::string& path,
            const std::string& body,
            Millis timeout,
            Callback callback);

  /** Sends a request with further headers. */
  void SendWithHeaders(const HttpAddress& address,
                       const std::string& method,
                       const std::string& path,
                       const std::string& body,
                       const HttpClientHeaders& headers,
                       Millis timeout,
                       Callback callback);

  /** Connections to all servers, in use or kept. */
  size_t Connections() const;

  /** Connections opened so far. */
  uint64_t OpenedConnections() const { return this->opened; }

 private:
  friend class HttpClientConnection;

  void Finish(HttpClientConnection* connection, const HttpResponse& answer);
  void DropRetired();

  event_base* base;
  uint64_t opened = 0;
  std::map<HttpAddress, std::vector<std::unique_ptr<HttpClientConnection>>>
      idle;
  std::map<HttpClientConnection*, std::unique_ptr<HttpClientConnection>> busy;
  /** Connections that failed; freed once evhttp has returned. */
  std::vector<std::unique_ptr<HttpClientConnection>> retired;
  bool drop_scheduled = false;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_ADAPTERS_HTTP_HTTP_CLIENT_H_
