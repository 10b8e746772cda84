#include "settings/settings.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace dogwoodfall {
namespace {

using Json = nlohmann::json;

Json MakeValidSettings() {
  return {{"daemon", {{"id", "d1"}, {"zone", "north"}}},
          {"callers", {{"ip", "127.0.0.1"}, {"port", 1}}},
          {"operators", {{"ip", "127.0.0.1"}, {"port", 2}}},
          {"peers", {{"ip", "127.0.0.1"}, {"tcp_port", 3}, {"udp_port", 4}}},
          {"store", {{"ip", "127.0.0.1"}, {"port", 5}}},
          {"instances", {{"ip", "127.0.0.1"}, {"port", 6}}}};
}

std::set<std::string> ErrorPathsOf(const Json& json) {
  const ParsedSettings parsed = ParseSettings(json.dump());
  std::set<std::string> paths;
  if (const auto* errors = std::get_if<std::vector<SettingsError>>(&parsed)) {
    for (const SettingsError& error : *errors)
      paths.insert(error.path);
  }
  return paths;
}

// Guards against optional settings that are left unset, or defaults that
// overwrite values from the file.
TEST(SettingsTest, MissingOptionalSettingsGetTheirDefaults) {
  const ParsedSettings parsed = ParseSettings(MakeValidSettings().dump());
  ASSERT_TRUE(std::holds_alternative<DaemonSettings>(parsed));
  const auto& settings = std::get<DaemonSettings>(parsed);
  EXPECT_EQ(settings.node.self.id, DaemonId("d1"));
  EXPECT_EQ(settings.peer_udp_port, 4);
  EXPECT_EQ(settings.caller_limits.max_tasks, 1'500U);
}

// Guards against a parser that stops at the first error or that accepts unknown
// keys.
TEST(SettingsTest, EveryErrorIsReported) {
  Json json = MakeValidSettings();
  json["daemon"]["id"] = "";
  json["callers"]["port"] = 70'000;
  json["callers"]["max_connections"] = "many";
  json["operators"].erase("ip");
  json["store"]["ip"] = "store.example";
  json["peers"]["heartbeat_period_ms"] = -5;
  json["colour"] = "red";
  json["drain"] = 7;
  const std::set<std::string> expected = {
      "/daemon/id",    "/callers/port", "/callers/max_connections",
      "/operators/ip", "/store/ip",     "/peers/heartbeat_period_ms",
      "/colour",       "/drain"};
  EXPECT_EQ(ErrorPathsOf(json), expected);
}

// A request body or an output of more than half a frame might not fit into a
// message to a peer. Settings that allow one are rejected.
TEST(SettingsTest, BodyAndOutputLimitsMustFitIntoAPeerFrame) {
  Json json = MakeValidSettings();
  json["callers"]["max_body_bytes"] = 5'000'000;
  json["tasks"]["max_output_bytes"] = 5'000'000;
  EXPECT_EQ(ErrorPathsOf(json),
            (std::set<std::string>{"/callers/max_body_bytes",
                                   "/tasks/max_output_bytes"}));
  json["peers"]["max_frame_bytes"] = 10'000'000;
  EXPECT_TRUE(ErrorPathsOf(json).empty());
}

// Guards against a crash, or a start with defaults, when the file is empty,
// truncated or another kind of JSON.
TEST(SettingsTest, TextThatIsNotAJsonObjectIsRejected) {
  for (const char* text : {"", "[]", "{", "7"})
    EXPECT_FALSE(std::holds_alternative<DaemonSettings>(ParseSettings(text)));
}

// Guards against a default that is outside the range of its own setting.
TEST(SettingsTest, EveryDefaultIsAnAllowedValue) {
  for (const SettingRow& row : SettingsTable()) {
    const Json value = Json::parse(row.default_value, nullptr, false);
    if (value.is_discarded())
      continue;
    Json json = MakeValidSettings();
    json[Json::json_pointer(row.path)] = value;
    EXPECT_TRUE(ErrorPathsOf(json).empty()) << row.path;
  }
}

}  // namespace
}  // namespace dogwoodfall
