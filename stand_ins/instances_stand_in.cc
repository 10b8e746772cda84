/** @file
 * Stand-in for the platform's list of instances: GET /v1/instances returns the
 * content that a file had --lag-ms ago.
 */

#include <event2/event.h>

#include <chrono>
#include <deque>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>

#include "stand_in_main.h"

namespace {

using Clock = std::chrono::steady_clock;

/** A version of the file and the time at which it was first read. */
struct FileVersion {
  Clock::time_point since;
  std::string text;
};

struct LaggingFile {
  std::string path;
  std::chrono::milliseconds lag{0};
  std::deque<FileVersion> versions;
};

void ReadFile(LaggingFile& file) {
  std::ifstream stream(file.path);
  std::stringstream text;
  text << stream.rdbuf();
  if (file.versions.empty() || file.versions.back().text != text.str())
    file.versions.push_back({Clock::now(), text.str()});
  while (file.versions.size() > 1 &&
         file.versions[1].since + file.lag <= Clock::now())
    file.versions.pop_front();
}

}  // namespace

int main(int argc, char** argv) {
  constexpr int kStatusOk = 200;
  constexpr timeval kReadPeriod = {0, 50'000};
  event_base* base = event_base_new();
  LaggingFile file;
  file.path = dogwoodfall::GetOption(argc, argv, "file", "");
  file.lag = std::chrono::milliseconds(
      dogwoodfall::GetNumberOption(argc, argv, "lag-ms", 0));
  event* timer = event_new(
      base, -1, EV_PERSIST,
      [](evutil_socket_t, short, void* argument) {
        ReadFile(*static_cast<LaggingFile*>(argument));
      },
      &file);
  event_add(timer, &kReadPeriod);
  std::unique_ptr<dogwoodfall::HttpServer> server;
  server = dogwoodfall::ListenOrExit(
      base,
      static_cast<uint16_t>(
          dogwoodfall::GetNumberOption(argc, argv, "port", 0)),
      [&](dogwoodfall::HttpToken token, const dogwoodfall::HttpRequest&) {
        ReadFile(file);
        server->Reply(token, kStatusOk, file.versions.front().text);
      });
  event_base_dispatch(base);
  event_free(timer);
  return 0;
}
