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
#include "adapters/http/http_client_limits.h"
#include "base/millis.h"

struct event_base;

namespace dogwoodfall {

/** Outcome of a request to an external system. */
enum class HttpOutcome : uint8_t {
  /** A complete response was received. */
  kAnswered = 0,
  /** No byte of the request was written: the server has not seen it. */
  kNotSent = 1,
  /** Bytes were written, but no complete response was received: the server may
   * have processed the request.
   */
  kLost = 2,
};

/** Response to a request, or the reason why there is none. */
struct HttpResponse {
  HttpOutcome outcome = HttpOutcome::kLost;
  int status = 0;
  std::string body;
  /** True when the connection was refused: no process listens on the port. */
  bool is_connection_refused = false;
};

/** Headers of a request besides Host and Content-Type. */
using HttpClientHeaders = std::vector<std::pair<std::string, std::string>>;

class HttpClientConnection;

/** Asynchronous HTTP client with persistent connections (evhttp).
 *
 * Each connection carries one request at a time. Requests are never retried, as
 * a repeated request could start a task twice. When one gets no answer, the
 * idle connections to its server are closed that have not answered since it was
 * sent: they may have become silent together with its connection.
 */
class HttpClient {
 public:
  /** Called exactly once for each request, except for those that are pending
   * when the client is destroyed.
   */
  using Callback = std::function<void(const HttpResponse&)>;
  /** Called once when the first part of a large response has arrived. */
  using ArrivalCallback = std::function<void()>;

  /** @param base the event loop; must outlive the client */
  explicit HttpClient(event_base* base, const HttpClientLimits& limits = {});
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  ~HttpClient();

  /** Sends a request.
   *
   * @param timeout time without progress on the connection after which the
   * request fails
   */
  void Send(const HttpAddress& address,
            const std::string& method,
            const std::string& path,
            const std::string& body,
            Millis timeout,
            Callback callback,
            ArrivalCallback on_arriving = nullptr);

  /** Sends a request with additional headers. */
  void SendWithHeaders(const HttpAddress& address,
                       const std::string& method,
                       const std::string& path,
                       const std::string& body,
                       const HttpClientHeaders& headers,
                       Millis timeout,
                       Callback callback,
                       ArrivalCallback on_arriving = nullptr);

  /** Number of open connections to all servers, in use or idle. */
  size_t Connections() const;

  /** Number of connections opened since the client was created. */
  uint64_t OpenedConnections() const { return this->opened_connections; }

  /** Number of responses given up because together they exceeded
   * max_held_bytes.
   */
  uint64_t ResponsesGivenUp() const { return this->responses_given_up; }

 private:
  friend class HttpClientConnection;

  void Finish(HttpClientConnection* connection, const HttpResponse& response);
  void HandleReceived(HttpClientConnection* connection, size_t bytes);
  void ForgetReceived(size_t bytes) { this->held_bytes -= bytes; }
  void GiveUpLargestResponses();
  void FreeFailedConnections();
  void CloseSilentConnections(const HttpAddress& address, uint64_t since);

  event_base* base;
  HttpClientLimits limits;
  /** Bytes received of responses that are not complete yet. */
  size_t held_bytes = 0;
  uint64_t responses_given_up = 0;
  bool is_giving_up_scheduled = false;
  uint64_t opened_connections = 0;
  /** Number of requests sent so far. */
  uint64_t requests = 0;
  std::map<HttpAddress, std::vector<std::unique_ptr<HttpClientConnection>>>
      idle;
  std::map<HttpClientConnection*, std::unique_ptr<HttpClientConnection>> busy;
  /** Connections that failed. They are freed from the event loop, as evhttp
   * still uses them while it reports the failure.
   */
  std::vector<std::unique_ptr<HttpClientConnection>> failed_connections;
  bool is_cleanup_scheduled = false;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_ADAPTERS_HTTP_HTTP_CLIENT_H_
