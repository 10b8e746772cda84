/** @file
 * Stand-in for the platform's list of instances: GET /v1/instances gives the
 * present text of a file.
 */

#include <event2/event.h>

#include <fstream>
#include <memory>
#include <sstream>
#include <string>

#include "stand_in_main.h"

int main(int argc, char** argv) {
  constexpr int kStatusOk = 200;
  event_base* base = event_base_new();
  const std::string path = dogwoodfall::Option(argc, argv, "file", "");
  std::unique_ptr<dogwoodfall::HttpServer> server;
  server = dogwoodfall::ListenOrExit(
      base,
      static_cast<uint16_t>(dogwoodfall::NumberOption(argc, argv, "port", 0)),
      [&](dogwoodfall::HttpToken token, const dogwoodfall::HttpRequest&) {
        std::ifstream file(path);
        std::stringstream text;
        text << file.rdbuf();
        server->Reply(token, kStatusOk, text.str());
      });
  event_base_dispatch(base);
  return 0;
}
