#ifndef DOGWOODFALL_MODULES_ADAPTERS_HTTP_HTTP_CLIENT_CONNECTION_H_
#define DOGWOODFALL_MODULES_ADAPTERS_HTTP_HTTP_CLIENT_CONNECTION_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>

#include "adapters/http/http_client.h"
#include "base/millis.h"

struct evbuffer;
struct event;
struct evbuffer_cb_info;
struct event_base;
struct evhttp_connection;
struct evhttp_request;

namespace dogwoodfall {

/** A persistent connection to a server. Carries one request at a time. */
class HttpClientConnection {
 public:
  /** @param client must outlive the connection */
  HttpClientConnection(event_base* base,
                       HttpClient& client,
                       const HttpAddress& address,
                       const HttpClientLimits& limits);
  HttpClientConnection(const HttpClientConnection&) = delete;
  HttpClientConnection& operator=(const HttpClientConnection&) = delete;
  ~HttpClientConnection();

  /** Sends a request. No other request may be pending on the connection. */
  void Send(const std::string& method,
            const std::string& path,
            const std::string& body,
            const HttpClientHeaders& headers,
            Millis timeout,
            HttpClient::Callback callback);

  /** Address of the server. */
  const HttpAddress& Address() const { return this->address; }

  /** Number of the pending request among all requests of the client. */
  void SetRequestNumber(uint64_t number) { this->request_number = number; }
  uint64_t RequestNumber() const { return this->request_number; }

  /** Number of the client's latest request when the last answer came. */
  void SetAnsweredAfter(uint64_t number) { this->answered_after = number; }
  uint64_t AnsweredAfter() const { return this->answered_after; }

  /** Bytes received of the response to the pending request. */
  void AddReceivedBytes(size_t bytes) { this->received_bytes += bytes; }
  size_t ReceivedBytes() const { return this->received_bytes; }
  /** Returns ReceivedBytes() and sets it to 0. */
  size_t TakeReceivedBytes() { return std::exchange(this->received_bytes, 0); }

  void SetArrivalCallback(HttpClient::ArrivalCallback on_arriving) {
    this->on_arriving = std::move(on_arriving);
  }
  /** Calls the arrival callback of the pending request, if it has one, once. */
  void NotifyArrival();

  /** Cancels the pending request, which closes the connection. */
  void Cancel();

  /** Moves the callback of the finished request out of the connection. */
  HttpClient::Callback TakeCallback() { return std::move(this->callback); }

 private:
  static void OnResponse(evhttp_request* request, void* self);
  static void OnConnectTimeout(int, short what, void* self);
  static void OnReceived(evbuffer* buffer,
                         const evbuffer_cb_info* info,
                         void* self);
  static void OnWritten(evbuffer* buffer,
                        const evbuffer_cb_info* info,
                        void* self);

  HttpClient& client;
  HttpAddress address;
  evhttp_connection* connection = nullptr;
  /** The pending request. Owned by evhttp. */
  evhttp_request* request = nullptr;
  event* connect_timer = nullptr;
  HttpClient::Callback callback;
  HttpClient::ArrivalCallback on_arriving;
  size_t bytes_written = 0;
  size_t received_bytes = 0;
  uint64_t request_number = 0;
  uint64_t answered_after = 0;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_ADAPTERS_HTTP_HTTP_CLIENT_CONNECTION_H_
