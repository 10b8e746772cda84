/** @file
 * Stand-in for endpoints: one process emulates --count endpoints on consecutive
 * ports from --first-port, named --name followed by their number from 1.
 *
 * A task whose payload is a number runs for that many ms times the slowness of
 * its endpoint; the slowness increases from 1 at the first endpoint to
 * --slowness-percent / 100 at the last. A task with the payload "fail" fails,
 * one with "refuse" is refused, one with "hang" never ends. --beyond sets what
 * happens to starts when all slots are in use: "refuse" or "wait".
 *
 * GET /v1/usage returns the usage of the endpoint with a lag of one to two
 * seconds. GET /v1/counts returns the numbers of starts, started tasks,
 * repeated starts, refusals and stops over all endpoints of the process, and
 * the number of tasks that run on the endpoint. GET /v1/starts returns the
 * number of starts of each customer/submission/task. POST /v1/control sets
 * "leaving", "failing" or "refusing" for the endpoint that receives it.
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

struct StartRequest {
  HttpToken token = 0;
  Json request;
};

/** Slots, queue and memory in use at an endpoint. */
struct Usage {
  size_t running = 0;
  size_t waiting = 0;
  int64_t memory_mb = 0;
};

struct Counts {
  std::map<std::string, uint64_t> starts_by_task;
  uint64_t total_starts = 0;
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
  bool is_leaving = false;
  bool is_failing = false;
  bool is_refusing = false;
  std::map<uint64_t, StartRequest> running;
  std::deque<StartRequest> waiting;
  uint64_t last_run = 0;
  /** The reported usage, which is one to two sampling periods old. */
  Usage reported;
  Usage sampled;
};

/** Sampling period of the usage; reports lag by one to two periods. */
constexpr timeval kUsagePeriod = {1, 0};

void SampleUsage(evutil_socket_t, short, void* argument) {
  auto& endpoint = *static_cast<Endpoint*>(argument);
  endpoint.reported = endpoint.sampled;
  endpoint.sampled = {endpoint.running.size(), endpoint.waiting.size(), 0};
  for (const auto& [run, start] : endpoint.running)
    endpoint.sampled.memory_mb += start.request.value("memory_mb", 0);
}

void BeginRun(Endpoint& endpoint, StartRequest start);

void ReplyWithResult(Endpoint& endpoint,
                     const StartRequest& start,
                     const char* result) {
  endpoint.server->Reply(
      start.token, kStatusOk,
      Json{{"task", start.request.value("task", "")},
           {"attempt", start.request.value("attempt", 0)},
           {"result", result},
           {"leaving", endpoint.is_leaving},
           {"output", "done:" + start.request.value("task", "")}}
          .dump());
}

void RefuseStart(Endpoint& endpoint, const StartRequest& start) {
  ++endpoint.counts->refused;
  endpoint.server->Reply(
      start.token, kStatusRefused,
      Json{{"result", "not_started"}, {"leaving", endpoint.is_leaving}}.dump());
}

void FillSlots(Endpoint& endpoint) {
  while (!endpoint.waiting.empty() &&
         endpoint.running.size() < endpoint.slots) {
    StartRequest next = std::move(endpoint.waiting.front());
    endpoint.waiting.pop_front();
    BeginRun(endpoint, std::move(next));
  }
}

void EndRun(Endpoint& endpoint, uint64_t run, const char* result) {
  const auto found = endpoint.running.find(run);
  if (found == endpoint.running.end())
    return;
  ReplyWithResult(endpoint, found->second, result);
  endpoint.running.erase(found);
  FillSlots(endpoint);
}

struct ScheduledRunEnd {
  Endpoint& endpoint;
  uint64_t run;
  bool has_failed;
};

void EndRunAfter(Endpoint& endpoint,
                 uint64_t run,
                 int64_t delay_ms,
                 bool has_failed) {
  const timeval delay = {delay_ms / kMillisPerSecond,
                         (delay_ms % kMillisPerSecond) * kMicrosPerMilli};
  event_base_once(
      endpoint.base, -1, EV_TIMEOUT,
      [](evutil_socket_t, short, void* argument) {
        const std::unique_ptr<ScheduledRunEnd> scheduled(
            static_cast<ScheduledRunEnd*>(argument));
        EndRun(scheduled->endpoint, scheduled->run,
               scheduled->has_failed ? "failed" : "succeeded");
      },
      new ScheduledRunEnd{endpoint, run, has_failed}, &delay);
}

