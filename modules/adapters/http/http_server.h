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

#include "adapters/http/http_connection_state.h"
#include "adapters/http/http_refusal.h"
#include "adapters/http/http_server_limits.h"
#include "base/millis.h"
#include "base/process_clock.h"
#include "base/result.h"

struct event;
struct event_base;
struct evbuffer;
struct evbuffer_cb_info;
struct evhtp;
struct evhtp_connection;
struct evhtp_kv;
struct evhtp_kvs;
struct evhtp_path;
struct evhtp_request;

namespace dogwoodfall {

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

/** Headers of a response besides Content-Type. */
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/** HTTP server on an event loop (libevhtp).
 *
 * Bounds what all its connections hold together. At the bound, connections
 * whose requests have not been passed on to the handler are closed, the idle
 * and the slowest ones first. See docs/design/UNTRUSTED-CLIENTS.md.
 */
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

  /** Bytes that all connections hold, as counted against max_held_bytes. */
  size_t HeldBytes() const;

  /** Refusals since the server was created. */
  const HttpRefusalCounts& Refusals() const { return this->refusals; }

 private:
  HttpServer(const HttpServerLimits& limits,
             Handler handler,
             ErrorBody error_body);

  static uint16_t OnPreAccept(evhtp_connection* connection, void* self);
  static uint16_t OnPostAccept(evhtp_connection* connection, void* self);
  static uint16_t OnConnectionEnd(evhtp_connection* connection, void* state);
  static uint16_t OnPath(evhtp_request* request, evhtp_path* path, void* state);
  static uint16_t OnHeadersStart(evhtp_request* request, void* state);
  static uint16_t OnHeader(evhtp_request* request,
                           evhtp_kv* header,
                           void* state);
  static uint16_t OnHeaders(evhtp_request* request,
                            evhtp_kvs* headers,
                            void* state);
  static uint16_t OnRead(evhtp_request* request, evbuffer* data, void* state);
  static uint16_t OnRequestEnd(evhtp_request* request, void* self);
  static void OnRequest(evhtp_request* request, void* self);
  static void OnInput(evbuffer* input,
                      const evbuffer_cb_info* info,
                      void* state);
  static void OnOutput(evbuffer* output,
                       const evbuffer_cb_info* info,
                       void* state);
  static void OnSweepTimer(int, short, void* self);
  static void OnCloseEvent(int, short, void* self);

  void HandleRequest(evhtp_request* request);
  void ReplyError(evhtp_request* request, ResultCode code);
  void HandleInput(HttpConnectionState& state,
                   evbuffer* input,
                   const evbuffer_cb_info& info);
  void BeginHead(HttpConnectionState& state);
  void FinishRequest(evhtp_connection* connection);
  bool IsKept(const evhtp_request* request, const evhtp_kv& header) const;
  void ChargeParser(HttpConnectionState& state, size_t token_bytes);
  void SetCharge(HttpConnectionState& state, size_t bytes);
  void EnforceMemoryLimit(HttpConnectionState* current);
  HttpConnectionState* FindConnectionToClose(
      const HttpConnectionState* current) const;
  void Refuse(HttpConnectionState& state, HttpRefusal refusal);
  void Sweep();
  void LogRefusals();

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
  std::unordered_map<evhtp_connection*, std::unique_ptr<HttpConnectionState>>
      states;
  /** Connections to be closed from the event loop: libevhtp still uses them
   * while it calls hooks.
   */
  std::vector<evhtp_connection*> closing;
  /** Sums over all connections, see HttpConnectionState. */
  size_t charged_bytes = 0;
  size_t input_bytes = 0;
  size_t output_bytes = 0;
  size_t parser_bytes = 0;
  HttpRefusalCounts refusals = {};
  HttpRefusalCounts logged_refusals = {};
  event* sweep_timer = nullptr;
  event* close_event = nullptr;
  ProcessClock clock;
  bool closes_connections_after_reply = false;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_ADAPTERS_HTTP_HTTP_SERVER_H_
