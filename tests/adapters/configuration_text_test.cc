#include "config/configuration_text.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

namespace dogwoodfall {
namespace {

std::set<std::string> FaultsOf(const std::string& text) {
  const ParsedConfiguration parsed = ParseConfiguration(text);
  std::set<std::string> paths;
  if (const auto* faults =
          std::get_if<std::vector<ConfigurationError>>(&parsed)) {
    for (const ConfigurationError& fault : *faults)
      paths.insert(fault.path);
  }
  return paths;
}

TEST(ConfigurationTextTest, ListsSurviveTheWay) {
  Configuration lists;
  lists.revision = 7;
  lists.plans[PlanId("gold")] = {3, 100, 50, 1000, {"e1", "north-*"}};
  lists.customers[CustomerId("wharf")] = PlanId("gold");
  const std::string text = FormatConfiguration(lists);
  const ParsedConfiguration parsed = ParseConfiguration(text);
  ASSERT_TRUE(std::holds_alternative<Configuration>(parsed));
  EXPECT_EQ(FormatConfiguration(std::get<Configuration>(parsed)), text);
}

TEST(ConfigurationTextTest, ABadListIsRefusedWithEveryFault) {
  const std::set<std::string> expected = {
      "/revision",       "/customers/x",
      "/plans/p/weight", "/plans/p/endpoints/0",
      "/plans/p/colour", "/plans/p/queued_tasks"};
  EXPECT_EQ(FaultsOf(R"({"revision": 0, "customers": {"x": "none"},
      "plans": {"p": {"weight": 0, "tasks_at_once": 1, "starts_per_second": 1,
                      "endpoints": ["a*b"], "colour": 1}}})"),
            expected);
}

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