void BeginRun(Endpoint& endpoint, StartRequest start) {
  const Json& request = start.request;
  uint64_t& starts =
      endpoint.counts->starts_by_task[request.value("customer", "") + "/" +
                                      request.value("submission", "") + "/" +
                                      request.value("task", "")];
  ++starts;
  ++endpoint.counts->total_starts;
  endpoint.counts->repeated += starts > 1 ? 1 : 0;
  const std::string payload = request.value("payload", "");
  const uint64_t run = ++endpoint.last_run;
  endpoint.running[run] = std::move(start);
  if (endpoint.is_failing || payload == "fail") {
    EndRunAfter(endpoint, run, 1, true);
  } else if (payload != "hang") {
    const int64_t run_time_ms = std::strtoll(payload.c_str(), nullptr, 10);
    EndRunAfter(endpoint, run,
                run_time_ms * endpoint.slowness_percent / kPercent, false);
  }
}

void HandleStart(Endpoint& endpoint, HttpToken token, Json request) {
  StartRequest start{token, std::move(request)};
  if (endpoint.is_leaving || endpoint.is_refusing ||
      start.request.value("payload", "") == "refuse") {
    RefuseStart(endpoint, start);
  } else if (endpoint.running.size() < endpoint.slots) {
    BeginRun(endpoint, std::move(start));
  } else if (endpoint.waits_beyond_slots) {
    endpoint.waiting.push_back(std::move(start));
  } else {
    RefuseStart(endpoint, start);
  }
}

void HandleStop(Endpoint& endpoint, HttpToken token, const Json& request) {
  ++endpoint.counts->stops;
  for (const auto& [run, start] : endpoint.running) {
    if (start.request.value("submission", "") ==
            request.value("submission", "") &&
        start.request.value("task", "") == request.value("task", "")) {
      EndRun(endpoint, run, "failed");
      break;
    }
  }
  endpoint.server->Reply(token, kStatusOk, "{}");
}

void ReplyWithCounts(Endpoint& endpoint, HttpToken token) {
  endpoint.server->Reply(token, kStatusOk,
                         Json{{"starts", endpoint.counts->total_starts},
                              {"tasks", endpoint.counts->starts_by_task.size()},
                              {"repeated", endpoint.counts->repeated},
                              {"refused", endpoint.counts->refused},
                              {"stops", endpoint.counts->stops},
                              {"running", endpoint.running.size()}}
                             .dump());
}

void HandleRequest(Endpoint& endpoint,
                   HttpToken token,
                   const HttpRequest& request) {
  if (request.path == "/v1/counts") {
    ReplyWithCounts(endpoint, token);
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
                           Json(endpoint.counts->starts_by_task).dump());
    return;
  }
  Json json = Json::parse(request.body, nullptr, false);
  if (!json.is_object())
    json = Json::object();
  if (request.path == "/v1/tasks") {
    HandleStart(endpoint, token, std::move(json));
  } else if (request.path == "/v1/tasks/stop") {
    HandleStop(endpoint, token, json);
  } else {
    endpoint.is_leaving = json.value("leaving", endpoint.is_leaving);
    endpoint.is_failing = json.value("failing", endpoint.is_failing);
    endpoint.is_refusing = json.value("refusing", endpoint.is_refusing);
    endpoint.server->Reply(token, kStatusOk, "{}");
  }
}

}  // namespace

int main(int argc, char** argv) {
  using dogwoodfall::GetNumberOption;
  using dogwoodfall::GetOption;
  event_base* base = event_base_new();
  Counts counts;
  const int64_t count = GetNumberOption(argc, argv, "count", 1);
  const int64_t first_port = GetNumberOption(argc, argv, "first-port", 0);
  const int64_t max_slowness_percent =
      GetNumberOption(argc, argv, "slowness-percent", kPercent);
  std::vector<std::unique_ptr<Endpoint>> endpoints;
  for (int64_t i = 0; i < count; ++i) {
    auto endpoint = std::make_unique<Endpoint>();
    Endpoint* raw = endpoint.get();
    raw->base = base;
    raw->counts = &counts;
    raw->id = GetOption(argc, argv, "name", "endpoint") + std::to_string(i + 1);
    raw->slots = static_cast<uint32_t>(GetNumberOption(argc, argv, "slots", 8));
    raw->waits_beyond_slots =
        GetOption(argc, argv, "beyond", "refuse") == "wait";
    raw->slowness_percent =
        count == 1
            ? max_slowness_percent
            : kPercent + (max_slowness_percent - kPercent) * i / (count - 1);
    raw->server = dogwoodfall::ListenOrExit(
        base, static_cast<uint16_t>(first_port + i),
        [raw](HttpToken token, const HttpRequest& request) {
          HandleRequest(*raw, token, request);
        });
    event_add(event_new(base, -1, EV_PERSIST, &SampleUsage, raw),
              &kUsagePeriod);
    endpoints.push_back(std::move(endpoint));
  }
  event_base_dispatch(base);
  return 0;
}
