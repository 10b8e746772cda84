#include "config/configuration_text.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

namespace dogwoodfall {
namespace {

std::set<std::string> ErrorPathsOf(const std::string& text) {
  const ParsedConfiguration parsed = ParseConfiguration(text);
  std::set<std::string> paths;
  if (const auto* errors =
          std::get_if<std::vector<ConfigurationError>>(&parsed)) {
    for (const ConfigurationError& error : *errors)
      paths.insert(error.path);
  }
  return paths;
}

// Guards against fields that are lost or changed between formatting and
// parsing.
TEST(ConfigurationTextTest, ConfigurationIsUnchangedAfterFormatAndParse) {
  Configuration configuration;
  configuration.revision = 7;
  configuration.plans[PlanId("gold")] = {3, 100, 50, 1000, {"e1", "north-*"}};
  configuration.customers[CustomerId("wharf")] = PlanId("gold");
  const std::string text = FormatConfiguration(configuration);
  const ParsedConfiguration parsed = ParseConfiguration(text);
  ASSERT_TRUE(std::holds_alternative<Configuration>(parsed));
  EXPECT_EQ(FormatConfiguration(std::get<Configuration>(parsed)), text);
}

// Guards against a parser that stops at the first error or that accepts unknown
// or missing fields.
TEST(ConfigurationTextTest, EveryErrorIsReported) {
  const std::set<std::string> expected = {
      "/revision",       "/customers/x",
      "/plans/p/weight", "/plans/p/endpoints/0",
      "/plans/p/colour", "/plans/p/queued_tasks"};
  EXPECT_EQ(ErrorPathsOf(R"({"revision": 0, "customers": {"x": "none"},
      "plans": {"p": {"weight": 0, "tasks_at_once": 1, "starts_per_second": 1,
                      "endpoints": ["a*b"], "colour": 1}}})"),
            expected);
}

// A pattern without '*' must match only the whole id, not ids that begin with
// it.
TEST(ConfigurationTextTest, PatternsMatchNamesAndPrefixes) {
  PlanLimits limits;
  limits.endpoints = {"e1", "north-*"};
  EXPECT_TRUE(MayUse(limits, EndpointId("e1")));
  EXPECT_TRUE(MayUse(limits, EndpointId("north-7")));
  EXPECT_FALSE(MayUse(limits, EndpointId("e11")));
  EXPECT_FALSE(MayUse(limits, EndpointId("south-7")));
}

}  // namespace
}  // namespace dogwoodfall
