#include "adapters/http/http_server.h"

#include <evhtp.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cassert>
#include <utility>

namespace dogwoodfall {
namespace {

/** A body over the limit is read and discarded up to this multiple of the
 * limit, so that the caller gets an error response. Beyond it the connection is
 * closed.
 */
constexpr size_t kMaxBodyDiscardFactor = 8;
constexpr int kListenBacklog = 1024;
constexpr int64_t kMillisPerSecond = 1000;
constexpr int64_t kMicrosPerMilli = 1000;

std::string CopyToString(evbuffer* buffer) {
  const size_t size = evbuffer_get_length(buffer);
  std::string text(size, '\0');
  evbuffer_copyout(buffer, text.data(), size);
  return text;
}

std::string StringOrEmpty(const char* text) {
  return text == nullptr ? std::string() : std::string(text);
}

std::string GetMethodName(evhtp_request_t* request) {
  switch (evhtp_request_get_method(request)) {
    case htp_method_GET:
      return "GET";
    case htp_method_POST:
      return "POST";
    case htp_method_PUT:
      return "PUT";
    case htp_method_DELETE:
      return "DELETE";
    default:
      return "OTHER";
  }
}

/** Returns the time for which a request has waited in the socket's buffers. */
std::optional<Millis> GetRequestAge(evhtp_request_t* request) {
  const evhtp_connection_t* connection = evhtp_request_get_connection(request);
  tcp_info info = {};
  socklen_t length = sizeof(info);
  if (getsockopt(bufferevent_getfd(connection->bev), IPPROTO_TCP, TCP_INFO,
                 &info, &length) != 0)
    return std::nullopt;
  // Network stacks that do not keep the time report 0.
  if (info.tcpi_last_data_recv == 0)
    return std::nullopt;
  return Millis{info.tcpi_last_data_recv};
}

void AddHeader(evhtp_request_t* request, const char* key, const char* value) {
  evhtp_headers_add_header(request->headers_out,
                           evhtp_header_new(key, value, 1, 1));
}

template <typename Function>
evhtp_hook AsHook(Function function) {
  // evhtp casts each hook back to the function type of its kind.
  return reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(function));
}

}  // namespace

HttpServer::HttpServer(const HttpServerLimits& limits,
                       Handler handler,
                       ErrorBody error_body)
    : limits(limits),
      handler(std::move(handler)),
      error_body(std::move(error_body)) {}

Result<std::unique_ptr<HttpServer>> HttpServer::Create(
    event_base* base,
    const std::string& ip,
    uint16_t port,
    const HttpServerLimits& limits,
    Handler handler,
    ErrorBody error_body) {
  std::unique_ptr<HttpServer> created(
      new HttpServer(limits, std::move(handler), std::move(error_body)));
  created->server = evhtp_new(base, nullptr);
  HttpServer* self = created.get();
  evhtp_set_gencb(self->server, &HttpServer::OnRequest, self);
  evhtp_set_pre_accept_cb(self->server, &HttpServer::OnPreAccept, self);
  evhtp_set_post_accept_cb(self->server, &HttpServer::OnPostAccept, self);
  const timeval timeout = {
      limits.read_timeout_ms / kMillisPerSecond,
      (limits.read_timeout_ms % kMillisPerSecond) * kMicrosPerMilli};
  evhtp_set_timeouts(self->server, &timeout, &timeout);
  if (evhtp_bind_socket(self->server, ip.c_str(), port, kListenBacklog) < 0) {
    return Error{ResultCode::kConnectionFailed,
                 "can't listen on " + ip + ":" + std::to_string(port)};
  }
  return created;
}

HttpServer::~HttpServer() {
  if (this->server == nullptr)
    return;
  evhtp_unbind_socket(this->server);
  evhtp_free(this->server);
}

void HttpServer::Reply(HttpToken token, int status, const std::string& body) {
  this->ReplyAs(token, status, body, "application/json");
}

void HttpServer::ReplyAs(HttpToken token,
                         int status,
                         const std::string& body,
                         const char* content_type,
                         const HttpHeaders& headers) {
  const auto found = this->open_requests.find(token);
  if (found == this->open_requests.end())
    return;
  evhtp_request_t* request = found->second;
  this->tokens.erase(request);
  this->open_requests.erase(found);
  AddHeader(request, "Content-Type", content_type);
  if (this->closes_connections_after_reply)
    evhtp_request_set_keepalive(request, 0);
  for (const auto& [name, value] : headers)
    AddHeader(request, name.c_str(), value.c_str());
  evbuffer_add(request->buffer_out, body.data(), body.size());
  evhtp_send_reply(request, static_cast<evhtp_res>(status));
  if (token != this->handled_token && !this->limits.on_caller_disconnected)
    evhtp_request_resume(request);
}

