#include "adapters/endpoints/endpoint_client.h"

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace dogwoodfall {
namespace {

using Json = nlohmann::json;

/** Time after the end of the lease in which the response may still arrive. */
constexpr Millis kResponseMargin{1'000};
constexpr Millis kStopTimeout{2'000};
constexpr int kStatusOk = 200;

std::string MakeStartBody(const StartTask& start) {
  return Json{{"submission", start.submission.value},
              {"task", start.task.id.value},
              {"attempt", start.attempt.value},
              {"lease", start.lease.value},
              {"lease_ms", start.lease_length.count},
              {"customer", start.customer.value},
              {"kind", start.task.kind},
              {"memory_mb", start.task.declared_memory_mb},
              {"payload", start.task.payload}}
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string MakeStopBody(const StopTask& stop) {
  return Json{{"submission", stop.submission.value},
              {"task", stop.task.value},
              {"attempt", stop.attempt.value},
              {"lease", stop.lease.value}}
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

/** Parses the response to a start into an event. The kind stays kLost when the
 * response is invalid, as the task may have run.
 */
void ParseStartResponse(const HttpResponse& response, EndpointEvent& event) {
  const Json json = Json::parse(response.body, nullptr, false);
  if (!json.is_object())
    return;
  try {
    event.leaving = json.value("leaving", false);
    const std::string result = json.at("result").get<std::string>();
    if (result == "not_started") {
      event.kind = EndpointEventKind::kRefused;
      return;
    }
    if (response.status != kStatusOk ||
        (result != "succeeded" && result != "failed"))
      return;
    event.task = TaskId(json.at("task").get<std::string>());
    event.attempt = Attempt(json.at("attempt").get<uint32_t>());
    event.output = json.value("output", std::string());
    event.kind = result == "succeeded" ? EndpointEventKind::kSucceeded
                                       : EndpointEventKind::kFailed;
  } catch (const Json::exception&) {
    event.kind = EndpointEventKind::kLost;
  }
}

}  // namespace

EndpointClient::EndpointClient(HttpClient& http, Handler handler)
    : http(http), handler(std::move(handler)) {}

void EndpointClient::SetAddress(const EndpointId& endpoint,
                                const HttpAddress& address) {
  this->addresses[endpoint] = address;
}

void EndpointClient::Start(const StartTask& start) {
  this->http.Send(this->addresses[start.endpoint], "POST", "/v1/tasks",
                  MakeStartBody(start), start.lease_length + kResponseMargin,
                  [this, start](const HttpResponse& response) {
                    this->HandleResponse(start, response);
                  });
}

void EndpointClient::Stop(const StopTask& stop) {
  this->http.Send(this->addresses[stop.endpoint], "POST", "/v1/tasks/stop",
                  MakeStopBody(stop), kStopTimeout, [](const HttpResponse&) {});
}

void EndpointClient::HandleResponse(const StartTask& start,
                                    const HttpResponse& response) {
  EndpointEvent event;
  event.endpoint = start.endpoint;
  event.lease = start.lease;
  switch (response.outcome) {
    case HttpOutcome::kNotSent:
      event.kind = EndpointEventKind::kNotConnected;
      break;
    case HttpOutcome::kLost:
      event.kind = EndpointEventKind::kLost;
      break;
    case HttpOutcome::kAnswered:
      ParseStartResponse(response, event);
      break;
  }
  this->handler(event);
}

}  // namespace dogwoodfall
