/** @file
 * Stand-in for endpoints: one process plays several, each on a port of its own
 * from --first-port on, named --name followed by its number from 1.
 *
 * A task whose payload is a number runs that many ms times the slowness of its
 * endpoint; slowness grows from 1 to --slowness-percent / 100 over the
 * endpoints. --beyond says what happens beyond the slots: refuse or wait. A
 * payload of fail, refuse or hang does so. GET /v1/usage reports the usage
 * with a lag of one to two seconds. GET /v1/counts gives, over all
 * endpoints of the process, the starts, the tasks that were started more than
 * once, stops and the tasks that run (usage); GET /v1/starts the starts by
 * customer/submission/task. POST /v1/control sets "leaving",
 * "failing" or "refusing" for the endpoint that is asked.
 */

#include <event2/event.h>

#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "stand_in_main.h"

namespace {

using dogwoodfall::HttpRequest;
using dogwoodfall::HttpServer;
using dogwoodfall::HttpToken;
using Json = nlohmann::json;

constexpr int kStatusOk = 200;
constexpr int kStatusRefused = 409;
constexpr int64_t kMillisPerSecond = 1000;
constexpr int64_t kMicrosPerMilli = 1000;
constexpr int64_t kPercent = 100;

struct Start {
  HttpToken token = 0;
  Json request;
};

/** What an endpoint uses. */
struct Usage {
  size_t running = 0;
  size_t waiting = 0;
  int64_t memory_mb = 0;
};

struct Counts {
  std::map<std::string, uint64_t> starts;
  uint64_t total = 0;
  uint64_t repeated = 0;
  uint64_t stops = 0;
  uint64_t refused = 0;
};

struct Endpoint {
  event_base* base = nullptr;
  Counts* counts = nullptr;
  std::unique_ptr<HttpServer> server;
  std::string id;
  uint32_t slots = 8;
  int64_t slowness_percent = kPercent;
  bool waits_beyond_slots = false;
  bool leaving = false;
  bool failing = false;
  bool refusing = false;
  std::map<uint64_t, Start> running;
  std::deque<Start> waiting;
  uint64_t last_run = 0;
  /** What is reported: the usage of one to two periods ago. */
  Usage reported;
  Usage sampled;
};

/** Period of sampling the usage; reports lag by one to two of them. */
constexpr timeval kUsagePeriod = {1, 0};

void SampleUsage(evutil_socket_t, short, void* argument) {
  auto& endpoint = *static_cast<Endpoint*>(argument);
  endpoint.reported = endpoint.sampled;
  endpoint.sampled = {endpoint.running.size(), endpoint.waiting.size(), 0};
  for (const auto& [run, start] : endpoint.running)
    endpoint.sampled.memory_mb += start.request.value("memory_mb", 0);
}

void Begin(Endpoint& endpoint, Start start);

void Answer(Endpoint& endpoint, const Start& start, const char* result) {
  endpoint.server->Reply(
      start.token, kStatusOk,
      Json{{"task", start.request.value("task", "")},
           {"attempt", start.request.value("attempt", 0)},
           {"result", result},
           {"leaving", endpoint.leaving},
           {"output", "done:" + start.request.value("task", "")}}
          .dump());
}

void Refuse(Endpoint& endpoint, const Start& start) {
  ++endpoint.counts->refused;
  endpoint.server->Reply(
      start.token, kStatusRefused,
      Json{{"result", "not_started"}, {"leaving", endpoint.leaving}}.dump());
}

void FillSlots(Endpoint& endpoint) {
  while (!endpoint.waiting.empty() &&
         endpoint.running.size() < endpoint.slots) {
    Start next = std::move(endpoint.waiting.front());
    endpoint.waiting.pop_front();
    Begin(endpoint, std::move(next));
  }
}

void End(Endpoint& endpoint, uint64_t run, const char* result) {
  const auto found = endpoint.running.find(run);
  if (found == endpoint.running.end())
    return;
  Answer(endpoint, found->second, result);
  endpoint.running.erase(found);
  FillSlots(endpoint);
}

struct RunResult {
  Endpoint& endpoint;
  uint64_t run;
  bool failed;
};

void EndAfter(Endpoint& endpoint, uint64_t run, int64_t millis, bool failed) {
  const timeval delay = {millis / kMillisPerSecond,
                         (millis % kMillisPerSecond) * kMicrosPerMilli};
  event_base_once(
      endpoint.base, -1, EV_TIMEOUT,
      [](evutil_socket_t, short, void* argument) {
        const std::unique_ptr<RunResult> due(static_cast<RunResult*>(argument));
        End(due->endpoint, due->run, due->failed ? "failed" : "succeeded");
      },
      new RunResult{endpoint, run, failed}, &delay);
}

void Begin(Endpoint& endpoint, Start start) {
  const Json& request = start.request;
  uint64_t& starts =
      endpoint.counts->starts[request.value("customer", "") + "/" +
                              request.value("submission", "") + "/" +
                              request.value("task", "")];
  ++starts;
  ++endpoint.counts->total;
  endpoint.counts->repeated += starts > 1 ? 1 : 0;
  const std::string payload = request.value("payload", "");
  const uint64_t run = ++endpoint.last_run;
  endpoint.running[run] = std::move(start);
  if (endpoint.failing || payload == "fail") {
    EndAfter(endpoint, run, 1, true);
  } else if (payload != "hang") {
    const int64_t millis = std::strtoll(payload.c_str(), nullptr, 10);
    EndAfter(endpoint, run, millis * endpoint.slowness_percent / kPercent,
             false);
  }
}

void TakeStart(Endpoint& endpoint, HttpToken token, Json request) {
  Start start{token, std::move(request)};
  if (endpoint.leaving || endpoint.refusing ||
      start.request.value("payload", "") == "refuse") {
    Refuse(endpoint, start);
  } else if (endpoint.running.size() < endpoint.slots) {
    Begin(endpoint, std::move(start));
  } else if (endpoint.waits_beyond_slots) {
    endpoint.waiting.push_back(std::move(start));
  } else {
    Refuse(endpoint, start);
  }
}

void TakeStop(Endpoint& endpoint, HttpToken token, const Json& request) {
  ++endpoint.counts->stops;
  for (const auto& [run, start] : endpoint.running) {
    if (start.request.value("submission", "") ==
            request.value("submission", "") &&
        start.request.value("task", "") == request.value("task", "")) {
      End(endpoint, run, "failed");
      break;
    }
  }
  endpoint.server->Reply(token, kStatusOk, "{}");
}

void GiveCounts(Endpoint& endpoint, HttpToken token) {
  endpoint.server->Reply(token, kStatusOk,
                         Json{{"starts", endpoint.counts->total},
                              {"tasks", endpoint.counts->starts.size()},
                              {"repeated", endpoint.counts->repeated},
                              {"refused", endpoint.counts->refused},
                              {"stops", endpoint.counts->stops},
                              {"running", endpoint.running.size()}}
                             .dump());
}

void Handle(Endpoint& endpoint, HttpToken token, const HttpRequest& request) {
  if (request.path == "/v1/counts") {
    GiveCounts(endpoint, token);
    return;
  }
  if (request.path == "/v1/usage") {
    endpoint.server->Reply(token, kStatusOk,
                           Json{{"running", endpoint.reported.running},
                                {"waiting", endpoint.reported.waiting},
                                {"memory_mb", endpoint.reported.memory_mb}}
                               .dump());
    return;
  }
  if (request.path == "/v1/starts") {
    endpoint.server->Reply(token, kStatusOk,
                           Json(endpoint.counts->starts).dump());
    return;
  }
  Json json = Json::parse(request.body, nullptr, false);
  if (!json.is_object())
    json = Json::object();
  if (request.path == "/v1/tasks") {
    TakeStart(endpoint, token, std::move(json));
  } else if (request.path == "/v1/tasks/stop") {
    TakeStop(endpoint, token, json);
  } else {
    endpoint.leaving = json.value("leaving", endpoint.leaving);
    endpoint.failing = json.value("failing", endpoint.failing);
    endpoint.refusing = json.value("refusing", endpoint.refusing);
    endpoint.server->Reply(token, kStatusOk, "{}");
  }
}

}  // namespace