uint16_t HttpServer::OnPreAccept(evhtp_connection_t*, void* argument) {
  const auto* self = static_cast<HttpServer*>(argument);
  return self->connections < 2 * self->limits.max_connections ? EVHTP_RES_OK
                                                              : EVHTP_RES_ERROR;
}

uint16_t HttpServer::OnPostAccept(evhtp_connection_t* connection,
                                  void* argument) {
  auto* self = static_cast<HttpServer*>(argument);
  ++self->connections;
  evhtp_connection_set_hook(connection, evhtp_hook_on_connection_fini,
                            AsHook(&HttpServer::OnConnectionEnd), self);
  evhtp_connection_set_hook(connection, evhtp_hook_on_read,
                            AsHook(&HttpServer::OnRead), self);
  return EVHTP_RES_OK;
}

uint16_t HttpServer::OnConnectionEnd(evhtp_connection_t*, void* argument) {
  --static_cast<HttpServer*>(argument)->connections;
  return EVHTP_RES_OK;
}

uint16_t HttpServer::OnRead(evhtp_request_t* request,
                            evbuffer* data,
                            void* argument) {
  auto* self = static_cast<HttpServer*>(argument);
  const size_t size = evbuffer_get_length(data);
  const auto known = self->oversized_requests.find(request);
  if (known == self->oversized_requests.end() &&
      evbuffer_get_length(request->buffer_in) + size <=
          self->limits.max_body_bytes)
    return EVHTP_RES_OK;
  if (known == self->oversized_requests.end()) {
    evhtp_request_set_hook(request, evhtp_hook_on_request_fini,
                           AsHook(&HttpServer::OnRequestEnd), self);
  }
  size_t& received = self->oversized_requests[request];
  received += size;
  evbuffer_drain(data, size);
  return received <= kMaxBodyDiscardFactor * self->limits.max_body_bytes
             ? EVHTP_RES_OK
             : EVHTP_RES_ERROR;
}

uint16_t HttpServer::OnRequestEnd(evhtp_request_t* request, void* argument) {
  auto* self = static_cast<HttpServer*>(argument);
  self->oversized_requests.erase(request);
  const auto found = self->tokens.find(request);
  if (found != self->tokens.end()) {
    const HttpToken token = found->second;
    self->open_requests.erase(token);
    self->tokens.erase(found);
    if (self->limits.on_caller_disconnected)
      self->limits.on_caller_disconnected(token);
  }
  return EVHTP_RES_OK;
}

void HttpServer::OnRequest(evhtp_request_t* request, void* argument) {
  static_cast<HttpServer*>(argument)->HandleRequest(request);
}

void HttpServer::HandleRequest(evhtp_request_t* request) {
  if (this->connections > this->limits.max_connections) {
    this->ReplyError(request, ResultCode::kTooManyConnections);
    return;
  }
  if (this->oversized_requests.count(request) > 0) {
    this->ReplyError(request, ResultCode::kBodyTooLarge);
    return;
  }
  HttpRequest parsed;
  parsed.age = GetRequestAge(request);
  parsed.method = GetMethodName(request);
  if (request->uri != nullptr && request->uri->path != nullptr)
    parsed.path = StringOrEmpty(request->uri->path->full);
  if (request->uri != nullptr) {
    parsed.query =
        StringOrEmpty(reinterpret_cast<const char*>(request->uri->query_raw));
  }
  for (const std::string& name : this->limits.captured_headers) {
    const char* value = evhtp_header_find(request->headers_in, name.c_str());
    if (value != nullptr)
      parsed.headers[name] = value;
  }
  parsed.body = CopyToString(request->buffer_in);
  evbuffer_drain(request->buffer_in, parsed.body.size());
  const HttpToken token = ++this->last_token;
  this->open_requests[token] = request;
  this->tokens[request] = token;
  evhtp_request_set_hook(request, evhtp_hook_on_request_fini,
                         AsHook(&HttpServer::OnRequestEnd), this);
  this->handled_token = token;
  this->handler(token, std::move(parsed));
  this->handled_token = 0;
  if (this->open_requests.count(token) > 0 &&
      !this->limits.on_caller_disconnected)
    evhtp_request_pause(request);
}

void HttpServer::ReplyError(evhtp_request_t* request, ResultCode code) {
  const std::string body = this->error_body(code);
  AddHeader(request, "Content-Type", "application/json");
  evhtp_request_set_keepalive(request, 0);
  evbuffer_add(request->buffer_out, body.data(), body.size());
  evhtp_send_reply(request, static_cast<evhtp_res>(RowOf(code).http_status));
}

}  // namespace dogwoodfall
