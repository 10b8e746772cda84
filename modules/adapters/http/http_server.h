#ifndef DOGWOODFALL_MODULES_ADAPTERS_HTTP_HTTP_SERVER_H_
#define DOGWOODFALL_MODULES_ADAPTERS_HTTP_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/millis.h"
#include "base/result.h"

struct event_base;
struct evbuffer;
struct evhtp;
struct evhtp_connection;
struct evhtp_request;

namespace dogwoodfall {

/** Identifies a request that has not been answered yet. */
using HttpToken = uint64_t;

/** A received request. */
struct HttpRequest {
  std::string method;
  std::string path;
  /** Query string without the question mark, not decoded. */
  std::string query;
  std::string body;
  /** The captured headers that the request has, by lower-case name. */
  std::map<std::string, std::string> headers;
  /** Time since its last byte has arrived at this host; none when the system
   * does not report it.
   */
  std::optional<Millis> age;
};

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
  /** Lower-case names of the headers that are passed to the handler. */
  std::vector<std::string> captured_headers;
  /** Called when a caller closes its connection before its request is
   * answered. With this callback connections are read while a request is
   * pending, and a connection that sends a second request meanwhile is closed.
   */
  std::function<void(HttpToken)> on_caller_disconnected;
};

/** Headers of a response besides Content-Type. */
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/** HTTP server on an event loop (libevhtp). */
class HttpServer {
 public:
  /** Called for each request. Reply() answers it, during the call or later. */
  using Handler = std::function<void(HttpToken, HttpRequest)>;
  /** Returns the body of an error response that the server itself sends. */
  using ErrorBody = std::function<std::string(ResultCode)>;

  /** Creates a server that listens on an address.
   *
   * @param base the event loop; must outlive the server
   * @return kConnectionFailed when the address can't be bound
   */
  static Result<std::unique_ptr<HttpServer>> Create(
      event_base* base,
      const std::string& ip,
      uint16_t port,
      const HttpServerLimits& limits,
      Handler handler,
      ErrorBody error_body);

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  /** Answers a request with a JSON body. Does nothing when the connection of
   * the request has been closed.
   */
  void Reply(HttpToken token, int status, const std::string& body);

  /** Like Reply(), with another content type and additional headers. */
  void ReplyAs(HttpToken token,
               int status,
               const std::string& body,
               const char* content_type,
               const HttpHeaders& headers = {});

  /** Closes each connection after its next response from now on, so that
   * callers reconnect to another daemon.
   */
  void CloseConnectionsAfterReply() {
    this->closes_connections_after_reply = true;
  }

  /** Number of open connections. */
  uint32_t Connections() const { return this->connections; }

 private:
  HttpServer(const HttpServerLimits& limits,
             Handler handler,
             ErrorBody error_body);

  static uint16_t OnPreAccept(evhtp_connection* connection, void* self);
  static uint16_t OnPostAccept(evhtp_connection* connection, void* self);
  static uint16_t OnConnectionEnd(evhtp_connection* connection, void* self);
  static uint16_t OnRead(evhtp_request* request, evbuffer* data, void* self);
  static uint16_t OnRequestEnd(evhtp_request* request, void* self);
  static void OnRequest(evhtp_request* request, void* self);

  void HandleRequest(evhtp_request* request);
  void ReplyError(evhtp_request* request, ResultCode code);

  HttpServerLimits limits;
  Handler handler;
  ErrorBody error_body;
  evhtp* server = nullptr;
  std::unordered_map<HttpToken, evhtp_request*> open_requests;
  std::unordered_map<evhtp_request*, HttpToken> tokens;
  /** Requests whose body exceeds the limit, with the bytes received of it. */
  std::unordered_map<evhtp_request*, size_t> oversized_requests;
  HttpToken last_token = 0;
  /** The request whose handler is running; 0 for none. */
  HttpToken handled_token = 0;
  uint32_t connections = 0;
  bool closes_connections_after_reply = false;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_ADAPTERS_HTTP_HTTP_SERVER_H_
