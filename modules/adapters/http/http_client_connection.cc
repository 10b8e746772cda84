#include "adapters/http/http_client_connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

#include <cassert>
#include <cerrno>
#include <utility>

namespace dogwoodfall {
namespace {

constexpr int64_t kMillisPerSecond = 1000;
constexpr int64_t kMicrosPerMilli = 1000;
/** Time limit for connecting and writing the first byte of a request. */
constexpr timeval kConnectTimeout = {1, 0};

evhttp_cmd_type ParseMethod(const std::string& method) {
  if (method == "DELETE")
    return EVHTTP_REQ_DELETE;
  return method == "GET" ? EVHTTP_REQ_GET : EVHTTP_REQ_POST;
}

std::string ReadBody(evhttp_request* request) {
  evbuffer* buffer = evhttp_request_get_input_buffer(request);
  const size_t size = evbuffer_get_length(buffer);
  std::string body(size, '\0');
  evbuffer_copyout(buffer, body.data(), size);
  return body;
}

}  // namespace

HttpClientConnection::HttpClientConnection(event_base* base,
                                           HttpClient& client,
                                           const HttpAddress& address,
                                           const HttpClientLimits& limits)
    : client(client), address(address) {
  this->connection = evhttp_connection_base_new(
      base, nullptr, address.ip.c_str(), address.port);
  assert(this->connection != nullptr);
  // A request that evhttp repeats by itself could start a task twice.
  evhttp_connection_set_retries(this->connection, 0);
  evhttp_connection_set_max_headers_size(
      this->connection, static_cast<ev_ssize_t>(limits.max_head_bytes));
  evhttp_connection_set_max_body_size(
      this->connection, static_cast<ev_ssize_t>(limits.max_body_bytes));
  bufferevent* stream = evhttp_connection_get_bufferevent(this->connection);
  evbuffer_add_cb(bufferevent_get_output(stream),
                  &HttpClientConnection::OnWritten, this);
  evbuffer_add_cb(bufferevent_get_input(stream),
                  &HttpClientConnection::OnReceived, this);
  this->connect_timer =
      evtimer_new(base, &HttpClientConnection::OnConnectTimeout, this);
}

HttpClientConnection::~HttpClientConnection() {
  event_free(this->connect_timer);
  evhttp_connection_free(this->connection);
}

void HttpClientConnection::Send(const std::string& method,
                                const std::string& path,
                                const std::string& body,
                                const HttpClientHeaders& extra_headers,
                                Millis timeout,
                                HttpClient::Callback callback) {
  assert(this->callback == nullptr);
  this->callback = std::move(callback);
  this->bytes_written = 0;
  const timeval request_timeout = {
      timeout.count / kMillisPerSecond,
      (timeout.count % kMillisPerSecond) * kMicrosPerMilli};
  evhttp_connection_set_timeout_tv(this->connection, &request_timeout);
  this->request = evhttp_request_new(&HttpClientConnection::OnResponse, this);
  evkeyvalq* headers = evhttp_request_get_output_headers(this->request);
  const std::string host =
      this->address.ip + ":" + std::to_string(this->address.port);
  evhttp_add_header(headers, "Host", host.c_str());
  evhttp_add_header(headers, "Content-Type", "application/json");
  for (const auto& [name, value] : extra_headers)
    evhttp_add_header(headers, name.c_str(), value.c_str());
  evbuffer_add(evhttp_request_get_output_buffer(this->request), body.data(),
               body.size());
  evtimer_add(this->connect_timer, &kConnectTimeout);
  if (evhttp_make_request(this->connection, this->request, ParseMethod(method),
                          path.c_str()) != 0)
    this->client.Finish(this, {HttpOutcome::kNotSent, 0, {}, false});
}

void HttpClientConnection::OnConnectTimeout(int, short, void* argument) {
  auto* self = static_cast<HttpClientConnection*>(argument);
  if (self->callback == nullptr || self->bytes_written > 0)
    return;
  // Cancelling closes the connection, so no byte can be written afterwards.
  evhttp_cancel_request(self->request);
  self->client.Finish(self, {HttpOutcome::kNotSent, 0, {}, false});
}

void HttpClientConnection::OnResponse(evhttp_request* request, void* argument) {
  const int connect_error = EVUTIL_SOCKET_ERROR();
  auto* self = static_cast<HttpClientConnection*>(argument);
  // The failure was already reported when evhttp_make_request failed.
  if (self->callback == nullptr)
    return;
  evtimer_del(self->connect_timer);
  // Clears the timeout, which applies to the request only. Otherwise it would
  // close the connection while it is idle.
  bufferevent_set_timeouts(evhttp_connection_get_bufferevent(self->connection),
                           nullptr, nullptr);
  HttpResponse response;
  const int status =
      request == nullptr ? 0 : evhttp_request_get_response_code(request);
  if (status != 0) {
    response.outcome = HttpOutcome::kAnswered;
    response.status = status;
    response.body = ReadBody(request);
  } else {
    // evhttp has just closed the socket, but errno still holds the error of the
    // connection attempt.
    response.is_connection_refused =
        self->bytes_written == 0 && connect_error == ECONNREFUSED;
    response.outcome =
        self->bytes_written == 0 ? HttpOutcome::kNotSent : HttpOutcome::kLost;
  }
  self->client.Finish(self, response);
}

void HttpClientConnection::NotifyArrival() {
  const auto notify = std::exchange(this->on_arriving, nullptr);
  if (notify)
    notify();
}

void HttpClientConnection::Cancel() {
  evtimer_del(this->connect_timer);
  evhttp_cancel_request(this->request);
}

void HttpClientConnection::OnReceived(evbuffer*,
                                      const evbuffer_cb_info* info,
                                      void* argument) {
  auto* self = static_cast<HttpClientConnection*>(argument);
  if (info->n_added > 0)
    self->client.HandleReceived(self, info->n_added);
}

void HttpClientConnection::OnWritten(evbuffer*,
                                     const evbuffer_cb_info* info,
                                     void* argument) {
  static_cast<HttpClientConnection*>(argument)->bytes_written +=
      info->n_deleted;
}

}  // namespace dogwoodfall
