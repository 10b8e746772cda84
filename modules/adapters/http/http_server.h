#ifndef DOGWOODFALL_MODULES_ADAPTERS_HTTP_HTTP_SERVER_H_
#define DOGWOODFALL_MODULES_ADAPTERS_HTTP_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/result.h"

struct event_base;
struct evbuffer;
struct evhtp;
struct evhtp_connection;
struct evhtp_request;

namespace dogwoodfall {

/** Names a request that is not answered yet. */
using HttpToken = uint64_t;

/** A request as it came in. */
struct HttpRequest {
  std::string method;
  std::string path;
  /** Text behind the question mark, or empty. */
  std::string query;
  std::string body;
  /** Headers by their names in lower case; only those that were asked for. */
  std::map<std::string, std::string> headers;
};

/** Bounds of a listener. */
struct HttpServerLimits {
  size_t max_body_bytes = 1'000'000;
  /** Connections that are served; up to twice as many are told so. */
  uint32_t max_connections = 1'000;
  /** Time a caller may take between two parts of a request, in ms. */
  int64_t read_timeout_ms = 30'000;
  /** Names, in lower case, of the headers that handlers are given. */
  std::vector<std::string> captured_headers;
  /** Called when a caller closes its connection before its request is
   * answered. Connections are then read while a request is open, and one that
   * sends a second request meanwhile is cut.
   */
  std::function<void(HttpToken)> on_caller_disconnected;
};

/** Headers of an answer beside its content type. */
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/** An HTTP listener on the event loop (libevhtp). */
class HttpServer {
 public:
  /** Called for each request; it is answered by Reply, then or later. */
  using Handler = std::function<void(HttpToken, HttpRequest)>;
  /** Makes the body of an answer that the server gives by itself. */
  using ErrorBody = std::function<std::string(ResultCode)>;

  /** Listens on an address.
   *
   * @param base the event loop; must live as long as the server
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

  /** Answers a request. Does nothing when its connection is gone. */
  void Reply(HttpToken token, int status, const std::string& body);

  /** Answers with a content type other than JSON. */
  void ReplyAs(HttpToken token,
               int status,
               const std::string& body,
               const char* content_type,
               const HttpHeaders& headers = {});

  /** From now on a connection is closed once its request is answered, so that
   * callers move to another daemon.
   */
  void CloseConnectionsAfterReply() { this->closes_after_answers = true; }

  /** Connections that are open. */
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

  void Accept(evhtp_request* request);
  void Refuse(evhtp_request* request, ResultCode code);

  HttpServerLimits limits;
  Handler handler;
  ErrorBody error_body;
  evhtp* server = nullptr;
  std::unordered_map<HttpToken, evhtp_request*> open;
  std::unordered_map<evhtp_request*, HttpToken> tokens;
  /** Requests with a body over the limit, and the bytes they sent. */
  std::unordered_map<evhtp_request*, size_t> oversized;
  HttpToken last_token = 0;
  /** The request whose handler is running. */
  HttpToken in_handler = 0;
  uint32_t connections = 0;
  bool closes_after_answers = false;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_ADAPTERS_HTTP_HTTP_SERVER_H_
