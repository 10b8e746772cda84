#include "settings/fleet_settings.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <variant>
#include <vector>

namespace dogwoodfall {
namespace {

const char* const kGood = R"({
  "fleet": true, "added_later": 1,
  "daemon": {"id": "edge-1", "zone": "north", "cores": 0.25},
  "callers": {"address": "10.1.0.13:8161"},
  "readiness": {"address": "10.1.0.13:8167"},
  "operators": {"address": "10.1.0.13:8166"},
  "peers": {"port": 7720}, "metrics": {"port": 9464},
  "store": {"address": "10.200.1.7:8169"}})";

TEST(FleetSettingsTest, AFileIsRead) {
  ASSERT_TRUE(IsFleetSettings(kGood));
  const auto parsed = ParseFleetSettings(kGood);
  const auto* settings = std::get_if<FleetSettings>(&parsed);
  ASSERT_NE(settings, nullptr);
  EXPECT_EQ(settings->self.id, DaemonId("edge-1"));
  EXPECT_EQ(settings->self.weight, 25U);
  EXPECT_EQ(settings->self.ip, "10.1.0.13");
  EXPECT_EQ(settings->store.port, 8169);
  EXPECT_EQ(settings->metrics.port, 9464);
}

TEST(FleetSettingsTest, EveryFaultIsNamed) {
  const auto parsed = ParseFleetSettings(
      R"({"fleet": true, "daemon": {"id": "", "cores": 0},
          "callers": {"address": "nowhere"}, "peers": {"port": 70000}})");
  const auto* faults = std::get_if<std::vector<SettingsError>>(&parsed);
  ASSERT_NE(faults, nullptr);
  std::vector<std::string> paths;
  for (const SettingsError& fault : *faults)
    paths.push_back(fault.path);
  for (const char* path :
       {"/daemon/id", "/daemon/zone", "/daemon/cores", "/callers/address",
        "/readiness/address", "/operators/address", "/store/address",
        "/peers/port"})
    EXPECT_NE(std::find(paths.begin(), paths.end(), path), paths.end()) << path;
}

TEST(FleetSettingsTest, OtherFilesAreNotTakenForOne) {
  EXPECT_FALSE(IsFleetSettings(R"({"daemon": {"id": "d1"}})"));
  EXPECT_FALSE(IsFleetSettings("{"));
  EXPECT_TRUE(std::holds_alternative<std::vector<SettingsError>>(
      ParseFleetSettings("[]")));
}

}  // namespace
}  // namespace dogwoodfall
