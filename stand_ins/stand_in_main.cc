#include "stand_in_main.h"

#include <cstdlib>
#include <iostream>

namespace dogwoodfall {
namespace {

constexpr int kExitCannotListen = 4;
constexpr size_t kMaxBodyBytes = 64'000'000;
constexpr uint32_t kMaxConnections = 20'000;

}  // namespace

std::string GetOption(int argc,
                      char** argv,
                      const std::string& name,
                      const std::string& fallback) {
  for (int i = 1; i + 1 < argc; ++i) {
    if (argv[i] == "--" + name)
      return argv[i + 1];
  }
  return fallback;
}

int64_t GetNumberOption(int argc,
                        char** argv,
                        const std::string& name,
                        int64_t fallback) {
  const std::string text = GetOption(argc, argv, name, "");
  return text.empty() ? fallback : std::strtoll(text.c_str(), nullptr, 10);
}

std::unique_ptr<HttpServer> ListenOrExit(event_base* base,
                                         uint16_t port,
                                         HttpServer::Handler handler) {
  HttpServerLimits limits;
  limits.max_body_bytes = kMaxBodyBytes;
  limits.max_connections = kMaxConnections;
  limits.read_timeout_ms = 3'600'000;
  auto server =
      HttpServer::Create(base, kLoopback, port, limits, std::move(handler),
                         [](ResultCode) { return "{}"; });
  if (!server.ok()) {
    std::cerr << server.error().detail << "\n";
    std::exit(kExitCannotListen);
  }
  return server.Take();
}

}  // namespace dogwoodfall
