#include "adapters/instances/instance_list_client.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace dogwoodfall {
namespace {

using Json = nlohmann::json;

constexpr Millis kReadTimeout{2'000};
constexpr const char* kLeaving = "leaving";

DaemonMember ReadDaemon(const Json& json) {
  DaemonMember member;
  member.id = DaemonId(json.at("id").get<std::string>());
  member.zone = ZoneId(json.at("zone").get<std::string>());
  member.ip = json.at("ip").get<std::string>();
  member.peer_tcp_port = json.at("peer_tcp_port").get<uint16_t>();
  member.peer_udp_port = json.at("peer_udp_port").get<uint16_t>();
  member.weight = json.value("weight", 1U);
  member.leaving = json.value("state", "live") == kLeaving;
  return member;
}

EndpointMember ReadEndpoint(const Json& json) {
  EndpointMember member;
  member.id = EndpointId(json.at("id").get<std::string>());
  member.zone = ZoneId(json.at("zone").get<std::string>());
  member.rack = RackId(json.value("rack", std::string()));
  member.ip = json.at("ip").get<std::string>();
  member.port = json.at("port").get<uint16_t>();
  member.slots = json.at("slots").get<uint32_t>();
  member.memory_mb = json.at("memory_mb").get<int64_t>();
  member.leaving = json.value("state", "live") == kLeaving;
  return member;
}

}  // namespace

InstanceListClient::InstanceListClient(HttpClient& http,
                                       HttpAddress address,
                                       Handler handler)
    : http(http), address(std::move(address)), handler(std::move(handler)) {}

void InstanceListClient::Read() {
  if (this->is_reading)
    return;
  this->is_reading = true;
  this->http.Send(
      this->address, "GET", "/v1/instances", "", kReadTimeout,
      [this](const HttpResponse& response) {
        this->is_reading = false;
        const Result<InstanceList> list = ParseInstanceList(response.body);
        if (response.outcome != HttpOutcome::kAnswered || !list.ok()) {
          ++this->failures;
          return;
        }
        this->handler(list.value());
      });
}

Result<InstanceList> ParseInstanceList(const std::string& text) {
  const Json json = Json::parse(text, nullptr, false);
  try {
    InstanceList list;
    for (const Json& daemon : json.at("daemons"))
      list.daemons.push_back(ReadDaemon(daemon));
    for (const Json& endpoint : json.at("endpoints"))
      list.endpoints.push_back(ReadEndpoint(endpoint));
    return list;
  } catch (const Json::exception& exception) {
    return Error{ResultCode::kMalformedRequest, exception.what()};
  }
}

}  // namespace dogwoodfall
