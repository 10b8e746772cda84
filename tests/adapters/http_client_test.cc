#include "adapters/http/http_client.h"

#include <arpa/inet.h>
#include <event2/event.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace dogwoodfall {
namespace {

/** A TCP listener on the loopback address, at a port chosen by the system. */
class Listener {
 public:
  explicit Listener(int backlog) {
    this->socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* socket_address = reinterpret_cast<sockaddr*>(&address);
    socklen_t length = sizeof(address);
    bind(this->socket, socket_address, length);
    listen(this->socket, backlog);
    getsockname(this->socket, socket_address, &length);
    this->port = ntohs(address.sin_port);
  }
  ~Listener() { this->Close(); }

  void Close() {
    if (this->socket >= 0)
      close(this->socket);
    this->socket = -1;
  }

  int socket = -1;
  uint16_t port = 0;
};

class HttpClientTest : public testing::Test {
 protected:
  HttpClientTest() : base(event_base_new(), &event_base_free) {}

  /** Sends a request and runs the event loop until it finishes. */
  HttpResponse SendAndWait(HttpClient& client,
                           uint16_t port,
                           Millis timeout = Millis{3'000}) {
    HttpResponse result;
    client.Send({"127.0.0.1", port}, "POST", "/", "body", timeout,
                [&](const HttpResponse& response) {
                  result = response;
                  event_base_loopbreak(this->base.get());
                });
    event_base_dispatch(this->base.get());
    return result;
  }

  /** Starts a thread that accepts one connection, reads a request, writes the
   * given text and closes the connection.
   */
  static std::thread ServeOnce(const Listener& listener,
                               const std::string& text) {
    return std::thread([socket = listener.socket, text] {
      const int connection = accept(socket, nullptr, nullptr);
      char buffer[4096];
      (void)!read(connection, buffer, sizeof(buffer));
      (void)!write(connection, text.data(), text.size());
      close(connection);
    });
  }

  /** Starts a thread that accepts one connection, writes a text and then
   * repeats another one until the connection is closed.
   */
  static std::thread ServeEndlessly(const Listener& listener,
                                    const std::string& start,
                                    const std::string& repeated) {
    return std::thread([socket = listener.socket, start, repeated] {
      const int connection = accept(socket, nullptr, nullptr);
      (void)!write(connection, start.data(), start.size());
      while (send(connection, repeated.data(), repeated.size(), MSG_NOSIGNAL) >
             0) {
      }
      close(connection);
    });
  }

  std::unique_ptr<event_base, decltype(&event_base_free)> base;
};

// Without a limit, a server could fill the memory with one response.
TEST_F(HttpClientTest, EndlessResponsesAreLost) {
  HttpClientLimits limits;
  limits.max_body_bytes = 1'000'000;
  const std::string chunk = "1000\r\n" + std::string(4'096, 'x') + "\r\n";
  const std::vector<std::pair<std::string, std::string>> responses = {
      {"HTTP/1.1 200 OK\r\n", "name: value\r\n"},
      {"HTTP/1.1 200 OK\r\nname: ", "value"},
      {"HTTP/1.1 200 OK\r\n\r\n", std::string(4'096, 'x')},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunk},
      {"HTTP/1.1 200 OK\r\nContent-Length: 900000000\r\n\r\n", chunk}};
  for (const auto& [start, repeated] : responses) {
    const Listener listener(5);
    auto client = std::make_unique<HttpClient>(this->base.get(), limits);
    std::thread server = ServeEndlessly(listener, start, repeated);
    EXPECT_EQ(this->SendAndWait(*client, listener.port).outcome,
              HttpOutcome::kLost)
        << start;
    event_base_loop(this->base.get(), EVLOOP_NONBLOCK);
    client.reset();
    server.join();
  }
}

// Many responses of legal size must not fill the memory together.
TEST_F(HttpClientTest, ResponseBeyondTheBoundOfAllIsGivenUp) {
  HttpClientLimits limits;
  limits.max_held_bytes = 100'000;
  const Listener listener(5);
  HttpClient client(this->base.get(), limits);
  std::thread server = ServeEndlessly(listener, "HTTP/1.1 200 OK\r\n\r\n",
                                      std::string(4'096, 'x'));
  EXPECT_EQ(this->SendAndWait(client, listener.port).outcome,
            HttpOutcome::kLost);
  EXPECT_EQ(client.ResponsesGivenUp(), 1U);
  event_base_loop(this->base.get(), EVLOOP_NONBLOCK);
  server.join();
}

TEST_F(HttpClientTest, CompleteResponseIsAnswered) {
  const Listener listener(5);
  HttpClient client(this->base.get());
  std::thread server =
      ServeOnce(listener, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  const HttpResponse response = this->SendAndWait(client, listener.port);
  server.join();
  EXPECT_EQ(response.outcome, HttpOutcome::kAnswered);
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(response.body, "ok");
}

TEST_F(HttpClientTest, RefusedConnectionIsNotSent) {
  Listener listener(5);
  listener.Close();
  HttpClient client(this->base.get());
  EXPECT_EQ(this->SendAndWait(client, listener.port).outcome,
            HttpOutcome::kNotSent);
}

// Guards against reporting kNotSent for a request that the server has read: the
// task would be started a second time.
TEST_F(HttpClientTest, ConnectionClosedAfterTheRequestIsLost) {
  const Listener listener(5);
  HttpClient client(this->base.get());
  std::thread server = ServeOnce(listener, "");
  EXPECT_EQ(this->SendAndWait(client, listener.port).outcome,
            HttpOutcome::kLost);
  server.join();
}

// Guards against an incomplete body that is taken for the whole response.
TEST_F(HttpClientTest, TruncatedResponseIsLost) {
  const Listener listener(5);
  HttpClient client(this->base.get());
  std::thread server =
      ServeOnce(listener, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
  EXPECT_EQ(this->SendAndWait(client, listener.port).outcome,
            HttpOutcome::kLost);
  server.join();
}

TEST_F(HttpClientTest, ConnectionTimeoutIsNotSent) {
  // A listener with a full backlog drops connection requests, as an interrupted
  // network does.
  const Listener listener(0);
  HttpClient client(this->base.get());
  const std::vector<int> connections = [&] {
    std::vector<int> opened;
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(listener.port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    for (int i = 0; i < 4; ++i) {
      opened.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
      (void)connect(opened.back(), reinterpret_cast<sockaddr*>(&address),
                    sizeof(address));
    }
    return opened;
  }();
  EXPECT_EQ(this->SendAndWait(client, listener.port).outcome,
            HttpOutcome::kNotSent);
  for (const int connection : connections)
    close(connection);
}

/** Accepts connections until its listener is shut down, and answers the first
 * request on each. Further ones get no answer.
 */
class SilentServer {
 public:
  explicit SilentServer(const Listener& listener)
      : socket(listener.socket), thread([this] { this->Run(); }) {}
  ~SilentServer() {
    shutdown(this->socket, SHUT_RDWR);
    this->thread.join();
  }

 private:
  void Run() const {
    const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    std::vector<int> connections;
    char buffer[4096];
    for (;;) {
      const int connection = accept(this->socket, nullptr, nullptr);
      if (connection < 0)
        break;
      connections.push_back(connection);
      (void)!read(connection, buffer, sizeof(buffer));
      (void)!write(connection, text.data(), text.size());
    }
    for (const int connection : connections)
      close(connection);
  }

  int socket;
  std::thread thread;
};

// Connections often become silent together, and each would cost a timeout.
TEST_F(HttpClientTest, RequestAfterALostOneUsesNoConnectionThatMayBeSilent) {
  const Listener listener(5);
  HttpClient client(this->base.get());
  const SilentServer server(listener);
  int pending = 2;
  for (int i = 0; i < 2; ++i) {
    client.Send({"127.0.0.1", listener.port}, "GET", "/", "", Millis{3'000},
                [&](const HttpResponse&) {
                  if (--pending == 0)
                    event_base_loopbreak(this->base.get());
                });
  }
  event_base_dispatch(this->base.get());
  EXPECT_EQ(client.Connections(), 2U);
  EXPECT_EQ(this->SendAndWait(client, listener.port, Millis{100}).outcome,
            HttpOutcome::kLost);
  EXPECT_EQ(this->SendAndWait(client, listener.port).outcome,
            HttpOutcome::kAnswered);
}

}  // namespace
}  // namespace dogwoodfall
