#include "platform/configuration_check.h"

#include <gtest/gtest.h>

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

namespace dogwoodfall {
namespace {

using Json = nlohmann::json;
using Kind = ConfigurationFinding::Kind;

Json MakeDocument() {
  return Json::parse(R"({"version": 8,
    "routes": [{"name": "plan", "host": "desk.example", "prefix": "/plan/",
                "service": "dispatch", "priority": 2, "maxAttempts": 4,
                "stretch": 1.6, "targetLatencyMs": 60, "timeoutMs": 1500}],
    "services": [{"name": "dispatch", "maxConns": 64}],
    "limits": {"maxHeaderBytes": 16384, "headerTimeoutMs": 3000,
               "idleTimeoutMs": 15000}})");
}

/** Returns the kinds of the findings by path. */
std::map<std::string, Kind> Check(const Json& document) {
  const auto check = CheckConfigurationOfRoutes(document.dump(), std::nullopt);
  std::map<std::string, Kind> kinds;
  if (!check)
    return {{"unreadable", Kind::kInvalid}};
  for (const ConfigurationFinding& finding : check->findings)
    kinds.emplace(finding.path, finding.kind);
  return kinds;
}

/** Returns the findings after a value has been set at a path. */
std::map<std::string, Kind> CheckWith(const std::string& path,
                                      const Json& value) {
  Json document = MakeDocument();
  document[Json::json_pointer(path)] = value;
  return Check(document);
}

using Expected = std::map<std::string, Kind>;

// Findings in a sound configuration would make operators ignore the check.
TEST(ConfigurationCheckTest, SoundConfigurationIsClean) {
  EXPECT_EQ(Check(MakeDocument()), Expected());
  Json longer = MakeDocument();
  longer["routes"].push_back(longer["routes"][0]);
  longer["routes"][1]["name"] = "deep";
  longer["routes"][1]["prefix"] = "/plan/deep/";
  longer["routes"][1].erase("timeoutMs");
  EXPECT_EQ(Check(longer), Expected());
}

// A value that daemons can't decode would only be found once it is written.
TEST(ConfigurationCheckTest, InvalidEntriesAreNamedByTheirPaths) {
  for (const auto& [path, value] :
       std::vector<std::pair<std::string, Json>>{{"/version", "8"},
                                                 {"/routes", "none"},
                                                 {"/routes/0", 1},
                                                 {"/routes/0/host", 1},
                                                 {"/routes/0/name", ""},
                                                 {"/routes/0/priority", -1},
                                                 {"/routes/0/stretch", "2"},
                                                 {"/routes/0/stretch", 1e9},
                                                 {"/routes/0/timeoutMs", 1e15},
                                                 {"/services/0/name", 3},
                                                 {"/limits", 5}}) {
    const auto found = CheckWith(path, value);
    ASSERT_EQ(found.count(path), 1U) << path;
    EXPECT_EQ(found.at(path), Kind::kInvalid) << path;
  }
  Json without_version = MakeDocument();
  without_version.erase("version");
  EXPECT_EQ(Check(without_version), (Expected{{"/version", Kind::kInvalid}}));
  EXPECT_FALSE(CheckConfigurationOfRoutes("[]", std::nullopt).has_value());
  EXPECT_FALSE(CheckConfigurationOfRoutes("{}", "{").has_value());
}

// Requests would be answered 404, or run by another route than intended.
TEST(ConfigurationCheckTest, EntriesThatNeverMatchAreFound) {
  const std::string prefix = "/routes/0/prefix";
  for (const char* value : {"plan/", "/plan", "/plan?a=/"})
    EXPECT_EQ(CheckWith(prefix, value), (Expected{{prefix, Kind::kUnused}}));
  EXPECT_EQ(CheckWith("/routes/0/host", "desk.example:80"),
            (Expected{{"/routes/0/host", Kind::kUnused}}));
  EXPECT_EQ(CheckWith("/routes/0/service", "other"),
            (Expected{{"/routes/0/service", Kind::kUnused},
                      {"/services/0", Kind::kUnused}}));
  EXPECT_EQ(CheckWith("/services/1", {{"name", "idle"}}),
            (Expected{{"/services/1", Kind::kUnused}}));
  Json twice = MakeDocument();
  twice["routes"].push_back(twice["routes"][0]);
  twice["routes"][1]["name"] = "second";
  EXPECT_EQ(Check(twice), (Expected{{"/routes/1", Kind::kUnused}}));
  twice["routes"][1]["host"] = "other.example";
  EXPECT_EQ(Check(twice), Expected());
}

TEST(ConfigurationCheckTest, LimitsThatContradictEachOtherAreFound) {
  for (const auto& [path, value] : std::vector<std::pair<std::string, Json>>{
           {"/routes/0/timeoutMs", 0},
           {"/routes/0/timeoutMs", 59},
           {"/routes/0/targetLatencyMs", -1},
           {"/routes/0/maxAttempts", 0},
           {"/routes/0/stretch", 0},
           {"/limits/maxBodyBytes", 0},
           {"/limits/maxHeaderBytes", 0},
           {"/limits/headerTimeoutMs", 15001}})
    EXPECT_EQ(CheckWith(path, value), (Expected{{path, Kind::kContradiction}}))
        << path;
}

// A version that daemons ignore, or a change that nobody meant.
TEST(ConfigurationCheckTest, DifferencesFromTheVersionInForceAreNamed) {
  const Json in_force = MakeDocument();
  Json document = MakeDocument();
  document["routes"].insert(document["routes"].begin(), in_force["routes"][0]);
  document["routes"][0]["name"] = "new";
  document["routes"][0]["prefix"] = "/new/";
  document["routes"][1]["priority"] = 3;
  document["services"][0].erase("maxConns");
  document["limits"]["idleTimeoutMs"] = 20'000;
  auto check =
      CheckConfigurationOfRoutes(document.dump(), in_force.dump()).value();
  ASSERT_EQ(check.findings.size(), 1U);
  EXPECT_EQ(check.findings[0].kind, Kind::kNotNewer);
  EXPECT_EQ(check.findings[0].path, "/version");
  std::map<std::string, std::string> changes;
  for (const ConfigurationDifference& difference : check.differences)
    changes[difference.path] = difference.before + ">" + difference.after;
  EXPECT_EQ(changes.size(), 4U);
  EXPECT_EQ(changes["/routes/0"], ">" + document["routes"][0].dump());
  EXPECT_EQ(changes["/routes/1/priority"], "2>3");
  EXPECT_EQ(changes["/services/0/maxConns"], "64>");
  EXPECT_EQ(changes["/limits/idleTimeoutMs"], "15000>20000");
  document["version"] = 9;
  check = CheckConfigurationOfRoutes(document.dump(), in_force.dump()).value();
  EXPECT_TRUE(check.findings.empty());
  check = CheckConfigurationOfRoutes(in_force.dump(), document.dump()).value();
  EXPECT_EQ(check.differences.size(), 4U);
}

}  // namespace
}  // namespace dogwoodfall
