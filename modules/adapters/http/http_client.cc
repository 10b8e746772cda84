#include "adapters/http/http_client.h"

#include <event2/event.h>

#include <algorithm>

#include "adapters/http/http_client_connection.h"

namespace dogwoodfall {
namespace {

/** Size from which on a response counts as large. Smaller ones arrive at once.
 */
constexpr size_t kLargeResponseBytes = 8'192;

}  // namespace

HttpClient::HttpClient(event_base* base, const HttpClientLimits& limits)
    : base(base), limits(limits) {}

HttpClient::~HttpClient() = default;

void HttpClient::Send(const HttpAddress& address,
                      const std::string& method,
                      const std::string& path,
                      const std::string& body,
                      Millis timeout,
                      Callback callback,
                      ArrivalCallback on_arriving) {
  this->SendWithHeaders(address, method, path, body, {}, timeout,
                        std::move(callback), std::move(on_arriving));
}

void HttpClient::SendWithHeaders(const HttpAddress& address,
                                 const std::string& method,
                                 const std::string& path,
                                 const std::string& body,
                                 const HttpClientHeaders& headers,
                                 Millis timeout,
                                 Callback callback,
                                 ArrivalCallback on_arriving) {
  auto& idle_connections = this->idle[address];
  std::unique_ptr<HttpClientConnection> connection;
  if (idle_connections.empty()) {
    ++this->opened_connections;
    connection = std::make_unique<HttpClientConnection>(this->base, *this,
                                                        address, this->limits);
  } else {
    connection = std::move(idle_connections.back());
    idle_connections.pop_back();
  }
  HttpClientConnection* raw = connection.get();
  this->busy.emplace(raw, std::move(connection));
  raw->SetRequestNumber(++this->requests);
  raw->SetArrivalCallback(std::move(on_arriving));
  raw->Send(method, path, body, headers, timeout, std::move(callback));
}

size_t HttpClient::Connections() const {
  size_t count = this->busy.size();
  for (const auto& [address, idle_connections] : this->idle)
    count += idle_connections.size();
  return count;
}

void HttpClient::Finish(HttpClientConnection* connection,
                        const HttpResponse& response) {
  const auto found = this->busy.find(connection);
  std::unique_ptr<HttpClientConnection> finished = std::move(found->second);
  this->busy.erase(found);
  this->ForgetReceived(finished->TakeReceivedBytes());
  const Callback callback = finished->TakeCallback();
  if (response.outcome == HttpOutcome::kAnswered) {
    finished->SetAnsweredAfter(this->requests);
    this->idle[connection->Address()].push_back(std::move(finished));
  } else {
    this->CloseSilentConnections(connection->Address(),
                                 finished->RequestNumber());
    this->failed_connections.push_back(std::move(finished));
    if (!this->is_cleanup_scheduled) {
      this->is_cleanup_scheduled = true;
      const timeval no_delay = {0, 0};
      event_base_once(
          this->base, -1, EV_TIMEOUT,
          [](evutil_socket_t, short, void* self) {
            static_cast<HttpClient*>(self)->FreeFailedConnections();
          },
          this, &no_delay);
    }
  }
  callback(response);
}

void HttpClient::HandleReceived(HttpClientConnection* connection,
                                size_t bytes) {
  // What a server sends without a request is not kept.
  if (this->busy.count(connection) == 0)
    return;
  this->held_bytes += bytes;
  connection->AddReceivedBytes(bytes);
  if (connection->ReceivedBytes() >= kLargeResponseBytes)
    connection->NotifyArrival();
  if (this->limits.max_held_bytes == 0 || this->is_giving_up_scheduled ||
      this->held_bytes <= this->limits.max_held_bytes)
    return;
  // evhttp still uses the connection while it receives.
  this->is_giving_up_scheduled = true;
  const timeval no_delay = {0, 0};
  event_base_once(
      this->base, -1, EV_TIMEOUT,
      [](evutil_socket_t, short, void* self) {
        static_cast<HttpClient*>(self)->GiveUpLargestResponses();
      },
      this, &no_delay);
}

void HttpClient::GiveUpLargestResponses() {
  this->is_giving_up_scheduled = false;
  while (this->held_bytes > this->limits.max_held_bytes &&
         !this->busy.empty()) {
    HttpClientConnection* largest = this->busy.begin()->first;
    for (const auto& [connection, owned] : this->busy) {
      if (connection->ReceivedBytes() > largest->ReceivedBytes())
        largest = connection;
    }
    ++this->responses_given_up;
    largest->Cancel();
    this->Finish(largest, {HttpOutcome::kLost, 0, {}, false});
  }
}

void HttpClient::CloseSilentConnections(const HttpAddress& address,
                                        uint64_t since) {
  auto& connections = this->idle[address];
  connections.erase(std::remove_if(connections.begin(), connections.end(),
                                   [since](const auto& connection) {
                                     return connection->AnsweredAfter() < since;
                                   }),
                    connections.end());
}

void HttpClient::FreeFailedConnections() {
  this->is_cleanup_scheduled = false;
  this->failed_connections.clear();
}

}  // namespace dogwoodfall
