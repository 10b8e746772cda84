#include "settings/fleet_settings.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <variant>
#include <vector>

namespace dogwoodfall {
namespace {

const char* const kValidSettings = R"({
  "fleet": true, "added_later": 1,
  "daemon": {"id": "edge-1", "zone": "north", "cores": 0.25},
  "callers": {"address": "10.1.0.13:8161"},
  "readiness": {"address": "10.1.0.13:8167"},
  "operators": {"address": "10.1.0.13:8166"},
  "peers": {"port": 7720}, "metrics": {"port": 9464},
  "store": {"address": "10.200.1.7:8169"}})";

// The platform may add keys to the file. The text has an unknown key, which
// must be ignored.
TEST(FleetSettingsTest, ValidSettingsAreParsed) {
  ASSERT_TRUE(IsFleetSettings(kValidSettings));
  const auto parsed = ParseFleetSettings(kValidSettings);
  const auto* settings = std::get_if<FleetSettings>(&parsed);
  ASSERT_NE(settings, nullptr);
  EXPECT_EQ(settings->self.id, DaemonId("edge-1"));
  EXPECT_EQ(settings->self.weight, 25U);
  EXPECT_EQ(settings->self.ip, "10.1.0.13");
  EXPECT_EQ(settings->store.port, 8169);
  EXPECT_EQ(settings->metrics.port, 9464);
  EXPECT_EQ(settings->max_store_silence, Millis{3'000});
}

// A part that a deployment's settings don't name must stay off there.
TEST(FleetSettingsTest, PartsOfTheSchedulingAreOffUnlessSwitchedOn) {
  std::string text = kValidSettings;
  text.insert(text.rfind('}'), R"(, "scheduling": {"long_jobs": true})");
  const auto parsed = ParseFleetSettings(text);
  const auto* settings = std::get_if<FleetSettings>(&parsed);
  ASSERT_NE(settings, nullptr);
  EXPECT_TRUE(settings->scheduling.long_jobs);
  EXPECT_FALSE(settings->scheduling.packing);
  EXPECT_FALSE(settings->scheduling.interference);
}

TEST(FleetSettingsTest, MaximumSilenceOfTheStoreIsRead) {
  std::string text = kValidSettings;
  text.insert(text.rfind("}}"), ", \"max_silence_ms\": 4000");
  const auto parsed = ParseFleetSettings(text);
  const auto* settings = std::get_if<FleetSettings>(&parsed);
  ASSERT_NE(settings, nullptr);
  EXPECT_EQ(settings->max_store_silence, Millis{4'000});
}

// The memory of the instance bounds what listeners and clients hold. The
// platform may give it with a fraction.
TEST(FleetSettingsTest, BoundsFollowFromTheMemoryOfTheInstance) {
  std::string text = kValidSettings;
  text.insert(text.rfind('}'), R"(, "limits": {"memory_mb": 240.5})");
  const auto parsed = ParseFleetSettings(text);
  const auto* settings = std::get_if<FleetSettings>(&parsed);
  ASSERT_NE(settings, nullptr);
  EXPECT_EQ(settings->caller_connections.max_held_bytes, 30'000'000U);
  EXPECT_EQ(settings->operator_connections.max_held_bytes, 7'500'000U);
  EXPECT_EQ(settings->http_client_limits.max_held_bytes, 30'000'000U);
  EXPECT_EQ(settings->peer_limits.max_held_bytes, 30'000'000U);
}

TEST(FleetSettingsTest, LimitsOfCallersAreChecked) {
  std::string text = kValidSettings;
  text.insert(text.rfind('}'), R"(, "limits": {"memory_mb": 1})");
  text.insert(text.find(R"("10.1.0.13:8161"})") + 16,
              R"(, "max_head_bytes": "many", "min_body_rate": -1)");
  const auto parsed = ParseFleetSettings(text);
  const auto* errors = std::get_if<std::vector<SettingsError>>(&parsed);
  ASSERT_NE(errors, nullptr);
  EXPECT_EQ(errors->size(), 3U);
}

// Guards against a parser that stops at the first error or that accepts missing
// keys.
TEST(FleetSettingsTest, EveryErrorIsReported) {
  const auto parsed = ParseFleetSettings(
      R"({"fleet": true, "daemon": {"id": "", "cores": 0},
          "callers": {"address": "nowhere"}, "peers": {"port": 70000}})");
  const auto* errors = std::get_if<std::vector<SettingsError>>(&parsed);
  ASSERT_NE(errors, nullptr);
  std::vector<std::string> paths;
  for (const SettingsError& error : *errors)
    paths.push_back(error.path);
  for (const char* path :
       {"/daemon/id", "/daemon/zone", "/daemon/cores", "/callers/address",
        "/readiness/address", "/operators/address", "/store/address",
        "/peers/port"})
    EXPECT_NE(std::find(paths.begin(), paths.end(), path), paths.end()) << path;
}

// The id of a daemon becomes a part of its key in the store. With a slash, it
// would name an item of another daemon or prefix.
TEST(FleetSettingsTest, DaemonIdWithSlashIsAnError) {
  std::string text = kValidSettings;
  text.replace(text.find("edge-1"), 6, "edge/1");
  const auto parsed = ParseFleetSettings(text);
  const auto* errors = std::get_if<std::vector<SettingsError>>(&parsed);
  ASSERT_NE(errors, nullptr);
  ASSERT_EQ(errors->size(), 1U);
  EXPECT_EQ(errors->front().path, "/daemon/id");
}

// Guards against a settings file of the other kind of daemon, or an unreadable
// one, being parsed as fleet settings.
TEST(FleetSettingsTest, OtherTextsAreNotFleetSettings) {
  EXPECT_FALSE(IsFleetSettings(R"({"daemon": {"id": "d1"}})"));
  EXPECT_FALSE(IsFleetSettings("{"));
  EXPECT_TRUE(std::holds_alternative<std::vector<SettingsError>>(
      ParseFleetSettings("[]")));
}

}  // namespace
}  // namespace dogwoodfall
