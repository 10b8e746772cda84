/** @file
 * Stand-in for callers: sends jobs at a fixed rate to several daemons in turn
 * and prints, as JSON, the response times, the number of answers by code, and
 * the starts and wasted messages that the answers report.
 *
 * --ports A,B,C --rate JOBS_PER_SECOND --seconds N --tasks N --run-ms N
 * --ids none|minted|chosen --seed N
 */

#include <event2/event.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include "adapters/http/http_client.h"
#include "stand_in_main.h"

namespace {

using dogwoodfall::HttpClient;
using dogwoodfall::HttpOutcome;
using dogwoodfall::HttpResponse;
using dogwoodfall::Millis;
using Json = nlohmann::json;

constexpr Millis kTimeout{60'000};
constexpr int64_t kDeadlineMs = 30'000;
constexpr int64_t kMicrosPerSecond = 1'000'000;
constexpr double kMillisPerMicro = 0.001;

int64_t NowMicros() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

struct Load {
  event_base* base = nullptr;
  std::unique_ptr<HttpClient> http;
  std::vector<uint16_t> ports;
  std::string id_source;
  int64_t tasks_per_job = 1;
  int64_t run_ms = 10;
  int64_t jobs_left = 0;
  int64_t sent = 0;
  int64_t answered = 0;
  int64_t started_at_us = 0;
  int64_t jobs_per_second = 1;
  std::mt19937_64 random;
  std::vector<double> response_ms;
  std::map<std::string, uint64_t> codes;
  uint64_t starts = 0;
  uint64_t wasted = 0;
};

Json MakeJob(Load& load, int64_t number) {
  Json job = {{"customer", "wharf"}, {"deadline_ms", kDeadlineMs}};
  job["tasks"] = Json::array();
  for (int64_t i = 0; i < load.tasks_per_job; ++i) {
    job["tasks"].push_back({{"id", std::to_string(i)},
                            {"kind", "load"},
                            {"run_ms", load.run_ms},
                            {"memory_mb", 1},
                            {"payload", std::to_string(load.run_ms)}});
  }
  if (load.id_source == "chosen") {
    job["id"] = "load" + std::to_string(load.random()) + "-" +
                std::to_string(number) + "@" +
                std::to_string(NowMicros() / 1000);
  }
  return job;
}

void HandleAnswer(Load& load, int64_t sent_at_us, const HttpResponse& answer) {
  ++load.answered;
  const Json json = Json::parse(answer.body, nullptr, false);
  if (answer.outcome != HttpOutcome::kAnswered || !json.is_object()) {
    ++load.codes["no_answer"];
  } else {
    ++load.codes[json.value("code_name", "")];
    load.starts += json.value("starts", 0U);
    load.wasted += json.value("/wasted/total"_json_pointer, 0U);
    if (json.value("status", "") == "complete") {
      load.response_ms.push_back(static_cast<double>(NowMicros() - sent_at_us) *
                                 kMillisPerMicro);
    }
  }
  if (load.jobs_left == 0 && load.answered == load.sent)
    event_base_loopbreak(load.base);
}

void SendJob(Load& load, const Json& job, uint16_t port, int64_t sent_at_us) {
  load.http->Send({dogwoodfall::kLoopback, port}, "POST", "/v1/jobs",
                  job.dump(), kTimeout,
                  [&load, sent_at_us](const HttpResponse& answer) {
                    HandleAnswer(load, sent_at_us, answer);
                  });
}

/** Sends the next job. A job with a minted id is sent once it has its id; its
 * response time does not include the minting.
 */
void SendNextJob(Load& load) {
  const int64_t number = load.sent++;
  --load.jobs_left;
  const uint16_t port =
      load.ports[static_cast<size_t>(number) % load.ports.size()];
  Json job = MakeJob(load, number);
  if (load.id_source != "minted") {
    SendJob(load, job, port, NowMicros());
    return;
  }
  load.http->Send(
      {dogwoodfall::kLoopback, port}, "POST", "/v1/ids", "", kTimeout,
      [&load, job, port](const HttpResponse& answer) mutable {
        const Json minted = Json::parse(answer.body, nullptr, false);
        if (minted.is_object())
          job["id"] = minted.value("id", "");
        // Submits the job to a daemon other than its home, which is the daemon
        // that minted the id.
        const auto port_position =
            std::find(load.ports.begin(), load.ports.end(), port);
        const size_t next_index =
            static_cast<size_t>(port_position - load.ports.begin()) + 1;
        SendJob(load, job, load.ports[next_index % load.ports.size()],
                NowMicros());
      });
}

void OnTimer(evutil_socket_t, short, void* argument) {
  auto& load = *static_cast<Load*>(argument);
  const int64_t elapsed_us = NowMicros() - load.started_at_us;
  while (load.jobs_left > 0 &&
         load.sent * kMicrosPerSecond <= elapsed_us * load.jobs_per_second)
    SendNextJob(load);
}

double Percentile(const std::vector<double>& sorted, double quantile) {
  if (sorted.empty())
    return 0;
  const auto index = static_cast<size_t>(
      std::floor(quantile * static_cast<double>(sorted.size() - 1)));
  return sorted[index];
}

void PrintResults(Load& load) {
  std::sort(load.response_ms.begin(), load.response_ms.end());
  std::cout << Json{{"jobs", load.sent},
                    {"starts", load.starts},
                    {"wasted", load.wasted},
                    {"codes", load.codes},
                    {"p50_ms", Percentile(load.response_ms, 0.50)},
                    {"p95_ms", Percentile(load.response_ms, 0.95)},
                    {"p99_ms", Percentile(load.response_ms, 0.99)}}
                   .dump()
            << "\n";
}

}  // namespace

int main(int argc, char** argv) {
  using dogwoodfall::GetNumberOption;
  using dogwoodfall::GetOption;
  Load load;
  load.base = event_base_new();
  load.http = std::make_unique<HttpClient>(load.base);
  std::stringstream ports(GetOption(argc, argv, "ports", ""));
  for (std::string port; std::getline(ports, port, ',');)
    load.ports.push_back(static_cast<uint16_t>(std::stoi(port)));
  load.id_source = GetOption(argc, argv, "ids", "none");
  load.tasks_per_job = GetNumberOption(argc, argv, "tasks", 1);
  load.run_ms = GetNumberOption(argc, argv, "run-ms", 10);
  load.jobs_per_second = GetNumberOption(argc, argv, "rate", 100);
  load.jobs_left =
      load.jobs_per_second * GetNumberOption(argc, argv, "seconds", 5);
  load.random.seed(
      static_cast<uint64_t>(GetNumberOption(argc, argv, "seed", 1)));
  load.started_at_us = NowMicros();
  constexpr timeval kInterval = {0, 1'000};
  event* timer = event_new(load.base, -1, EV_PERSIST, &OnTimer, &load);
  event_add(timer, &kInterval);
  event_base_dispatch(load.base);
  PrintResults(load);
  event_free(timer);
  return 0;
}