int main(int argc, char** argv) {
  using dogwoodfall::NumberOption;
  using dogwoodfall::Option;
  event_base* base = event_base_new();
  Counts counts;
  const int64_t count = NumberOption(argc, argv, "count", 1);
  const int64_t first_port = NumberOption(argc, argv, "first-port", 0);
  const int64_t slowest =
      NumberOption(argc, argv, "slowness-percent", kPercent);
  std::vector<std::unique_ptr<Endpoint>> endpoints;
  for (int64_t i = 0; i < count; ++i) {
    auto endpoint = std::make_unique<Endpoint>();
    Endpoint* raw = endpoint.get();
    raw->base = base;
    raw->counts = &counts;
    raw->id = Option(argc, argv, "name", "endpoint") + std::to_string(i + 1);
    raw->slots = static_cast<uint32_t>(NumberOption(argc, argv, "slots", 8));
    raw->waits_beyond_slots = Option(argc, argv, "beyond", "refuse") == "wait";
    raw->slowness_percent =
        count == 1 ? slowest
                   : kPercent + (slowest - kPercent) * i / (count - 1);
    raw->server = dogwoodfall::ListenOrExit(
        base, static_cast<uint16_t>(first_port + i),
        [raw](HttpToken token, const HttpRequest& request) {
          Handle(*raw, token, request);
        });
    event_add(event_new(base, -1, EV_PERSIST, &SampleUsage, raw),
              &kUsagePeriod);
    endpoints.push_back(std::move(endpoint));
  }
  event_base_dispatch(base);
  return 0;
}
