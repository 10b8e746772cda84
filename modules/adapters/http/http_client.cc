#include "adapters/http/http_client.h"

#include <event2/event.h>

#include "adapters/http/http_client_connection.h"

namespace dogwoodfall {

HttpClient::HttpClient(event_base* base) : base(base) {}

HttpClient::~HttpClient() = default;

void HttpClient::Send(const HttpAddress& address,
                      const std::string& method,
                      const std::string& path,
                      const std::string& body,
                      Millis timeout,
                      Callback callback) {
  this->SendWithHeaders(address, method, path, body, {}, timeout,
                        std::move(callback));
}

void HttpClient::SendWithHeaders(const HttpAddress& address,
                                 const std::string& method,
                                 const std::string& path,
                                 const std::string& body,
                                 const HttpClientHeaders& headers,
                                 Millis timeout,
                                 Callback callback) {
  auto& kept = this->idle[address];
  std::unique_ptr<HttpClientConnection> connection;
  if (kept.empty()) {
    ++this->opened;
    connection =
        std::make_unique<HttpClientConnection>(this->base, *this, address);
  } else {
    connection = std::move(kept.back());
    kept.pop_back();
  }
  HttpClientConnection* raw = connection.get();
  this->busy.emplace(raw, std::move(connection));
  raw->Send(method, path, body, headers, timeout, std::move(callback));
}

size_t HttpClient::Connections() const {
  size_t count = this->busy.size();
  for (const auto& [address, kept] : this->idle)
    count += kept.size();
  return count;
}

void HttpClient::Finish(HttpClientConnection* connection,
                        const HttpResponse& answer) {
  const auto found = this->busy.find(connection);
  std::unique_ptr<HttpClientConnection> owned = std::move(found->second);
  this->busy.erase(found);
  const Callback callback = owned->TakeCallback();
  if (answer.outcome == HttpOutcome::kAnswered) {
    this->idle[connection->Address()].push_back(std::move(owned));
  } else {
    this->retired.push_back(std::move(owned));
    if (!this->drop_scheduled) {
      this->drop_scheduled = true;
      const timeval at_once = {0, 0};
      event_base_once(
          this->base, -1, EV_TIMEOUT,
          [](evutil_socket_t, short, void* self) {
            static_cast<HttpClient*>(self)->DropRetired();
          },
          this, &at_once);
    }
  }
  callback(answer);
}

void HttpClient::DropRetired() {
  this->drop_scheduled = false;
  this->retired.clear();
}

}  // namespace dogwoodfall
